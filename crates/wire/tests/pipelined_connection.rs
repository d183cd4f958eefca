//! Requests that a caller sends ahead on one connection.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::ConnectionType;
use actix_http::Request;
use actix_http::StatusCode;
use actix_rt::System;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ListenerTimeouts;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;

/// Work of a request, unless its path says another time.
const WORK: Duration = Duration::from_millis(300);

/// Longest body read.
const BODY_MAX: usize = 8 * 1024 * 1024;

/// Answers with the request's path and the length of its body, after the
/// milliseconds that the path ends in.
#[derive(Default)]
struct TimedHandler {
    running: Rc<Cell<u32>>,
    most: Rc<Cell<u32>>,
    given_up: Rc<Cell<u32>>,
    leaving: Rc<Cell<bool>>,
}

/// Counts a request while it runs, and whether it was given up.
struct RunGuard {
    running: Rc<Cell<u32>>,
    given_up: Rc<Cell<u32>>,
    done: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
        if !self.done {
            self.given_up.set(self.given_up.get() + 1);
        }
    }
}

impl HttpHandler for TimedHandler {
    fn handle(&self, mut request: Request) -> ReplyFuture {
        self.running.set(self.running.get() + 1);
        self.most.set(self.most.get().max(self.running.get()));
        let guard = RunGuard {
            running: Rc::clone(&self.running),
            given_up: Rc::clone(&self.given_up),
            done: false,
        };
        let leaving = Rc::clone(&self.leaving);
        Box::pin(async move {
            let mut guard = guard;
            let path = request.path().to_owned();
            let early = path.starts_with("/early");
            let length = if early {
                0
            } else {
                match http_reply::read_body(&mut request, BODY_MAX).await {
                    Ok(body) => body.len(),
                    Err(fault) => {
                        return http_reply::text(
                            StatusCode::BAD_REQUEST,
                            fault.to_string(),
                        )
                    }
                }
            };
            let time = path.rsplit('/').next().and_then(|last| last.parse().ok());
            let time = time.map_or(WORK, Duration::from_millis);
            actix_rt::time::sleep(time).await;
            guard.done = true;
            let text = format!("{path} {length}");
            let mut reply = http_reply::text(StatusCode::OK, text);
            if leaving.get() {
                let head = reply.head_mut();
                head.set_connection_type(ConnectionType::Close);
            }
            reply
        })
    }
}

fn listener(handler: TimedHandler, times: ListenerTimeouts) -> HttpListener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = std::net::TcpListener::bind(any).unwrap();
    let (_, times) = watch::channel(times);
    HttpListener::spawn_pipelined(socket, 100, Rc::new(handler), times).unwrap()
}

fn usual() -> ListenerTimeouts {
    ListenerTimeouts::default()
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\n\r\n").into_bytes()
}

/// Reads until the connection ends, or until `ends` answers have come.
async fn answers(caller: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    let mut part = [0; 4096];
    while text.matches("\r\n\r\n/").count() < count || !text.ends_with('\n') {
        match caller.read(&mut part).await {
            Ok(0) => break,
            Ok(read) => text += &String::from_utf8_lossy(&part[..read]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("{error}"),
        }
    }
    text
}

fn paths(text: &str) -> Vec<&str> {
    let bodies = text.split("\r\n\r\n").skip(1);
    let lines = bodies.filter_map(|body| body.lines().next());
    lines.collect()
}

// A caller asks for four pages at once. Worked on one after the other, the
// last would come after four times the work, though servers stand idle.
#[test]
fn requests_sent_ahead_run_together_and_are_answered_in_order() {
    System::new().block_on(async {
        let listener = listener(TimedHandler::default(), usual());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let began = Instant::now();
        let ahead = ["/a/300", "/b/20", "/c/200", "/d/1"].map(get).concat();
        caller.write_all(&ahead).await.unwrap();
        let text = answers(&mut caller, 4).await;
        assert_eq!(paths(&text), ["/a/300 0", "/b/20 0", "/c/200 0", "/d/1 0"]);
        let took = began.elapsed();
        assert!(took < Duration::from_millis(480), "{took:?}");
        // The connection serves on.
        caller.write_all(&get("/e/1")).await.unwrap();
        assert_eq!(paths(&answers(&mut caller, 1).await), ["/e/1 0"]);
    });
}

// A sale and a lookup behind it, on one connection: the sale runs alone, and
// what is behind it is begun once it is answered.
#[test]
fn a_request_that_must_not_be_repeated_runs_alone() {
    System::new().block_on(async {
        let handler = TimedHandler::default();
        let most = Rc::clone(&handler.most);
        let listener = listener(handler, usual());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let sale = b"POST /sale/60 HTTP/1.1\r\nhost: a.example\r\n\
                     content-length: 3\r\n\r\nabc";
        let ahead = [get("/a/40"), sale.to_vec(), get("/b/20")].concat();
        caller.write_all(&ahead).await.unwrap();
        let text = answers(&mut caller, 3).await;
        assert_eq!(paths(&text), ["/a/40 0", "/sale/60 3", "/b/20 0"]);
        assert_eq!(most.get(), 1);
    });
}

// The node is told to stop while three answers are owed on a connection. All
// three come whole, only the last ends the connection, and a request that
// comes after is not begun: its caller sends it elsewhere.
#[test]
fn a_stop_cuts_no_request_that_was_begun() {
    System::new().block_on(async {
        let handler = TimedHandler::default();
        let leaving = Rc::clone(&handler.leaving);
        let most = Rc::clone(&handler.most);
        let listener = listener(handler, usual());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let ahead = ["/a/100", "/b/200", "/c/100"].map(get).concat();
        caller.write_all(&ahead).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(40)).await;
        leaving.set(true);
        let stopping = actix_rt::spawn(listener.stop(Duration::from_secs(5)));
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        caller.write_all(&get("/late/1")).await.unwrap();
        let text = answers(&mut caller, 4).await;
        assert_eq!(paths(&text), ["/a/100 0", "/b/200 0", "/c/100 0"]);
        assert_eq!(text.to_lowercase().matches("connection: close").count(), 1);
        let closing = text.to_lowercase().find("connection: close");
        assert!(closing > text.find("/b/200 0"), "{text}");
        assert_eq!(most.get(), 3);
        drop(caller);
        assert!(stopping.await.unwrap(), "a connection was cut");
    });
}

// A caller leaves with three requests on the way; all of their work ends.
#[test]
fn the_work_of_all_requests_of_a_caller_who_left_ends() {
    System::new().block_on(async {
        let handler = TimedHandler::default();
        let given_up = Rc::clone(&handler.given_up);
        let running = Rc::clone(&handler.running);
        let listener = listener(handler, usual());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let ahead = ["/a/60000", "/b/60000", "/c/60000"].map(get).concat();
        caller.write_all(&ahead).await.unwrap();
        while running.get() < 3 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        let began = Instant::now();
        while given_up.get() < 3 {
            assert!(began.elapsed() < Duration::from_secs(5));
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(listener.in_flight(), 0);
    });
}

// Bodies come whole, with a length and in chunks, larger than any buffer; one
// that breaks off never passes for a whole one.
#[test]
fn bodies_come_whole_or_as_broken() {
    System::new().block_on(async {
        let handler = TimedHandler::default();
        let given_up = Rc::clone(&handler.given_up);
        let listener = listener(handler, usual());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let large = vec![b'x'; 3_000_000];
        let head = b"POST /large/1 HTTP/1.1\r\nhost: a.example\r\n\
                     expect: 100-continue\r\ncontent-length: 3000000\r\n\r\n";
        caller.write_all(head).await.unwrap();
        let mut go_on = [0; 25];
        caller.read_exact(&mut go_on).await.unwrap();
        assert_eq!(&go_on, b"HTTP/1.1 100 Continue\r\n\r\n");
        caller.write_all(&large).await.unwrap();
        assert_eq!(paths(&answers(&mut caller, 1).await), ["/large/1 3000000"]);
        let chunked = b"POST /chunks/1 HTTP/1.1\r\nhost: a.example\r\n\
                        transfer-encoding: chunked\r\n\r\n\
                        3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
        caller.write_all(chunked).await.unwrap();
        assert_eq!(paths(&answers(&mut caller, 1).await), ["/chunks/1 7"]);
        let broken = b"POST /broken/1 HTTP/1.1\r\nhost: a.example\r\n\
                       content-length: 10\r\n\r\nabc";
        caller.write_all(broken).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        drop(caller);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(given_up.get(), 1);
    });
}

// A handler answers before it has read a long body. The answer arrives, and
// the connection ends with it, since the rest of the body is in the way.
#[test]
fn an_early_answer_arrives_and_ends_the_connection() {
    System::new().block_on(async {
        let listener = listener(TimedHandler::default(), usual());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let head = b"POST /early/1 HTTP/1.1\r\nhost: a.example\r\n\
                     content-length: 900000\r\n\r\n";
        caller.write_all(head).await.unwrap();
        caller.write_all(&vec![b'x'; 300_000]).await.unwrap();
        let text = answers(&mut caller, 2).await;
        assert_eq!(paths(&text), ["/early/1 0"]);
        assert!(text.to_lowercase().contains("connection: close"), "{text}");
    });
}

// What is no request, or comes too slowly, is told so after the answers that
// are owed, and the connection ends.
#[test]
fn malformed_large_and_slow_heads_are_told() {
    System::new().block_on(async {
        let times = ListenerTimeouts {
            head: Duration::from_millis(150),
            idle: Duration::from_millis(400),
        };
        let listener = listener(TimedHandler::default(), times);
        let large = [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'y'; 300_000]].concat();
        let two = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let cases = [
            (b"GET /a b c\r\n\r\n".to_vec(), "HTTP/1.1 400"),
            (two.to_vec(), "HTTP/1.1 400"),
            (large, "HTTP/1.1 431"),
            (b"GET /slow HTTP/1.1\r\nhost:".to_vec(), "HTTP/1.1 408"),
        ];
        for (sent, expected) in cases {
            let mut caller = TcpStream::connect(listener.address()).await.unwrap();
            let ahead = [get("/first/20"), sent].concat();
            // A large head may be refused before it is written whole.
            let _ = caller.write_all(&ahead).await;
            let text = answers(&mut caller, 2).await;
            assert!(text.starts_with("HTTP/1.1 200"), "{expected}: {text}");
            assert!(text.contains(expected), "{expected}: {text}");
        }
        let mut idle = TcpStream::connect(listener.address()).await.unwrap();
        idle.write_all(&get("/idle/1")).await.unwrap();
        assert_eq!(paths(&answers(&mut idle, 1).await), ["/idle/1 0"]);
        let began = Instant::now();
        assert_eq!(idle.read(&mut [0; 8]).await.unwrap(), 0);
        assert!(began.elapsed() >= Duration::from_millis(300));
    });
}

// Callers of old and those that say so get their answer and the end.
#[test]
fn a_caller_that_wants_the_end_gets_it() {
    System::new().block_on(async {
        let listener = listener(TimedHandler::default(), usual());
        for last in [
            "GET /x/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            "GET /x/1 HTTP/1.0\r\nhost: a\r\n\r\n",
        ] {
            let mut caller = TcpStream::connect(listener.address()).await.unwrap();
            caller.write_all(last.as_bytes()).await.unwrap();
            let mut text = String::new();
            caller.read_to_string(&mut text).await.unwrap();
            assert_eq!(paths(&text), ["/x/1 0"]);
        }
    });
}

/// Answers with the number of parts in which a request's body came.
struct PartsHandler;

impl HttpHandler for PartsHandler {
    fn handle(&self, mut request: Request) -> ReplyFuture {
        Box::pin(async move {
            let mut payload = request.take_payload();
            let mut parts = 0;
            while let Some(Ok(_)) = payload.next().await {
                parts += 1;
            }
            http_reply::text(StatusCode::OK, format!("/{parts}"))
        })
    }
}

// A clerk registers sales of a megabyte of paperwork. Handed on 64 bytes at a
// time, each part is a read here and a write to the next node, and the node's
// processor is spent on system calls.
#[test]
fn a_large_body_is_read_in_large_parts() {
    System::new().block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = std::net::TcpListener::bind(any).unwrap();
        let (_, times) = watch::channel(usual());
        let handler = Rc::new(PartsHandler);
        let listener = HttpListener::spawn_pipelined(socket, 1, handler, times).unwrap();
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let body = vec![b's'; 1024 * 1024];
        let head = format!(
            "POST /sale HTTP/1.1\r\nhost: a.example\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let request = [head.into_bytes(), body].concat();
        caller.write_all(&request).await.unwrap();
        let text = answers(&mut caller, 1).await;
        let parts = paths(&text)[0].trim_start_matches('/').parse::<u32>();
        assert!(parts.clone().is_ok_and(|parts| parts <= 256), "{parts:?}");
    });
}

// A caller sends what is no request and says that it sends no more. It is told
// so: the answer is there before the end of its half is seen.
#[test]
fn an_answer_that_is_there_goes_out_before_the_end_is_seen() {
    System::new().block_on(async {
        let listener = listener(TimedHandler::default(), usual());
        for _ in 0..50 {
            let mut caller = TcpStream::connect(listener.address()).await.unwrap();
            caller
                .write_all(b"\x16\x03\x01 noise\r\n\r\n")
                .await
                .unwrap();
            caller.shutdown().await.unwrap();
            let mut answer = Vec::new();
            caller.read_to_end(&mut answer).await.unwrap();
            assert!(answer.starts_with(b"HTTP/1.1 400"), "{answer:?}");
        }
    });
}
