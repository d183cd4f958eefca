//! A machine's link of limited bandwidth, on which all that a node sends waits in one
//! queue.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use actix_rt::System;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Size of the copy buffers, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Address from which the link connects to the node, as another machine would.
const FAR_MACHINE: [u8; 4] = [127, 0, 0, 2];

/// One end of a link: a listen address on loopback and where it leads.
#[derive(Clone, Default)]
pub struct LinkRoute {
    /// Address behind the link; set before the first connection.
    pub target: Arc<OnceLock<SocketAddr>>,
    /// True if the node opens the connections, and so sends on their way out.
    pub opened_by_node: bool,
}

/// Bytes that a node has sent, and the connection they belong to.
struct SentBytes {
    bytes: Vec<u8>,
    connection: mpsc::UnboundedSender<Vec<u8>>,
}

/// Starts a link of `bits_per_s` on a thread of its own. Returns a listen address for
/// each route.
pub fn spawn(bits_per_s: f64, routes: Vec<LinkRoute>) -> Vec<SocketAddr> {
    let (started, addresses) = std::sync::mpsc::channel();
    thread::spawn(move || {
        System::new().block_on(async move {
            let (queue, queued) = mpsc::unbounded_channel();
            for route in routes {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let listener = TcpListener::bind(any).await.expect("a free port");
                let address = listener.local_addr().expect("its address");
                started.send(address).expect("the test waits");
                actix_rt::spawn(accept_connections(listener, route, queue.clone()));
            }
            drop(started);
            transmit(queued, bits_per_s / 8.0).await;
        });
    });
    addresses.iter().collect()
}

/// Passes on what the node has sent, in its order and at the link's rate.
async fn transmit(mut queued: mpsc::UnboundedReceiver<SentBytes>, bytes_per_s: f64) {
    let mut free_at = Instant::now();
    while let Some(sent) = queued.recv().await {
        let time = sent.bytes.len() as f64 / bytes_per_s;
        free_at = free_at.max(Instant::now()) + Duration::from_secs_f64(time);
        tokio::time::sleep_until(free_at).await;
        // The connection may have been closed meanwhile.
        let _ = sent.connection.send(sent.bytes);
    }
}

async fn accept_connections(
    listener: TcpListener,
    route: LinkRoute,
    queue: mpsc::UnboundedSender<SentBytes>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let queue = queue.clone();
        let opened_by_node = route.opened_by_node;
        let target = *route.target.get().expect("the test has set the address");
        actix_rt::spawn(async move {
            let Ok(behind) = connect(target).await else {
                return;
            };
            let (near, far) = if opened_by_node {
                (stream, behind)
            } else {
                (behind, stream)
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::join!(
                send_over_link(near_read, far_write, queue),
                copy(far_read, near_write)
            );
        });
    }
}

async fn connect(target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((FAR_MACHINE, 0)))?;
    socket.connect(target).await
}

/// Sends what the node writes to the far end of the connection over the link.
async fn send_over_link(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    queue: mpsc::UnboundedSender<SentBytes>,
) {
    let (connection, mut arrived) = mpsc::unbounded_channel::<Vec<u8>>();
    let sending = async move {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            let bytes = buffer[..read].to_vec();
            let connection = connection.clone();
            // The link ends only with the test.
            let _ = queue.send(SentBytes { bytes, connection });
        }
    };
    let arriving = async move {
        while let Some(bytes) = arrived.recv().await {
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        // Fails if the other side has closed the connection already.
        let _ = to.shutdown().await;
    };
    tokio::join!(sending, arriving);
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    // Fails if the other side has closed the connection already.
    let _ = to.shutdown().await;
}
