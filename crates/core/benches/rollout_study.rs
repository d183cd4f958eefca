//! Prints the study of moves: for each behaviour, call rate, test and plan the
//! percentage of moves completed on time or taken back, the harm done and the
//! cost.

#[path = "rollout_study_parts/alternatives.rs"]
mod alternatives;
#[path = "../tests/rollout_study/course.rs"]
mod course;
#[path = "../tests/rollout_study/traffic.rs"]
mod traffic;

use std::time::Duration;

use course::run;
use course::StudyCase;
use course::StudyOutcome;
use course::StudyParts;
use traffic::Behaviour;

/// Runs per row.
const SEEDS: u64 = 30;

const KINDS: [(&str, Behaviour); 13] = [
    ("good", Behaviour::Good),
    ("good, crash", Behaviour::GoodWithCrash),
    ("good, trouble", Behaviour::GoodInTrouble),
    ("good, trouble late", Behaviour::GoodInLateTrouble),
    ("good, +10 %", Behaviour::GoodHeavier),
    ("fails 50 %", Behaviour::FailsAtOnce(0.5)),
    ("fails 5 %", Behaviour::FailsAtOnce(0.05)),
    ("late", Behaviour::FailsLate),
    ("under load", Behaviour::FailsUnderLoad),
    ("one route", Behaviour::FailsOnRoute),
    ("slow x3", Behaviour::Slow(3.0)),
    ("slow x1.5", Behaviour::Slow(1.5)),
    ("mixed", Behaviour::Mixed),
];

/// Sums of the outcomes of one row.
#[derive(Default)]
struct RowSums {
    runs: u64,
    on_time: u64,
    taken_back: u64,
    withdrawal: Vec<Duration>,
    harmed: Vec<f64>,
    bytes: u64,
    changes: u64,
}

impl RowSums {
    fn add(&mut self, case: &StudyCase, outcome: &StudyOutcome) {
        self.runs += 1;
        let due = Duration::from_secs(case.window_s);
        self.on_time += u64::from(outcome.done_after.is_some_and(|at| at <= due));
        self.taken_back += u64::from(outcome.taken_back_after.is_some());
        if let (Some(first), Some(_)) = (outcome.first_harm, outcome.taken_back_after) {
            self.withdrawal.push(outcome.last_new_call - first);
        }
        let harmed = outcome.harmed as f64 / outcome.calls.max(1) as f64;
        self.harmed.push(harmed * 100.0);
        self.bytes += outcome.bytes / course::NODES as u64 / case.window_s;
        self.changes += outcome.changes as u64;
    }

    fn print(mut self, name: &str, case: &StudyCase) {
        self.withdrawal.sort();
        self.harmed.sort_by(f64::total_cmp);
        let middle = self.withdrawal.get(self.withdrawal.len() / 2);
        let last = self.withdrawal.last();
        let seconds = |time: Option<&Duration>| match time {
            Some(time) => format!("{:.1}", time.as_secs_f64()),
            None => "-".to_owned(),
        };
        println!(
            "{name:<18} {:>6} {:>6} {:>8.1} {:>8.1} {:>8} {:>8} {:>8.3} {:>8.3} {:>8} {:>7}",
            case.rate,
            case.window_s,
            self.on_time as f64 * 100.0 / self.runs as f64,
            self.taken_back as f64 * 100.0 / self.runs as f64,
            seconds(middle),
            seconds(last),
            self.harmed[self.harmed.len() / 2],
            self.harmed[self.harmed.len() - 1],
            self.bytes / self.runs,
            self.changes / self.runs,
        );
    }
}

fn head(title: &str) {
    println!("\n{title}");
    println!(
        "{:<18} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7}",
        "version",
        "call/s",
        "time s",
        "on time%",
        "taken b%",
        "away s",
        "worst s",
        "harmed%",
        "worst%",
        "B/s/node",
        "changes"
    );
}

fn row(name: &str, case: StudyCase, parts: StudyParts, seeds: u64) {
    let mut sums = RowSums::default();
    for seed in 0..seeds {
        let case = StudyCase { seed, ..case };
        let outcome = run(case, parts);
        sums.add(&case, &outcome);
    }
    sums.print(name, &case);
}

fn main() {
    let base = StudyCase {
        behaviour: Behaviour::Good,
        rate: 100.0,
        window_s: 120,
        report_faults: 0.05,
        seed: 0,
    };
    head("as built, 5 % of reports lost, 5 % repeated");
    for (rate, window_s) in [(2.0, 900), (10.0, 600), (100.0, 120), (1_000.0, 60)] {
        for (name, behaviour) in KINDS {
            let case = StudyCase {
                behaviour,
                rate,
                window_s,
                ..base
            };
            let seeds = if rate > 500.0 { SEEDS / 3 } else { SEEDS };
            row(name, case, StudyParts::default(), seeds);
        }
    }
    for (title, parts) in alternatives::all() {
        head(title);
        for (name, behaviour) in KINDS {
            row(name, StudyCase { behaviour, ..base }, parts, SEEDS);
        }
    }
}
