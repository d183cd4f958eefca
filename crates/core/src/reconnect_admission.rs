//! Which reconnecting followers a source takes now, and when the others are
//! to come back.
//!
//! Load pattern: a control instance dies, or a failure domain comes back,
//! and hundreds or thousands of followers ask the remaining instances
//! within a second. Without admission each is answered at once: those that
//! start with nothing want the whole document and directory, about 1 MB
//! each, the link and the processor are full of them, the followers that
//! only wait for the next change wait behind them, and those that give up
//! ask again and make it worse.
//!
//! So followers that need everything are taken while few of them are under
//! way, as many as the source is seen to serve without making each of them
//! slow ([`CatchUpWindow`]); those that need little at a bounded rate. Each
//! of the others is told a time of its own, and is taken then before
//! newcomers. Followers that were already taken are not counted here at all.

use std::sync::Arc;
use std::time::Duration;

use crate::catch_up_window::CatchUpWindow;

/// What a first question will cost the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectCost {
    /// The follower holds what the source holds, or nearly: some hundred
    /// bytes, a tenth of a millisecond.
    Light,
    /// It needs a snapshot or the whole directory, so many bytes.
    Heavy(u64),
}

/// Light questions taken a second: a tenth of a core. All 5,200 nodes, if a
/// single instance were left, are back within eleven seconds.
const LIGHT_PER_SECOND: u32 = 500;

/// Questions taken at once after a pause: what comes in a quarter second.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Longest time that a follower is told to wait. Beyond it the source may
/// have gone, so it is asked again to be told anew.
const LATER_MAX: Duration = Duration::from_secs(30);

/// Admission of one source.
#[derive(Clone, Debug)]
pub struct ReconnectAdmission {
    light: SlotSchedule,
    heavy: CatchUpWindow,
}

impl Default for ReconnectAdmission {
    fn default() -> Self {
        Self {
            light: SlotSchedule::new(LIGHT_PER_SECOND),
            heavy: CatchUpWindow::default(),
        }
    }
}

impl ReconnectAdmission {
    /// Takes the first question of `follower` at `now`, or says when to come
    /// back. `waited` where the follower was told so before and has waited.
    pub fn admit(
        &mut self,
        now: Duration,
        follower: &Arc<str>,
        cost: ReconnectCost,
        waited: bool,
    ) -> Result<(), Duration> {
        let told = match cost {
            ReconnectCost::Light => self.light.admit(now, waited),
            ReconnectCost::Heavy(bytes) => self.heavy.admit(now, follower, bytes, waited),
        };
        told.map_err(|after| after.min(LATER_MAX))
    }

    /// A follower that was taken has what it needed, and waits for news.
    pub fn caught_up(&mut self, now: Duration, follower: &str) {
        self.heavy.caught_up(now, follower);
    }
}

/// A rate, as times at which the next one is taken.
#[derive(Clone, Debug)]
struct SlotSchedule {
    interval: Duration,
    /// When the rate has room again, were nothing more taken.
    taken_until: Duration,
    /// The last time that was told to a follower.
    told_until: Duration,
}

impl SlotSchedule {
    fn new(per_second: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / per_second,
            taken_until: Duration::ZERO,
            told_until: Duration::ZERO,
        }
    }

    fn admit(&mut self, now: Duration, waited: bool) -> Result<(), Duration> {
        let room = self.taken_until <= now + BURST_TIME;
        // Newcomers queue up behind those who were told a time: else the
        // luckiest newcomers are taken and the patient ones told again. An
        // unused rate is open to all: whoever was told has gone elsewhere.
        let unused = self.taken_until <= now;
        let first = waited || unused || self.told_until <= now;
        if room && first {
            self.taken_until = self.taken_until.max(now) + self.interval;
            return Ok(());
        }
        let from = self.told_until.max(self.taken_until).max(now);
        let at = (from + self.interval).min(now + LATER_MAX);
        self.told_until = at;
        Err(at - now)
    }
}
