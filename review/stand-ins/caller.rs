//! A client: one request on a new connection, without a retry of its own.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// What a client learned of its request; status 0 if the connection ended or nothing
/// came in time.
#[derive(Clone, Debug)]
pub struct Answer {
    pub request: String,
    pub sent_ms: u64,
    pub status: u16,
}

/// Sends a request to a node and records its answer.
pub fn call(
    record: &Record,
    node: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
) -> Answer {
    let deadline_ms = deadline.as_millis().to_string();
    let headers =
        [("Host", host), ("Request-Id", id), ("Deadline-Ms", deadline_ms.as_str())];
    let sent_ms = record.now_ms();
    record.line(format!("send {id} {method} {path} to {node}"));
    let start = format!("{method} {path}");
    let answer = http::send(node, &start, &headers, b"a batch of honey", deadline);
    let status = answer.map_or(0, |answer| answer.status());
    record.line(format!("answer {id} {status}"));
    Answer { request: id.to_owned(), sent_ms, status }
}
