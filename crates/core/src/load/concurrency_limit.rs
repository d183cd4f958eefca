//! How many requests a backend server gets at once.
//!
//! Load pattern: a server that announced more slots than it can use, or that
//! has slowed down. With the announced slots alone it goes on getting its
//! full share, every job in it slows the others, and calls time out in the
//! server instead of being refused where they could still go elsewhere.
//!
//! The limit is the announced slots at most. It falls by a factor when the
//! server sheds or when jobs take twice the time they take under little
//! load, and rises by one while they do not and the limit holds work back.
//!
//! Jobs may also take longer because they are larger: more work in each, the
//! server as able as before. A lower limit then only makes callers wait. So
//! cuts are on trial: where three in a row, to about half, have not made the
//! jobs quicker, the limit returns to where it was and stays a while.

use std::time::Duration;

/// Slow-down taken as overload. Means of some eight jobs, each counted up to
/// four times the usual, differ by less than twofold nearly always.
const SLOWDOWN_MAX: f64 = 2.0;

/// Slow-down below which the limit rises. The gap between the two keeps the
/// limit from swinging.
const SLOWDOWN_GOOD: f64 = 1.5;

/// Factor of one decrease; three in a row halve the limit.
const DECREASE: f64 = 0.8;

/// Changes are at least this far apart: the effect of one must be seen
/// before the next.
const CHANGE_EVERY: Duration = Duration::from_millis(100);

/// Without any evidence the limit rises this often, by a quarter. Guards
/// against a limit that was cut by a slowness now past, at a server whose
/// jobs all wait for other services: none of them says anything of the
/// server, and it would keep a quarter of its slots for ever.
const RECOVER_EVERY: Duration = Duration::from_secs(1);
const RECOVER_FACTOR: f64 = 1.25;

/// Part of the slots that counts as light use, and that always stays where
/// operators set no other. A server slow for a reason other than concurrency
/// would otherwise be throttled to nothing for no gain.
const KEPT_PART: u32 = 4;

/// Cuts after which their gain is looked at.
const TRIAL_CUTS: u32 = 3;

/// Where concurrency is what slows the jobs, half of it takes half of the
/// time; jobs still above this part of it have gained nothing to speak of.
const TRIAL_GAIN: f64 = 0.75;

/// Time without cuts after a trial that gained nothing. A trial takes some
/// 0.4 s, so callers wait for one during 4 % of the time at most.
const TRIAL_PAUSE: Duration = Duration::from_secs(10);

/// Weight of a job in the mean ratio: about the last 8.
const RATIO_PART: f64 = 1.0 / 8.0;

/// A job counts in the mean up to this ratio: half of any mean that a single
/// one leaves is gone within six jobs, before a trial ends, and a server at
/// sixteen times its usual time is still told from one at eight.
const RATIO_MOST: f64 = 16.0;

/// Cuts whose gain is not known yet.
#[derive(Clone, Copy, Debug)]
struct CutTrial {
    cuts: u32,
    limit_before: f64,
    /// Greatest mean ratio seen since the first cut. The mean lags behind
    /// the jobs, so that what it was at the cut itself is too low.
    ratio_most: f64,
}

/// Concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    changed_at: Option<Duration>,
    ratio: f64,
    trial: Option<CutTrial>,
    paused_until: Duration,
    kept: u32,
}

impl ConcurrencyLimit {
    /// A limit that starts at the announced slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            changed_at: None,
            ratio: 1.0,
            trial: None,
            paused_until: Duration::ZERO,
            kept: slots / KEPT_PART,
        }
    }

    /// Keeps at least this part of the slots, in hundredths.
    pub fn set_floor(&mut self, percent: u32) {
        self.kept = self.slots * percent.min(100) / 100;
        self.limit = self.limit.max(f64::from(self.kept));
    }

    /// Requests allowed at once.
    pub fn allowed(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Whether so few run that the time of a job is its own: the part of
    /// the slots that always stays.
    pub fn is_light(&self, in_flight: u32) -> bool {
        in_flight <= (self.slots / KEPT_PART).max(1)
    }

    /// A job ended with `in_flight` at once. It took `ratio` times the usual,
    /// and the last ones, none counted beyond reason, `slowdown` times.
    pub fn observe(&mut self, now: Duration, slowdown: f64, ratio: f64, in_flight: u32) {
        self.ratio += (ratio.min(RATIO_MOST) - self.ratio) * RATIO_PART;
        if slowdown > SLOWDOWN_MAX {
            self.cut(now);
            return;
        }
        self.trial = None;
        if slowdown < SLOWDOWN_GOOD && in_flight >= self.allowed() {
            self.change(now, CHANGE_EVERY, self.limit.floor() + 1.0);
        }
    }

    /// A job ended whose time says nothing of the server.
    pub fn recover(&mut self, now: Duration, in_flight: u32) {
        if in_flight >= self.allowed() {
            let raised = (self.limit * RECOVER_FACTOR).max(self.limit + 1.0);
            self.change(now, RECOVER_EVERY, raised);
        }
    }

    /// The server shed a request for want of room.
    pub fn shed(&mut self, now: Duration) {
        self.change(now, CHANGE_EVERY, self.limit * DECREASE);
    }

    fn cut(&mut self, now: Duration) {
        if let Some(trial) = &mut self.trial {
            trial.ratio_most = trial.ratio_most.max(self.ratio);
        }
        if now < self.paused_until || self.is_recent(now, CHANGE_EVERY) {
            return;
        }
        let mut trial = self.trial.unwrap_or(CutTrial {
            cuts: 0,
            limit_before: self.limit,
            ratio_most: self.ratio,
        });
        if trial.cuts < TRIAL_CUTS {
            trial.cuts += 1;
            self.trial = Some(trial);
            self.change(now, CHANGE_EVERY, self.limit * DECREASE);
            return;
        }
        self.trial = None;
        // Guards against larger jobs that pass for a slow server: calls
        // would wait, and time out, behind slots that stand empty.
        if self.ratio > trial.ratio_most * TRIAL_GAIN {
            self.paused_until = now + TRIAL_PAUSE;
            self.change(now, CHANGE_EVERY, trial.limit_before);
        }
    }

    fn is_recent(&self, now: Duration, every: Duration) -> bool {
        self.changed_at.is_some_and(|at| now < at + every)
    }

    fn change(&mut self, now: Duration, every: Duration, limit: f64) {
        if self.is_recent(now, every) {
            return;
        }
        self.changed_at = Some(now);
        let kept = f64::from(self.kept.max(1));
        self.limit = limit.clamp(kept, f64::from(self.slots).max(kept));
    }
}
