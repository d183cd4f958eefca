//! A proxy on loopback that misbehaves on demand.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::fault_plan::LinkMode;

/// Bytes passed on at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A running proxy.
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl LinkProxy {
    /// Takes connections at `listen` and passes them to where `target` points
    /// at that moment.
    pub fn bind(listen: SocketAddr, target: Rc<Cell<SocketAddr>>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (mode, watched) = watch::channel(LinkMode::Pass);
        actix_rt::spawn(take_all(listener, target, watched));
        Ok(Self { address, mode })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves, open connections included.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn take_all(
    listener: TcpListener,
    target: Rc<Cell<SocketAddr>>,
    mode: watch::Receiver<LinkMode>,
) {
    loop {
        // A connection that ended before it was taken is no matter here.
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        actix_rt::spawn(pass(near, target.get(), mode.clone()));
    }
}

async fn pass(near: TcpStream, target: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    // Closing with unsent bytes dropped is what a reset looks like.
    let _ = near.set_zero_linger();
    if *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = copy(near_read, far_write, mode.clone(), true);
    let back = copy(far_read, near_write, mode.clone(), false);
    let reset = mode.wait_for(|mode| *mode == LinkMode::Reset);
    tokio::select! {
        _ = async { tokio::join!(forth, back) } => {}
        _ = reset => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    forth: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        let now = *mode.borrow();
        match now {
            LinkMode::Silent => continue,
            LinkMode::OneWay if !forth => continue,
            LinkMode::Delay(time) => actix_rt::time::sleep(time).await,
            _ => {}
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    // The other side may have gone first.
    let _ = to.shutdown().await;
}
