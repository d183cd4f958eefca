//! Calls to the next hop: whose answer is whose, and when a connection may
//! be used again.

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

const LEFT: Duration = Duration::from_secs(5);

/// A connection on loopback that takes this long is not taken at all.
const FULL_AFTER: Duration = Duration::from_millis(200);

/// What the server writes for each request, in order, and whether it ends
/// the connection after it.
type Script = Vec<(String, bool)>;

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
    /// Answers each connection's requests by `script`, begun anew for each.
    async fn spawn(script: Script) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = TcpListener::bind(any).await.expect("a free port");
        let address = socket.local_addr().expect("its address");
        let log = Rc::new(RefCell::new(ServerLog::default()));
        let held = Rc::clone(&log);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                held.borrow_mut().connections += 1;
                actix_rt::spawn(serve(stream, script.clone(), Rc::clone(&held)));
            }
        });
        Self { address, log }
    }

    fn connections(&self) -> usize {
        self.log.borrow().connections
    }
}

async fn serve(mut stream: TcpStream, script: Script, log: Rc<RefCell<ServerLog>>) {
    for (answer, ends) in script {
        let mut head = Vec::new();
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read_buf(&mut head).await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        log.borrow_mut().received.extend_from_slice(&head);
        if stream.write_all(answer.as_bytes()).await.is_err() || ends {
            return;
        }
    }
    let _ = stream.read_u8().await;
}

fn answer(id: &str, body: &str) -> String {
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
    }
}

async fn send(
    pools: &CallPools,
    address: SocketAddr,
    id: &str,
) -> Result<HopResponse, TryFailure> {
    let mut body = CallBody::Held(Bytes::new());
    pools.send(address, &request(id), &mut body, LEFT).await
}

async fn whole(answer: Result<HopResponse, TryFailure>) -> String {
    let Ok(mut answer) = answer else {
        panic!("no answer");
    };
    let held = answer.body.buffer(1_000_000).await.expect("it is whole");
    assert!(held);
    String::from_utf8(answer.body.buffered().to_vec()).expect("text")
}

// A server answers a request a second time, after the next one has been sent
// on the connection. Passed on, its caller would read somebody else's data.
#[test]
fn a_second_answer_to_an_earlier_request_is_dropped() {
    System::new().block_on(async {
        let late = answer("1", "stranger") + &answer("2", "own");
        let script = vec![(answer("1", "first"), false), (late, false)];
        let server = ScriptedServer::spawn(script).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(whole(first).await, "first");
        let second = send(&pools, server.address, "2").await;
        assert_eq!(whole(second).await, "own");
        assert_eq!(server.connections(), 1);
    });
}

// A server sends more bytes behind a whole answer. They belong to no request,
// so the connection carries none any more.
#[test]
fn bytes_behind_an_answer_end_the_connection() {
    System::new().block_on(async {
        let script = vec![(answer("1", "first") + "and some more", false)];
        let server = ScriptedServer::spawn(script).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(whole(first).await, "first");
        let again = send(&pools, server.address, "1").await;
        assert_eq!(whole(again).await, "first");
        assert_eq!(server.connections(), 2);
    });
}

// An answer without a stated length ends with its connection. Taken for one
// without a body, its caller would get an empty answer that looks complete.
#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    System::new().block_on(async {
        let unframed = "HTTP/1.1 200 OK\r\ncowslip-request-id: 1\r\n\r\nto the end";
        let server = ScriptedServer::spawn(vec![(unframed.to_owned(), true)]).await;
        let pools = CallPools::new();
        let first = send(&pools, server.address, "1").await;
        assert_eq!(whole(first).await, "to the end");
    });
}

// A server dies in the middle of its answer. What had come is a part, and
// must not pass for the whole.
#[test]
fn an_answer_cut_short_is_no_whole_answer() {
    System::new().block_on(async {
        let cut = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\na part";
        let server = ScriptedServer::spawn(vec![(cut.to_owned(), true)]).await;
        let pools = CallPools::new();
        let Ok(mut answer) = send(&pools, server.address, "1").await else {
            panic!("its head had come");
        };
        assert!(answer.body.buffer(1_000).await.is_err());
    });
}

// A server answers a long body before it has read it, and keeps the
// connection. The next request's bytes would be taken for the body's rest.
#[test]
fn an_early_answer_ends_the_connection() {
    System::new().block_on(async {
        let server = ScriptedServer::spawn(vec![(answer("1", "too long"), false)]).await;
        let pools = CallPools::new();
        let mut body = CallBody::Held(Bytes::from(vec![b'x'; 32 * 1024 * 1024]));
        let mut long = request("1");
        long.method = Method::POST;
        let sending = pools.send(server.address, &long, &mut body, LEFT);
        assert_eq!(whole(sending.await).await, "too long");
        let next = send(&pools, server.address, "1").await;
        assert_eq!(whole(next).await, "too long");
        assert_eq!(server.connections(), 2);
    });
}

// A server closes kept connections while they are idle. A request must not
// be lost on one that is known to be closed.
#[test]
fn a_closed_connection_is_not_used_again() {
    System::new().block_on(async {
        let server = ScriptedServer::spawn(vec![(answer("1", "first"), true)]).await;
        let pools = CallPools::new();
        for _ in 0..5 {
            let answered = send(&pools, server.address, "1").await;
            assert_eq!(whole(answered).await, "first");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(server.connections(), 5);
    });
}

// Nothing listens: the request cannot have run, and its caller may be told.
// A server that closes without an answer may have run it.
#[test]
fn only_a_request_that_was_not_sent_has_not_run() {
    System::new().block_on(async {
        let pools = CallPools::new();
        let unused = {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let socket = TcpListener::bind(any).await.expect("a free port");
            socket.local_addr().expect("its address")
        };
        let refused = send(&pools, unused, "1").await.err();
        let connect = TryFailure {
            verdict: CallVerdict::NotRun,
            reason: RefusalReason::ConnectFailed,
        };
        assert_eq!(refused, Some(connect));
        let server = ScriptedServer::spawn(vec![(String::new(), true)]).await;
        let broken = send(&pools, server.address, "1").await.err();
        let broken_off = TryFailure {
            verdict: CallVerdict::MayHaveRun,
            reason: RefusalReason::ConnectionBroken,
        };
        assert_eq!(broken, Some(broken_off));
    });
}

// A machine loses its power while its server is in the directory: nothing
// answers there, not even a refusal. Each call sent there is a call that
// another server could have answered meanwhile.
#[test]
fn a_machine_that_answers_nothing_is_given_up_soon() {
    System::new().block_on(async {
        // A listener whose queue of new connections is full drops what comes,
        // as a machine without power does.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).expect("a free port");
        socket.listen(0).expect("a queue");
        let address = socket.local_addr().expect("its address");
        let address = address.as_socket().expect("an IP number");
        let mut filled = Vec::new();
        loop {
            let connecting = TcpStream::connect(address);
            let connected = actix_rt::time::timeout(FULL_AFTER, connecting).await;
            let Ok(stream) = connected else {
                break;
            };
            filled.push(stream.expect("a place in the queue"));
        }
        let pools = CallPools::new();
        let began = Instant::now();
        let refused = send(&pools, address, "1").await.err().expect("no answer");
        assert_eq!(refused.reason, RefusalReason::ConnectFailed);
        assert_eq!(refused.verdict, CallVerdict::NotRun);
        let took = began.elapsed();
        assert!(took < Duration::from_millis(450), "{took:?}");
    });
}
