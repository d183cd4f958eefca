//! Control processes under changes of hundreds of kilobytes.

use std::fs;
use std::time::Duration;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::codec;
use cowslip_wire::codec::MESSAGE_BYTES_MAX;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::ShowCall;
use cowslip_wire::peer_client::PeerClient;

use self::control_fleet::ask;
use self::control_fleet::ControlFleet;
use self::control_fleet::OPERATOR_KEY;

#[path = "support/control_fleet.rs"]
mod control_fleet;

/// Together more than the memory of a control instance.
const CHANGES: usize = 150;
const CHANGE_BYTES: usize = 700_000;

/// Most memory and disk space that a control instance may use, in bytes.
const LIMIT_BYTES: u64 = 64 * 1024 * 1024;

fn change(number: usize, bytes: usize) -> ChangeCall {
    let mut document = FleetDocument::default();
    let label = format!("{number}-{}", "x".repeat(bytes));
    document.labels.insert("note".into(), label.into());
    let entry = ChangeEntry {
        request_id: format!("change-{number}").into(),
        expected: None,
        at_ms: 0,
        change: ConfigChange::Apply(document),
    };
    ChangeCall { entry }
}

/// Most memory that the process has used since its start, without what its program
/// file backs, in bytes.
fn peak_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the status of a process");
    let kilobytes = |name: &str| -> u64 {
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix(name));
        let mut words = line.expect("a line of that name").split_whitespace();
        words.next().expect("a number").parse().expect("a number")
    };
    (kilobytes("VmHWM:") - kilobytes("RssFile:")) * 1024
}

fn check_limits(fleet: &ControlFleet, when: &str) {
    for (at, child) in fleet.children.iter().enumerate() {
        let child = child.as_ref().expect("it runs");
        let memory = peak_memory(child.id());
        assert!(
            memory < LIMIT_BYTES,
            "control-{at} has used {memory} bytes {when}"
        );
        let folder = fleet.folder.path().join(format!("data-{at}"));
        let mut disk = 0;
        for file in fs::read_dir(folder).expect("a data folder") {
            let file = file.expect("a file").metadata();
            // A file that is being replaced may be gone.
            disk += file.map_or(0, |file| file.len());
        }
        assert!(
            disk < LIMIT_BYTES,
            "control-{at} stores {disk} bytes {when}"
        );
    }
}

// Guards against control processes that need more memory with each change, and so much
// for a start that they never serve again after all of them were killed.
#[test]
fn killed_processes_start_within_their_memory_after_heavy_changes() {
    let mut fleet = ControlFleet::spawn();
    let addresses = fleet.addresses.clone();
    let client = || PeerClient::new(AccessKey::new(OPERATOR_KEY));
    let newest = actix_rt::System::new().block_on(async {
        let client = client();
        let mut newest = ConfigVersion::ZERO;
        for number in 0..CHANGES {
            match ask(&client, &addresses, &change(number, CHANGE_BYTES)).await {
                ChangeOutcome::Accepted { version } => newest = version,
                refused => panic!("change {number}: {refused:?}"),
            }
        }
        newest
    });
    check_limits(&fleet, "before the kill");
    for at in 0..addresses.len() {
        fleet.kill(at);
    }
    for at in 0..addresses.len() {
        fleet.start(at);
    }
    let shown: ConfigSnapshot = actix_rt::System::new().block_on(async {
        let shown = ask(&client(), &addresses, &ShowCall {}).await;
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        shown
    });
    assert_eq!(shown.version, newest);
    check_limits(&fleet, "after the kill");
}

// Guards against a log that stops for good: an order as large as a message may be is one
// that the leader can take and no other instance can receive.
#[test]
fn an_order_too_large_to_be_agreed_on_is_refused() {
    let fleet = ControlFleet::spawn();
    let addresses = fleet.addresses.clone();
    let empty = codec::encode(&change(1, 0)).expect("it is encoded").len();
    // Longer strings have a longer length field.
    let largest = change(1, MESSAGE_BYTES_MAX - empty - 8);
    actix_rt::System::new().block_on(async {
        let client = PeerClient::new(AccessKey::new(OPERATOR_KEY));
        let small = change(2, 10);
        ask(&client, &addresses, &change(0, 10)).await;
        let sent = actix_rt::time::timeout(
            Duration::from_secs(10),
            ask(&client, &addresses, &largest),
        );
        let refused = sent.await.expect("it is answered");
        assert!(matches!(refused, ChangeOutcome::Invalid { .. }));
        let outcome = ask(&client, &addresses, &small).await;
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    });
}
