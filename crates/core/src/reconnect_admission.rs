//! Admission control for reconnecting followers: which of them a source
//! serves now, and when the others shall retry.
//!
//! When a control instance dies or a failure domain comes back, hundreds or
//! thousands of followers send requests to the remaining instances within a
//! second. If all were answered at once, those that hold nothing would each
//! need the whole document and directory, about 1 MB, and would saturate the
//! link and the CPU. Followers that only wait for the next change would be
//! delayed behind them, and those that time out would repeat their requests and
//! add to the load.
//!
//! So followers that need a full copy are admitted up to the number that the
//! source can serve without slowing each of them down ([`CatchUpWindow`]),
//! and followers that need little are admitted at a bounded rate. Each of the
//! others is given a retry time of its own, at which it takes precedence over
//! new followers. Followers that were already admitted are not limited.

use std::sync::Arc;
use std::time::Duration;

use crate::catch_up_window::CatchUpWindow;

/// Expected cost of a first request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectCost {
    /// The follower holds nearly the same state as the source: a few hundred
    /// bytes and 0.1 ms.
    Light,
    /// The follower needs a snapshot or the whole directory, of this size in
    /// bytes.
    Heavy(u64),
}

/// Light requests admitted per second, which take a tenth of a core. If only
/// one instance is left, all 5,200 nodes are back within eleven seconds.
const LIGHT_PER_SECOND: u32 = 500;

/// Burst size after a pause, as the time in which the rate admits as many
/// requests.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Longest wait given to a follower. After a longer one the source may no
/// longer exist, so the follower asks again and may be given another wait.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(30);

/// Admission control of one source.
#[derive(Clone, Debug)]
pub struct ReconnectAdmission {
    light: RateSchedule,
    heavy: CatchUpWindow,
}

impl Default for ReconnectAdmission {
    fn default() -> Self {
        Self {
            light: RateSchedule::new(LIGHT_PER_SECOND),
            heavy: CatchUpWindow::default(),
        }
    }
}

impl ReconnectAdmission {
    /// Admits the first request of `follower` at `now`. An error holds the time
    /// after which it shall retry. `waited` is true if the follower was given
    /// a retry time before and has waited for it.
    pub fn admit(
        &mut self,
        now: Duration,
        follower: &Arc<str>,
        cost: ReconnectCost,
        waited: bool,
    ) -> Result<(), Duration> {
        let admitted = match cost {
            ReconnectCost::Light => self.light.admit(now, waited),
            ReconnectCost::Heavy(bytes) => self.heavy.admit(now, follower, bytes, waited),
        };
        admitted.map_err(|after| after.min(RETRY_DELAY_MAX))
    }

    /// Records that an admitted follower has caught up and waits for updates.
    pub fn caught_up(&mut self, now: Duration, follower: &str) {
        self.heavy.caught_up(now, follower);
    }
}

/// A rate limit, kept as the times at which the next requests are admitted.
#[derive(Clone, Debug)]
struct RateSchedule {
    interval: Duration,
    /// When the rate has capacity again if no more requests are admitted.
    admitted_until: Duration,
    /// Latest retry time given to a follower.
    retry_until: Duration,
}

impl RateSchedule {
    fn new(per_second: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / per_second,
            admitted_until: Duration::ZERO,
            retry_until: Duration::ZERO,
        }
    }

    fn admit(&mut self, now: Duration, waited: bool) -> Result<(), Duration> {
        let below_rate = self.admitted_until <= now + BURST_TIME;
        // New followers queue behind those with a retry time; otherwise they
        // would be admitted first and those that waited would be deferred
        // again. If the rate is unused, those that were given a retry time
        // have switched to another source, and any follower is admitted.
        let unused = self.admitted_until <= now;
        let in_turn = waited || unused || self.retry_until <= now;
        if below_rate && in_turn {
            self.admitted_until = self.admitted_until.max(now) + self.interval;
            return Ok(());
        }
        let from = self.retry_until.max(self.admitted_until).max(now);
        let at = (from + self.interval).min(now + RETRY_DELAY_MAX);
        self.retry_until = at;
        Err(at - now)
    }
}
