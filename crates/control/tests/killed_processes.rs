//! Control processes that are killed while changes are in progress.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::MoveLine;
use cowslip_wire::messages::MovesCall;
use cowslip_wire::peer_client::PeerClient;

use self::control_fleet::ask;
use self::control_fleet::ControlFleet;
use self::control_fleet::OPERATOR_KEY;

#[path = "support/control_fleet.rs"]
mod control_fleet;

const CHANGES: u64 = 500;

/// Number of changes between kills; a killed process is restarted at the next
/// kill.
const KILL_EVERY: u64 = 60;

fn change(number: u64) -> ChangeCall {
    let entry = ChangeEntry {
        request_id: format!("change-{number}").into(),
        expected: None,
        at_ms: number,
        change: ConfigChange::SetDefault {
            key: TuningKey::DeadlineMs,
            value: 1_000 + number,
        },
    };
    ChangeCall { entry }
}

// Guards against accepted changes that are lost or applied twice, and against
// version numbers that are used twice, when processes are killed: one at a
// time, and once all three, while the operator sends and resends changes.
#[test]
fn killed_processes_lose_no_change_and_reuse_no_version() {
    let mut fleet = ControlFleet::spawn();
    let addresses = fleet.addresses.clone();
    let (accepted, lines) = actix_rt::System::new().block_on(async {
        let client = PeerClient::new(AccessKey::new(OPERATOR_KEY));
        let mut accepted = BTreeMap::new();
        for number in 0..CHANGES {
            let call = change(number);
            // The change is in progress when the process is killed.
            let answer = {
                let addresses = addresses.clone();
                let client = client.clone();
                actix_rt::spawn(async move { ask(&client, &addresses, &call).await })
            };
            if number % KILL_EVERY == KILL_EVERY - 1 {
                actix_rt::time::sleep(Duration::from_millis(2)).await;
                kill_and_restart(&mut fleet, number / KILL_EVERY);
            }
            match answer.await.expect("the request task ends") {
                ChangeOutcome::Accepted { version } => {
                    accepted.insert(number, version);
                }
                refused => panic!("change {number}: {refused:?}"),
            }
        }
        let moves = MovesCall { version: None };
        let lines: Vec<MoveLine> = ask(&client, &addresses, &moves).await;
        (accepted, lines)
    });
    assert_eq!(accepted.len() as u64, CHANGES);
    let mut previous = ConfigVersion::ZERO;
    let mut listed = BTreeMap::new();
    for line in &lines {
        assert!(line.version > previous, "{} was used twice", line.version);
        previous = line.version;
        assert!(listed.insert(line.at_ms, line.version).is_none());
    }
    assert_eq!(listed, accepted);
}

/// Restarts the processes killed before, then kills one process, or kills and
/// restarts all of them.
fn kill_and_restart(fleet: &mut ControlFleet, round: u64) {
    let controls = fleet.addresses.len();
    for at in 0..controls {
        fleet.start(at);
    }
    if round == 4 {
        for at in 0..controls {
            fleet.kill(at);
        }
        for at in 0..controls {
            fleet.start(at);
        }
        return;
    }
    fleet.kill(round as usize % controls);
}
