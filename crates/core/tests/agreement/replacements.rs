//! Control instances that are replaced for good, lose their disks or start
//! again, as far as a fleet must bear it.

use std::time::Duration;

use crate::failures::others;
use crate::fleet::change;
use crate::fleet::Fleet;

/// Time from the loss of an instance to the start of its successor.
const SUCCESSION: Duration = Duration::from_secs(1);

/// Time after its start in which a successor takes over what was lost.
const CATCH_UP: Duration = Duration::from_secs(4);

// Guards against successors that never vote: the last founder to go takes
// everything that was accepted with it.
#[test]
fn replaced_instances_leave_their_votes_to_their_successors() {
    for voters in [3, 5] {
        for seed in 0..20 {
            let mut fleet = Fleet::joining(voters, 0, voters, seed);
            fleet.settle();
            fleet.decide(&change("kept", None));
            let mut present: Vec<usize> = (0..voters).collect();
            for _ in 0..voters {
                let lost = present.remove(0);
                fleet.remove(lost);
                fleet.run(SUCCESSION);
                present.push(fleet.add(vec![lost, present[0], present[1]]));
                fleet.run(CATCH_UP);
            }
            for at in &present {
                fleet.crash(*at);
            }
            fleet.run(SUCCESSION);
            for at in &present {
                fleet.start(*at);
            }
            fleet.run(Duration::from_secs(15));
            let leading = fleet.leading();
            assert_eq!(leading.len(), 1, "{voters} voters, seed {seed}: no leader");
            assert!(fleet.state(leading[0]).answer("kept").is_some());
        }
    }
}

// Guards against a new instance that the leader never hears of, because none of
// the instances in its settings leads.
#[test]
fn an_instance_whose_seeds_do_not_lead_is_taken_in() {
    for seed in 0..20 {
        let mut fleet = Fleet::joining(4, 0, 5, seed);
        let leader = fleet.settle();
        fleet.decide(&change("kept", None));
        let seeds = others(&fleet, leader);
        let added = fleet.add(seeds);
        fleet.run(CATCH_UP);
        assert!(fleet.has_vote(added), "seed {seed}");
    }
}

// Guards against a member that was cut off, gave its place to another one and
// is never taken in again, so that the fleet runs out of instances.
#[test]
fn a_member_that_lost_its_place_comes_back_when_it_is_needed() {
    for seed in 0..20 {
        let mut fleet = Fleet::joining(3, 0, 3, seed);
        let leader = fleet.settle();
        fleet.decide(&change("kept", None));
        let followers = others(&fleet, leader);
        let cut_off = followers[0];
        fleet.groups[cut_off] = 1;
        let added = fleet.add(vec![leader, followers[1]]);
        fleet.run(CATCH_UP);
        assert!(fleet.has_vote(added), "seed {seed}: the new one");
        fleet.decide(&change("missed", None));
        fleet.groups[cut_off] = 0;
        fleet.run(CATCH_UP);
        fleet.remove(added);
        fleet.run(CATCH_UP);
        assert!(fleet.has_vote(cut_off), "seed {seed}: the one cut off");
        assert!(fleet.state(cut_off).answer("missed").is_some());
    }
}

// Guards against members that run on without a part in the agreement after
// their disks failed for a while, until no majority is left.
#[test]
fn members_whose_disks_failed_one_after_another_take_part_again() {
    for seed in 0..20 {
        let mut fleet = Fleet::joining(3, 0, 3, seed);
        fleet.settle();
        fleet.decide(&change("kept", None));
        for at in 0..3 {
            fleet.fail_disk(at);
            fleet.decide(&change(&format!("during-{at}"), None));
            fleet.reopen(at);
            fleet.run(CATCH_UP);
        }
        fleet.check_end(3);
    }
}
