//! Control instances that are replaced, lose their disks or restart, up to the
//! number of failures that a fleet must tolerate.

use std::time::Duration;

use crate::failures::others;
use crate::fleet::change_entry;
use crate::fleet::Fleet;

/// Time from the loss of an instance to the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

/// Time after its start in which a replacement must have become a voter.
const CATCH_UP: Duration = Duration::from_secs(4);

// Guards against replacement instances that never become voters: accepted
// changes would be lost with the last of the original voters.
#[test]
fn replacement_instances_become_voters() {
    for voters in [3, 5] {
        for seed in 0..20 {
            let mut fleet = Fleet::with_voter_target(voters, 0, voters, seed);
            fleet.wait_for_leader();
            fleet.commit_change(&change_entry("kept", None));
            let mut present: Vec<usize> = (0..voters).collect();
            for _ in 0..voters {
                let lost = present.remove(0);
                fleet.remove(lost);
                fleet.run(REPLACEMENT_DELAY);
                present.push(fleet.add(vec![lost, present[0], present[1]]));
                fleet.run(CATCH_UP);
            }
            for at in &present {
                fleet.crash(*at);
            }
            fleet.run(REPLACEMENT_DELAY);
            for at in &present {
                fleet.start(*at);
            }
            fleet.run(Duration::from_secs(15));
            let lease_holders = fleet.lease_holders();
            assert_eq!(
                lease_holders.len(),
                1,
                "{voters} voters, seed {seed}: no leader"
            );
            assert!(fleet.state(lease_holders[0]).answer("kept").is_some());
        }
    }
}

// Guards against a new instance that the leader never learns of, because none
// of the instances in its settings leads.
#[test]
fn an_instance_whose_seeds_do_not_lead_is_added() {
    for seed in 0..20 {
        let mut fleet = Fleet::with_voter_target(4, 0, 5, seed);
        let leader = fleet.wait_for_leader();
        fleet.commit_change(&change_entry("kept", None));
        let seeds = others(&fleet, leader);
        let added = fleet.add(seeds);
        fleet.run(CATCH_UP);
        assert!(fleet.has_vote(added), "seed {seed}");
    }
}

// Guards against a member that was replaced while it was partitioned and can
// never be added again, so that the fleet runs out of instances.
#[test]
fn a_replaced_member_is_added_again_when_needed() {
    for seed in 0..20 {
        let mut fleet = Fleet::with_voter_target(3, 0, 3, seed);
        let leader = fleet.wait_for_leader();
        fleet.commit_change(&change_entry("kept", None));
        let followers = others(&fleet, leader);
        let cut_off = followers[0];
        fleet.groups[cut_off] = 1;
        let added = fleet.add(vec![leader, followers[1]]);
        fleet.run(CATCH_UP);
        assert!(fleet.has_vote(added), "seed {seed}: the added instance");
        fleet.commit_change(&change_entry("missed", None));
        fleet.groups[cut_off] = 0;
        fleet.run(CATCH_UP);
        fleet.remove(added);
        fleet.run(CATCH_UP);
        assert!(
            fleet.has_vote(cut_off),
            "seed {seed}: the partitioned member"
        );
        assert!(fleet.state(cut_off).answer("missed").is_some());
    }
}

// Guards against members that no longer vote after a temporary disk failure,
// until no majority is left.
#[test]
fn members_vote_again_after_consecutive_disk_failures() {
    for seed in 0..20 {
        let mut fleet = Fleet::with_voter_target(3, 0, 3, seed);
        fleet.wait_for_leader();
        fleet.commit_change(&change_entry("kept", None));
        for at in 0..3 {
            fleet.fail_disk(at);
            fleet.commit_change(&change_entry(&format!("during-{at}"), None));
            fleet.reopen(at);
            fleet.run(CATCH_UP);
        }
        fleet.check_convergence(3);
    }
}
