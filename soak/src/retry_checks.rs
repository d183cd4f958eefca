//! Checks how often requests reach the servers of a service again, summed over all
//! nodes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::observations::Observations;
use crate::operator::RETRY_BURST;
use crate::operator::RETRY_PERCENT;

/// Span in which repeats are counted.
const WINDOW: Duration = Duration::from_secs(10);

/// The repeats in the window that comes closest to its limit, or exceeds it the most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RepeatPeak {
    /// End of the window.
    pub at: Duration,
    /// Arrivals beyond the first of each request.
    pub repeats: usize,
    /// Repeats that the fleet's settings allow.
    pub allowed: f64,
}

impl RepeatPeak {
    /// Returns true if there were more repeats than the settings allow.
    pub fn is_exceeded(&self) -> bool {
        self.repeats as f64 > self.allowed
    }

    fn excess(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }
}

/// Returns the window with the most repeats relative to its limit; `None` if there was
/// no repeat. All servers of a run are of one service.
pub fn repeat_peak(observations: &Observations) -> Option<RepeatPeak> {
    let mut known: BTreeSet<&Arc<str>> = BTreeSet::new();
    let mut requests: Vec<Duration> = Vec::new();
    for call in &observations.calls {
        known.insert(&call.id);
        requests.push(call.sent);
    }
    let mut arrived: BTreeSet<&Arc<str>> = BTreeSet::new();
    let mut repeats: Vec<Duration> = Vec::new();
    for arrival in &observations.arrivals {
        // Requests by which the run finds out whether a node serves have no ID.
        if arrival.id.is_empty() {
            continue;
        }
        if !arrived.insert(&arrival.id) {
            repeats.push(arrival.at);
        } else if !known.contains(&arrival.id) {
            requests.push(arrival.at);
        }
    }
    requests.sort();
    repeats.sort();
    let mut peak: Option<RepeatPeak> = None;
    for end in &repeats {
        let found = RepeatPeak {
            at: *end,
            repeats: count(&repeats, *end),
            allowed: allowed(&requests, *end),
        };
        if peak.is_none_or(|held| found.excess() > held.excess()) {
            peak = Some(found);
        }
    }
    peak
}

/// Repeats allowed in the window that ends at `end`: a share of the requests in it, or
/// in the window half or one window length earlier, whichever has most.
fn allowed(requests: &[Duration], end: Duration) -> f64 {
    let earlier = [Duration::ZERO, WINDOW / 2, WINDOW];
    let counts = earlier.map(|earlier| count(requests, end.saturating_sub(earlier)));
    let most = counts.into_iter().max().unwrap_or_default();
    most as f64 * RETRY_PERCENT as f64 / 100.0 + RETRY_BURST as f64
}

/// Number of the sorted `times` in the window that ends at `end`.
fn count(times: &[Duration], end: Duration) -> usize {
    let until = times.partition_point(|at| *at <= end);
    let from = match end.checked_sub(WINDOW) {
        Some(start) => times.partition_point(|at| *at <= start),
        None => 0,
    };
    until.saturating_sub(from)
}
