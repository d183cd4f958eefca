//! Requests and answers with nearly as many headers as a message may have.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::broken_server::BrokenServer;
use crate::broken_server::ServerFault;
use crate::fleet_calls::announce;
use crate::fleet_calls::fleet;
use crate::fleet_calls::FLEET_TIMEOUT;

/// Sends a request for `path` with `count` headers in all, and returns the answer.
async fn send_with_headers(node: SocketAddr, path: &str, count: usize) -> String {
    let mut request = format!("POST {path} HTTP/1.1\r\nhost: here\r\n");
    request += "connection: close\r\ncowslip-customer: anna\r\ncontent-length: 5\r\n";
    request += &"x-more: of them\r\n".repeat(count - 4);
    request += "\r\nwhole";
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it is sent");
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let ended = actix_rt::time::timeout(FLEET_TIMEOUT, reading).await;
    assert!(ended.is_ok(), "the connection is never closed");
    String::from_utf8_lossy(&answer).into_owned()
}

// Guards against a request that its entry node takes and the next node refuses, because
// it has more headers with those of the nodes than a parser takes.
#[test]
fn a_request_with_many_headers_is_passed_on_or_refused_at_once() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        let node = fleet.nodes[0].node.callers();
        // The stand-in server refuses one more, with the headers that it gets.
        for count in [20, 80, 84, 85, 88, 92, 94] {
            let answer = send_with_headers(node, "/contracts/1", count).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{count}: {answer}");
        }
        let answer = send_with_headers(node, "/contracts/1", 96).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        assert!(answer.contains("too-many-headers"), "{answer}");
        assert!(answer.contains("cowslip-verdict: not-run"), "{answer}");
    });
}

// Guards against an answer that is lost between nodes, because it has more headers with
// those of its server's node than a parser takes.
#[test]
fn an_answer_with_many_headers_is_passed_on() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        let server = BrokenServer::spawn(ServerFault::ManyHeaders(92)).await;
        announce(&fleet.nodes[0].node, server.address, 10).await;
        let node = fleet.nodes[4].node.callers();
        for _ in 0..200 {
            let answer = send_with_headers(node, "/tested/sale", 4).await;
            if answer.contains("no-endpoint") || answer.contains("not-announced") {
                actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            assert_eq!(answer.matches("x-more: of them").count(), 92);
            return;
        }
        panic!("the server is never found");
    });
}
