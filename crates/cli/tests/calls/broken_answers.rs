//! Broken answers of a backend server, as callers of two nodes get them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_rt::System;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use cowslip_cli::local_fleet::LocalFleet;

use crate::broken_server::BrokenServer;
use crate::broken_server::ServerFault;
use crate::fleet_calls::announce;
use crate::fleet_calls::fleet;
use crate::fleet_calls::FLEET_TIMEOUT;

/// Length of a request body that nodes stream and that does not fit in the sockets'
/// buffers, in bytes.
const UPLOAD_BYTES: usize = 8 * 1024 * 1024;

/// Attempts at a failure that depends on which of two events is handled first.
const RACE_ATTEMPTS: usize = 5;

/// Pause between calls until one reaches the server.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Sends a request with `length` bytes of body and returns all that is received until
/// the connection closes.
async fn send(node: SocketAddr, length: usize) -> String {
    let head = format!(
        "PUT /tested/sale HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\
         cowslip-customer: anna\r\ncowslip-deadline-ms: 5000\r\n\
         content-length: {length}\r\n\r\n"
    );
    let stream = TcpStream::connect(node).await.expect("a connection");
    let (mut reader, mut writer) = stream.into_split();
    let sending = async move {
        // A node that has answered need not read the rest.
        if writer.write_all(head.as_bytes()).await.is_ok() {
            let _ = writer.write_all(&vec![b'x'; length]).await;
        }
        writer
    };
    let sending = actix_rt::spawn(sending);
    let mut answer = Vec::new();
    let reading = reader.read_to_end(&mut answer);
    let ended = actix_rt::time::timeout(FLEET_TIMEOUT, reading).await;
    assert!(ended.is_ok(), "the connection is never closed");
    sending.abort();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends requests until one reaches the server, and returns its answer.
async fn send_until_received(
    fleet: &LocalFleet,
    server: &BrokenServer,
    length: usize,
) -> String {
    let node = fleet.nodes[4].node.callers();
    let before = server.requests();
    let started = Instant::now();
    loop {
        let answer = send(node, length).await;
        if server.requests() > before {
            return answer;
        }
        assert!(started.elapsed() < FLEET_TIMEOUT, "not received: {answer}");
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

// Guards against a caller that gets a part of a body as a whole answer, because the
// server reset its connection during the upload.
#[test]
fn a_reset_during_an_upload_is_a_failed_call() {
    System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        let part = "HTTP/1.1 200 OK\r\n\r\na part of the body";
        let server = BrokenServer::spawn(ServerFault::AnswerThenReset(part)).await;
        announce(&fleet.nodes[0].node, server.address, 10).await;
        for _ in 0..RACE_ATTEMPTS {
            let answer = send_until_received(&fleet, &server, UPLOAD_BYTES).await;
            assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
    });
}

// Guards against a caller that gets an answer whose head is not valid HTTP, with another
// status, field or body than its server's.
#[test]
fn an_answer_with_a_spoilt_head_is_a_failed_call() {
    System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        for answer in [
            "HTTP/1.1 000 OK\r\ncontent-length: 3\r\n\r\nown",
            "HTTP/1.1 999 OK\r\ncontent-length: 3\r\n\r\nown",
            "HTTP/1.1 200 OK\r\ncontent-length : 3\r\n\r\nown",
            "HTTP/1.1 200 OK\r\ncontent length: 3\r\n\r\nown",
            "HTTP/1.1 200 OK\r\ncontent\x01length: 3\r\n\r\nown",
            "HTTP/1.1 200 OK\r\ncontent-length 3\r\n\r\nown",
            "HTTP/1.1 200 OK\r\nx-note: a\ncontent-length: 3\r\n\r\nown",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nown",
        ] {
            let fault = ServerFault::AnswerThenClose(answer);
            let server = BrokenServer::spawn(fault).await;
            announce(&fleet.nodes[0].node, server.address, 10).await;
            let got = send_until_received(&fleet, &server, 0).await;
            assert!(got.starts_with("HTTP/1.1 502"), "{answer:?}: {got}");
        }
    });
}

// Guards against waiting for a body that is not sent: the answer to a conditional request
// states the length of what it leaves out.
#[test]
fn an_answer_without_a_body_may_state_a_length() {
    System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        let answer =
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 3\r\netag: \"a\"\r\n\r\n";
        let server = BrokenServer::spawn(ServerFault::AnswerThenClose(answer)).await;
        announce(&fleet.nodes[0].node, server.address, 10).await;
        let got = send_until_received(&fleet, &server, 0).await;
        assert!(got.starts_with("HTTP/1.1 304"), "{got}");
        assert!(got.contains("\r\netag: \"a\"\r\n"), "{got}");
        assert!(got.ends_with("\r\n\r\n"), "{got}");
    });
}
