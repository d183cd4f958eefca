//! Replies whose body breaks off: no caller may take them for whole.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_rt::System;
use bytes::Bytes;
use futures_util::stream;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ListenerTimeouts;
use cowslip_wire::http_listener::ReplyFuture;

/// Time for the first part of a body to be sent.
const PART_TIME: Duration = Duration::from_millis(200);

/// Answers with a body without a length; that of `/cut` breaks off.
struct StreamHandler;

impl HttpHandler for StreamHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let is_cut = request.path() == "/cut";
        let part = stream::once(async { Ok(Bytes::from_static(b"a part")) });
        let end = stream::once(async move {
            actix_rt::time::sleep(PART_TIME).await;
            match is_cut {
                true => Err(PayloadError::Incomplete(None)),
                false => Ok(Bytes::new()),
            }
        });
        let body = BoxBody::new(BodyStream::new(Box::pin(part.chain(end))));
        let reply = Response::new(StatusCode::OK).set_body(body);
        Box::pin(async move { reply })
    }
}

fn pipelined_listener() -> HttpListener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = std::net::TcpListener::bind(any).expect("a free port");
    let (_, timeouts) = watch::channel(ListenerTimeouts::default());
    let handler = Rc::new(StreamHandler);
    HttpListener::spawn_pipelined(socket, 10, handler, timeouts).expect("it starts")
}

fn sequential_listener() -> HttpListener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpListener::bind(any, 10, Rc::new(StreamHandler)).expect("a free port")
}

/// Sends a request and returns what is received until the connection ends.
async fn receive(address: SocketAddr, path: &str, version: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request =
        format!("GET {path} HTTP/{version}\r\nhost: here\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut reply = Vec::new();
    stream.read_to_end(&mut reply).await?;
    Ok(String::from_utf8_lossy(&reply).into_owned())
}

// Guards against a cut body that looks whole to a caller of HTTP/1.0, for which the close
// of the connection ends a body.
#[test]
fn a_reply_that_breaks_off_resets_a_connection_whose_close_would_end_it() {
    System::new().block_on(async {
        let listener = pipelined_listener();
        let address = listener.address();
        let cut = receive(address, "/cut", "1.0").await;
        let reset = cut.as_ref().err().map(io::Error::kind);
        assert_eq!(reset, Some(io::ErrorKind::ConnectionReset), "{cut:?}");
        let whole = receive(address, "/whole", "1.0").await;
        let whole = whole.expect("a whole reply");
        assert!(!whole.contains("transfer-encoding"), "{whole}");
        assert!(whole.ends_with("\r\n\r\na part"), "{whole}");
    });
}

// Guards against a cut body that looks whole because the listener was stopped within it.
#[test]
fn a_stop_within_a_reply_resets_a_connection_whose_close_would_end_it() {
    System::new().block_on(async {
        let listener = pipelined_listener();
        let cutting = actix_rt::spawn(receive(listener.address(), "/whole", "1.0"));
        actix_rt::time::sleep(PART_TIME / 2).await;
        let whole = listener.stop(Duration::ZERO).await;
        assert!(!whole, "the reply had ended");
        let cut = cutting.await.expect("it ends");
        let reset = cut.as_ref().err().map(io::Error::kind);
        assert_eq!(reset, Some(io::ErrorKind::ConnectionReset), "{cut:?}");
    });
}

// Guards against a cut body that looks whole because its chunks have an end.
#[test]
fn a_reply_that_breaks_off_has_no_last_chunk() {
    System::new().block_on(async {
        for listener in [pipelined_listener(), sequential_listener()] {
            let address = listener.address();
            if let Ok(cut) = receive(address, "/cut", "1.1").await {
                assert!(cut.contains("transfer-encoding: chunked"), "{cut}");
                assert!(!cut.ends_with("0\r\n\r\n"), "{cut}");
            }
            let whole = receive(address, "/whole", "1.1").await;
            let whole = whole.expect("a whole reply");
            assert!(whole.ends_with("6\r\na part\r\n0\r\n\r\n"), "{whole}");
        }
    });
}
