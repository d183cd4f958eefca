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
    pub status: u16,
    /// The server's stamp, if the answer has one.
    pub stamp: Option<String>,
    pub body: String,
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
    record.line(format!("send {id} {method} {path} to {node}"));
    let start = format!("{method} {path}");
    let answer = http::send(node, &start, &headers, b"a batch of honey", deadline);
    let answer = answer.ok();
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let stamp = answer.as_ref().and_then(|answer| answer.header("server-stamp"));
    let stamp = stamp.map(str::to_owned);
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let body = body.unwrap_or_default();
    record.line(format!("answer {id} {status} {stamp:?} {:?}", body.trim()));
    Answer { request: id.to_owned(), status, stamp, body }
}
