//! Departures of backend servers that members acknowledged, through crashes, cuts and
//! snapshots.

use std::time::Duration;

use cowslip_core::departure::Departure;

use crate::fleet::change_entry;
use crate::fleet::Fleet;

const VOTERS: usize = 3;

fn departure(number: u64) -> Departure {
    Departure {
        node: format!("node-{}", number % 7).into(),
        run: format!("run-{number}").into(),
        started_ms: Some(number),
        at_ms: number,
    }
}

/// Runs a fleet in which instances crash, hand over and are cut off while servers
/// depart and the configuration changes.
fn troubled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(VOTERS, 0, seed);
    fleet.wait_for_leader();
    for round in 0..12 {
        let at = (seed + round) as usize % VOTERS;
        match (seed / 3 + round) % 4 {
            0 => fleet.crash(at),
            1 => fleet.groups[at] = 1,
            2 => fleet.hand_over(at),
            _ => fleet.stall(at, Duration::from_millis(400)),
        }
        for member in 0..VOTERS {
            fleet.request_departure(member, departure(round));
            let id = format!("change-{round}-{member}");
            fleet.request_change(member, change_entry(&id, None));
        }
        fleet.run(Duration::from_millis(500));
        fleet.heal();
        fleet.start(at);
        fleet.run(Duration::from_millis(300));
    }
    fleet
}

// Guards against an acknowledged departure that is lost with the processes that
// acknowledged it, even if all of them are killed.
#[test]
fn an_acknowledged_departure_is_known_to_every_later_leader() {
    let mut acknowledged = 0;
    for seed in 0..60 {
        let mut fleet = troubled_fleet(seed);
        for at in 0..VOTERS {
            fleet.crash(at);
        }
        for at in 0..VOTERS {
            fleet.start(at);
        }
        fleet.wait_for_leader();
        fleet.commit_change(&change_entry("after", None));
        fleet.check_convergence(VOTERS);
        let departed = fleet.departed.clone();
        acknowledged += departed.len();
        for departure in departed {
            for at in 0..VOTERS {
                let kept = fleet.state(at).departures().contains(&departure);
                assert!(kept, "seed {seed}: {at} lost {departure:?}");
            }
        }
    }
    assert!(acknowledged > 300, "only {acknowledged} were acknowledged");
}

// Guards against a departure that makes a new version of the configuration, which every
// node would fetch.
#[test]
fn a_departure_leaves_the_configuration_as_it_is() {
    let mut fleet = Fleet::new(VOTERS, 0, 1);
    let leader = fleet.wait_for_leader();
    fleet.commit_change(&change_entry("before", None));
    let before = fleet.state(leader).snapshot().version;
    fleet.request_departure(leader, departure(1));
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.departed, [departure(1)]);
    assert_eq!(fleet.state(leader).snapshot().version, before);
}
