//! Malformed and truncated requests, and requests for internal paths.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use cowslip_cli::local_fleet::LocalFleet;

use crate::fleet_calls::fleet;
use crate::fleet_calls::CallRequest;
use crate::fleet_calls::FLEET_TIMEOUT;

/// Sends the bytes, closes the sending half and returns everything received.
async fn send_raw(node: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    // The node may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let ended = actix_rt::time::timeout(FLEET_TIMEOUT, reading).await;
    assert!(ended.is_ok(), "the connection is never closed");
    String::from_utf8_lossy(&answer).into_owned()
}

fn begun_requests(fleet: &LocalFleet) -> u32 {
    let counts = fleet.nodes.iter().map(|node| node.stand_in.counts());
    counts.map(|counts| counts.begun.get()).sum()
}

// Noise, a header of a megabyte, invalid or excessive content lengths, a
// truncated body and an invalid deadline must each get an error or a closed
// connection and not reach a backend server. The node must keep serving.
#[test]
fn malformed_requests_reach_no_backend_server() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        let node = fleet.nodes[0].node.callers();
        let before = begun_requests(&fleet);
        let head = "POST /contracts/1 HTTP/1.1\r\nhost: here\r\n";
        let large = format!("{head}x-large: {}\r\n\r\n", "x".repeat(1 << 20));
        let cases = [
            ("noise", "\x16\x03\x01 noise\r\n\r\n".to_owned(), "400"),
            ("large head", large, ""),
            (
                "bad length",
                format!("{head}content-length: ten\r\n\r\n"),
                "400",
            ),
            (
                "huge length",
                format!("{head}content-length: 99999999999\r\n\r\n"),
                "413",
            ),
            (
                "truncated",
                format!("{head}content-length: 100\r\n\r\nten bytes."),
                "",
            ),
            (
                "bad deadline",
                format!("{head}cowslip-deadline-ms: soon\r\ncontent-length: 0\r\n\r\n"),
                "400",
            ),
        ];
        for (name, bytes, status) in cases {
            let answer = send_raw(node, bytes.as_bytes()).await;
            assert!(!answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
            assert!(answer.contains(status), "{name}: {answer}");
        }
        assert_eq!(
            begun_requests(&fleet),
            before,
            "a backend server was reached"
        );
        let call = CallRequest {
            path: "/contracts/1",
            ..CallRequest::default()
        };
        let answer = call.send(node, b"whole").await.expect("an answer");
        assert_eq!(answer.status, 200);
    });
}

// A caller uses the path of an internal message. The callers' listener must not
// handle it, and the peer listener must refuse it without the system key.
#[test]
fn callers_cannot_send_claim_messages() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        let node = fleet.nodes[0].node.callers();
        let call = CallRequest {
            path: "/system/claim",
            ..CallRequest::default()
        };
        let answer = call.send(node, b"claim").await.expect("an answer");
        assert_eq!((answer.status, &*answer.reason), (404, "no-route"));
        let records = fleet
            .operator()
            .ask(&cowslip_wire::messages::EndpointsCall {})
            .await
            .expect("the directory");
        let peer = records[0].address;
        let answer = call.send(peer, b"claim").await.expect("an answer");
        assert_eq!(answer.status, 401);
    });
}
