//! Plans for the traffic share of a new version over the time of a move.
//!
//! Some faults appear with the first calls, some only later or only under load,
//! and the deadline must be met. Linear growth sends many calls to a bad
//! version before the first verdict; growth by evidence alone misses the
//! deadline. The plans here double the share in steps of equal length;
//! [`DoublingPlan`] then holds nearly all traffic for the last third of the
//! time.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// All traffic, in thousandths.
pub const FULL_SHARE: u16 = 1_000;

/// Share held under real load for a quarter of the time. The rest stays with
/// the old version so that both are observed over the same period: with a fifth
/// of the traffic left to the old version, a failure of the new one is four
/// times as much evidence as with a twentieth left.
pub const HELD_SHARE: u16 = 800;

/// Share of the last check: practically full load, but still a few calls of the
/// old version. Without those a late fleet-wide problem would look like a bad
/// version.
pub const LAST_SHARE: u16 = 950;

/// Minimum fraction of the time for which [`HELD_SHARE`] is held, even if the
/// move is late: faults that appear only under load need load to appear.
pub const HOLD_FRACTION: f64 = 0.10;

/// Minimum fraction of the time for which [`LAST_SHARE`] is held.
pub const LAST_CHECK_FRACTION: f64 = 0.03;

/// Fraction of the time in which the share grows.
const GROWTH_FRACTION: f64 = 0.60;

/// Fraction of the time at which the last check begins.
const LAST_FRACTION: f64 = 0.85;

/// Fraction of the time at which the move finishes. The rest is for the last
/// change to reach every node: ten seconds of a 150 s move.
const FINISH_FRACTION: f64 = 0.93;

/// Minimum time reserved for the last change to reach every node.
const FINISH_SLACK: Duration = Duration::from_secs(2);

/// What to do if there are too few calls for evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuietChoice {
    /// Continue by time and finish.
    #[default]
    Finish,
    /// Keep the share until there is evidence.
    Hold,
}

/// A plan that maps elapsed time to a traffic share.
pub trait SharePlan: fmt::Debug {
    /// Share in thousandths at the given elapsed fraction of the move's time,
    /// from 0 to 1.
    fn share_at(&self, fraction: f64) -> u16;

    /// Returns whether the move should be finished.
    fn is_over(&self, elapsed: Duration, total: Duration) -> bool {
        let by_fraction = total.mul_f64(FINISH_FRACTION);
        elapsed >= by_fraction.min(total.saturating_sub(FINISH_SLACK))
    }
}

/// With an exposure bound: fraction of the time from which the share may exceed
/// [`CANARY_SHARE`].
const CANARY_FRACTION: f64 = 0.36;

/// Maximum share until then, in thousandths: enough to detect faults that
/// appear at once or soon, and a tenth of the total exposure allowed.
const CANARY_SHARE: f64 = 32.0;

/// With an exposure bound: duration of each doubling above [`CANARY_SHARE`], as
/// a fraction of the time, even if the move is late. In a 14 s move it is about
/// a second, in which a verdict is reached.
pub const BOUNDED_STEP_FRACTION: f64 = 0.065;

/// With an exposure bound: maximum share until the last check, in thousandths.
/// A share of one half gives the most information per call of the new version:
/// above it, too few calls of the old version are left for comparison.
const BOUNDED_SHARE: u16 = 512;

/// With an exposure bound: fraction of the time at which the last check begins.
const BOUNDED_LAST_FRACTION: f64 = 0.78;

/// Keeps the share small for the first part of the time, then doubles it.
///
/// For moves with a bound on the calls that a bad version may get. If the share
/// doubles from the start, a version that fails only under load gets 442 of
/// 2,804 calls before it is withdrawn. With this plan each later step costs the
/// calls needed for a verdict, and all steps together stay below a tenth of the
/// calls.
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
            // All doublings fall into the first half of the canary time.
            let step = (fraction / CANARY_FRACTION * 2.0 * (doublings + 1.0)).floor();
            return (first * step.exp2()).min(CANARY_SHARE) as u16;
        }
        let step = ((fraction - CANARY_FRACTION) / BOUNDED_STEP_FRACTION).floor() + 1.0;
        let share = CANARY_SHARE * step.exp2();
        share.min(f64::from(BOUNDED_SHARE)) as u16
    }
}

/// Doubles the share from the first step to [`HELD_SHARE`], then holds it.
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
