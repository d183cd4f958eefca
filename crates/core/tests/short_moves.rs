//! Short moves of a small service with an exposure bound: bad versions stay within
//! it, and sound ones are done in time.

use std::time::Duration;

#[path = "short_moves/move_run.rs"]
mod move_run;

use move_run::run;
use move_run::Fault;
use move_run::MoveCase;
use move_run::MoveEnd;

/// Simulated moves per case.
const SEEDS: u64 = 200;

/// Calls per second of the service.
const RATES: [f64; 2] = [60.0, 100.0];

/// Timeouts of a call: the shorter one cuts most slow answers, the longer one none.
const TIMEOUTS: [Duration; 2] = [Duration::from_millis(1_150), Duration::from_secs(4)];

/// Runs the cases of one kind; returns in how many a condition holds.
fn count(case: &MoveCase, holds: impl Fn(&MoveEnd) -> bool) -> usize {
    let seeds = 0..SEEDS;
    let ends = seeds.map(|seed| {
        run(MoveCase {
            seed,
            ..case.clone()
        })
    });
    ends.filter(|end| holds(end)).count()
}

/// Asserts that versions with `fault` get more calls than they may in at most one of
/// fifty moves, in which chance may hide the fault.
fn assert_within_bound(fault: Fault) {
    for rate in RATES {
        for timeout in TIMEOUTS {
            let case = MoveCase {
                timeout,
                ..MoveCase::new(fault, rate, 0)
            };
            let exposed = count(&case, MoveEnd::is_exposed);
            assert!(
                exposed * 50 <= SEEDS as usize,
                "{exposed} of {SEEDS}: {case:?}"
            );
        }
    }
}

// Guards against a version whose slow answers are partly failures and partly late, so
// that neither test alone found it before it was in service.
#[test]
fn a_slow_version_stays_within_its_bound() {
    assert_within_bound(Fault::Slow {
        part: 0.4,
        factor: 8.0,
    });
}

// Guards against taking a sound version back because the few servers that serve its
// first calls are slower than the average of the old ones.
#[test]
fn a_sound_version_on_unlike_servers_is_done_in_time() {
    for rate in RATES {
        for timeout in TIMEOUTS {
            let case = MoveCase {
                timeout,
                ..MoveCase::new(Fault::None, rate, 0)
            };
            let late = count(&case, |end| !end.finished);
            assert!(
                late * 100 <= SEEDS as usize * 3,
                "{late} of {SEEDS}: {case:?}"
            );
        }
    }
}

// A version that fails a fifth of its calls stays within its bound.
#[test]
fn a_failing_version_stays_within_its_bound() {
    assert_within_bound(Fault::Fails { part: 0.2 });
    assert_within_bound(Fault::FailsLate {
        part: 0.4,
        from: 0.2,
    });
}

// A sound version is done in time although the whole fleet fails calls for a while.
#[test]
fn a_fleet_wide_problem_takes_no_sound_version_back() {
    for trouble in [0.3..0.5, 0.55..0.75] {
        let case = MoveCase {
            trouble_failures: 0.1,
            trouble,
            ..MoveCase::new(Fault::None, 100.0, 0)
        };
        let taken_back = count(&case, |end| end.taken_back);
        assert!(
            taken_back * 100 <= SEEDS as usize * 3,
            "{taken_back}: {case:?}"
        );
    }
}
