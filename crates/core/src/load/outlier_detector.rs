//! Whether a server's failures are its own.
//!
//! Load pattern: one server of a service fails, often quickly, and goes on
//! getting its share of calls, or more since it looks idle. It is ejected on
//! evidence, for a time that doubles with each relapse, and comes back by
//! single trial calls. Where the others fail as well, the fault is in the
//! requests or in something behind all servers, and ejecting them one by one
//! would leave nobody to serve what still works: then nobody is ejected.

use std::time::Duration;

use crate::load::decayed_count::DecayedCount;

/// Failures in a row that eject. Five random failures in a row at a failure
/// share of 10 % happen once in 100,000 calls.
const IN_ROW: u32 = 5;

/// Least evidence, in calls of late, for ejection by share.
const CALLS_MIN: f64 = 10.0;

/// Failure share that ejects.
const SHARE_MIN: f64 = 0.5;

/// The server must fail this many times as often as the others together.
const OTHERS_FACTOR: f64 = 2.0;

/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// First ejection, and the longest after doubling. The first is longer than
/// a restart of a process, the last bounds how long a mended server idles.
const EJECT_FIRST: Duration = Duration::from_secs(5);
const EJECT_MAX: Duration = Duration::from_secs(60);

/// Successes and failures of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureShare {
    answered: DecayedCount,
    failed: DecayedCount,
}

impl FailureShare {
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

/// Where a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStanding {
    /// It gets calls.
    In,
    /// It gets none until then, and single trial calls afterwards.
    Ejected(Duration),
}

/// Evidence on one server.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    own: FailureShare,
    in_row: u32,
    ejections: u32,
    standing: ServerStanding,
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self {
            own: FailureShare::default(),
            in_row: 0,
            ejections: 0,
            standing: ServerStanding::In,
        }
    }
}

impl OutlierDetector {
    /// Where the server stands.
    pub fn standing(&self) -> ServerStanding {
        self.standing
    }

    /// True while it is ejected or on trial.
    pub fn is_ejected(&self) -> bool {
        self.standing != ServerStanding::In
    }

    /// Whether a call may go there with `outstanding` of this node there.
    /// A trial is an idempotent call, or any once the ejection is over for
    /// as long again, since some services get no idempotent calls.
    pub fn admits(&self, now: Duration, outstanding: u32, idempotent: bool) -> bool {
        let ServerStanding::Ejected(until) = self.standing else {
            return true;
        };
        let for_any = until + self.length();
        outstanding == 0 && (now >= for_any || idempotent && now >= until)
    }

    /// An answer came. True where it ends an ejection.
    pub fn answered(&mut self, now: Duration) -> bool {
        self.own.add(now, false);
        self.in_row = 0;
        let ServerStanding::Ejected(until) = self.standing else {
            return false;
        };
        // Guards against answers of calls sent before the ejection: they
        // say nothing of the server as it is now.
        if now < until {
            return false;
        }
        self.standing = ServerStanding::In;
        self.own = FailureShare::default();
        true
    }

    /// A try failed. True where the evidence asks for ejection, judged
    /// against `pool`, the counts of all servers of the version together.
    pub fn failed(&mut self, now: Duration, pool: &FailureShare) -> bool {
        self.own.add(now, true);
        self.in_row += 1;
        match self.standing {
            ServerStanding::In => self.is_outlier(now, pool),
            ServerStanding::Ejected(until) => now >= until,
        }
    }

    fn is_outlier(&self, now: Duration, pool: &FailureShare) -> bool {
        let (failed, calls) = self.own.counts(now);
        let share = failed / calls.max(1.0);
        let by_share = calls >= CALLS_MIN && share >= SHARE_MIN;
        if self.in_row < IN_ROW && !by_share {
            return false;
        }
        let (pool_failed, pool_calls) = pool.counts(now);
        let others_calls = (pool_calls - calls).max(0.0);
        let others_failed = (pool_failed - failed).max(0.0);
        let others_share = others_failed / others_calls.max(1.0);
        others_share * OTHERS_FACTOR <= share
    }

    /// Ejects it from now on.
    pub fn eject(&mut self, now: Duration) {
        self.ejections += 1;
        self.standing = ServerStanding::Ejected(now + self.length());
    }

    fn length(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(8);
        (EJECT_FIRST * 2_u32.pow(doublings)).min(EJECT_MAX)
    }
}
