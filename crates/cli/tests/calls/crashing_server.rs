//! A backend server that ends when it runs a certain request, and starts again under
//! another run and address.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::task::JoinHandle;
use awc::Client;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use cowslip_node::local_handler::AnnounceBody;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// Time that the server takes for a request.
const WORK_TIME: Duration = Duration::from_millis(20);

/// Time until a crashed server starts again.
const RESTART_TIME: Duration = Duration::from_millis(200);

/// The part of a path that makes the server crash.
pub const CRASHING_PATH: &str = "crashes-servers";

/// The part of a path that makes the server crash once its data is bad.
pub const STALE_PATH: &str = "crashes-later";

/// What the servers of a test share.
#[derive(Clone, Default)]
pub struct ServerFaults {
    /// Crashes of all servers.
    pub crashes: Rc<RefCell<Vec<Instant>>>,
    /// Whether requests with [`STALE_PATH`] crash servers.
    pub data_is_bad: Rc<Cell<bool>>,
    /// Servers that have answered a request with [`STALE_PATH`], by number.
    pub completed_by: Rc<RefCell<BTreeSet<usize>>>,
    /// How long servers say they are cold after their start, if they say so.
    pub cold_ms: Option<u64>,
}

/// Starts a server of the service `tested` beside the node whose address for its
/// server is `node`. It runs until the test ends.
pub fn spawn(node: SocketAddr, number: usize, faults: &ServerFaults) {
    let faults = faults.clone();
    actix_rt::spawn(async move {
        for run in 0.. {
            run_once(node, number, run, &faults).await;
            faults.crashes.borrow_mut().push(Instant::now());
            actix_rt::time::sleep(RESTART_TIME).await;
        }
    });
}

/// Serves until a request crashes the server.
async fn run_once(node: SocketAddr, number: usize, run: usize, faults: &ServerFaults) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = TcpListener::bind(any).await.expect("a free port");
    let address = socket.local_addr().expect("its address");
    let run = format!("tested-{number}-{run}");
    let announcing = announce(node, address, run, faults.cold_ms);
    actix_rt::spawn(announcing);
    let (crash, mut crashed) = mpsc::unbounded_channel();
    let mut connections: Vec<JoinHandle<()>> = Vec::new();
    loop {
        tokio::select! {
            accepted = socket.accept() => {
                let (stream, _) = accepted.expect("a connection");
                let serving = serve(stream, number, crash.clone(), faults.clone());
                connections.push(actix_rt::spawn(serving));
            }
            _ = crashed.recv() => break,
        }
    }
    drop(socket);
    for connection in connections {
        connection.abort();
    }
}

async fn announce(
    node: SocketAddr,
    address: SocketAddr,
    run: String,
    cold_ms: Option<u64>,
) {
    let body = AnnounceBody {
        cold_ms,
        run: Some(run.into()),
        service: "tested".into(),
        version: "v1".into(),
        address,
        slots: 6,
    };
    let body = serde_json::to_vec(&body).expect("an announcement");
    let sent = Client::default().post(format!("http://{node}/announce"));
    let response = sent.send_body(body).await.expect("the node answers");
    assert!(response.status().is_success());
}

async fn serve(
    mut stream: TcpStream,
    number: usize,
    crash: mpsc::UnboundedSender<()>,
    faults: ServerFaults,
) {
    loop {
        let mut head = Vec::new();
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read_buf(&mut head).await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        actix_rt::time::sleep(WORK_TIME).await;
        let head = String::from_utf8_lossy(&head);
        let stale = head.contains(STALE_PATH);
        if stale && faults.data_is_bad.get() || head.contains(CRASHING_PATH) {
            let _ = crash.send(());
            return;
        }
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
        if stale {
            faults.completed_by.borrow_mut().insert(number);
        }
    }
}
