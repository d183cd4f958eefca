//! Counts of what callers received.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency told apart, in microseconds: two minutes.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Digits of a latency that are kept.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How one call ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// HTTP status; 0 where no whole answer came.
    pub status: u16,
    /// The verdict header; `none` where there is none.
    pub verdict: String,
    /// The reason header; empty where there is none.
    pub reason: String,
}

impl CallOutcome {
    /// True where the caller received a whole answer of its own.
    pub fn is_answered(&self) -> bool {
        (200..500).contains(&self.status) && self.verdict != "not-run"
    }
}

/// Calls of one second of the run.
#[derive(Clone, Debug)]
pub struct SecondTally {
    /// Calls answered.
    pub answered: u64,
    /// Calls refused or lost.
    pub failed: u64,
    /// Their latencies, in microseconds.
    pub latencies: Histogram<u64>,
}

/// Counts of a whole run; tallies of several threads add up.
#[derive(Clone, Debug)]
pub struct CallTally {
    /// Calls by status, verdict and reason.
    pub outcomes: BTreeMap<(u16, String, String), u64>,
    /// Calls not sent because too many were under way.
    pub unsent: u64,
    /// Latencies of answered calls, in microseconds.
    pub answered: Histogram<u64>,
    /// Latencies of refused and lost calls, in microseconds.
    pub failed: Histogram<u64>,
    /// By the second in which the call should have been sent.
    pub seconds: Vec<SecondTally>,
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants that the library takes")
}

impl Default for CallTally {
    fn default() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            unsent: 0,
            answered: latency_histogram(),
            failed: latency_histogram(),
            seconds: Vec::new(),
        }
    }
}

impl CallTally {
    /// Counts a call that should have been sent at `due` and ended after
    /// `latency` from then.
    pub fn record(&mut self, due: Duration, latency: Duration, outcome: CallOutcome) {
        let micros = (latency.as_micros() as u64).clamp(1, LATENCY_MAX_US);
        let answered = outcome.is_answered();
        let second = self.second_mut(due.as_secs() as usize);
        second.latencies.saturating_record(micros);
        if answered {
            second.answered += 1;
            self.answered.saturating_record(micros);
        } else {
            second.failed += 1;
            self.failed.saturating_record(micros);
        }
        let key = (outcome.status, outcome.verdict, outcome.reason);
        *self.outcomes.entry(key).or_default() += 1;
    }

    fn second_mut(&mut self, at: usize) -> &mut SecondTally {
        while self.seconds.len() <= at {
            self.seconds.push(SecondTally {
                answered: 0,
                failed: 0,
                latencies: latency_histogram(),
            });
        }
        &mut self.seconds[at]
    }

    /// Adds another thread's counts.
    pub fn merge(&mut self, other: &Self) {
        for (key, count) in &other.outcomes {
            *self.outcomes.entry(key.clone()).or_default() += count;
        }
        self.unsent += other.unsent;
        // Both were made with the same bounds, so adding cannot fail.
        let _ = self.answered.add(&other.answered);
        let _ = self.failed.add(&other.failed);
        for (at, other_second) in other.seconds.iter().enumerate() {
            let second = self.second_mut(at);
            second.answered += other_second.answered;
            second.failed += other_second.failed;
            let _ = second.latencies.add(&other_second.latencies);
        }
    }

    /// Calls that were sent.
    pub fn sent(&self) -> u64 {
        self.outcomes.values().sum()
    }
}
