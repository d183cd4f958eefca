//! Elections while syncs take longer than an election timeout.

use std::time::Duration;

use crate::fleet::change_entry;
use crate::fleet::Fleet;

/// Sync times of the three instances, in milliseconds.
const SYNC_TIMES: [[u64; 3]; 5] = [
    [300, 300, 300],
    [700, 700, 700],
    [2_000, 2_000, 2_000],
    [0, 1_500, 1_500],
    [1_500, 0, 700],
];

/// Elections that a start may take: the first two may end with split votes.
const ELECTIONS: u32 = 3;

/// Longest election timeout on an ordinary disk.
const TIMEOUT_MAX: Duration = Duration::from_millis(900);

fn slow_fleet(sync_times: [u64; 3], seed: u64) -> Fleet {
    let mut fleet = Fleet::new(3, 0, seed);
    for (instance, time) in fleet.instances.iter_mut().zip(sync_times) {
        instance.sync_time = Duration::from_millis(time);
    }
    fleet
}

/// Runs until there is a leader, and checks that this took no more than the
/// elections, the sync of the log's first record and that of the leader's first
/// entry. Each election takes a timeout, which includes a sync, and one sync
/// each of the candidate and of its voters.
fn expect_leader(fleet: &mut Fleet, sync_times: [u64; 3], seed: u64) {
    let slowest = Duration::from_millis(sync_times.into_iter().max().unwrap_or(0));
    let allowed = (TIMEOUT_MAX + slowest * 3) * ELECTIONS + slowest * 2;
    let until = fleet.now + allowed;
    while fleet.lease_holders().is_empty() {
        assert!(
            fleet.now < until,
            "{sync_times:?}, seed {seed}: {allowed:?}"
        );
        fleet.run(Duration::from_millis(10));
    }
}

// Guards against elections that never end on slow disks: candidates gave up
// before the votes for them were synced, and each further term took another sync.
#[test]
fn slow_syncs_do_not_prevent_a_leader() {
    for sync_times in SYNC_TIMES {
        for seed in 0..40 {
            let mut fleet = slow_fleet(sync_times, seed);
            expect_leader(&mut fleet, sync_times, seed);
            fleet.commit_change(&change_entry("before", None));
            for at in 0..3 {
                fleet.crash(at);
            }
            for at in 0..3 {
                fleet.start(at);
            }
            expect_leader(&mut fleet, sync_times, seed);
        }
    }
}
