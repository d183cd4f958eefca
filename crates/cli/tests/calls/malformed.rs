//! Requests that are no requests, or not whole.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use cowslip_cli::local_fleet::LocalFleet;

use crate::fleet_calls::fleet;
use crate::fleet_calls::CallRequest;
use crate::fleet_calls::FLEET_TIMEOUT;

/// Sends the bytes, says that no more come, and reads what comes back.
async fn send_raw(node: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    // The node may close as soon as it has seen enough.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let ended = actix_rt::time::timeout(FLEET_TIMEOUT, reading).await;
    assert!(ended.is_ok(), "the connection is held for ever");
    String::from_utf8_lossy(&answer).into_owned()
}

fn begun_requests(fleet: &LocalFleet) -> u32 {
    let counts = fleet.nodes.iter().map(|node| node.stand_in.counts());
    counts.map(|counts| counts.begun.get()).sum()
}

// Somebody sends noise, a header of a megabyte, lengths that are no numbers
// or far too large, and a body that ends early. Each gets an error or a closed
// connection, none reaches a backend server, and the node goes on serving.
#[test]
fn malformed_requests_end_at_the_node() {
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

// Callers' paths may look like the system's own. From outside they reach no
// message of the system's, and a claim without the system's key is refused.
#[test]
fn callers_cannot_reach_the_claims() {
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
