//! Requests to the next hop: which response belongs to which request, and when
//! a connection may be reused.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::Method;
use actix_http::Uri;
use actix_rt::System;
use bytes::Bytes;
use bytes::BytesMut;
use proptest::prelude::*;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cowslip_core::entry_router::TryFailure;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_node::call_forward::CallBody;
use cowslip_node::call_pools::CallPools;
use cowslip_node::hop::HopRequest;
use cowslip_node::hop::HopResponse;

const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection attempt on loopback that takes this long will not be accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(200);

/// Responses of the server, in order, and whether it closes the connection after
/// each.
type Script = Vec<(Vec<u8>, bool)>;

#[derive(Default)]
struct ServerLog {
    connections: usize,
    received: Vec<u8>,
}

struct ScriptedServer {
    address: SocketAddr,
    log: Rc<RefCell<ServerLog>>,
}

impl ScriptedServer {
    /// Answers the requests of each connection from the start of `script`.
    async fn spawn(script: Vec<(String, bool)>) -> Self {
        let script = script.into_iter();
        let script = script.map(|(text, closes)| (text.into_bytes(), closes));
        Self::spawn_bytes(script.collect()).await
    }

    async fn spawn_bytes(script: Script) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = TcpListener::bind(any).await.expect("a free port");
        let address = socket.local_addr().expect("its address");
        let log = Rc::new(RefCell::new(ServerLog::default()));
        let shared_log = Rc::clone(&log);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                shared_log.borrow_mut().connections += 1;
                actix_rt::spawn(serve(stream, script.clone(), Rc::clone(&shared_log)));
            }
        });
        Self { address, log }
    }

    fn connections(&self) -> usize {
        self.log.borrow().connections
    }
}

async fn serve(mut stream: TcpStream, script: Script, log: Rc<RefCell<ServerLog>>) {
    for (response, closes) in script {
        let mut head = Vec::new();
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read_buf(&mut head).await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        log.borrow_mut().received.extend_from_slice(&head);
        if stream.write_all(&response).await.is_err() || closes {
            return;
        }
    }
    let _ = stream.read_u8().await;
}

fn response(id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncowslip-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn request(id: &str) -> HopRequest {
    let request_id_header = HeaderName::from_static("cowslip-request-id");
    let mut headers = HeaderMap::new();
    headers.insert(
        request_id_header.clone(),
        HeaderValue::from_str(id).expect("an id"),
    );
    HopRequest {
        method: Method::GET,
        target: Uri::from_static("/sheets"),
        headers,
        request_id_header,
        echo_required: true,
        observer: None,
    }
}

async fn send(
    pools: &CallPools,
    address: SocketAddr,
    id: &str,
) -> Result<HopResponse, TryFailure> {
    let mut body = CallBody::Buffered(Bytes::new());
    pools
        .send(address, &request(id), &mut body, TRY_TIMEOUT)
        .await
}

async fn read_all(response: Result<HopResponse, TryFailure>) -> String {
    let Ok(mut response) = response else {
        panic!("no response");
    };
    let complete = response
        .body
        .buffer(1_000_000)
        .await
        .expect("a complete body");
    assert!(complete);
    String::from_utf8(response.body.buffered().to_vec()).expect("text")
}

// Guards against passing on a late second response to an earlier request: the
// caller of the next request on the connection would get somebody else's data.
#[test]
fn a_late_second_response_is_dropped() {
    System::new().block_on(async {
        let late = response("1", "stranger") + &response("2", "own");
        let script = vec![(response("1", "first"), false), (late, false)];
        let server = ScriptedServer::spawn(script).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(read_all(first).await, "first");
        let second = send(&pools, server.address, "2").await;
        assert_eq!(read_all(second).await, "own");
        assert_eq!(server.connections(), 1);
    });
}

// Guards against passing on further bytes that look like a response but echo no
// request ID, and against using a connection again on which they came.
#[test]
fn a_response_without_an_id_is_not_the_next_requests() {
    System::new().block_on(async {
        let foreign = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nstranger";
        let late = foreign.to_owned() + &response("2", "own");
        let script = vec![(response("1", "first"), false), (late, false)];
        let server = ScriptedServer::spawn(script).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(read_all(first).await, "first");
        let second = send(&pools, server.address, "2").await;
        assert_eq!(read_all(second).await, "own");
        let third = send(&pools, server.address, "1").await;
        assert_eq!(read_all(third).await, "first");
        assert_eq!(server.connections(), 2);
    });
}

// Guards against taking the late response to an earlier request for the response
// to a request without an ID, such as a check of the health page.
#[test]
fn a_late_response_does_not_answer_a_request_without_an_id() {
    System::new().block_on(async {
        let own = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";
        let late = response("1", "stranger") + own;
        let script = vec![(response("1", "first"), false), (late, false)];
        let server = ScriptedServer::spawn(script).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(read_all(first).await, "first");
        let mut check = request("1");
        check.headers.clear();
        let mut body = CallBody::Buffered(Bytes::new());
        let sending = pools.send(server.address, &check, &mut body, TRY_TIMEOUT);
        assert_eq!(read_all(sending.await).await, "own");
    });
}

// Guards against dropping the response to a request without an ID, such as a check
// of the health page, because the server echoes an empty ID.
#[test]
fn an_empty_id_answers_a_request_without_one() {
    System::new().block_on(async {
        let server = ScriptedServer::spawn(vec![(response("", "own"), false)]).await;
        let pools = CallPools::new();
        let mut check = request("1");
        check.headers.clear();
        let mut body = CallBody::Buffered(Bytes::new());
        let sending = pools.send(server.address, &check, &mut body, TRY_TIMEOUT);
        assert_eq!(read_all(sending.await).await, "own");
    });
}

// Guards against requiring an ID of servers that are not said to echo it.
#[test]
fn a_server_need_not_echo_an_id_unless_it_is_required() {
    System::new().block_on(async {
        let plain = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nplain";
        let server = ScriptedServer::spawn(vec![(plain.to_owned(), false)]).await;
        let pools = CallPools::new();
        let mut lenient = request("1");
        lenient.echo_required = false;
        let mut body = CallBody::Buffered(Bytes::new());
        let sending = pools.send(server.address, &lenient, &mut body, TRY_TIMEOUT);
        assert_eq!(read_all(sending.await).await, "plain");
    });
}

// Guards against reusing a connection on which the server sent bytes after a
// complete response. They belong to no request.
#[test]
fn a_connection_with_extra_bytes_is_not_reused() {
    System::new().block_on(async {
        let script = vec![(response("1", "first") + "and some more", false)];
        let server = ScriptedServer::spawn(script).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(read_all(first).await, "first");
        let second = send(&pools, server.address, "1").await;
        assert_eq!(read_all(second).await, "first");
        assert_eq!(server.connections(), 2);
    });
}

// Guards against treating a response without a stated length as one without a
// body: the caller would get an empty response that looks complete.
#[test]
fn a_response_without_a_length_is_read_until_close() {
    System::new().block_on(async {
        let unframed = "HTTP/1.1 200 OK\r\ncowslip-request-id: 1\r\n\r\nto the end";
        let server = ScriptedServer::spawn(vec![(unframed.to_owned(), true)]).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(read_all(first).await, "to the end");
    });
}

// Guards against treating a truncated response as complete after the server died
// while it was sending it.
#[test]
fn a_truncated_response_is_an_error() {
    System::new().block_on(async {
        let cut = "HTTP/1.1 200 OK\r\ncowslip-request-id: 1\r\ncontent-length: 100\r\n\r\na part";
        let server = ScriptedServer::spawn(vec![(cut.to_owned(), true)]).await;
        let pools = CallPools::new();
        let Ok(mut response) = send(&pools, server.address, "1").await else {
            panic!("no response head");
        };
        assert!(response.body.buffer(1_000).await.is_err());
    });
}

// Guards against reusing a connection after a server responded before it had
// read a long body: it would read the next request as the rest of that body.
#[test]
fn a_connection_is_not_reused_after_an_early_response() {
    System::new().block_on(async {
        let server =
            ScriptedServer::spawn(vec![(response("1", "too long"), false)]).await;
        let pools = CallPools::new();
        let mut body = CallBody::Buffered(Bytes::from(vec![b'x'; 32 * 1024 * 1024]));
        let mut long = request("1");
        long.method = Method::POST;
        let sending = pools.send(server.address, &long, &mut body, TRY_TIMEOUT);
        assert_eq!(read_all(sending.await).await, "too long");
        let next = send(&pools, server.address, "1").await;
        assert_eq!(read_all(next).await, "too long");
        assert_eq!(server.connections(), 2);
    });
}

// Guards against losing a request on an idle connection that the server has
// closed.
#[test]
fn a_closed_connection_is_not_reused() {
    System::new().block_on(async {
        let server = ScriptedServer::spawn(vec![(response("1", "first"), true)]).await;
        let pools = CallPools::new();
        for _ in 0..5 {
            let answered = send(&pools, server.address, "1").await;
            assert_eq!(read_all(answered).await, "first");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(server.connections(), 5);
    });
}

// Guards against a wrong verdict. If nothing listens, the request cannot have
// run; a server that closes the connection without a response may have run it.
#[test]
fn only_an_unsent_request_is_reported_as_not_run() {
    System::new().block_on(async {
        let pools = CallPools::new();
        let unused = {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let socket = TcpListener::bind(any).await.expect("a free port");
            socket.local_addr().expect("its address")
        };
        let refused = send(&pools, unused, "1").await.err();
        let connect_failed = TryFailure {
            verdict: CallVerdict::NotRun,
            reason: RefusalReason::ConnectFailed,
        };
        assert_eq!(refused, Some(connect_failed));
        let server = ScriptedServer::spawn(vec![(String::new(), true)]).await;
        let broken = send(&pools, server.address, "1").await.err();
        let connection_broken = TryFailure {
            verdict: CallVerdict::MayHaveRun,
            reason: RefusalReason::ConnectionBroken,
        };
        assert_eq!(broken, Some(connection_broken));
    });
}

// Guards against waiting long for a machine that lost power while its server is
// still in the directory. Nothing answers there, not even with a refusal, and
// another server could answer the call meanwhile.
#[test]
fn connecting_to_an_unresponsive_machine_fails_soon() {
    System::new().block_on(async {
        // A listener with a full accept queue drops new connections, as a machine
        // without power does.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("a queue");
        let address = socket.local_addr().expect("its address");
        let address = address.as_socket().expect("an IP address");
        let mut filled = Vec::new();
        loop {
            let connecting = TcpStream::connect(address);
            let connected = actix_rt::time::timeout(ACCEPT_TIMEOUT, connecting).await;
            let Ok(stream) = connected else {
                break;
            };
            filled.push(stream.expect("a place in the queue"));
        }
        let pools = CallPools::new();
        let began = Instant::now();
        let refused = send(&pools, address, "1").await.err().expect("no response");
        assert_eq!(refused.reason, RefusalReason::ConnectFailed);
        assert_eq!(refused.verdict, CallVerdict::NotRun);
        let took = began.elapsed();
        assert!(took < Duration::from_millis(450), "{took:?}");
    });
}

/// Bytes that are not the response to a request of this test: arbitrary ones, and
/// responses to other requests or to none, whole or cut.
fn foreign_bytes() -> impl Strategy<Value = Vec<u8>> {
    let id = prop_oneof![
        Just(String::new()),
        Just("cowslip-request-id: 77\r\n".to_owned()),
    ];
    let framing = prop_oneof![
        Just("content-length: 8\r\n\r\nstranger"),
        Just("content-length: 3\r\n\r\nstranger"),
        Just("content-length: 80\r\n\r\nstranger"),
        Just("transfer-encoding: chunked\r\n\r\n8\r\nstranger\r\n0\r\n\r\n"),
        Just("transfer-encoding: chunked\r\n\r\n8\r\nstranger\r\n"),
        Just("\r\nstranger"),
    ];
    let status = prop_oneof![
        Just("200 OK"),
        Just("503 Busy"),
        Just("204 Empty"),
        Just("100 Continue"),
    ];
    let whole = (status, id, framing)
        .prop_map(|(status, id, framing)| format!("HTTP/1.1 {status}\r\n{id}{framing}"));
    let cut = (whole.clone(), any::<prop::sample::Index>()).prop_map(|(text, end)| {
        let end = end.index(text.len());
        text[..end].to_owned()
    });
    prop_oneof![
        2 => Just(Vec::new()),
        2 => prop::collection::vec(any::<u8>(), 1..40),
        4 => whole.prop_map(String::into_bytes),
        2 => cut.prop_map(String::into_bytes),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Guards against a caller that gets the body of another response, whatever
    // bytes come before, between and after the true ones.
    #[test]
    fn no_request_gets_a_body_that_is_not_its_own(
        foreign in prop::collection::vec((foreign_bytes(), foreign_bytes()), 4),
    ) {
        System::new().block_on(async {
            let mut script = Vec::new();
            for (number, (before, after)) in foreign.into_iter().enumerate() {
                let own = response(&number.to_string(), &format!("own {number}"));
                script.push(([before, own.into_bytes(), after].concat(), false));
            }
            let count = script.len();
            let server = ScriptedServer::spawn_bytes(script).await;
            let pools = CallPools::new();
            for number in 0..count {
                // A new connection starts with the first response again, which
                // belongs to another request.
                let id = number.to_string();
                let mut body = CallBody::Buffered(Bytes::new());
                let sent = request(&id);
                let limit = Duration::from_millis(30);
                let sending = pools.send(server.address, &sent, &mut body, limit);
                let Ok(mut response) = sending.await else {
                    continue;
                };
                let reading = response.body.buffer(1_000);
                let read = actix_rt::time::timeout(limit, reading).await;
                if !matches!(read, Ok(Ok(true))) {
                    continue;
                }
                assert_eq!(response.body.buffered(), format!("own {number}").as_bytes());
            }
        });
    }
}

/// Starts a server that answers a request with `start` and then `repeated` without end;
/// returns its address and how many bytes it has sent.
async fn spawn_endless(start: String, repeated: &str) -> (SocketAddr, Rc<Cell<usize>>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = TcpListener::bind(any).await.expect("a free port");
    let address = socket.local_addr().expect("its address");
    let sent = Rc::new(Cell::new(0));
    let counter = Rc::clone(&sent);
    let block = repeated.repeat(1 + 4_096 / repeated.len());
    actix_rt::spawn(async move {
        let (mut stream, _) = socket.accept().await.expect("a connection");
        let mut head = BytesMut::new();
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut head).await.expect("a request");
        }
        let mut next = start;
        while stream.write_all(next.as_bytes()).await.is_ok() {
            counter.set(counter.get() + next.len());
            next.clone_from(&block);
        }
    });
    (address, sent)
}

/// Most bytes that a server sends before it is left: what is read without content, and
/// what the buffers of both sockets take.
const SENT_BYTES_MAX: usize = 8 * 1024 * 1024;

// Guards against a call that holds a processor for as long as its caller waits, because
// a server in trouble sends bytes without end that are valid and carry no answer.
#[test]
fn bytes_without_content_end_an_exchange_soon() {
    let whole = "HTTP/1.1 200 OK\r\ncowslip-request-id: 1\r\n";
    let chunked = format!("{whole}transfer-encoding: chunked\r\n\r\n");
    let foreign = "HTTP/1.1 200 OK\r\ncowslip-request-id: 0\r\n";
    let cases = [
        ("noise", String::new(), "x"),
        ("fields", whole.to_owned(), "name: value\r\n"),
        ("interim", String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("extension", format!("{chunked}1;"), "name=value;"),
        ("zeros", chunked.clone(), "0"),
        ("trailers", format!("{chunked}0\r\n"), "name: value\r\n"),
        (
            "late",
            String::new(),
            "HTTP/1.1 200 OK\r\ncowslip-request-id: 0\r\ncontent-length: 2\r\n\r\nno",
        ),
        (
            "late-body",
            format!("{foreign}transfer-encoding: chunked\r\n\r\n"),
            "5\r\nhello\r\n",
        ),
    ];
    for (case, start, repeated) in cases {
        System::new().block_on(async {
            let (address, sent) = spawn_endless(start, repeated).await;
            let pools = CallPools::new();
            let started = Instant::now();
            let ended = match send(&pools, address, "1").await {
                Ok(mut response) => response.body.buffer(1_000).await.is_err(),
                Err(_) => true,
            };
            assert!(ended, "{case}: it has no end");
            let took = started.elapsed();
            assert!(took < TRY_TIMEOUT / 5, "{case}: ended after {took:?}");
            assert!(sent.get() < SENT_BYTES_MAX, "{case}: {} bytes", sent.get());
        });
    }
}

// Guards against a sound body that is taken for bytes without content: one byte a chunk.
#[test]
fn a_body_in_small_chunks_is_read_to_its_end() {
    System::new().block_on(async {
        let mut answer = "HTTP/1.1 200 OK\r\ncowslip-request-id: 1\r\n".to_owned();
        answer += "transfer-encoding: chunked\r\n\r\n";
        answer += &"1\r\nx\r\n".repeat(100_000);
        answer += "0\r\n\r\n";
        let server = ScriptedServer::spawn(vec![(answer, false)]).await;
        let pools = CallPools::new();
        let response = send(&pools, server.address, "1").await;
        assert_eq!(read_all(response).await.len(), 100_000);
    });
}
