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

// A wrong key must be reported at once, instead of after a search for a leader
// in vain.
#[test]
fn a_wrong_key_is_reported() {
    let fixture = FleetFixture::with_fleet();
    let stderr = fixture.fails(2, &["--key", "something-else", "status"]);
    assert!(stderr.contains("key is missing or wrong"), "{stderr}");
}

// No control instance runs. The exit status must differ from that of a refusal,
// and the message must not say that the change may have been accepted: nothing
// was sent.
#[test]
fn an_unreachable_control_is_distinguished_from_a_lost_answer() {
    // On a loopback address that no other test uses: otherwise the fleet of
    // another test could take the port and answer.
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
