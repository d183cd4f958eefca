//! An adaptive limit on the number of followers that a source sends a full
//! copy of its state at once.
//!
//! After the loss of all processes hundreds of nodes that hold nothing send
//! requests within a few hundred milliseconds, and their callers are refused
//! until they have a configuration. A fixed rate would be too low for a small
//! configuration on an idle source and too high for a large one on a slow link;
//! the cost of a follower shows only in how long its catch-up takes.
//!
//! So the limit grows while catch-ups take about as long as the fastest one,
//! and shrinks when they take a multiple of that: then the followers only
//! compete for CPU and bandwidth, and all of them are delayed. A follower
//! frees its slot when it returns with the state that it received.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Bytes in flight allowed by the initial limit, before any follower has
/// caught up.
const INITIAL_BYTES: u64 = 4 * 1024 * 1024;

/// Lowest limit: a slow source still serves a few followers at once, so that
/// one follower behind a bad link does not block the others.
const LIMIT_MIN: f64 = 4.0;

/// Highest limit: a source holds a connection for each follower.
const LIMIT_MAX: f64 = 4_096.0;

/// Multiple of the fastest catch-up from which on the source counts as
/// overloaded.
const SLOW_RATIO: u32 = 4;

/// Shorter catch-up times are rounded up to this one: below it the round trip
/// and the batching of updates determine the time, not the load.
const CATCH_UP_MIN: Duration = Duration::from_millis(25);

/// Factor by which a slow catch-up multiplies the limit.
const DECREASE_FACTOR: f64 = 0.7;

/// Time after which a follower that has not returned is assumed to have
/// switched to another source.
const ABANDONED_AFTER: Duration = Duration::from_secs(2);

/// Divisor of the moving average of catch-up times: the latest one has a weight
/// of 1/8.
const AVERAGE_DIVISOR: u32 = 8;

/// A catch-up in progress.
#[derive(Clone, Copy, Debug)]
struct CatchUp {
    started_at: Duration,
    /// True if the limit has been decreased since the catch-up began.
    before_decrease: bool,
}

/// Catch-ups in progress and the limit on their number.
#[derive(Clone, Debug)]
pub struct CatchUpWindow {
    in_progress: HashMap<Arc<str>, CatchUp>,
    /// `None` before the first follower.
    limit: Option<f64>,
    fastest: Option<Duration>,
    average: Option<Duration>,
    /// Latest retry time given to a follower.
    retry_until: Duration,
}

impl Default for CatchUpWindow {
    fn default() -> Self {
        Self {
            in_progress: HashMap::new(),
            limit: None,
            fastest: None,
            average: None,
            retry_until: Duration::ZERO,
        }
    }
}

impl CatchUpWindow {
    /// Admits a follower that needs `bytes` at `now`. An error holds the time
    /// after which it shall retry. `waited` is true if the follower was given
    /// a retry time before and has waited for it.
    pub fn admit(
        &mut self,
        now: Duration,
        follower: &Arc<str>,
        bytes: u64,
        waited: bool,
    ) -> Result<(), Duration> {
        let limit = *self.limit.get_or_insert_with(|| {
            let fitting = INITIAL_BYTES / bytes.max(1);
            (fitting as f64).clamp(LIMIT_MIN, LIMIT_MAX)
        });
        let known = self.in_progress.contains_key(follower);
        if !known && self.in_progress.len() >= limit as usize {
            self.remove_abandoned(now);
        }
        let below_limit = known || self.in_progress.len() < limit as usize;
        // New followers queue behind those with a retry time, unless no
        // catch-up is in progress: then those have switched to other sources.
        let unused = self.in_progress.is_empty();
        let in_turn = known || waited || unused || self.retry_until <= now;
        if below_limit && in_turn {
            let began = CatchUp {
                started_at: now,
                before_decrease: false,
            };
            self.in_progress.insert(Arc::clone(follower), began);
            return Ok(());
        }
        let each = self.average.unwrap_or(CATCH_UP_MIN).div_f64(limit);
        let at = self.retry_until.max(now) + each;
        self.retry_until = at;
        Err(at - now)
    }

    /// Records that a follower has caught up; ignored if it has no catch-up
    /// in progress.
    pub fn caught_up(&mut self, now: Duration, follower: &str) {
        let Some(ended) = self.in_progress.remove(follower) else {
            return;
        };
        let took = now.saturating_sub(ended.started_at).max(CATCH_UP_MIN);
        let fastest = self.fastest.map_or(took, |held| held.min(took));
        self.fastest = Some(fastest);
        let average = self.average.unwrap_or(took);
        self.average = Some((average * (AVERAGE_DIVISOR - 1) + took) / AVERAGE_DIVISOR);
        if took < fastest * SLOW_RATIO {
            self.grow();
        } else if !ended.before_decrease {
            self.decrease(took);
        }
    }

    /// Raises the limit if at least half of it is in use: at low use a fast
    /// catch-up does not show that more are possible.
    fn grow(&mut self) {
        let limit = self.limit.unwrap_or(LIMIT_MIN);
        let used = self.in_progress.len() + 1;
        if used as f64 * 2.0 >= limit {
            self.limit = Some((limit + 1.0).min(LIMIT_MAX));
        }
    }

    /// Lowers the limit once for all catch-ups that were in progress together,
    /// because all of them were slowed by the same load.
    ///
    /// At the lowest limit the followers cannot have slowed each other: the
    /// configuration has grown, so the fastest time is raised instead.
    fn decrease(&mut self, took: Duration) {
        if self.limit.is_some_and(|limit| limit <= LIMIT_MIN) {
            self.fastest = Some(took * 2 / SLOW_RATIO);
        }
        let limit = self.limit.unwrap_or(LIMIT_MIN) * DECREASE_FACTOR;
        self.limit = Some(limit.max(LIMIT_MIN));
        for catch_up in self.in_progress.values_mut() {
            catch_up.before_decrease = true;
        }
    }

    /// Frees the slots of followers that have switched to another source.
    fn remove_abandoned(&mut self, now: Duration) {
        self.in_progress
            .retain(|_, held| now.saturating_sub(held.started_at) < ABANDONED_AFTER);
    }
}
