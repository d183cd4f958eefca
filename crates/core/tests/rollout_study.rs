//! Simulation of whole moves with a virtual clock and random traffic. Checks
//! the fraction of good versions that are completed on time and of bad versions
//! that are taken back. `cargo bench --bench rollout_study` prints more
//! figures.

use std::time::Duration;

use cowslip_core::rollout::rollout_change::TakeBackCause;
use cowslip_core::rollout::rollout_record::RolloutEnd;

#[path = "rollout_study/course.rs"]
mod course;
#[path = "rollout_study/traffic.rs"]
mod traffic;

use course::run;
use course::StudyCase;
use course::StudyOutcome;
use course::StudyParts;
use traffic::Behaviour;

/// Maximum time during which calls may still go to a stopped version.
const STOP_BOUND: Duration = Duration::from_secs(2);

/// Runs each behaviour at each call rate with `seeds` seeds. A tenth of the
/// reports is lost, a tenth is duplicated, and all may be reordered.
fn outcomes(behaviours: &[Behaviour], seeds: u64) -> Vec<(StudyCase, StudyOutcome)> {
    let mut outcomes = Vec::new();
    for behaviour in behaviours {
        for (rate, window_s) in [(10.0, 200), (30.0, 90), (80.0, 45)] {
            for seed in 0..seeds {
                let case = StudyCase {
                    behaviour: *behaviour,
                    rate,
                    window_s,
                    report_faults: 0.1,
                    seed,
                };
                outcomes.push((case, run(case, StudyParts::default())));
            }
        }
    }
    outcomes
}

/// Asserts that the condition holds in at least 99 of 100 cases, and prints the
/// cases in which it does not.
fn assert_share(
    outcomes: &[(StudyCase, StudyOutcome)],
    holds: impl Fn(&StudyCase, &StudyOutcome) -> bool,
) {
    let mut missed = 0;
    for (case, outcome) in outcomes {
        if holds(case, outcome) {
            continue;
        }
        missed += 1;
        println!("{case:?}: {outcome:?}");
    }
    let allowed = outcomes.len() / 100;
    assert!(missed <= allowed, "{missed} of {} cases", outcomes.len());
}

// Guards against taking back a sound version because of chance, the crash of
// one server, a fleet-wide problem or its cold start, and against finishing
// late while waiting for evidence that is not needed. In either case operators
// would have to start again.
#[test]
fn good_versions_are_completed_on_time() {
    let good = [
        Behaviour::Good,
        Behaviour::GoodWithCrash,
        Behaviour::GoodInTrouble,
        Behaviour::GoodInLateTrouble,
    ];
    assert_share(&outcomes(&good, 12), |case, outcome| {
        let due = Duration::from_secs(case.window_s);
        outcome.done_after.is_some_and(|at| at <= due)
    });
}

// A version that fails or slows down, at once or later, under load or on one
// route, must be taken back.
#[test]
fn bad_versions_are_taken_back() {
    let bad = [
        Behaviour::FailsAtOnce(0.3),
        Behaviour::FailsLate,
        Behaviour::FailsUnderLoad,
        Behaviour::Slow(3.0),
        Behaviour::Mixed,
    ];
    let outcomes = outcomes(&bad, 7);
    assert_share(&outcomes, |_, outcome| outcome.taken_back_after.is_some());
    for (case, outcome) in &outcomes {
        assert!(outcome.stop_lag <= STOP_BOUND, "{case:?}: {outcome:?}");
    }
}

// Guards against a fault hidden by the traffic of other routes: the version is
// bad on a route that gets one call in twenty.
#[test]
fn a_bad_route_is_found_among_good_ones() {
    let mut cases = Vec::new();
    for seed in 0..30 {
        let case = StudyCase {
            behaviour: Behaviour::FailsOnRoute,
            rate: 100.0,
            window_s: 120,
            report_faults: 0.1,
            seed,
        };
        cases.push((case, run(case, StudyParts::default())));
    }
    assert_share(&cases, |_, outcome| outcome.taken_back_after.is_some());
    let harmed: u64 = cases.iter().map(|(_, outcome)| outcome.harmed).sum();
    let calls: u64 = cases.iter().map(|(_, outcome)| outcome.calls).sum();
    assert!(harmed * 100 < calls, "{harmed} of {calls} harmed");
}

// A version that fails all or half of its calls from the start must harm fewer
// than one in a hundred calls during the move.
#[test]
fn versions_bad_at_once_harm_few_calls() {
    let bad = [Behaviour::FailsAtOnce(1.0), Behaviour::FailsAtOnce(0.5)];
    let outcomes = outcomes(&bad, 17);
    assert_share(&outcomes, |_, outcome| outcome.taken_back_after.is_some());
    let harmed: u64 = outcomes.iter().map(|(_, outcome)| outcome.harmed).sum();
    let calls: u64 = outcomes.iter().map(|(_, outcome)| outcome.calls).sum();
    assert!(harmed * 100 < calls, "{harmed} of {calls} harmed");
}

fn busy(behaviour: Behaviour) -> StudyCase {
    StudyCase {
        behaviour,
        rate: 400.0,
        window_s: 60,
        report_faults: 0.1,
        seed: 7,
    }
}

// The leader is lost during a move. The next leader has only the log and the
// nodes' cumulative counts. The move must continue from its share and be done
// on time, and no step may be taken twice.
#[test]
fn a_new_leader_continues_the_move_of_a_good_version() {
    for lost in [10, 20, 30, 40, 52, 55] {
        let parts = StudyParts {
            leader_lost_s: Some(lost),
            ..StudyParts::default()
        };
        let outcome = run(busy(Behaviour::Good), parts);
        let due = Duration::from_secs(60);
        assert!(
            outcome.done_after.is_some_and(|at| at <= due),
            "{outcome:?}"
        );
        let record = outcome.record.expect("the move is kept");
        for pair in record.steps.windows(2) {
            assert!(pair[0].share_per_mille < pair[1].share_per_mille);
            assert!(pair[0].version < pair[1].version);
        }
    }
}

// The leader is lost just as a late fault begins to appear. The next leader
// must detect it from the counts that nodes report anew, and take the move back
// once.
#[test]
fn a_new_leader_takes_a_bad_version_back() {
    for lost in [31, 32, 33] {
        let parts = StudyParts {
            leader_lost_s: Some(lost),
            ..StudyParts::default()
        };
        let outcome = run(busy(Behaviour::FailsLate), parts);
        let record = outcome.record.expect("the move is kept");
        let taken_back = matches!(record.end, Some(RolloutEnd::TakenBack { .. }));
        assert!(taken_back, "{record:?}");
        assert!(outcome.done_after.is_none());
    }
}

// All control instances become unreachable during a move, and then the new
// version turns bad. Each node must stop it on its own counts and keep it
// stopped, although no new document arrives.
#[test]
fn nodes_stop_a_bad_version_without_control_instances() {
    let parts = StudyParts {
        source_away_s: Some(25),
        ..StudyParts::default()
    };
    let outcome = run(busy(Behaviour::FailsLate), parts);
    assert_eq!(outcome.nodes_stopped, course::NODES, "{outcome:?}");
    assert!(outcome.stop_lag <= STOP_BOUND, "{outcome:?}");
    let began = outcome.first_harm.expect("harmed calls");
    let withdrawal = outcome.last_new_call - began;
    assert!(withdrawal <= Duration::from_secs(10), "{withdrawal:?}");
}

// The control instances return after the nodes have stopped the version on
// their own. The leader, which saw none of it, must take the move back on the
// nodes' reports, and no node may call the version in the meantime.
#[test]
fn a_stop_during_a_partition_is_kept_after_it() {
    let parts = StudyParts {
        source_away_s: Some(25),
        source_back_s: Some(50),
        ..StudyParts::default()
    };
    let outcome = run(busy(Behaviour::FailsLate), parts);
    assert_eq!(outcome.nodes_stopped, course::NODES, "{outcome:?}");
    let reachable_at = Duration::from_secs(50);
    assert!(outcome.last_new_call < reachable_at, "{outcome:?}");
    let taken_back = outcome.taken_back_after.expect("the move is taken back");
    assert!(
        taken_back < reachable_at + Duration::from_secs(5),
        "{outcome:?}"
    );
    let record = outcome.record.expect("the move is kept");
    let Some(RolloutEnd::TakenBack { cause }) = record.end else {
        panic!("not taken back: {record:?}");
    };
    assert!(
        matches!(cause, TakeBackCause::NodeEvidence { .. }),
        "{cause}"
    );
}

// Reports may use an eighth of the 16 KB per second and node allowed for
// control traffic, at any call rate.
#[test]
fn reports_stay_small() {
    for rate in [40.0, 400.0] {
        let case = StudyCase {
            rate,
            ..busy(Behaviour::Good)
        };
        let outcome = run(case, StudyParts::default());
        let whole = course::NODES as u64 * case.window_s;
        assert!(outcome.bytes / whole <= 2_048, "{}", outcome.bytes / whole);
    }
}
