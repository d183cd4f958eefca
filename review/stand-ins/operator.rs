//! The operator: sends configs as PROTOCOL.md describes it.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::http;

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

fn put_to(mut control: SocketAddr, builds_on: &str, body: &str) -> u16 {
    for _ in 0..3 {
        let host = control.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("If-Match", builds_on),
            ("Content-Type", "application/json"),
        ];
        let limit = Duration::from_secs(1);
        let sent = http::send(control, "PUT /v1/config", &headers, body.as_bytes(), limit);
        let Ok(answer) = sent else {
            return 0;
        };
        if answer.status() != 307 {
            return answer.status();
        }
        let location = answer.header("location").unwrap_or_default().to_owned();
        let address = location.trim_start_matches("http://").split('/').next();
        let Some(Ok(next)) = address.map(str::parse) else {
            return 0;
        };
        control = next;
    }
    0
}
