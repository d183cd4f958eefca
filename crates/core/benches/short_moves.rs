//! Prints, for short moves of a small service with an exposure bound, how many bad
//! versions exceed the bound and how many sound ones are done in time.

#[path = "../tests/short_moves/move_run.rs"]
mod move_run;

use std::time::Duration;

use move_run::run;
use move_run::Fault;
use move_run::MoveCase;

/// Runs per row.
const SEEDS: u64 = 400;

const FAULTS: [(&str, Fault); 7] = [
    ("sound", Fault::None),
    (
        "slow x8, 50 %",
        Fault::Slow {
            part: 0.5,
            factor: 8.0,
        },
    ),
    (
        "slow x8, 40 %",
        Fault::Slow {
            part: 0.4,
            factor: 8.0,
        },
    ),
    (
        "slow x3, all",
        Fault::Slow {
            part: 1.0,
            factor: 3.0,
        },
    ),
    ("fails 50 %", Fault::Fails { part: 0.5 }),
    ("fails 20 %", Fault::Fails { part: 0.2 }),
    (
        "fails 40 %, late",
        Fault::FailsLate {
            part: 0.4,
            from: 0.2,
        },
    ),
];

fn row(name: &str, case: &MoveCase) {
    let mut exposed = 0;
    let mut finished = 0;
    let mut taken_back = 0;
    let mut used = 0.0;
    for seed in 0..SEEDS {
        let end = run(MoveCase {
            seed,
            ..case.clone()
        });
        exposed += u64::from(end.is_exposed());
        finished += u64::from(end.finished);
        taken_back += u64::from(end.taken_back);
        used += end.used_fraction();
    }
    let percent = |count: u64| count as f64 * 100.0 / SEEDS as f64;
    println!(
        "{name:<18} {:>6} {:>9} {:>9.1} {:>7.1} {:>8.1} {:>7.2}",
        case.rate,
        case.timeout.as_millis(),
        percent(exposed),
        percent(finished),
        percent(taken_back),
        used / SEEDS as f64,
    );
}

fn main() {
    println!("version            call/s timeout ms exposed%   done%  taken b%  used");
    for rate in [10.0, 30.0, 60.0, 100.0] {
        for timeout in [Duration::from_millis(1_150), Duration::from_secs(4)] {
            for (name, fault) in FAULTS {
                let case = MoveCase {
                    timeout,
                    ..MoveCase::new(fault, rate, 0)
                };
                row(name, &case);
            }
        }
    }
    for trouble in [0.3..0.5, 0.55..0.75] {
        let case = MoveCase {
            trouble_failures: 0.1,
            trouble,
            ..MoveCase::new(Fault::None, 100.0, 0)
        };
        row("sound, trouble", &case);
    }
}
