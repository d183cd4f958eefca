//! Sequential connections: callers that disconnect during their calls, and
//! pipelined requests.

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

/// Duration of a slow call; longer than any of these tests.
const SLOW_CALL_TIME: Duration = Duration::from_secs(60);

const REQUEST: &[u8] = b"GET /quota HTTP/1.1\r\nhost: a.example\r\n\r\n";

/// Takes [`SLOW_CALL_TIME`], except for `/quick`, and counts the calls that
/// ended or were cancelled.
struct SlowHandler {
    cancelled: Rc<Cell<u32>>,
}

struct CancelGuard(Rc<Cell<u32>>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl HttpHandler for SlowHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let guard = CancelGuard(Rc::clone(&self.cancelled));
        let quick = request.path() == "/quick";
        Box::pin(async move {
            if !quick {
                actix_rt::time::sleep(SLOW_CALL_TIME).await;
            }
            drop(guard);
            http_reply::text(StatusCode::OK, "done")
        })
    }
}

fn listener() -> (HttpListener, Rc<Cell<u32>>) {
    let cancelled = Rc::new(Cell::new(0));
    let handler = SlowHandler {
        cancelled: Rc::clone(&cancelled),
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::bind(any, 100, Rc::new(handler));
    (listener.expect("a free port"), cancelled)
}

// Callers disconnect during their calls. If the calls are not cancelled at once,
// also at the backend server, they hold slots until deadlines that no caller
// waits for, and new callers are refused meanwhile.
#[test]
fn calls_of_disconnected_callers_are_cancelled() {
    System::new().block_on(async {
        let (listener, cancelled) = listener();
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
        let timeout = Duration::from_secs(20);
        let all = async {
            while cancelled.get() < 20 {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let ended = actix_rt::time::timeout(timeout, all).await;
        assert!(ended.is_ok(), "{} of 20 ended", cancelled.get());
        assert_eq!(listener.in_flight(), 0);
    });
}

// A caller pipelines several requests and keeps its side of the connection
// open; all of them must be answered.
#[test]
fn pipelined_requests_are_all_answered() {
    System::new().block_on(async {
        let (listener, _) = listener();
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let quick = b"GET /quick HTTP/1.1\r\nhost: a.example\r\n\r\n";
        let last = b"GET /quick HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n";
        let pipelined = [&quick[..], &quick[..], &last[..]].concat();
        caller.write_all(&pipelined).await.unwrap();
        let mut answers = Vec::new();
        caller.read_to_end(&mut answers).await.unwrap();
        let text = String::from_utf8(answers).unwrap();
        assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 3, "{text}");
    });
}
