//! Crashes of backend servers that nodes report to control processes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::crash_tally::CrashRecord;
use cowslip_core::crash_tally::CrashReport;
use cowslip_core::crash_tally::ReportedCall;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::ServiceSpec;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::crash_messages::CrashCall;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::ShowCall;
use cowslip_wire::messages::StatusCall;
use cowslip_wire::peer_client::PeerClient;

use self::control_fleet::ask;
use self::control_fleet::ControlFleet;
use self::control_fleet::OPERATOR_KEY;
use self::control_fleet::SYSTEM_KEY;

#[path = "support/control_fleet.rs"]
mod control_fleet;

/// Time after which control instances know what the leader knows.
const SHARE_TIME: Duration = Duration::from_secs(3);

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a node reports again.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

fn fingerprint() -> CallFingerprint {
    let text = "0123456789abcdef0123456789abcdef";
    text.parse().expect("32 digits")
}

/// A node's report of one crash.
fn crash_call(node: &str) -> CrashCall {
    let call = ReportedCall {
        fingerprint: fingerprint(),
        service: "records".into(),
        route: "/records".into(),
        began_ms: 30,
        broke_ms: 0,
        completed_ms: None,
        abandoned: false,
    };
    CrashCall {
        reports: vec![CrashReport {
            node: node.into(),
            crashes: vec![CrashRecord {
                number: 1,
                age_ms: 5,
                calls: vec![call],
                doubtful_calls: Vec::new(),
                cold: false,
            }],
        }],
        shared: false,
    }
}

/// Sets up a service and waits until the configuration names all control instances.
async fn wait_for_roster(operator: &PeerClient, addresses: &[SocketAddr]) {
    let mut document = FleetDocument::default();
    let spec = ServiceSpec {
        version: "v1".into(),
        ..ServiceSpec::default()
    };
    document.services.insert("records".into(), spec);
    let entry = ChangeEntry {
        request_id: "set-up".into(),
        expected: None,
        at_ms: 1,
        change: ConfigChange::Apply(document),
    };
    let outcome = ask(operator, addresses, &ChangeCall { entry }).await;
    let accepted = matches!(outcome, ChangeOutcome::Accepted { .. });
    assert!(accepted, "{outcome:?}");
    let started = Instant::now();
    loop {
        let shown = ask(operator, addresses, &ShowCall {}).await;
        if shown.document.controls.seats.len() == addresses.len() {
            return;
        }
        assert!(started.elapsed() < TIMEOUT, "no roster");
        actix_rt::time::sleep(REPORT_INTERVAL).await;
    }
}

async fn leader(operator: &PeerClient, addresses: &[SocketAddr]) -> usize {
    let status = ask(operator, addresses, &StatusCall {}).await;
    let number = status.instance.strip_prefix("control-");
    let number = number.and_then(|number| number.parse().ok());
    number.expect("the instance's number")
}

// Guards against a request that goes on crashing servers because the leader that counted
// its crashes is gone, together with the nodes that would report them again.
#[test]
fn the_next_leader_knows_crashes_that_no_node_reports_again() {
    let mut fleet = ControlFleet::spawn();
    let addresses = fleet.addresses.clone();
    actix_rt::System::new().block_on(async {
        let operator = PeerClient::new(AccessKey::new(OPERATOR_KEY));
        let node = PeerClient::new(AccessKey::new(SYSTEM_KEY));
        wait_for_roster(&operator, &addresses).await;
        let first = leader(&operator, &addresses).await;
        for name in ["node-1", "node-2"] {
            let sent = node
                .send(addresses[first], &crash_call(name), TIMEOUT)
                .await;
            sent.expect("the leader takes the report");
        }
        actix_rt::time::sleep(SHARE_TIME).await;
        fleet.kill(first);
        let started = Instant::now();
        loop {
            for address in &addresses {
                // The killed instance does not answer.
                let _ = node.send(*address, &crash_call("node-3"), SHARE_TIME).await;
            }
            let shown = ask(&operator, &addresses, &ShowCall {}).await;
            if shown.document.quarantines.contains_key(&fingerprint()) {
                return;
            }
            assert!(started.elapsed() < TIMEOUT, "the request is not refused");
            actix_rt::time::sleep(REPORT_INTERVAL).await;
        }
    });
}
