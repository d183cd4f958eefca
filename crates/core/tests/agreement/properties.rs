//! Safety and convergence under random faults.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::document::FleetDocument;

use crate::fleet::change_entry;
use crate::fleet::Fleet;

/// One random action on the fleet.
#[derive(Clone, Debug)]
enum FleetStep {
    Run(u64),
    Change(usize),
    Crash(usize),
    CrashAll(u64),
    CrashLeader,
    PartitionLeader,
    Stall(usize, u64),
    Start(usize),
    Partition(u32),
    MessageLoss(u32),
    HandOver(usize),
    Replace(usize),
}

fn step(members: usize) -> impl Strategy<Value = FleetStep> {
    prop_oneof![
        4 => (10_u64..1_500).prop_map(FleetStep::Run),
        6 => (10_u64..80).prop_map(FleetStep::Run),
        1 => Just(FleetStep::CrashLeader),
        1 => (0_u64..700).prop_map(FleetStep::CrashAll),
        1 => Just(FleetStep::PartitionLeader),
        2 => (0..members, 50_u64..2_000).prop_map(|(at, time)| FleetStep::Stall(at, time)),
        8 => (0..members).prop_map(FleetStep::Change),
        2 => (0..members).prop_map(FleetStep::Crash),
        3 => (0..members).prop_map(FleetStep::Start),
        2 => (0_u32..1 << members).prop_map(FleetStep::Partition),
        1 => (0_u32..40).prop_map(FleetStep::MessageLoss),
        1 => (0..members).prop_map(FleetStep::HandOver),
        1 => (0..members).prop_map(FleetStep::Replace),
    ]
}

fn apply_step(
    fleet: &mut Fleet,
    members: usize,
    number: usize,
    step: &FleetStep,
    change: fn(&str) -> ChangeEntry,
) {
    match step {
        FleetStep::Run(millis) => fleet.run(Duration::from_millis(*millis)),
        FleetStep::Change(at) => {
            // Every third request resends an earlier one.
            let request = if number.is_multiple_of(3) {
                number / 2
            } else {
                number
            };
            let entry = change(&format!("request-{request}"));
            fleet.request_change(*at, entry.clone());
            for leader in fleet.lease_holders() {
                fleet.request_change(leader, entry.clone());
            }
        }
        FleetStep::Crash(at) => fleet.crash(*at),
        FleetStep::CrashAll(millis) => {
            for at in 0..members {
                fleet.crash(at);
            }
            fleet.run(Duration::from_millis(*millis));
            for at in 0..members {
                fleet.start(at);
            }
        }
        FleetStep::CrashLeader => {
            for leader in fleet.lease_holders() {
                fleet.crash(leader);
            }
        }
        FleetStep::PartitionLeader => {
            for leader in fleet.lease_holders() {
                fleet.groups[leader] = 2;
            }
        }
        FleetStep::Stall(at, millis) => {
            fleet.stall(*at, Duration::from_millis(*millis));
        }
        FleetStep::Start(at) => fleet.start(*at),
        FleetStep::Partition(mask) => {
            for at in 0..members {
                fleet.groups[at] = mask >> at & 1;
            }
        }
        FleetStep::MessageLoss(percent) => fleet.loss_percent = *percent,
        FleetStep::HandOver(at) => fleet.event(*at, ReplicaEvent::HandOver),
        FleetStep::Replace(at) => {
            // One loss at a time, while all other instances are healthy.
            fleet.heal();
            fleet.run(Duration::from_secs(1));
            // The vote of an instance that was replaced before may not be committed
            // yet.
            for at in 0..members {
                fleet.add_until_voter(at);
            }
            fleet.run(Duration::from_secs(1));
            fleet.wipe(*at);
            fleet.start(*at);
            fleet.add_until_voter(*at);
        }
    }
}

fn light_change(id: &str) -> ChangeEntry {
    change_entry(id, None)
}

/// Bytes of a heavy change: a few of them are more than members hold in memory and
/// than a log keeps before it is compacted.
const HEAVY_BYTES: usize = 900_000;

fn heavy_change(id: &str) -> ChangeEntry {
    let mut document = FleetDocument::default();
    let label = format!("{id}{}", "x".repeat(HEAVY_BYTES));
    document.labels.insert("note".into(), label.into());
    ChangeEntry {
        change: ConfigChange::Apply(document),
        ..change_entry(id, None)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn three_members_keep_all_invariants(
        seed in any::<u64>(),
        steps in vec(step(3), 1..60),
    ) {
        let mut fleet = Fleet::new(3, 0, seed);
        for (number, step) in steps.iter().enumerate() {
            apply_step(&mut fleet, 3, number, step, light_change);
        }
        fleet.check_convergence(3);
    }

    #[test]
    fn five_members_keep_all_invariants(
        seed in any::<u64>(),
        steps in vec(step(5), 1..60),
    ) {
        let mut fleet = Fleet::new(5, 0, seed);
        for (number, step) in steps.iter().enumerate() {
            apply_step(&mut fleet, 5, number, step, light_change);
        }
        fleet.check_convergence(5);
    }
    // Guards against changes that are lost because only the disk holds them: members
    // release entries, take snapshots and send them in the middle of every fault.
    #[test]
    fn members_that_read_heavy_changes_from_disk_keep_all_invariants(
        seed in any::<u64>(),
        steps in vec(step(3), 30..90),
    ) {
        let mut fleet = Fleet::new(3, 0, seed);
        fleet.reads_entries = true;
        for (number, step) in steps.iter().enumerate() {
            apply_step(&mut fleet, 3, number, step, heavy_change);
        }
        fleet.check_convergence(3);
    }
}
