//! A backend server that ends when it begins a certain request, and starts again
//! under another run and address.

use std::cell::RefCell;
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

/// Crashes of all servers of a test.
pub type CrashTimes = Rc<RefCell<Vec<Instant>>>;

/// Starts a server of the service `tested` beside the node whose address for its
/// server is `node`. It runs until the test ends.
pub fn spawn(node: SocketAddr, number: usize, crashes: &CrashTimes) {
    let crashes = Rc::clone(crashes);
    actix_rt::spawn(async move {
        for run in 0.. {
            run_once(node, &format!("tested-{number}-{run}")).await;
            crashes.borrow_mut().push(Instant::now());
            actix_rt::time::sleep(RESTART_TIME).await;
        }
    });
}

/// Serves until a request crashes the server.
async fn run_once(node: SocketAddr, run: &str) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = TcpListener::bind(any).await.expect("a free port");
    let address = socket.local_addr().expect("its address");
    let announcing = announce(node, address, run.to_owned());
    actix_rt::spawn(announcing);
    let (crash, mut crashed) = mpsc::unbounded_channel();
    let mut connections: Vec<JoinHandle<()>> = Vec::new();
    loop {
        tokio::select! {
            accepted = socket.accept() => {
                let (stream, _) = accepted.expect("a connection");
                connections.push(actix_rt::spawn(serve(stream, crash.clone())));
            }
            _ = crashed.recv() => break,
        }
    }
    drop(socket);
    for connection in connections {
        connection.abort();
    }
}

async fn announce(node: SocketAddr, address: SocketAddr, run: String) {
    let body = AnnounceBody {
        cold_ms: None,
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

async fn serve(mut stream: TcpStream, crash: mpsc::UnboundedSender<()>) {
    loop {
        let mut head = Vec::new();
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read_buf(&mut head).await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        actix_rt::time::sleep(WORK_TIME).await;
        if String::from_utf8_lossy(&head).contains(CRASHING_PATH) {
            let _ = crash.send(());
            return;
        }
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}
