//! Callers that leave while their calls are served.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::StatusCode;
use actix_rt::System;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;

/// Long beyond any of these tests.
const WORK: Duration = Duration::from_secs(60);

const REQUEST: &[u8] = b"GET /quota HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Works until it is given up, and counts how often it was.
struct SlowHandler {
    given_up: Rc<Cell<u32>>,
}

struct GivenUp(Rc<Cell<u32>>);

impl Drop for GivenUp {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl HttpHandler for SlowHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let guard = GivenUp(Rc::clone(&self.given_up));
        let quick = request.path() == "/quick";
        Box::pin(async move {
            if !quick {
                actix_rt::time::sleep(WORK).await;
            }
            drop(guard);
            http_reply::text(StatusCode::OK, "done")
        })
    }
}

fn listener() -> (HttpListener, Rc<Cell<u32>>) {
    let given_up = Rc::new(Cell::new(0));
    let handler = SlowHandler {
        given_up: Rc::clone(&given_up),
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::bind(any, 100, Rc::new(handler));
    (listener.expect("a free port"), given_up)
}

// Callers leave in the middle of their calls. Their work must end at once,
// at the server as well; run on, it holds slots until deadlines that nobody
// waits for, and new callers are refused meanwhile.
#[test]
fn the_work_of_a_caller_who_left_ends_at_once() {
    System::new().block_on(async {
        let (listener, given_up) = listener();
        let mut callers = Vec::new();
        for _ in 0..20 {
            let mut caller = TcpStream::connect(listener.address()).await.unwrap();
            caller.write_all(REQUEST).await.unwrap();
            callers.push(caller);
        }
        while listener.in_flight() < 20 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        drop(callers);
        let patience = Duration::from_secs(20);
        let all = async {
            while given_up.get() < 20 {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let ended = actix_rt::time::timeout(patience, all).await;
        assert!(ended.is_ok(), "{} of 20 ended", given_up.get());
        assert_eq!(listener.in_flight(), 0);
    });
}

// A caller sends several requests without waiting and keeps its side open:
// all answers come, in the order of the requests.
#[test]
fn requests_sent_ahead_are_all_answered() {
    System::new().block_on(async {
        let (listener, _) = listener();
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let quick = b"GET /quick HTTP/1.1\r\nhost: a.example\r\n\r\n";
        let last = b"GET /quick HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n";
        let ahead = [&quick[..], &quick[..], &last[..]].concat();
        caller.write_all(&ahead).await.unwrap();
        let mut answers = Vec::new();
        caller.read_to_end(&mut answers).await.unwrap();
        let text = String::from_utf8(answers).unwrap();
        assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 3, "{text}");
    });
}
