//! Answers to messages between processes: only one that is whole and valid counts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_rt::System;
use serde::Deserialize;
use serde::Serialize;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cowslip_wire::access_key::AccessKey;
use cowslip_wire::codec;
use cowslip_wire::messages::CallAccess;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A text that is answered with another.
#[derive(Serialize, Deserialize)]
struct TextCall(Arc<str>);

impl WireCall for TextCall {
    const PATH: &'static str = "/text";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = String;
}

const TEXT: &str = "own";

/// How the peer ends a connection after its answer.
#[derive(Clone, Copy)]
enum ConnectionEnd {
    /// Closes its side and reads on until the other side closes.
    Close,
    /// Resets the connection.
    Reset,
}

/// Starts a peer that sends `answer` to the first message on each connection and ends
/// the connection.
async fn spawn_peer(answer: Vec<u8>, end: ConnectionEnd) -> SocketAddr {
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
    let mut request = Vec::new();
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read_buf(&mut request).await {
            Ok(read) if read > 0 => {}
            _ => return,
        }
    }
    // The other side may leave before the whole answer is sent.
    let _ = stream.write_all(&answer).await;
    if let ConnectionEnd::Reset = end {
        let socket = SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("it is set");
        return;
    }
    let _ = stream.shutdown().await;
    while stream
        .read_buf(&mut request)
        .await
        .is_ok_and(|read| read > 0)
    {
        request.clear();
    }
}

async fn send_to(answer: Vec<u8>) -> Result<String, PeerError> {
    let peer = spawn_peer(answer, ConnectionEnd::Close).await;
    let text = Arc::<str>::from("");
    client().send(peer, &TextCall(text), TIMEOUT).await
}

fn client() -> PeerClient {
    PeerClient::new(AccessKey::new("a-key-of-this-test"))
}

/// Length of a message that does not fit in the sockets' buffers, in bytes.
const LONG_BYTES: usize = 15 * 1024 * 1024;

/// Bytes that no sound answer has without content, far more than the bounds.
const ENDLESS_BYTES: usize = 32 * 1024 * 1024;

/// Attempts at a failure that depends on which of two events is handled first.
const RACE_ATTEMPTS: usize = 10;

/// An answer with this status line, these other lines and this body.
fn answer(status: &str, lines: &str, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 {status}\r\n{lines}\r\n").into_bytes();
    answer.extend_from_slice(body);
    answer
}

fn encoded() -> Vec<u8> {
    codec::encode(&TEXT.to_owned()).expect("a text")
}

/// The encoded text in a chunk, and `end` behind it.
fn chunked(end: &str) -> Vec<u8> {
    let text = encoded();
    let mut chunks = format!("{:x}\r\n", text.len()).into_bytes();
    chunks.extend_from_slice(&text);
    chunks.extend_from_slice(end.as_bytes());
    chunks
}

// Guards against acting on an answer whose peer stopped anywhere in its head.
#[test]
fn an_answer_to_a_message_that_ends_within_its_head_does_not_count() {
    System::new().block_on(async {
        let mut taken = Vec::new();
        for status in ["200 OK", "204 No Content", "404 Not Found"] {
            for lines in ["", "content-length: 4\r\n", "connection: close\r\n"] {
                let head = answer(status, lines, b"");
                for cut in 0..head.len() {
                    let outcome = send_to(head[..cut].to_vec()).await;
                    if !matches!(outcome, Err(PeerError::NoResponse(_))) {
                        taken.push((
                            String::from_utf8_lossy(&head[..cut]).into_owned(),
                            outcome,
                        ));
                    }
                }
            }
        }
        assert!(taken.is_empty(), "taken for answers: {taken:#?}");
    });
}

// Guards against acting on an answer that is cut or spoilt: a change that counts as
// made, a refusal that no peer gave.
#[test]
fn a_broken_answer_to_a_message_does_not_count() {
    System::new().block_on(async {
        let text = encoded();
        let length = format!("content-length: {}\r\n", text.len());
        let longer = format!("content-length: {}\r\n", text.len() + 1);
        let coding = "transfer-encoding: chunked\r\n";
        let mut taken = Vec::new();
        for (case, answer) in [
            ("a cut body", answer("200 OK", &longer, &text)),
            (
                "a cut refusal",
                answer("401 No", "content-length: 9\r\n", b"no"),
            ),
            ("no last chunk", answer("200 OK", coding, &chunked("\r\n"))),
            (
                "half a last chunk",
                answer("200 OK", coding, &chunked("\r\n0\r\n")),
            ),
            ("a blank behind a size", {
                let chunks = chunked("\r\n0 \r\n\r\n");
                answer("200 OK", coding, &chunks)
            }),
            ("status 000", answer("000 OK", &length, &text)),
            ("status 999", answer("999 OK", &length, &text)),
            ("a blank before a colon", {
                let line = length.replace(':', " :");
                answer("200 OK", &line, &text)
            }),
            ("a blank in a name", {
                let line = length.replace('-', " ");
                answer("200 OK", &line, &text)
            }),
            ("a control byte in a name", {
                let line = format!("x\x01y: z\r\n{length}");
                answer("200 OK", &line, &text)
            }),
            ("a line without a colon", {
                let line = format!("noise\r\n{length}");
                answer("200 OK", &line, &text)
            }),
            ("a bare line feed", {
                let line = format!("x: y\n{length}");
                answer("200 OK", &line, &text)
            }),
            ("no coding", {
                let line = format!("transfer-encoding: identity\r\n{length}");
                answer("200 OK", &line, &text)
            }),
            ("a length and a coding", {
                let line = format!("{length}{coding}");
                answer("200 OK", &line, &chunked("\r\n0\r\n\r\n"))
            }),
        ] {
            let got = send_to(answer).await;
            if !matches!(got, Err(PeerError::NoResponse(_))) {
                taken.push(format!("{case}: {got:?}"));
            }
        }
        assert!(taken.is_empty(), "taken for answers: {taken:#?}");
    });
}

// Guards against dropping valid answers of an unusual form.
#[test]
fn a_valid_answer_to_a_message_counts() {
    System::new().block_on(async {
        let text = encoded();
        let length = format!("content-length: {}\r\n", text.len());
        let coding = "transfer-encoding: chunked\r\n";
        for (case, answer) in [
            ("a length", answer("200 OK", &length, &text)),
            (
                "until the close",
                answer("200 OK", "connection: close\r\n", &text),
            ),
            ("no reason", answer("200 ", &length, &text)),
            (
                "chunks",
                answer("200 OK", coding, &chunked("\r\n0\r\n\r\n")),
            ),
            ("an extension and a trailer", {
                let chunks = chunked("\r\n0;a=b\r\nc: d\r\n\r\n");
                answer("200 OK", coding, &chunks)
            }),
            ("names and values", {
                let line = format!("!#$%&'*+-.^_`|~09aZ: \u{e9}\r\n{length}");
                answer("200 OK", &line, &text)
            }),
        ] {
            let got = send_to(answer).await;
            assert_eq!(got.ok().as_deref(), Some(TEXT), "{case}");
        }
        let refusal = answer("401 No", "content-length: 2\r\n", b"no");
        let refused = send_to(refusal).await;
        assert!(matches!(
            refused,
            Err(PeerError::Refused { status: 401, .. })
        ));
    });
}

// Guards against a part of an answer that looks whole, because the peer reset the
// connection while it was sent a long message.
#[test]
fn a_reset_during_a_message_does_not_end_its_answer() {
    System::new().block_on(async {
        let part = answer("200 OK", "connection: close\r\n", &encoded());
        let peer = spawn_peer(part, ConnectionEnd::Reset).await;
        for _ in 0..RACE_ATTEMPTS {
            let text = Arc::from("x".repeat(LONG_BYTES));
            let got = client().send(peer, &TextCall(text), TIMEOUT).await;
            assert!(matches!(got, Err(PeerError::NoResponse(_))), "{got:?}");
        }
    });
}

/// Starts a peer that sends `answers` on each connection, one to a message, and counts
/// its connections.
async fn spawn_counting_peer(answers: Vec<Vec<u8>>) -> (SocketAddr, Rc<Cell<usize>>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = TcpListener::bind(any).await.expect("a free port");
    let address = socket.local_addr().expect("its address");
    let connections = Rc::new(Cell::new(0));
    let counter = Rc::clone(&connections);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            counter.set(counter.get() + 1);
            let answers = answers.clone();
            actix_rt::spawn(async move {
                for answer in answers {
                    let mut request = Vec::new();
                    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
                        match stream.read_buf(&mut request).await {
                            Ok(read) if read > 0 => {}
                            _ => return,
                        }
                    }
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                }
                let _ = stream.read_u8().await;
            });
        }
    });
    (address, connections)
}

// Guards against taking bytes behind an answer for the answer to the next message, and
// against a new connection for each message.
#[test]
fn bytes_behind_an_answer_answer_no_message() {
    System::new().block_on(async {
        let text = encoded();
        let length = format!("content-length: {}\r\n", text.len());
        let own = answer("200 OK", &length, &text);
        let foreign = codec::encode(&"not".to_owned()).expect("a text");
        let foreign = answer("200 OK", &length, &foreign);
        let interim = answer("103 Early Hints", "a: b\r\n", b"");
        for (case, first, expected) in [
            ("one answer", own.clone(), 1),
            ("an interim response", [interim, own.clone()].concat(), 1),
            ("two answers", [own.clone(), foreign].concat(), 2),
            (
                "noise behind an answer",
                [own.clone(), b"x".to_vec()].concat(),
                2,
            ),
        ] {
            let (peer, connections) = spawn_counting_peer(vec![first, own.clone()]).await;
            let client = client();
            for _ in 0..2 {
                let got = client.send(peer, &TextCall("".into()), TIMEOUT).await;
                assert_eq!(got.ok().as_deref(), Some(TEXT), "{case}");
                // The bytes behind the answer arrive before the next message.
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(connections.get(), expected, "{case}");
        }
    });
}

// Guards against a process that keeps all that a peer in trouble sends without end, and
// waits for it until its timeout.
#[test]
fn bytes_without_content_end_an_answer_soon() {
    System::new().block_on(async {
        let chunked = answer("200 OK", "transfer-encoding: chunked\r\n", b"");
        for (case, start, repeated) in [
            ("noise", Vec::new(), "x"),
            ("fields", b"HTTP/1.1 200 OK\r\n".to_vec(), "a: b\r\n"),
            ("interim", Vec::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            ("extension", [&chunked[..], b"1;"].concat(), "a=b;"),
            ("zeros", chunked.clone(), "0"),
            ("trailers", [&chunked[..], b"0\r\n"].concat(), "a: b\r\n"),
        ] {
            let endless = repeated.repeat(ENDLESS_BYTES / repeated.len());
            let endless = [&start[..], endless.as_bytes()].concat();
            let started = Instant::now();
            let got = send_to(endless).await;
            assert!(
                matches!(got, Err(PeerError::NoResponse(_))),
                "{case}: {got:?}"
            );
            assert!(started.elapsed() < TIMEOUT / 5, "{case}");
        }
    });
}
