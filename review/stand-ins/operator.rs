//! The operator: sends configs as PROTOCOL.md describes it.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::http;
use crate::http::Message;

/// Sends a config to one instance after the other until one accepts or refuses it, and
/// returns that status. Follows two redirects.
pub fn put_config(fleet: &Fleet, builds_on: &str, body: &str) -> u16 {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(30) {
        for control in &fleet.controls {
            let status = put_to(control.control(), builds_on, body);
            if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                fleet.record.line(format!("config on top of {builds_on}: {status}"));
                return status;
            }
        }
        sleep(Duration::from_millis(100));
    }
    0
}

/// Sends a config to an instance and returns the status of its answer; 0 if none comes
/// within a second, or if it redirects more than twice.
pub fn put_to(control: SocketAddr, builds_on: &str, body: &str) -> u16 {
    let headers = [("If-Match", builds_on), ("Content-Type", "application/json")];
    let answer = ask(control, "PUT /v1/config", &headers, body.as_bytes());
    answer.map_or(0, |answer| answer.status())
}

/// Reads the config at an instance; `None` if it gives none.
pub fn read_config(control: SocketAddr) -> Option<String> {
    let answer = ask(control, "GET /v1/config", &[], b"")?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    (answer.status() == 200).then_some(text)
}

/// Sends a call and follows two redirects.
fn ask(
    mut control: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Message> {
    for _ in 0..3 {
        let host = control.to_string();
        let mut headers = headers.to_vec();
        headers.push(("Host", host.as_str()));
        let limit = Duration::from_secs(1);
        let answer = http::send(control, start, &headers, body, limit).ok()?;
        if answer.status() != 307 {
            return Some(answer);
        }
        let location = answer.header("location").unwrap_or_default();
        let address = location.trim_start_matches("http://").split('/').next()?;
        control = address.parse().ok()?;
    }
    None
}
