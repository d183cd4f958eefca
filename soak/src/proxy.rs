//! TCP proxy on loopback that injects network faults.

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

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// A running proxy of one link.
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl LinkProxy {
    /// Accepts connections at `listen` and forwards each to the address that
    /// `target` holds when the connection is accepted.
    pub fn bind(listen: SocketAddr, target: Rc<Cell<SocketAddr>>) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let (mode, mode_receiver) = watch::channel(LinkMode::Pass);
        actix_rt::spawn(accept_connections(listener, target, mode_receiver));
        Ok(Self { address, mode })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour of new and open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: Rc<Cell<SocketAddr>>,
    mode: watch::Receiver<LinkMode>,
) {
    loop {
        // A connection that ended before it was accepted can be ignored.
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        actix_rt::spawn(forward(client, target.get(), mode.clone()));
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    // With zero linger, closing the socket drops unsent bytes and sends a reset.
    let _ = client.set_zero_linger();
    if *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let outbound = copy(client_read, upstream_write, mode.clone(), true);
    let inbound = copy(upstream_read, client_write, mode.clone(), false);
    let reset = mode.wait_for(|mode| *mode == LinkMode::Reset);
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => {}
        _ = reset => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    is_outbound: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        let current_mode = *mode.borrow();
        match current_mode {
            LinkMode::Silent => continue,
            LinkMode::OneWay if !is_outbound => continue,
            LinkMode::Delay(time) => actix_rt::time::sleep(time).await,
            _ => {}
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    // Fails if the other side has closed the connection already.
    let _ = to.shutdown().await;
}
