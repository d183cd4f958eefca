//! `cowslip status` and `cowslip endpoints`.

use std::process::Command;

use crate::fleet_fixture::FleetFixture;
use crate::fleet_fixture::NODES;

#[test]
fn every_node_and_backend_server_is_listed() {
    let fixture = FleetFixture::with_fleet();
    let status = fixture.json(&["status"]);
    assert_eq!(status["nodes"].as_array().map(Vec::len), Some(NODES));
    let table = fixture.stdout(&["status"]);
    assert!(table.contains("9 live nodes"), "{table}");
    let endpoints = fixture.json(&["endpoints"]);
    assert_eq!(endpoints.as_array().map(Vec::len), Some(NODES));
    let table = fixture.stdout(&["endpoints"]);
    assert!(table.contains("contract-6"), "{table}");
}

// An operator's key is mistyped. The command must say so at once instead of
// looking for a leader.
#[test]
fn a_wrong_key_is_told() {
    let fixture = FleetFixture::with_fleet();
    let stderr = fixture.fails(2, &["--key", "something-else", "status"]);
    assert!(stderr.contains("key is missing or wrong"), "{stderr}");
}

// No control instance runs. The command must end with the status that
// scripts tell from a refusal, and must not say that a change may have
// been accepted: nothing was sent.
#[test]
fn no_control_instance_is_told_from_a_lost_answer() {
    // On an IP number that nothing else here uses, so that the port stays
    // closed: a fleet of another test would answer.
    let closed = std::net::TcpListener::bind("127.0.0.78:0").expect("a free port");
    let address = closed.local_addr().expect("its address").to_string();
    drop(closed);
    let output = Command::new(env!("CARGO_BIN_EXE_cowslip"))
        .args(["--control", &address, "--key", "local-operator"])
        .args(["default", "set", "tries_max", "2"])
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(3));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("no control instance answered"), "{stderr}");
    assert!(!stderr.contains("may have been accepted"), "{stderr}");
}
