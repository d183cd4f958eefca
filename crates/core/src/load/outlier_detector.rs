//! Outlier detection: whether failures are a server's own fault.
//!
//! Load pattern: one server of a service fails, often quickly, and keeps
//! getting its share of calls, or more because it looks idle. It is ejected
//! once there is enough evidence, for a time that doubles with each relapse,
//! and returns by single trial calls. If the other servers fail as well, the
//! fault is in the requests or in a shared dependency. Ejecting the servers one
//! by one would then leave none for the calls that still work, so none is
//! ejected.

use std::time::Duration;

use crate::load::decayed_count::DecayedCount;

/// Consecutive failures that eject a server. At a random failure rate of 10 %,
/// five in a row occur once in 100,000 calls.
const CONSECUTIVE_FAILURES: u32 = 5;

/// Minimum number of recent calls for ejection by failure share.
const SHARE_CALLS_MIN: f64 = 10.0;

/// Failure share that ejects a server.
const FAILURE_SHARE_MIN: f64 = 0.5;

/// How many times as high as the others' failure share the server's must be.
const OUTLIER_FACTOR: f64 = 2.0;

/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// First ejection time, and the maximum after doubling. The first is longer
/// than a process restart; the maximum bounds how long a recovered server stays
/// idle.
const EJECTION_FIRST: Duration = Duration::from_secs(5);
const EJECTION_MAX: Duration = Duration::from_secs(60);

/// Decayed counts of recent successes and failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    answered: DecayedCount,
    failed: DecayedCount,
}

impl OutcomeCounts {
    /// Counts one call.
    pub fn add(&mut self, now: Duration, failed: bool) {
        let count = if failed {
            &mut self.failed
        } else {
            &mut self.answered
        };
        count.add(now, HALF_LIFE, 1.0);
    }

    fn counts(&self, now: Duration) -> (f64, f64) {
        let failed = self.failed.get(now, HALF_LIFE);
        (failed, failed + self.answered.get(now, HALF_LIFE))
    }
}

/// Whether a server is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// The server gets calls.
    Healthy,
    /// The server gets no calls until then, and single trial calls afterwards.
    Ejected(Duration),
}

/// Failure statistics and ejection state of one server.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    own: OutcomeCounts,
    consecutive: u32,
    ejections: u32,
    state: EjectionState,
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self {
            own: OutcomeCounts::default(),
            consecutive: 0,
            ejections: 0,
            state: EjectionState::Healthy,
        }
    }
}

impl OutlierDetector {
    /// Returns the ejection state.
    pub fn state(&self) -> EjectionState {
        self.state
    }

    /// True while the server is ejected or on trial.
    pub fn is_ejected(&self) -> bool {
        self.state != EjectionState::Healthy
    }

    /// Whether a call may be sent to the server while `outstanding` calls of
    /// this node are there. A trial is an idempotent call; after a further
    /// ejection time any call may be one, since some services get no idempotent
    /// calls.
    pub fn admits(&self, now: Duration, outstanding: u32, idempotent: bool) -> bool {
        let EjectionState::Ejected(until) = self.state else {
            return true;
        };
        let any_from = until + self.ejection_time();
        outstanding == 0 && (now >= any_from || idempotent && now >= until)
    }

    /// Records an answer; returns true if it ends an ejection.
    pub fn answered(&mut self, now: Duration) -> bool {
        self.own.add(now, false);
        self.consecutive = 0;
        let EjectionState::Ejected(until) = self.state else {
            return false;
        };
        // Ignores answers to calls sent before the ejection, which say nothing
        // about the current state of the server.
        if now < until {
            return false;
        }
        self.state = EjectionState::Healthy;
        self.own = OutcomeCounts::default();
        true
    }

    /// Records a failed try. Returns true if the server should be ejected,
    /// compared with `pool`, the counts of all servers of the version.
    pub fn failed(&mut self, now: Duration, pool: &OutcomeCounts) -> bool {
        self.own.add(now, true);
        self.consecutive += 1;
        match self.state {
            EjectionState::Healthy => self.is_outlier(now, pool),
            EjectionState::Ejected(until) => now >= until,
        }
    }

    fn is_outlier(&self, now: Duration, pool: &OutcomeCounts) -> bool {
        let (failed, calls) = self.own.counts(now);
        let share = failed / calls.max(1.0);
        let by_share = calls >= SHARE_CALLS_MIN && share >= FAILURE_SHARE_MIN;
        if self.consecutive < CONSECUTIVE_FAILURES && !by_share {
            return false;
        }
        let (pool_failed, pool_calls) = pool.counts(now);
        let others_calls = (pool_calls - calls).max(0.0);
        let others_failed = (pool_failed - failed).max(0.0);
        let others_share = others_failed / others_calls.max(1.0);
        others_share * OUTLIER_FACTOR <= share
    }

    /// Ejects the server from `now` on.
    pub fn eject(&mut self, now: Duration) {
        self.ejections += 1;
        self.state = EjectionState::Ejected(now + self.ejection_time());
    }

    fn ejection_time(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(8);
        (EJECTION_FIRST * 2_u32.pow(doublings)).min(EJECTION_MAX)
    }
}
