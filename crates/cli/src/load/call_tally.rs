//! Counts and latencies of calls by outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Maximum latency recorded, in microseconds: two minutes. Longer ones count as
/// this value.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of a call, as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// HTTP status; 0 if no complete answer arrived.
    pub status: u16,
    /// Value of the verdict header; `none` if it is absent.
    pub verdict: String,
    /// Value of the reason header, or why there is no answer; empty if there
    /// is neither.
    pub reason: String,
}

impl CallOutcome {
    /// Returns true if the caller received a complete answer of a backend
    /// server: a status from 200 to 499 and no `not-run` verdict.
    pub fn is_answered(&self) -> bool {
        (200..500).contains(&self.status) && self.verdict != "not-run"
    }
}

/// Calls due in one second of the run.
#[derive(Clone, Debug)]
pub struct SecondTally {
    /// Number of calls answered.
    pub answered: u64,
    /// Number of calls refused or lost.
    pub failed: u64,
    /// Latencies of both, in microseconds.
    pub latencies: Histogram<u64>,
}

/// Results of a run. The tallies of several threads can be merged.
#[derive(Clone, Debug)]
pub struct CallTally {
    /// Number of calls by status, verdict and reason.
    pub outcomes: BTreeMap<(u16, String, String), u64>,
    /// Calls not sent because too many were in flight.
    pub unsent: u64,
    /// Latencies of answered calls, in microseconds.
    pub answered: Histogram<u64>,
    /// Latencies of refused and lost calls, in microseconds.
    pub failed: Histogram<u64>,
    /// Results by the second in which the calls were due.
    pub seconds: Vec<SecondTally>,
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid for the library")
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
    /// Records a call that was due at `due` and ended `latency` later.
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

    /// Adds the tally of another thread.
    pub fn merge(&mut self, other: &Self) {
        for (key, count) in &other.outcomes {
            *self.outcomes.entry(key.clone()).or_default() += count;
        }
        self.unsent += other.unsent;
        // Both histograms have the same bounds, so adding them cannot fail.
        let _ = self.answered.add(&other.answered);
        let _ = self.failed.add(&other.failed);
        for (at, other_second) in other.seconds.iter().enumerate() {
            let second = self.second_mut(at);
            second.answered += other_second.answered;
            second.failed += other_second.failed;
            let _ = second.latencies.add(&other_second.latencies);
        }
    }

    /// Returns the number of calls that were sent.
    pub fn sent(&self) -> u64 {
        self.outcomes.values().sum()
    }
}
