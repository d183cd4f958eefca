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

/// Heads that are no valid HTTP, by what is wrong with them.
fn broken_heads() -> Vec<(&'static str, Vec<u8>)> {
    let id = "cowslip-request-id: 1\r\n";
    let mut heads = Vec::new();
    for (case, line) in [
        ("status 000", "HTTP/1.1 000 OK"),
        ("status 099", "HTTP/1.1 099 OK"),
        ("status 600", "HTTP/1.1 600 OK"),
        ("status 999", "HTTP/1.1 999 OK"),
        ("a status of two digits", "HTTP/1.1 20 OK"),
        ("a status of four digits", "HTTP/1.1 2000 OK"),
        ("a signed status", "HTTP/1.1 +20 OK"),
        ("a status with a letter", "HTTP/1.1 2o0 OK"),
        ("no status", "HTTP/1.1"),
        ("another version", "HTTP/3.1 200 OK"),
        ("a spoilt version", "HTTP/1.x 200 OK"),
        ("another protocol", "HTCP/1.1 200 OK"),
        ("a version in lower case", "http/1.1 200 OK"),
        ("a tab in the status line", "HTTP/1.1\t200 OK"),
        ("a reason with a control byte", "HTTP/1.1 200 O\x01K"),
        ("a reason with DEL", "HTTP/1.1 200 O\x7fK"),
        ("an empty line before it", "\r\nHTTP/1.1 200 OK"),
        ("an unasked upgrade", "HTTP/1.1 101 Switching Protocols"),
    ] {
        heads.push((case, format!("{line}\r\n{id}content-length: 3\r\n\r\nown")));
    }
    for (case, line) in [
        ("a line without a colon", "content-length 3"),
        ("a line of noise", "\x1b[31mnoise"),
        ("an empty name", ": 3"),
        ("a blank before the colon", "content-length : 3"),
        ("a tab before the colon", "content-length\t: 3"),
        ("a blank in a name", "content length: 3"),
        ("a control byte in a name", "content\x01length: 3"),
        ("a NUL in a name", "content\0length: 3"),
        ("DEL in a name", "content\x7flength: 3"),
        ("a separator in a name", "content/length: 3"),
        ("a folded line", "x-note: one\r\n two"),
        ("a blank before a name", " content-length: 3"),
        ("a control byte in a value", "x-note: \x01"),
        ("a NUL in a value", "x-note: a\0b"),
        ("DEL in a value", "x-note: a\x7fb"),
        ("a bare CR in a value", "x-note: a\rb"),
        ("a bare LF", "x-note: a\ncontent-length: 3"),
    ] {
        heads.push((case, answer(&format!("{line}\r\n"), "own")));
        heads.push((
            case,
            answer(&format!("{line}\r\ncontent-length: 3\r\n"), "own"),
        ));
    }
    for (case, lines) in [
        ("a length with a sign", "content-length: +3\r\n"),
        ("a negative length", "content-length: -3\r\n"),
        ("a length with a letter", "content-length: 3x\r\n"),
        ("a length with a blank", "content-length: 3 3\r\n"),
        ("a length of a fraction", "content-length: 3.0\r\n"),
        ("a hexadecimal length", "content-length: 0x3\r\n"),
        ("an empty length", "content-length:\r\n"),
        ("a length with a control byte", "content-length: 3\x02\r\n"),
        (
            "a length that is too large",
            "content-length: 18446744073709551616\r\n",
        ),
        ("two lengths", "content-length: 3\r\ncontent-length: 2\r\n"),
        ("two lengths in a line", "content-length: 3, 2\r\n"),
        ("an unknown coding", "transfer-encoding: chunkee\r\n"),
        ("an empty coding", "transfer-encoding:\r\n"),
        ("no coding", "transfer-encoding: identity\r\n"),
        ("a coding twice", "transfer-encoding: chunked, chunked\r\n"),
        (
            "a length and a coding",
            "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        ),
    ] {
        heads.push((case, answer(lines, "own")));
        heads.push((case, answer(lines, "3\r\nown\r\n0\r\n\r\n")));
    }
    let old = "HTTP/1.0 200 OK\r\ncowslip-request-id: 1\r\n";
    let chunks = "transfer-encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n";
    heads.push(("a coding of version 1.0", format!("{old}{chunks}")));
    let empty = "HTTP/1.1 204 No Content\r\ncowslip-request-id: 1\r\n";
    heads.push((
        "a body where there is none",
        format!("{empty}content-length: 3\r\n\r\nown"),
    ));
    let heads = heads.into_iter();
    heads
        .map(|(case, head)| (case, head.into_bytes()))
        .collect()
}

// Guards against an answer that a caller gets with another status, field or body than
// its server's, because its head is spoilt.
#[test]
fn an_answer_with_a_spoilt_head_is_a_failure() {
    System::new().block_on(async {
        let mut taken = Vec::new();
        for (case, head) in broken_heads() {
            for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                if let Some((status, body)) = outcome_of(head.clone(), end).await {
                    let body = String::from_utf8_lossy(&body);
                    taken.push(format!("{case}, {end:?}: {status} {body:?}"));
                }
            }
        }
        assert!(taken.is_empty(), "taken for answers: {taken:#?}");
    });
}

// Guards against a part of a body, or other bytes, that look like a whole body because
// its chunks are spoilt.
#[test]
fn an_answer_with_spoilt_chunks_is_a_failure() {
    System::new().block_on(async {
        let mut taken = Vec::new();
        for (case, chunks) in [
            ("no size", "3\r\nown\r\n\r\n\r\n"),
            ("no size, an extension", "3\r\nown\r\n;a=b\r\n\r\n"),
            ("a blank for a size", "3\r\nown\r\n \r\n\r\n"),
            ("a blank before a size", "3\r\nown\r\n 0\r\n\r\n"),
            ("a blank behind a size", "3 \r\nown\r\n0\r\n\r\n"),
            ("two sizes", "3 3\r\nown\r\n0\r\n\r\n"),
            ("a size with a sign", "+3\r\nown\r\n0\r\n\r\n"),
            ("a size with a letter", "3g\r\nown\r\n0\r\n\r\n"),
            ("a size with a prefix", "0x3\r\nown\r\n0\r\n\r\n"),
            (
                "a size that is too large",
                "10000000000000003\r\nown\r\n0\r\n\r\n",
            ),
            ("a size that is too small", "2\r\nown\r\n0\r\n\r\n"),
            ("a size that is too great", "5\r\nown\r\n0\r\n\r\n"),
            ("a bare LF behind a size", "3\nown\r\n0\r\n\r\n"),
            ("a bare LF behind a chunk", "3\r\nown\n0\r\n\r\n"),
            ("a bare LF at the end", "3\r\nown\r\n0\r\n\n"),
            ("a bare LF behind the last size", "3\r\nown\r\n0\n\r\n"),
            (
                "a control byte in an extension",
                "3;a=\x01\r\nown\r\n0\r\n\r\n",
            ),
            ("a line feed in an extension", "3;a=\nb\r\nown\r\n0\r\n\r\n"),
            (
                "a trailer without a colon",
                "3\r\nown\r\n0\r\nnoise\r\n\r\n",
            ),
            (
                "a trailer with a blank in its name",
                "3\r\nown\r\n0\r\na b: c\r\n\r\n",
            ),
            (
                "a trailer with a control byte",
                "3\r\nown\r\n0\r\na: \x01\r\n\r\n",
            ),
            ("no last chunk", "3\r\nown\r\n"),
            ("no end of the last chunk", "3\r\nown\r\n0\r\n"),
            ("half an end of the last chunk", "3\r\nown\r\n0\r\n\r"),
            ("no end of the trailers", "3\r\nown\r\n0\r\na: b\r\n"),
            ("nothing", ""),
        ] {
            let spoilt = answer("transfer-encoding: chunked\r\n", chunks);
            for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                if let Some((status, body)) = outcome_of(spoilt.clone(), end).await {
                    let body = String::from_utf8_lossy(&body);
                    taken.push(format!("{case}, {end:?}: {status} {body:?}"));
                }
            }
        }
        assert!(taken.is_empty(), "taken for answers: {taken:#?}");
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

// Guards against an empty or short answer that looks whole: the server stops anywhere in
// the head of its answer, or of the one before it, and the connection ends.
#[test]
fn an_answer_that_ends_within_its_head_is_a_failure() {
    System::new().block_on(async {
        let mut taken = Vec::new();
        for lines in [
            "",
            "content-length: 0\r\n",
            "content-length: 12\r\nx-more: 1\r\n",
            "connection: close\r\n",
            "transfer-encoding: chunked\r\n",
        ] {
            let final_head = answer(lines, "");
            let late =
                "HTTP/1.1 200 OK\r\ncowslip-request-id: 0\r\ncontent-length: 0\r\n\r\n";
            for before in ["", "HTTP/1.1 103 Early Hints\r\n\r\n", late] {
                let head = format!("{before}{final_head}");
                for cut in 0..head.len() {
                    for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                        let outcome = outcome_of(&head[..cut], end).await;
                        if outcome.is_some() {
                            taken.push((head[..cut].to_owned(), end, outcome));
                        }
                    }
                }
            }
        }
        assert!(taken.is_empty(), "taken for answers: {taken:#?}");
    });
}

// Guards against taking valid answers of an unusual form for broken ones.
#[test]
fn a_valid_answer_of_an_unusual_form_is_passed_on() {
    System::new().block_on(async {
        let id = "cowslip-request-id: 1\r\n";
        let chunked = "transfer-encoding: chunked\r\n";
        let own = |body: &str| Some((200, body.as_bytes().to_vec()));
        for (case, answer, expected) in [
            ("until the close", answer("", "own"), own("own")),
            ("empty until the close", answer("", ""), own("")),
            (
                "version 1.0, until the close",
                format!("HTTP/1.0 200 OK\r\n{id}\r\nown"),
                own("own"),
            ),
            (
                "version 1.0 with a length",
                format!("HTTP/1.0 200 OK\r\n{id}content-length: 3\r\n\r\nown"),
                own("own"),
            ),
            (
                "no reason",
                format!("HTTP/1.1 200 \r\n{id}content-length: 3\r\n\r\nown"),
                own("own"),
            ),
            (
                "a reason of 8-bit bytes",
                format!("HTTP/1.1 200 D\u{e9}j\u{e0}\r\n{id}content-length: 3\r\n\r\nown"),
                own("own"),
            ),
            (
                "a status of no name",
                format!("HTTP/1.1 599 \r\n{id}content-length: 3\r\n\r\nown"),
                Some((599, b"own".to_vec())),
            ),
            (
                "names of all token characters",
                answer("!#$%&'*+-.^_`|~09aZ: x\r\ncontent-length: 3\r\n", "own"),
                own("own"),
            ),
            (
                "values of 8-bit bytes, tabs and nothing",
                answer("a: \u{e9}\tb\r\nc:\r\nd:  \r\ncontent-length: 3\r\n", "own"),
                own("own"),
            ),
            (
                "blanks around a length",
                answer("Content-Length: \t 3 \t\r\n", "own"),
                own("own"),
            ),
            (
                "a length with zeros",
                answer("CONTENT-LENGTH:003\r\n", "own"),
                own("own"),
            ),
            (
                "chunk extensions",
                answer(chunked, "3;a;b=c;d=\"e f\"\r\nown\r\n0;z\r\n\r\n"),
                own("own"),
            ),
            (
                "a blank before a chunk extension",
                answer(chunked, "3 ; a = b\r\nown\r\n0\r\n\r\n"),
                own("own"),
            ),
            (
                "sizes with zeros and capitals",
                answer(
                    "Transfer-Encoding: Chunked\r\n",
                    "0003\r\nown\r\n0A\r\n0123456789\r\n000\r\n\r\n",
                ),
                own("own0123456789"),
            ),
            (
                "trailers",
                answer(chunked, "3\r\nown\r\n0\r\na: b\r\nC-d:\u{e9}\r\n\r\n"),
                own("own"),
            ),
            (
                "interim responses",
                format!(
                    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\n{}",
                    answer("content-length: 3\r\n", "own")
                ),
                own("own"),
            ),
            (
                "no content",
                format!("HTTP/1.1 204 No Content\r\n{id}\r\n"),
                Some((204, Vec::new())),
            ),
            (
                "no content of length 0",
                format!("HTTP/1.1 204 No Content\r\n{id}content-length: 0\r\n\r\n"),
                Some((204, Vec::new())),
            ),
            (
                "not modified, with the length of what was not sent",
                format!("HTTP/1.1 304 Not Modified\r\n{id}content-length: 3\r\n\r\n"),
                Some((304, Vec::new())),
            ),
        ] {
            let outcome = outcome_of(answer, ConnectionEnd::Close).await;
            assert_eq!(outcome, expected, "{case}");
        }
        let framed = answer("content-length: 3\r\n", "own");
        let outcome = outcome_of(framed, ConnectionEnd::Keep).await;
        assert_eq!(outcome, own("own"));
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
