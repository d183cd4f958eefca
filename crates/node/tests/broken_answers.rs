//! Responses of a server in trouble: only one that is whole and valid HTTP is passed
//! on.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::Method;
use actix_http::Uri;
use actix_rt::System;
use bytes::Bytes;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cowslip_node::call_forward::CallBody;
use cowslip_node::call_pools::CallPools;
use cowslip_node::hop::HopRequest;

const TRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts at a failure that depends on which of two events is handled first.
const RACE_ATTEMPTS: usize = 20;

/// Length of a request body that does not fit in the sockets' buffers, in bytes.
const UPLOAD_BYTES: usize = 32 * 1024 * 1024;

/// How the server ends a connection after its response.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// Closes its side and reads on until the other side closes.
    Close,
    /// Resets the connection.
    Reset,
    /// Waits for the other side to close.
    Keep,
}

/// Starts a server that reads the head of a request, sends `answer` and ends the
/// connection.
async fn spawn_server(answer: Vec<u8>, end: ConnectionEnd) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = TcpListener::bind(any).await.expect("a free port");
    let address = socket.local_addr().expect("its address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = socket.accept().await {
            actix_rt::spawn(serve(stream, answer.clone(), end));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: Vec<u8>, end: ConnectionEnd) {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read_buf(&mut head).await {
            Ok(read) if read > 0 => {}
            _ => return,
        }
    }
    // The other side may leave before the whole answer is sent.
    let _ = stream.write_all(&answer).await;
    match end {
        ConnectionEnd::Close => {
            let _ = stream.shutdown().await;
        }
        ConnectionEnd::Reset => {
            // Closing with unread bytes resets the connection, too, but not when
            // all of them happen to be read.
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("it is set");
            return;
        }
        ConnectionEnd::Keep => {}
    }
    let mut rest = vec![0; 64 * 1024];
    while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
}

fn request(method: Method) -> HopRequest {
    let request_id_header = HeaderName::from_static("cowslip-request-id");
    let mut headers = HeaderMap::new();
    headers.insert(request_id_header.clone(), HeaderValue::from_static("1"));
    HopRequest {
        method,
        target: Uri::from_static("/sheets"),
        headers,
        request_id_header,
        echo_required: true,
        observer: None,
    }
}

/// What a caller of the hop client got: status and whole body, or none.
type CallOutcome = Option<(u16, Vec<u8>)>;

async fn call(server: SocketAddr, method: Method, upload: Bytes) -> CallOutcome {
    let pools = CallPools::new();
    let mut body = CallBody::Buffered(upload);
    let request = request(method);
    let sending = pools.send(server, &request, &mut body, TRY_TIMEOUT);
    let mut response = sending.await.ok()?;
    let whole = response.body.buffer(usize::MAX).await.ok()?;
    let body = response.body.buffered().to_vec();
    whole.then_some((response.head.status.as_u16(), body))
}

/// Sends a GET request to a server that gives `answer`.
async fn outcome_of(answer: impl Into<Vec<u8>>, end: ConnectionEnd) -> CallOutcome {
    let server = spawn_server(answer.into(), end).await;
    let calling = call(server, Method::GET, Bytes::new());
    actix_rt::time::timeout(TRY_TIMEOUT, calling)
        .await
        .expect("it ends in time")
}

/// A response with `lines` in its head, and `body`.
fn answer(lines: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncowslip-request-id: 1\r\n{lines}\r\n{body}")
}

// Guards against a part of a body that looks whole: the server answers an upload
// without a length and resets the connection, and writing takes the socket's error.
#[test]
fn a_reset_during_an_upload_does_not_end_a_body() {
    System::new().block_on(async {
        let part = answer("", "a part of the body");
        let server = spawn_server(part.into_bytes(), ConnectionEnd::Reset).await;
        for _ in 0..RACE_ATTEMPTS {
            let upload = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
            let outcome = call(server, Method::POST, upload).await;
            assert_eq!(outcome, None, "a reset connection ended a body");
        }
    });
}

// Guards against refusing a whole answer to an upload that the server does not read.
#[test]
fn a_close_ends_the_body_of_an_early_answer() {
    System::new().block_on(async {
        let whole = answer("", "too long");
        let server = spawn_server(whole.into_bytes(), ConnectionEnd::Close).await;
        let upload = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
        let outcome = call(server, Method::POST, upload).await;
        assert_eq!(outcome, Some((200, b"too long".to_vec())));
    });
}

// Guards against a part of a body that looks whole because its connection ended.
#[test]
fn an_answer_that_ends_early_is_a_failure() {
    System::new().block_on(async {
        for (lines, body, end) in [
            ("content-length: 10\r\n", "a part", ConnectionEnd::Close),
            ("content-length: 10\r\n", "a part", ConnectionEnd::Reset),
            ("content-length: 10\r\n", "", ConnectionEnd::Close),
            ("", "a part", ConnectionEnd::Reset),
            ("", "", ConnectionEnd::Reset),
        ] {
            let outcome = outcome_of(answer(lines, body), end).await;
            assert_eq!(outcome, None, "{lines:?} {body:?}");
        }
        for cut in [
            "",
            "HTTP/1.1 2",
            "HTTP/1.1 200 OK\r\ncowslip-request-id: 1\r\n",
        ] {
            let outcome = outcome_of(cut, ConnectionEnd::Close).await;
            assert_eq!(outcome, None, "{cut:?}");
        }
    });
}

// Guards against waiting for the body of an answer to HEAD.
#[test]
fn an_answer_to_head_has_no_body() {
    System::new().block_on(async {
        for lines in [
            "content-length: 3\r\n",
            "transfer-encoding: chunked\r\n",
            "",
        ] {
            let server =
                spawn_server(answer(lines, "").into_bytes(), ConnectionEnd::Keep).await;
            let outcome = call(server, Method::HEAD, Bytes::new()).await;
            assert_eq!(outcome, Some((200, Vec::new())), "{lines:?}");
        }
    });
}
