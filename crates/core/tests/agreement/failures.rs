//! One test for each failure that users reported as a concern.

use std::time::Duration;

use cowslip_core::agreement::timing::HELLO_MAX_AGE;
use cowslip_core::agreement::ChangeAnswer;
use cowslip_core::agreement::EntryBody;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::MemberAnswer;
use cowslip_core::agreement::MemberChange;
use cowslip_core::agreement::MemberList;
use cowslip_core::agreement::MemberRecord;
use cowslip_core::agreement::MemberRefusal;
use cowslip_core::agreement::MemberRole;
use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::EvacuationChange;
use cowslip_core::version::ConfigVersion;

use crate::fleet::address;
use crate::fleet::change_entry;
use crate::fleet::name;
use crate::fleet::Fleet;

/// Maximum time that a partitioned leader answers as fresh: its lease on the
/// slowest clock allowed, plus one step of the simulation.
const STALE_MAX: Duration = Duration::from_millis(490);

fn accepted_version(outcome: &ChangeOutcome) -> ConfigVersion {
    match outcome {
        ChangeOutcome::Accepted { version } => *version,
        refused => panic!("{refused:?}"),
    }
}

pub fn others(fleet: &Fleet, except: usize) -> Vec<usize> {
    (0..fleet.instances.len())
        .filter(|at| *at != except)
        .collect()
}

// Guards against a leader in a minority partition that keeps accepting changes
// and answering as fresh. It must stop within its lease while the others go on,
// and the outcome of its last change must be unknown, not accepted.
#[test]
fn a_cut_off_leader_stops_within_its_lease() {
    let mut fleet = Fleet::new(3, 0, 1);
    let leader = fleet.wait_for_leader();
    fleet.commit_change(&change_entry("before", None));
    let leader = if fleet.lease_holders().contains(&leader) {
        leader
    } else {
        fleet.wait_for_leader()
    };
    fleet.groups[leader] = 1;
    fleet.request_change(leader, change_entry("lost", None));
    fleet.run(STALE_MAX);
    assert!(!fleet.lease_holders().contains(&leader));
    fleet.request_change(leader, change_entry("late", None));
    fleet.run(Duration::from_secs(4));
    assert!(!fleet.answers.contains_key("lost") && !fleet.answers.contains_key("late"));
    assert!(fleet.unknown.contains("lost") && !fleet.unknown.contains("late"));
    assert_ne!(fleet.wait_for_leader(), leader);
    fleet.commit_change(&change_entry("after", None));
    fleet.check_convergence(3);
}

// Guards against two leases at once: the leader holds a lease granted by one
// follower, which crashes and restarts. The other follower has received no
// message from the leader for a while and requests its vote. A voter that
// ignored its earlier lease would help elect a second leader.
#[test]
fn a_restarted_voter_keeps_the_lease_it_granted() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(3, 0, seed);
        let leader = fleet.wait_for_leader();
        fleet.commit_change(&change_entry("before", None));
        let followers = others(&fleet, leader);
        fleet.groups[followers[1]] = 1;
        fleet.run(Duration::from_secs(3));
        if !fleet.lease_holders().contains(&leader) {
            continue;
        }
        fleet.groups[followers[0]] = 1;
        fleet.crash(followers[0]);
        fleet.start(followers[0]);
        // `Fleet::run` asserts that there are never two leases.
        fleet.run(Duration::from_secs(5));
    }
}

// Guards against lost changes when a second instance is lost for good right
// after a repaired one regained its vote, with the third one behind. The
// repaired instance must hold every accepted change.
#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut fleet = Fleet::new(3, 0, 3);
    for number in 0..20 {
        fleet.commit_change(&change_entry(&format!("early-{number}"), None));
    }
    let leader = fleet.wait_for_leader();
    let followers = others(&fleet, leader);
    fleet.wipe(followers[0]);
    fleet.start(followers[0]);
    fleet.add_until_voter(followers[0]);
    fleet.groups[followers[1]] = 1;
    for number in 0..5 {
        fleet.commit_change(&change_entry(&format!("late-{number}"), None));
    }
    // The leader never comes back.
    let lost = fleet.wait_for_leader();
    fleet.groups[followers[1]] = 0;
    fleet.groups[lost] = 2;
    fleet.run(Duration::from_secs(5));
    let next = fleet.wait_for_leader();
    let last = fleet.commit_change(&change_entry("last", None));
    let state = fleet.state(next);
    assert_eq!(state.answer("last"), Some(&last));
    for (request, outcome) in &fleet.answers {
        assert_eq!(state.answer(request), Some(outcome), "{request} was lost");
    }
}

// Guards against a repaired instance that gets a vote before it holds the log,
// however slowly it catches up.
#[test]
fn a_repaired_member_does_not_vote_before_it_holds_the_log() {
    let mut fleet = Fleet::new(3, 0, 4);
    for number in 0..20 {
        fleet.commit_change(&change_entry(&format!("early-{number}"), None));
    }
    let leader = fleet.wait_for_leader();
    let repaired = others(&fleet, leader)[0];
    // Twice, since the leader's progress of a lost folder must not count.
    for _ in 0..2 {
        fleet.wipe(repaired);
        fleet.start(repaired);
        fleet.run(Duration::from_secs(1));
        let leader = fleet.wait_for_leader();
        fleet.request_members(
            leader,
            MemberChange::Add {
                instance: name(repaired),
                address: address(repaired),
            },
        );
        fleet.groups[repaired] = 1;
        fleet.run(Duration::from_secs(3));
        assert!(!fleet.has_vote(repaired));
        fleet.groups[repaired] = 0;
        fleet.add_until_voter(repaired);
        let held = fleet.instances[repaired].disk.entries.len();
        assert!(held > 20, "it became a voter with {held} entries");
    }
    fleet.check_convergence(3);
}

// Guards against a repaired instance that gets a vote because it answers
// heartbeats, while its disk hangs with half of the log synced.
#[test]
fn a_repaired_member_with_half_the_log_does_not_vote() {
    let mut fleet = Fleet::new(3, 0, 14);
    for burst in 0..3 {
        let leader = fleet.wait_for_leader();
        for number in 0..500 {
            fleet
                .request_change(leader, change_entry(&format!("{burst}-{number}"), None));
        }
        fleet.run(Duration::from_millis(400));
    }
    let leader = fleet.wait_for_leader();
    let repaired = others(&fleet, leader)[0];
    fleet.wipe(repaired);
    fleet.start(repaired);
    fleet.run(Duration::from_millis(200));
    let change = MemberChange::Add {
        instance: name(repaired),
        address: address(repaired),
    };
    fleet.request_members(leader, change);
    while fleet.instances[repaired].disk.entries.is_empty() {
        fleet.run(Duration::from_millis(10));
    }
    fleet.stall(repaired, Duration::from_secs(3));
    fleet.run(Duration::from_secs(2));
    let held = fleet.instances[repaired].disk.entries.len();
    assert!(held < 1_500, "it holds {held} entries already");
    assert!(!fleet.has_vote(repaired));
    fleet.run(Duration::from_secs(2));
    assert!(fleet.has_vote(repaired));
    fleet.check_convergence(3);
}

// Guards against an instance that returns with an empty folder, having lost
// what it acknowledged, and forms a majority with one other while the third is
// down. It must not bootstrap a second log either, although it bootstrapped the
// first. Once the crashed instance is back, changes are accepted again.
#[test]
fn an_empty_folder_does_not_vote() {
    let mut fleet = Fleet::new(3, 0, 5);
    fleet.commit_change(&change_entry("before", None));
    fleet.wipe(0);
    fleet.start(0);
    fleet.crash(1);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.lease_holders(), Vec::<usize>::new());
    fleet.start(1);
    fleet.commit_change(&change_entry("after", None));
    assert!(!fleet.has_vote(0));
    fleet.add_until_voter(0);
    fleet.check_convergence(3);
}

// Guards against an instance whose disk an operator restored from an old copy.
// It looks healthy but has lost entries that it acknowledged. The others must
// detect this, also under a new leader, and the instance must neither vote nor
// acknowledge until it is added again with an empty folder.
#[test]
fn a_rolled_back_folder_is_detected() {
    let mut fleet = Fleet::new(3, 0, 6);
    fleet.commit_change(&change_entry("early", None));
    let leader = fleet.wait_for_leader();
    let rolled_back = others(&fleet, leader)[0];
    fleet.run(Duration::from_secs(1));
    let copy = fleet.instances[rolled_back].disk.clone();
    let starts = fleet.instances[rolled_back].starts;
    for number in 0..5 {
        fleet.commit_change(&change_entry(&format!("late-{number}"), None));
    }
    fleet.run(Duration::from_secs(1));
    fleet.crash(rolled_back);
    let leader = fleet.wait_for_leader();
    fleet.event(leader, ReplicaEvent::HandOver);
    fleet.run(Duration::from_secs(3));
    fleet.instances[rolled_back].disk = copy;
    fleet.instances[rolled_back].starts = starts;
    fleet.start(rolled_back);
    fleet.run(Duration::from_secs(5));
    let member = fleet.instances[rolled_back].member.as_ref();
    assert!(member.expect("the instance runs").agreement().is_barred());
    assert!(fleet.instances[rolled_back].disk.hard.barred);
    let leader = fleet.wait_for_leader();
    fleet.request_members(
        leader,
        MemberChange::Add {
            instance: name(rolled_back),
            address: address(rolled_back),
        },
    );
    let refused =
        ChangeAnswer::Decided(MemberAnswer::Refused(MemberRefusal::AlreadyMember));
    assert_eq!(fleet.member_answers.last(), Some(&refused));
    fleet.wipe(rolled_back);
    fleet.start(rolled_back);
    fleet.add_until_voter(rolled_back);
    fleet.check_convergence(3);
}

// Guards against changes that are answered as accepted but not synced, when the
// leader's disk is full. The leader must step down and no longer count in
// majorities, and the others go on.
#[test]
fn a_full_disk_acknowledges_nothing() {
    let mut fleet = Fleet::new(3, 0, 7);
    fleet.commit_change(&change_entry("before", None));
    let full = fleet.wait_for_leader();
    fleet.request_change(full, change_entry("waiting", None));
    fleet.event(full, ReplicaEvent::DiskFailed);
    assert!(fleet.unknown.contains("waiting"));
    fleet.run(Duration::from_secs(5));
    let next = fleet.wait_for_leader();
    assert_ne!(next, full);
    fleet.commit_change(&change_entry("waiting", None));
    // With another instance down, no majority can sync the change.
    let away = others(&fleet, full).into_iter().find(|at| *at != next);
    fleet.crash(away.expect("three instances"));
    fleet.request_change(next, change_entry("alone", None));
    fleet.run(Duration::from_secs(5));
    assert!(!fleet.answers.contains_key("alone"));
    assert_eq!(fleet.lease_holders(), Vec::<usize>::new());
}

// Guards against two accepted changes of the same version when the leader
// crashes between them. The second operator, who asks the new leader, must
// learn which change won.
#[test]
fn concurrent_changes_across_a_failover_have_one_winner() {
    let mut fleet = Fleet::new(3, 0, 8);
    let base = accepted_version(&fleet.commit_change(&change_entry("base", None)));
    let first = accepted_version(&fleet.commit_change(&change_entry("anna", Some(base))));
    let leader = fleet.wait_for_leader();
    fleet.crash(leader);
    let second = fleet.commit_change(&change_entry("beatriz", Some(base)));
    let lost = ChangeOutcome::Conflict {
        current: first,
        winner: "anna".into(),
    };
    assert_eq!(second, lost);
    fleet.check_convergence(3);
}

// Guards against a change that is applied twice: it is committed, but the
// leader crashes before it answers. The resend to the next leader must get the
// first answer and make no second change.
#[test]
fn a_resend_after_failover_gets_the_first_answer() {
    let mut fleet = Fleet::new(3, 0, 9);
    let first = fleet.commit_change(&change_entry("anna", None));
    let between = accepted_version(&fleet.commit_change(&change_entry("beatriz", None)));
    let leader = fleet.wait_for_leader();
    fleet.crash(leader);
    fleet.answers.remove("anna");
    assert_eq!(fleet.commit_change(&change_entry("anna", None)), first);
    let leader = fleet.wait_for_leader();
    let state = fleet.state(leader);
    assert_eq!(state.snapshot().version, between);
    fleet.check_convergence(3);
}

// Guards against a planned stop of the leader that costs an election timeout.
// Another instance must lead at once.
#[test]
fn a_planned_stop_hands_leadership_over() {
    let mut fleet = Fleet::new(3, 0, 10);
    fleet.commit_change(&change_entry("before", None));
    fleet.run(Duration::from_secs(1));
    let leader = fleet.wait_for_leader();
    fleet.event(leader, ReplicaEvent::HandOver);
    assert_eq!(fleet.lease_holders(), Vec::<usize>::new());
    fleet.run(Duration::from_millis(600));
    assert_eq!(fleet.lease_holders().len(), 1);
    assert!(!fleet.lease_holders().contains(&leader));
}

// Guards against an instance that cannot catch up after it missed more changes
// than the log keeps. It must receive a snapshot, including the answers to
// resent requests.
#[test]
fn a_member_far_behind_gets_a_snapshot() {
    let mut fleet = Fleet::new(3, 0, 11);
    let first = fleet.commit_change(&change_entry("first", None));
    let leader = fleet.wait_for_leader();
    let away = others(&fleet, leader)[0];
    fleet.crash(away);
    for burst in 0..12 {
        let leader = fleet.wait_for_leader();
        for number in 0..500 {
            fleet
                .request_change(leader, change_entry(&format!("{burst}-{number}"), None));
        }
        fleet.run(Duration::from_millis(400));
    }
    let leader = fleet.wait_for_leader();
    fleet.commit_change(&change_entry("last", None));
    let member = fleet.instances[leader].member.as_ref();
    let since = member
        .expect("the leader runs")
        .agreement()
        .entries_since_snapshot();
    assert!(since < 4_096, "no snapshot was taken");
    fleet.start(away);
    fleet.run(Duration::from_secs(3));
    assert!(
        fleet.state(away) == fleet.state(leader),
        "its state differs from the leader's"
    );
    assert_eq!(fleet.state(away).answer("first"), Some(&first));
    // A restart loads the snapshot and the log after it.
    fleet.crash(away);
    fleet.start(away);
    fleet.check_convergence(3);
}

// Guards against lost changes or a lost majority when three voters become five
// and the leader is then removed.
#[test]
fn members_are_added_and_the_leader_removed() {
    let mut fleet = Fleet::new(3, 2, 12);
    fleet.commit_change(&change_entry("three", None));
    fleet.add_until_voter(3);
    fleet.add_until_voter(4);
    fleet.commit_change(&change_entry("five", None));
    let leader = fleet.wait_for_leader();
    let removed = MemberChange::Remove {
        instance: name(leader),
    };
    for _ in 0..20 {
        let now = fleet.wait_for_leader();
        fleet.request_members(now, removed.clone());
        fleet.run(Duration::from_secs(1));
        if !fleet.has_vote(leader) {
            break;
        }
    }
    let next = fleet.wait_for_leader();
    assert_ne!(next, leader);
    assert!(!fleet.is_voter(next, leader));
    // With four voters left, two are no majority and three are.
    let left = others(&fleet, leader);
    fleet.crash(
        left.iter()
            .copied()
            .find(|at| *at != next)
            .expect("another follower"),
    );
    fleet.commit_change(&change_entry("four", None));
}

/// The first entry of a log with five members.
fn five_member_entry() -> LogEntry {
    let mut members = MemberList::default();
    for at in 0..5 {
        let record = MemberRecord {
            address: address(at),
            folder: at as u64 + 1,
            role: MemberRole::Voter,
        };
        members.set(name(at), record);
    }
    LogEntry::new(ConfigVersion::new(1, 1), EntryBody::Members(members))
}

fn blank_entry(term: u64, index: u64) -> LogEntry {
    LogEntry::new(ConfigVersion::new(term, index), EntryBody::Blank)
}

// Guards against an accepted change that is undone: a leader copies an entry of
// an earlier term to a majority, but an instance with an entry of a term in
// between can still be elected and overwrite it. The entry may commit only with
// a later one of the leader's own term.
#[test]
fn an_earlier_terms_entry_commits_only_with_a_current_one() {
    let mut fleet = Fleet::new(5, 0, 13);
    let logs = [
        vec![five_member_entry(), blank_entry(2, 2)],
        vec![five_member_entry(), blank_entry(2, 2)],
        vec![five_member_entry()],
        vec![five_member_entry()],
        vec![five_member_entry(), blank_entry(3, 2)],
    ];
    for (at, log) in logs.into_iter().enumerate() {
        fleet.crash(at);
        fleet.instances[at].disk.entries = log;
        fleet.instances[at].disk.hard.term = 3;
        fleet.start(at);
    }
    fleet.groups = vec![0, 0, 0, 1, 2];
    let leads = |fleet: &Fleet, at: usize| {
        let member = fleet.instances[at].member.as_ref();
        member.is_some_and(|member| member.agreement().is_leader())
    };
    while !leads(&fleet, 0) && !leads(&fleet, 1) {
        fleet.run(Duration::from_millis(10));
    }
    let (leader, behind) = if leads(&fleet, 0) { (0, 1) } else { (1, 0) };
    // The other instance acknowledges the old entry but cannot sync the new
    // one.
    fleet.stall(behind, Duration::from_secs(30));
    fleet.run(Duration::from_millis(1_500));
    let member = fleet.instances[leader]
        .member
        .as_ref()
        .expect("the instance runs");
    assert!(member.agreement().commit_index() < 2);
    fleet.crash(leader);
    fleet.crash_keeping(behind, 0);
    fleet.stall(behind, Duration::ZERO);
    fleet.start(behind);
    fleet.groups = vec![0, 0, 1, 0, 0];
    fleet.run(Duration::from_secs(8));
    assert_eq!(fleet.lease_holders(), vec![4]);
    fleet.check_convergence(5);
}

// Guards against a fleet that stays at its three seeds as voters, where two
// losses would stop every change. The seeds bootstrap the log, and the leader
// adds other instances without an operator until there are five voters.
#[test]
fn the_leader_adds_instances_up_to_the_voter_target() {
    let mut fleet = Fleet::with_voter_target(3, 4, 5, 7);
    let leader = fleet.wait_for_leader();
    fleet.commit_change(&change_entry("before", None));
    fleet.run(Duration::from_secs(20));
    let member = fleet.instances[leader]
        .member
        .as_ref()
        .expect("the instance runs");
    assert_eq!(member.agreement().members().voters().count(), 5);
    for at in others(&fleet, leader).into_iter().take(2) {
        fleet.crash(at);
    }
    fleet.wait_for_leader();
    fleet.commit_change(&change_entry("after", None));
}

// Guards against a voter that lost its disk right after a change was accepted
// and returns empty under its old name. It must not count until it holds the
// log, and must then become a voter again without an operator, so that the next
// loss neither loses the change nor stops new ones.
#[test]
fn a_voter_with_an_empty_disk_regains_its_vote() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_voter_target(3, 0, 3, seed);
        let leader = fleet.wait_for_leader();
        fleet.commit_change(&change_entry("kept", None));
        let lost = others(&fleet, leader)[0];
        fleet.wipe(lost);
        fleet.start(lost);
        fleet.run(Duration::from_secs(8));
        let other = others(&fleet, leader)[1];
        fleet.crash(other);
        fleet.wait_for_leader();
        fleet.commit_change(&change_entry("after", None));
        let member = fleet.instances[lost]
            .member
            .as_ref()
            .expect("the instance runs");
        assert!(member.state().answer("kept").is_some(), "seed {seed}");
    }
}

// Guards against a second log, and the loss of all accepted changes: the
// instance that bootstrapped the log loses its disk while both others are down,
// and starts before they do.
#[test]
fn a_seed_with_an_empty_disk_bootstraps_no_second_log() {
    let mut fleet = Fleet::with_voter_target(3, 0, 3, 3);
    fleet.wait_for_leader();
    fleet.commit_change(&change_entry("kept", None));
    for at in 1..3 {
        fleet.crash(at);
    }
    fleet.wipe(0);
    fleet.start(0);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.lease_holders().is_empty());
    for at in 1..3 {
        fleet.start(at);
    }
    let leader = fleet.wait_for_leader();
    let member = fleet.instances[leader]
        .member
        .as_ref()
        .expect("the instance runs");
    assert!(member.state().answer("kept").is_some());
}

// Guards against a member whose folder holds the log of another fleet: its
// entries would count as synced here, or its votes as those of a member that
// holds this log.
#[test]
fn a_folder_of_another_fleet_is_not_added() {
    let mut other_fleet = Fleet::new(3, 0, 14);
    other_fleet.commit_change(&change_entry("elsewhere", None));
    other_fleet.crash(0);
    let foreign_disk = other_fleet.instances[0].disk.clone();
    let mut fleet = Fleet::new(3, 1, 15);
    fleet.commit_change(&change_entry("kept", None));
    fleet.crash(3);
    fleet.instances[3].disk = foreign_disk;
    // Until the hellos of its own empty folder have expired by any clock.
    fleet.run(2 * HELLO_MAX_AGE);
    fleet.start(3);
    for _ in 0..10 {
        let leader = fleet.wait_for_leader();
        let change = MemberChange::Add {
            instance: name(3),
            address: address(3),
        };
        fleet.request_members(leader, change);
        fleet.run(Duration::from_secs(1));
        let member = fleet.instances[leader].member.as_ref();
        let members = member.expect("the leader runs").agreement().members();
        assert!(members.get(&name(3)).is_none());
    }
    let refused = MemberAnswer::Refused(MemberRefusal::NotEmpty);
    let answers = &fleet.member_answers;
    assert!(answers.contains(&ChangeAnswer::Decided(refused)));
}

// Guards against an acknowledged evacuation that is lost or older than
// acknowledged: right after it, all instances lose power, two of them with their
// disks, as many as five voters must bear.
#[test]
fn an_evacuation_survives_lost_power_and_two_lost_disks() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_voter_target(3, 4, 5, seed);
        fleet.wait_for_leader();
        fleet.commit_change(&change_entry("before", None));
        fleet.run(Duration::from_secs(20));
        let order = EvacuationChange::Start {
            failure_domain: "voss".into(),
            operator: "kari".into(),
            reason: "power works".into(),
        };
        let entry = ChangeEntry {
            change: ConfigChange::Evacuate(order),
            ..change_entry("evacuation", None)
        };
        let outcome = fleet.commit_change(&entry);
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
        let leader = fleet.wait_for_leader();
        let voters: Vec<usize> = (0..fleet.instances.len())
            .filter(|at| fleet.is_voter(leader, *at))
            .collect();
        for at in 0..fleet.instances.len() {
            fleet.crash(at);
        }
        for at in voters.into_iter().take(2) {
            fleet.wipe(at);
        }
        for at in 0..fleet.instances.len() {
            fleet.start(at);
        }
        let leader = fleet.wait_for_leader();
        let document = &fleet.state(leader).snapshot().document;
        assert!(document.is_evacuated("voss"), "seed {seed}");
    }
}
