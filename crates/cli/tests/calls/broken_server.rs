//! A backend server that fails every request in the same, configured way.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const COMPLETE_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// What the server does after it has received the head of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// Closes the connection without an answer.
    Crash,
    /// Closes the connection in the middle of the answer's body.
    CrashInAnswer,
    /// Sends no answer and keeps the connection open.
    Silent,
    /// Answers the first request on each connection and no later one.
    SilentLater,
    /// Answers without `connection: close` and then closes its sending half.
    HalfClose,
    /// Answers with as many headers besides the length of the body.
    ManyHeaders(usize),
    /// Sends these bytes and closes the connection.
    AnswerThenClose(&'static str),
    /// Sends these bytes and resets the connection.
    AnswerThenReset(&'static str),
}

/// A running broken server.
pub struct BrokenServer {
    pub address: SocketAddr,
    heads: ReceivedHeads,
}

/// Heads of requests, in the order of their arrival.
type ReceivedHeads = Rc<RefCell<Vec<Vec<u8>>>>;

impl BrokenServer {
    /// Starts the server on a free loopback port.
    pub async fn spawn(fault: ServerFault) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = TcpListener::bind(any).await.expect("a free port");
        let address = socket.local_addr().expect("its address");
        let heads = ReceivedHeads::default();
        let received = Rc::clone(&heads);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                actix_rt::spawn(serve(stream, fault, Rc::clone(&received)));
            }
        });
        Self { address, heads }
    }

    /// Returns the number of connections on which a request head has arrived.
    pub fn requests(&self) -> usize {
        self.heads.borrow().len()
    }

    /// Returns true if a request for `path` has arrived.
    pub fn has_received(&self, path: &str) -> bool {
        let path = format!(" {path} ");
        let heads = self.heads.borrow();
        heads
            .iter()
            .any(|head| String::from_utf8_lossy(head).contains(&path))
    }
}

async fn serve(mut stream: TcpStream, fault: ServerFault, heads: ReceivedHeads) {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read_buf(&mut head).await {
            Ok(read) if read > 0 => {}
            _ => return,
        }
    }
    heads.borrow_mut().push(head);
    match fault {
        ServerFault::Crash => {}
        ServerFault::CrashInAnswer => {
            let part = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nten bytes.";
            let _ = stream.write_all(part).await;
        }
        ServerFault::Silent => std::future::pending().await,
        ServerFault::SilentLater => {
            // Long enough that concurrent requests use separate connections.
            actix_rt::time::sleep(Duration::from_millis(200)).await;
            let _ = stream.write_all(COMPLETE_RESPONSE).await;
            std::future::pending().await
        }
        ServerFault::ManyHeaders(count) => {
            let headers = "x-more: of them\r\n".repeat(count);
            let answer =
                format!("HTTP/1.1 200 OK\r\n{headers}content-length: 5\r\n\r\nwhole");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
        ServerFault::AnswerThenClose(answer) => {
            let _ = stream.write_all(answer.as_bytes()).await;
        }
        ServerFault::AnswerThenReset(answer) => {
            let _ = stream.write_all(answer.as_bytes()).await;
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("it is set");
        }
        ServerFault::HalfClose => {
            let _ = stream.write_all(COMPLETE_RESPONSE).await;
            let _ = stream.shutdown().await;
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        }
    }
}
