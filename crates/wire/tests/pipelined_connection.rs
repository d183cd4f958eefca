//! Connections with concurrent request pipelining.

use std::cell::Cell;
use std::future::poll_fn;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::body::BoxBody;
use actix_http::body::SizedStream;
use actix_http::error::PayloadError;
use actix_http::ConnectionType;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_rt::System;
use bytes::Bytes;
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

/// Time that a request takes unless its path ends in another time.
const DEFAULT_DELAY: Duration = Duration::from_millis(300);

/// Maximum size of a request body.
const BODY_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Waits for the number of milliseconds that the path ends in, then answers
/// with the path and the length of the request body.
#[derive(Default)]
struct DelayedHandler {
    running: Rc<Cell<u32>>,
    running_max: Rc<Cell<u32>>,
    cancelled: Rc<Cell<u32>>,
    closing_connections: Rc<Cell<bool>>,
}

/// Counts a request as running until it is dropped, and as cancelled if it was
/// not done by then.
struct RunGuard {
    running: Rc<Cell<u32>>,
    cancelled: Rc<Cell<u32>>,
    done: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
        if !self.done {
            self.cancelled.set(self.cancelled.get() + 1);
        }
    }
}

impl HttpHandler for DelayedHandler {
    fn handle(&self, mut request: Request) -> ReplyFuture {
        self.running.set(self.running.get() + 1);
        self.running_max
            .set(self.running_max.get().max(self.running.get()));
        let guard = RunGuard {
            running: Rc::clone(&self.running),
            cancelled: Rc::clone(&self.cancelled),
            done: false,
        };
        let closing_connections = Rc::clone(&self.closing_connections);
        Box::pin(async move {
            let mut guard = guard;
            let path = request.path().to_owned();
            let early = path.starts_with("/early");
            let length = if early {
                0
            } else {
                match http_reply::read_body(&mut request, BODY_BYTES_MAX).await {
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
            let time = time.map_or(DEFAULT_DELAY, Duration::from_millis);
            actix_rt::time::sleep(time).await;
            guard.done = true;
            let text = format!("{path} {length}");
            let mut reply = http_reply::text(StatusCode::OK, text);
            if closing_connections.get() {
                let head = reply.head_mut();
                head.set_connection_type(ConnectionType::Close);
            }
            reply
        })
    }
}

/// Answers `/slow` with a body that takes as long as other requests, and counts how
/// often that is polled; answers others at once.
struct SlowBodyHandler(Rc<Cell<u32>>);

impl HttpHandler for SlowBodyHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        if request.path() != "/slow" {
            let reply = http_reply::text(StatusCode::OK, "/ready");
            return Box::pin(async move { reply });
        }
        let polls = Rc::clone(&self.0);
        let mut end = Box::pin(actix_rt::time::sleep(DEFAULT_DELAY));
        let body = futures_util::stream::once(poll_fn(move |cx| {
            polls.set(polls.get() + 1);
            let end = end.as_mut().poll(cx);
            end.map(|()| Ok::<_, PayloadError>(Bytes::from_static(b"/slow\n")))
        }));
        let body = BoxBody::new(SizedStream::new(6, body));
        let reply = Response::new(StatusCode::OK).set_body(body);
        Box::pin(async move { reply })
    }
}

fn listener(handler: DelayedHandler, timeouts: ListenerTimeouts) -> HttpListener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = std::net::TcpListener::bind(any).unwrap();
    let (_, timeouts) = watch::channel(timeouts);
    HttpListener::spawn_pipelined(socket, 100, Rc::new(handler), timeouts).unwrap()
}

fn default_timeouts() -> ListenerTimeouts {
    ListenerTimeouts::default()
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\n\r\n").into_bytes()
}

/// Reads until the connection closes, or until `count` responses have arrived.
async fn read_responses(caller: &mut TcpStream, count: usize) -> String {
    let mut text = String::new();
    let mut chunk = [0; 4096];
    while text.matches("\r\n\r\n/").count() < count || !text.ends_with('\n') {
        match caller.read(&mut chunk).await {
            Ok(0) => break,
            Ok(read) => text += &String::from_utf8_lossy(&chunk[..read]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("{error}"),
        }
    }
    text
}

fn response_lines(text: &str) -> Vec<&str> {
    let bodies = text.split("\r\n\r\n").skip(1);
    let lines = bodies.filter_map(|body| body.lines().next());
    lines.collect()
}

// Four requests are pipelined. Served one at a time, each response would wait
// for the work of all requests before it, even while servers are idle.
#[test]
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    System::new().block_on(async {
        let listener = listener(DelayedHandler::default(), default_timeouts());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let started = Instant::now();
        let pipelined = ["/a/300", "/b/20", "/c/200", "/d/1"].map(get).concat();
        caller.write_all(&pipelined).await.unwrap();
        let text = read_responses(&mut caller, 4).await;
        assert_eq!(
            response_lines(&text),
            ["/a/300 0", "/b/20 0", "/c/200 0", "/d/1 0"]
        );
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(480), "{elapsed:?}");
        // The connection stays open.
        caller.write_all(&get("/e/1")).await.unwrap();
        assert_eq!(
            response_lines(&read_responses(&mut caller, 1).await),
            ["/e/1 0"]
        );
    });
}

// A POST request is pipelined between two GET requests: it starts after the
// first is answered, and the third starts after the POST is answered.
#[test]
fn a_non_idempotent_request_runs_alone() {
    System::new().block_on(async {
        let handler = DelayedHandler::default();
        let running_max = Rc::clone(&handler.running_max);
        let listener = listener(handler, default_timeouts());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let sale = b"POST /sale/60 HTTP/1.1\r\nhost: a.example\r\n\
                     content-length: 3\r\n\r\nabc";
        let pipelined = [get("/a/40"), sale.to_vec(), get("/b/20")].concat();
        caller.write_all(&pipelined).await.unwrap();
        let text = read_responses(&mut caller, 3).await;
        assert_eq!(response_lines(&text), ["/a/40 0", "/sale/60 3", "/b/20 0"]);
        assert_eq!(running_max.get(), 1);
    });
}

// The node is stopped while three requests of a connection are running. All
// three responses must be complete, only the last one may close the connection,
// and a later request must not start, so that its caller can send it elsewhere.
#[test]
fn a_stop_completes_started_requests() {
    System::new().block_on(async {
        let handler = DelayedHandler::default();
        let closing_connections = Rc::clone(&handler.closing_connections);
        let running_max = Rc::clone(&handler.running_max);
        let listener = listener(handler, default_timeouts());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let pipelined = ["/a/100", "/b/200", "/c/100"].map(get).concat();
        caller.write_all(&pipelined).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(40)).await;
        closing_connections.set(true);
        let stopping = actix_rt::spawn(listener.stop(Duration::from_secs(5)));
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        caller.write_all(&get("/late/1")).await.unwrap();
        let text = read_responses(&mut caller, 4).await;
        assert_eq!(response_lines(&text), ["/a/100 0", "/b/200 0", "/c/100 0"]);
        assert_eq!(text.to_lowercase().matches("connection: close").count(), 1);
        let closing = text.to_lowercase().find("connection: close");
        assert!(closing > text.find("/b/200 0"), "{text}");
        assert_eq!(running_max.get(), 3);
        drop(caller);
        assert!(stopping.await.unwrap(), "a connection was cut");
    });
}

// A caller disconnects with three requests in flight; all must be cancelled.
#[test]
fn all_requests_of_a_disconnected_caller_are_cancelled() {
    System::new().block_on(async {
        let handler = DelayedHandler::default();
        let cancelled = Rc::clone(&handler.cancelled);
        let running = Rc::clone(&handler.running);
        let listener = listener(handler, default_timeouts());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let pipelined = ["/a/60000", "/b/60000", "/c/60000"].map(get).concat();
        caller.write_all(&pipelined).await.unwrap();
        while running.get() < 3 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        let started = Instant::now();
        while cancelled.get() < 3 {
            assert!(started.elapsed() < Duration::from_secs(5));
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(listener.in_flight(), 0);
    });
}

// Bodies larger than any buffer must arrive complete, with a content length or
// in chunks, and a truncated body must not be taken for a complete one.
#[test]
fn bodies_arrive_complete_or_fail() {
    System::new().block_on(async {
        let handler = DelayedHandler::default();
        let cancelled = Rc::clone(&handler.cancelled);
        let listener = listener(handler, default_timeouts());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let large = vec![b'x'; 3_000_000];
        let head = b"POST /large/1 HTTP/1.1\r\nhost: a.example\r\n\
                     expect: 100-continue\r\ncontent-length: 3000000\r\n\r\n";
        caller.write_all(head).await.unwrap();
        let mut interim = [0; 25];
        caller.read_exact(&mut interim).await.unwrap();
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        caller.write_all(&large).await.unwrap();
        assert_eq!(
            response_lines(&read_responses(&mut caller, 1).await),
            ["/large/1 3000000"]
        );
        let chunked = b"POST /chunks/1 HTTP/1.1\r\nhost: a.example\r\n\
                        transfer-encoding: chunked\r\n\r\n\
                        3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
        caller.write_all(chunked).await.unwrap();
        assert_eq!(
            response_lines(&read_responses(&mut caller, 1).await),
            ["/chunks/1 7"]
        );
        let broken = b"POST /broken/1 HTTP/1.1\r\nhost: a.example\r\n\
                       content-length: 10\r\n\r\nabc";
        caller.write_all(broken).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        drop(caller);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(cancelled.get(), 1);
    });
}

// A handler answers before it has read all of a large body. The response must
// arrive, and the connection must close, because the rest of the body precedes
// any further request.
#[test]
fn an_early_response_arrives_and_closes_the_connection() {
    System::new().block_on(async {
        let listener = listener(DelayedHandler::default(), default_timeouts());
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let head = b"POST /early/1 HTTP/1.1\r\nhost: a.example\r\n\
                     content-length: 900000\r\n\r\n";
        caller.write_all(head).await.unwrap();
        caller.write_all(&vec![b'x'; 300_000]).await.unwrap();
        let text = read_responses(&mut caller, 2).await;
        assert_eq!(response_lines(&text), ["/early/1 0"]);
        assert!(text.to_lowercase().contains("connection: close"), "{text}");
    });
}

// A malformed, oversized or slow request head is answered with an error after
// the responses to earlier requests. An idle connection closes after its
// timeout without an error response.
#[test]
fn malformed_large_and_slow_heads_are_refused() {
    System::new().block_on(async {
        let timeouts = ListenerTimeouts {
            head: Duration::from_millis(150),
            idle: Duration::from_millis(400),
        };
        let listener = listener(DelayedHandler::default(), timeouts);
        let large = [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'y'; 300_000]].concat();
        let conflicting = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let cases = [
            (b"GET /a b c\r\n\r\n".to_vec(), "HTTP/1.1 400"),
            (conflicting.to_vec(), "HTTP/1.1 400"),
            (large, "HTTP/1.1 431"),
            (b"GET /slow HTTP/1.1\r\nhost:".to_vec(), "HTTP/1.1 408"),
        ];
        for (sent, expected) in cases {
            let mut caller = TcpStream::connect(listener.address()).await.unwrap();
            let pipelined = [get("/first/20"), sent].concat();
            // A large head may be refused before it is completely written.
            let _ = caller.write_all(&pipelined).await;
            let text = read_responses(&mut caller, 2).await;
            assert!(text.starts_with("HTTP/1.1 200"), "{expected}: {text}");
            assert!(text.contains(expected), "{expected}: {text}");
        }
        let mut idle = TcpStream::connect(listener.address()).await.unwrap();
        idle.write_all(&get("/idle/1")).await.unwrap();
        assert_eq!(
            response_lines(&read_responses(&mut idle, 1).await),
            ["/idle/1 0"]
        );
        let started = Instant::now();
        assert_eq!(idle.read(&mut [0; 8]).await.unwrap(), 0);
        assert!(started.elapsed() >= Duration::from_millis(300));
    });
}

// The connection closes after the response to an HTTP/1.0 request or to one
// with `connection: close`.
#[test]
fn a_connection_closes_at_the_callers_request() {
    System::new().block_on(async {
        let listener = listener(DelayedHandler::default(), default_timeouts());
        for last in [
            "GET /x/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            "GET /x/1 HTTP/1.0\r\nhost: a\r\n\r\n",
        ] {
            let mut caller = TcpStream::connect(listener.address()).await.unwrap();
            caller.write_all(last.as_bytes()).await.unwrap();
            let mut text = String::new();
            caller.read_to_string(&mut text).await.unwrap();
            assert_eq!(response_lines(&text), ["/x/1 0"]);
        }
    });
}

/// Answers with the number of chunks in which the request body arrived.
struct ChunkCountHandler;

impl HttpHandler for ChunkCountHandler {
    fn handle(&self, mut request: Request) -> ReplyFuture {
        Box::pin(async move {
            let mut payload = request.take_payload();
            let mut chunks = 0;
            while let Some(Ok(_)) = payload.next().await {
                chunks += 1;
            }
            http_reply::text(StatusCode::OK, format!("/{chunks}"))
        })
    }
}

// A body of one megabyte that is read 64 bytes at a time costs a read call here
// and a write call to the next node for each chunk, and the node spends its CPU
// time on system calls.
#[test]
fn a_large_body_is_read_in_large_chunks() {
    System::new().block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = std::net::TcpListener::bind(any).unwrap();
        let (_, timeouts) = watch::channel(default_timeouts());
        let handler = Rc::new(ChunkCountHandler);
        let listener =
            HttpListener::spawn_pipelined(socket, 1, handler, timeouts).unwrap();
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let body = vec![b's'; 1024 * 1024];
        let head = format!(
            "POST /sale HTTP/1.1\r\nhost: a.example\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let request = [head.into_bytes(), body].concat();
        caller.write_all(&request).await.unwrap();
        let text = read_responses(&mut caller, 1).await;
        let chunks = response_lines(&text)[0]
            .trim_start_matches('/')
            .parse::<u32>();
        assert!(
            chunks.clone().is_ok_and(|chunks| chunks <= 256),
            "{chunks:?}"
        );
    });
}

// A caller sends a malformed request and shuts down its sending side. The error
// response must be sent before the end of the input closes the connection.
#[test]
fn a_ready_response_is_sent_before_the_end_of_input_is_handled() {
    System::new().block_on(async {
        let listener = listener(DelayedHandler::default(), default_timeouts());
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

// Guards against a connection that keeps the processor busy while a ready response waits
// for the body of the one before it.
#[test]
fn a_ready_response_behind_a_slow_body_waits_without_polling() {
    System::new().block_on(async {
        let polls = Rc::new(Cell::new(0));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = std::net::TcpListener::bind(any).unwrap();
        let (_, timeouts) = watch::channel(default_timeouts());
        let handler = Rc::new(SlowBodyHandler(Rc::clone(&polls)));
        let listener =
            HttpListener::spawn_pipelined(socket, 1, handler, timeouts).unwrap();
        let mut caller = TcpStream::connect(listener.address()).await.unwrap();
        let requests = [get("/slow"), get("/ready")].concat();
        caller.write_all(&requests).await.unwrap();
        let answers = read_responses(&mut caller, 2).await;
        assert!(answers.contains("/slow") && answers.contains("/ready"));
        assert!(polls.get() < 10, "polled {} times", polls.get());
    });
}

// Guards against a request that holds a processor for as long as its sender wants: a
// chunk extension, the zeros of a chunk's size or trailers without end.
#[test]
fn a_request_body_without_content_ends_soon() {
    for (case, start, repeated) in [
        ("extension", "1;", "name=value;"),
        ("zeros", "", "0"),
        ("trailers", "0\r\n", "name: value\r\n"),
    ] {
        System::new().block_on(async {
            let listener = listener(DelayedHandler::default(), default_timeouts());
            let mut stream = TcpStream::connect(listener.address()).await.unwrap();
            let head = "POST /sale HTTP/1.1\r\nhost: a.example\r\ntransfer-encoding: chunked\r\n\r\n";
            let block = repeated.repeat(1 + 4_096 / repeated.len());
            let started = Instant::now();
            let mut next = format!("{head}{start}");
            let mut sent = 0;
            while stream.write_all(next.as_bytes()).await.is_ok() {
                sent += next.len();
                next.clone_from(&block);
                let took = started.elapsed();
                assert!(took < Duration::from_secs(2), "{case}: read for {took:?}");
                assert!(sent < 32 * 1024 * 1024, "{case}: {sent} bytes are read");
            }
        });
    }
}
