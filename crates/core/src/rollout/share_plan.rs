//! The share of traffic that a new version should have at a time.
//!
//! Load pattern: some badness shows at the first calls, some only late or
//! only under load, and the set time must be kept. Growing evenly with time
//! sends many calls to a bad version before the first verdict; waiting for
//! evidence alone misses the set time. Here the share doubles in steps of
//! equal length, and the last third of the time holds nearly all traffic.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whole traffic, in thousandths.
pub const FULL_SHARE: u16 = 1_000;

/// Share held under real load for a quarter of the time. The rest stays with
/// the old version, so that both are seen over the same time: with a fifth
/// left a failure of the new version says four times as much as with a
/// twentieth.
pub const HELD_SHARE: u16 = 800;

/// Share of the last check. As much load as all of it, and still a few calls
/// of the old version, without which a trouble of the whole fleet in the
/// last moments would look like a bad version.
pub const LAST_SHARE: u16 = 950;

/// Part of the time for which [`HELD_SHARE`] is held at least, also by a move
/// that is late: badness that shows only under load needs load to show.
pub const HOLD_FRACTION: f64 = 0.10;

/// Part of the time for which [`LAST_SHARE`] is held at least.
pub const LAST_CHECK_FRACTION: f64 = 0.03;

/// Part of the time in which the share grows.
const GROWTH_FRACTION: f64 = 0.60;

/// Part of the time at which the last check begins.
const LAST_FRACTION: f64 = 0.85;

/// Part of the time at which the move is finished. The rest is for the last
/// change to reach every node: ten seconds of a move of 150 s.
const FINISH_FRACTION: f64 = 0.93;

/// Time kept for the last change at least.
const FINISH_SLACK: Duration = Duration::from_secs(2);

/// What to do where too few calls come for evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuietChoice {
    /// Go on by time and finish.
    #[default]
    Finish,
    /// Stay at the share until there is evidence.
    Hold,
}

/// Which share belongs to which time.
pub trait SharePlan: fmt::Debug {
    /// Share in thousandths at `part` of the move's time, from 0 to 1.
    fn share_at(&self, fraction: f64) -> u16;

    /// True once the move should be finished.
    fn is_over(&self, elapsed: Duration, whole: Duration) -> bool {
        let by_part = whole.mul_f64(FINISH_FRACTION);
        elapsed >= by_part.min(whole.saturating_sub(FINISH_SLACK))
    }
}

/// Part of the time at which the growth beyond [`CANARY_SHARE`] begins where
/// what a bad version may get is bounded.
const CANARY_FRACTION: f64 = 0.36;

/// Share until then, in thousandths: enough for a verdict on what shows at
/// once or soon, and a tenth of what is allowed in all.
const CANARY_SHARE: f64 = 32.0;

/// Length of each doubling after it, as a part of the time, also of a move
/// that is late: a second of a move of 14 s, in which a verdict comes.
pub const BOUNDED_STEP_FRACTION: f64 = 0.065;

/// Share until the last check of such a move. Of all shares a half tells most
/// of a version for each call that it gets: above it few calls are left to
/// compare it with.
const BOUNDED_SHARE: u16 = 512;

/// Part of the time at which the last check of such a move begins.
const BOUNDED_LAST_FRACTION: f64 = 0.74;

/// Small until much of the time is over, then doubles.
///
/// Load pattern: a version that is bad only under load or after a while, and
/// a bound on the calls that it may get in all. With the share doubled from
/// the start, a version that failed under load had got 442 of 2,804 calls
/// when it was withdrawn; what it gets in each later step here is what a
/// verdict takes, and all of them together stay below a tenth.
#[derive(Clone, Copy, Debug)]
pub struct BoundedPlan {
    /// Share of the first step, in thousandths.
    pub first: u16,
}

impl SharePlan for BoundedPlan {
    fn share_at(&self, fraction: f64) -> u16 {
        if fraction >= BOUNDED_LAST_FRACTION {
            return LAST_SHARE;
        }
        if fraction < CANARY_FRACTION {
            let first = f64::from(self.first.max(1));
            let doublings = (CANARY_SHARE / first).log2().ceil().max(0.0);
            // All of them within the first half of the proving time.
            let step = (fraction / CANARY_FRACTION * 2.0 * (doublings + 1.0)).floor();
            return (first * step.exp2()).min(CANARY_SHARE) as u16;
        }
        let step = ((fraction - CANARY_FRACTION) / BOUNDED_STEP_FRACTION).floor() + 1.0;
        let share = CANARY_SHARE * step.exp2();
        share.min(f64::from(BOUNDED_SHARE)) as u16
    }
}

/// Doubles from the first share to [`HELD_SHARE`], then holds.
#[derive(Clone, Copy, Debug)]
pub struct DoublingPlan {
    /// Share of the first step, in thousandths.
    pub first: u16,
}

impl SharePlan for DoublingPlan {
    fn share_at(&self, fraction: f64) -> u16 {
        if fraction >= LAST_FRACTION {
            return LAST_SHARE;
        }
        if fraction >= GROWTH_FRACTION {
            return HELD_SHARE;
        }
        let first = f64::from(self.first.clamp(1, HELD_SHARE));
        let doublings = (f64::from(HELD_SHARE) / first).log2().ceil();
        let step = (fraction / GROWTH_FRACTION * (doublings + 1.0)).floor();
        let share = first * step.exp2();
        share.min(f64::from(HELD_SHARE)) as u16
    }
}
