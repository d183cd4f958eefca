//! Fleets whose processes start again together: who leads how soon, and which
//! leases still hold.

use std::time::Duration;

use crate::failures::others;
use crate::fleet::change_entry;
use crate::fleet::Fleet;

// The power of the whole fleet fails for a moment, and every process starts
// again. No node has a configuration until somebody leads, so callers are
// refused that long. All voters are there and none of them leads: nobody can
// hold a lease that one of them has forgotten, and there is nothing to wait for.
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
        // Messages take up to 50 ms here and syncs up to 60; a wait for
        // forgotten leases alone would be 500.
        let (usual, longest) = (waits[20], waits[39]);
        assert!(usual < Duration::from_millis(400), "{voters}: {waits:?}");
        assert!(
            longest < Duration::from_millis(1_500),
            "{voters}: {waits:?}"
        );
    }
}

// The same, and one instance comes back without its disk. It can be asked for
// nothing, but it says that it is new: what it led or granted is forgotten with
// the process that knew of it, and there is nothing to wait for either.
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

// Both voters that still have their disks start in the same millisecond. Were
// they to ask each other at random times, they would often stand for election
// together, neither would win, and for a second no node has a configuration.
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

/// Stops the followers of a leader that runs on by `stop`, starts them again
/// within a few milliseconds, and cuts the leader off once it has heard their
/// first questions. No two instances may answer as fresh at once meanwhile.
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

// A voter loses its disk and starts again, and so does another one with its
// disk, while the leader runs on and is cut off. The voter without a disk is
// idle, but the leader is not: its lease must have ended before anybody leads.
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

// All followers crash and start again within a few milliseconds, while their
// leader runs on and answers as fresh under the lease that they granted and
// forgot. They find each other idle at once. Did they not wait for the leader,
// which is not idle, two instances would answer as fresh at once.
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
