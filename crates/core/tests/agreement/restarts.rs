//! Simultaneous restarts: how soon there is a leader, and whether earlier
//! leases are respected.

use std::time::Duration;

use crate::failures::others;
use crate::fleet::change_entry;
use crate::fleet::Fleet;

// Guards against a slow election after a power failure that restarts every
// process: until there is a leader, no node has a configuration and callers are
// refused. Since all voters have restarted and none leads, no lease can still
// hold and the voters need not wait for one.
#[test]
fn a_full_restart_elects_a_leader_quickly() {
    for voters in [3, 5] {
        let mut waits = Vec::new();
        for seed in 0..40 {
            let mut fleet = Fleet::new(voters, 0, seed);
            fleet.wait_for_leader();
            fleet.commit_change(&change_entry("before", None));
            for at in 0..voters {
                fleet.crash(at);
            }
            fleet.run(Duration::from_millis(650));
            for at in 0..voters {
                fleet.start(at);
            }
            let started = fleet.now;
            fleet.wait_for_leader();
            waits.push(fleet.now - started);
            fleet.commit_change(&change_entry("after", None));
            fleet.check_convergence(voters);
        }
        waits.sort();
        // Messages take up to 50 ms here and syncs up to 60 ms; the wait for
        // earlier leases alone would take 500 ms.
        let (usual, longest) = (waits[20], waits[39]);
        assert!(usual < Duration::from_millis(400), "{voters}: {waits:?}");
        assert!(
            longest < Duration::from_millis(1_500),
            "{voters}: {waits:?}"
        );
    }
}

// Guards against a slow election after a full restart in which one instance
// returns with an empty disk. That instance has no vote, but its hellos show
// that its folder is new: any lease that it held or granted ended with its old
// process, so the other voters need not wait for one.
#[test]
fn a_full_restart_with_a_lost_disk_elects_a_leader_quickly() {
    for voters in [3, 5] {
        let mut waits = Vec::new();
        for seed in 0..40 {
            let mut fleet = Fleet::with_voter_target(voters, 0, voters, seed);
            fleet.wait_for_leader();
            fleet.commit_change(&change_entry("before", None));
            fleet.run(Duration::from_secs(1));
            for at in 1..voters {
                fleet.crash(at);
            }
            fleet.wipe(0);
            fleet.run(Duration::from_millis(650));
            for at in 0..voters {
                fleet.start(at);
            }
            let started = fleet.now;
            fleet.wait_for_leader();
            waits.push(fleet.now - started);
            fleet.commit_change(&change_entry("after", None));
            fleet.check_convergence(voters);
        }
        waits.sort();
        let usual = waits[20];
        assert!(usual < Duration::from_millis(450), "{voters}: {waits:?}");
    }
}

// Guards against split votes after a full restart. The two voters that still
// have their disks start in the same millisecond. If they polled each other at
// random times, both would often become candidates and neither would win, and
// no node would have a configuration for a second.
#[test]
fn simultaneous_restarts_rarely_split_votes() {
    let mut split = 0;
    for seed in 0..100 {
        let mut fleet = Fleet::with_voter_target(3, 0, 3, seed);
        fleet.low_latency = true;
        fleet.wait_for_leader();
        fleet.commit_change(&change_entry("before", None));
        fleet.run(Duration::from_secs(1));
        let before = fleet.highest_term();
        for at in 1..3 {
            fleet.crash(at);
        }
        fleet.wipe(0);
        fleet.run(Duration::from_millis(650));
        for at in 0..3 {
            fleet.start(at);
        }
        fleet.wait_for_leader();
        split += usize::from(fleet.highest_term() > before + 1);
    }
    assert!(split <= 5, "{split} of 100 elections had no winner");
}

/// Stops the followers with `stop` while their leader keeps running, restarts
/// them, and partitions the leader shortly after it may have received their
/// first polls. The run asserts that no two instances hold a lease at once.
fn check_follower_restart(
    mut fleet: Fleet,
    voters: usize,
    seed: u64,
    stop: fn(&mut Fleet, &[usize]),
) {
    let leader = fleet.wait_for_leader();
    fleet.commit_change(&change_entry("before", None));
    if !fleet.lease_holders().contains(&leader) {
        return;
    }
    let followers = others(&fleet, leader);
    stop(&mut fleet, &followers);
    for at in &followers {
        fleet.start(*at);
    }
    fleet.run(Duration::from_millis(10 + 5 * (seed % 25)));
    fleet.groups[leader] = 1;
    fleet.run(Duration::from_secs(2));
    fleet.heal();
    fleet.wait_for_leader();
    fleet.commit_change(&change_entry("after", None));
    fleet.check_convergence(voters);
}

// Guards against two leases at once: one follower restarts with an empty disk
// and the others with theirs, while the leader keeps running and is then
// partitioned. The follower with the empty disk counts as idle, but the leader
// does not: its lease must expire before another instance leads.
#[test]
fn a_lost_disk_does_not_end_the_leaders_lease() {
    for voters in [3, 5] {
        for seed in 0..200 {
            let fleet = Fleet::with_voter_target(voters, 0, voters, seed);
            check_follower_restart(fleet, voters, seed, |fleet, followers| {
                fleet.wipe(followers[0]);
                for at in &followers[1..] {
                    fleet.crash(*at);
                }
            });
        }
    }
}

// Guards against two leases at once: all followers crash and restart within a
// few milliseconds, while their leader keeps running under a lease that they
// granted and no longer know of. They find each other idle at once, but must
// wait, because the leader is not idle.
#[test]
fn restarted_followers_respect_the_leaders_lease() {
    for voters in [3, 5] {
        for seed in 0..200 {
            let fleet = Fleet::new(voters, 0, seed);
            check_follower_restart(fleet, voters, seed, |fleet, followers| {
                for at in followers {
                    fleet.crash(*at);
                }
            });
        }
    }
}
