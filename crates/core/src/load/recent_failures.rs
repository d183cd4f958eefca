//! How many of a backend server's recent calls failed, over the calls of all
//! entry nodes.
//!
//! Load pattern: some of a hundred servers lose a third of their answers, while
//! their health pages are good. A hundred entry nodes share the calls, so that
//! each of them sends a given server one call in some seconds and needs minutes to
//! tell it from the others. Calls that may not run twice are lost there, and the
//! others use up the retry budget. The server's own node sees all of its calls
//! and knows within a second or two.
//!
//! While too many calls fail, the node refuses calls that search for a free slot,
//! so that they go to other servers as long as one of those has a slot. A call
//! that finds none is accepted: if all servers fail alike, none is better.

use std::time::Duration;

use crate::load::decayed_count::DecayedCount;

/// Half-life of the counts: a fault is seen, and forgotten, within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Failures below which nothing is concluded; one in a hundred jobs fails by
/// itself.
const FAILURES_MIN: f64 = 1.5;

/// Failing fraction from which calls that run at most once are sent elsewhere.
const FRACTION_ONCE: f64 = 0.1;

/// Failing fraction from which calls that may be repeated are sent elsewhere: a
/// further try costs them less than the longer way.
const FRACTION_REPEATABLE: f64 = 0.25;

/// Decayed counts of a server's calls and of those that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentFailures {
    calls: DecayedCount,
    failed: DecayedCount,
}

impl RecentFailures {
    /// Counts a call that ended at `now`.
    pub fn record(&mut self, now: Duration, failed: bool) {
        self.calls.add(now, HALF_LIFE, 1.0);
        if failed {
            self.failed.add(now, HALF_LIFE, 1.0);
        }
    }

    /// Failing fraction of the recent calls; zero if there is too little
    /// evidence.
    pub fn fraction(&self, now: Duration) -> f64 {
        let failed = self.failed.get(now, HALF_LIFE);
        if failed < FAILURES_MIN {
            return 0.0;
        }
        failed / self.calls.get(now, HALF_LIFE)
    }

    /// Whether a call should be sent to another server if one has a free slot.
    pub fn should_avoid(&self, now: Duration, idempotent: bool) -> bool {
        let limit = if idempotent {
            FRACTION_REPEATABLE
        } else {
            FRACTION_ONCE
        };
        self.fraction(now) >= limit
    }
}
