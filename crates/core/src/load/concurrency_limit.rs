//! Limits how many requests a backend server gets at once.
//!
//! Load pattern: a server announced more slots than it can use, or has slowed
//! down. If only the announced slots counted, it would still get its full
//! share, every job in it would slow the others, and calls would time out in
//! the server instead of being refused while they could still go elsewhere.
//!
//! The limit never exceeds the announced slots. It decreases by a factor when
//! the server sheds load or when jobs take more than twice their baseline time,
//! which is learned under light load. It increases by one while jobs are near
//! the baseline and the limit is fully used.
//!
//! Jobs may also take longer because they are larger while the server is as
//! fast as before. A lower limit then only makes callers wait. Decreases are
//! therefore on trial: if three in a row, to about half the limit, have not
//! made the jobs faster, the limit returns to its former value and stays there
//! for a while.

use std::time::Duration;

/// Slowdown above which the server counts as overloaded. Means of about eight
/// jobs, each capped at four times the baseline, nearly always vary by less
/// than this.
const SLOWDOWN_MAX: f64 = 2.0;

/// Slowdown below which the limit increases. The gap to [`SLOWDOWN_MAX`] keeps
/// the limit from oscillating.
const SLOWDOWN_GOOD: f64 = 1.5;

/// Factor of one decrease; three in a row halve the limit.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum time between changes, since the effect of one must be visible before
/// the next.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Without any measurement, the limit rises by a quarter at this interval.
/// Guards against a limit that was lowered during a past slowdown at a server
/// whose jobs all wait for other services: no job would give information about
/// the server, and it would keep a quarter of its slots permanently.
const RECOVER_INTERVAL: Duration = Duration::from_secs(1);
const RECOVER_FACTOR: f64 = 1.25;

/// Divisor for the part of the slots that counts as light use, and below which
/// the limit does not fall unless operators set another floor. Otherwise a
/// server that is slow for a reason other than concurrency would be throttled
/// to nothing without gain.
const FLOOR_DIVISOR: u32 = 4;

/// Number of decreases after which their effect is evaluated.
const TRIAL_DECREASES: u32 = 3;

/// If concurrency is what slows the jobs, half of it halves their time. Jobs
/// that still take more than this fraction of the earlier time have not become
/// noticeably faster.
const TRIAL_GAIN: f64 = 0.75;

/// Time without decreases after a trial that gained nothing. A trial takes
/// about 0.4 s, so callers wait because of trials at most 4 % of the time.
const TRIAL_PAUSE: Duration = Duration::from_secs(10);

/// Weight of a job in the mean ratio: about the last 8 jobs.
const RATIO_WEIGHT: f64 = 1.0 / 8.0;

/// Cap on the ratio of a single job in the mean. Half of any excess that one
/// job adds is gone within six jobs, before a trial ends, and a server at 16
/// times its baseline can still be distinguished from one at 8 times.
const RATIO_MAX: f64 = 16.0;

/// A series of decreases whose effect is not known yet.
#[derive(Clone, Copy, Debug)]
struct DecreaseTrial {
    decreases: u32,
    limit_before: f64,
    /// Highest mean ratio since the first decrease. The mean lags behind the
    /// jobs, so its value at the first decrease is too low.
    ratio_max: f64,
}

/// Concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    changed_at: Option<Duration>,
    ratio: f64,
    trial: Option<DecreaseTrial>,
    paused_until: Duration,
    floor: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the announced slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            changed_at: None,
            ratio: 1.0,
            trial: None,
            paused_until: Duration::ZERO,
            floor: slots / FLOOR_DIVISOR,
        }
    }

    /// Sets the minimum limit, in percent of the slots.
    pub fn set_floor(&mut self, percent: u32) {
        self.floor = self.slots * percent.min(100) / 100;
        self.limit = self.limit.max(f64::from(self.floor));
    }

    /// Number of requests allowed at once.
    pub fn allowed(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Whether so few requests run that they do not slow each other: at most a
    /// quarter of the slots, and at least one request.
    pub fn is_uncontended(&self, in_flight: u32) -> bool {
        in_flight <= (self.slots / FLOOR_DIVISOR).max(1)
    }

    /// Records a job that ended while `in_flight` ran. `ratio` is its time as a
    /// multiple of the baseline; `slowdown` is the same for the mean of recent
    /// jobs, with outliers capped.
    pub fn observe(&mut self, now: Duration, slowdown: f64, ratio: f64, in_flight: u32) {
        self.ratio += (ratio.min(RATIO_MAX) - self.ratio) * RATIO_WEIGHT;
        if slowdown > SLOWDOWN_MAX {
            self.decrease(now);
            return;
        }
        self.trial = None;
        if slowdown < SLOWDOWN_GOOD && in_flight >= self.allowed() {
            self.change(now, CHANGE_INTERVAL, self.limit.floor() + 1.0);
        }
    }

    /// Records a job whose time gives no information about the server, and
    /// raises the limit at a slow pace.
    pub fn recover(&mut self, now: Duration, in_flight: u32) {
        if in_flight >= self.allowed() {
            let raised = (self.limit * RECOVER_FACTOR).max(self.limit + 1.0);
            self.change(now, RECOVER_INTERVAL, raised);
        }
    }

    /// Records that the server shed a request because it was overloaded.
    pub fn shed(&mut self, now: Duration) {
        self.change(now, CHANGE_INTERVAL, self.limit * DECREASE_FACTOR);
    }

    fn decrease(&mut self, now: Duration) {
        if let Some(trial) = &mut self.trial {
            trial.ratio_max = trial.ratio_max.max(self.ratio);
        }
        if now < self.paused_until || self.is_recent(now, CHANGE_INTERVAL) {
            return;
        }
        let mut trial = self.trial.unwrap_or(DecreaseTrial {
            decreases: 0,
            limit_before: self.limit,
            ratio_max: self.ratio,
        });
        if trial.decreases < TRIAL_DECREASES {
            trial.decreases += 1;
            self.trial = Some(trial);
            self.change(now, CHANGE_INTERVAL, self.limit * DECREASE_FACTOR);
            return;
        }
        self.trial = None;
        // Guards against mistaking larger jobs for a slow server: calls would
        // wait, and time out, while slots are free.
        if self.ratio > trial.ratio_max * TRIAL_GAIN {
            self.paused_until = now + TRIAL_PAUSE;
            self.change(now, CHANGE_INTERVAL, trial.limit_before);
        }
    }

    fn is_recent(&self, now: Duration, interval: Duration) -> bool {
        self.changed_at.is_some_and(|at| now < at + interval)
    }

    fn change(&mut self, now: Duration, interval: Duration, limit: f64) {
        if self.is_recent(now, interval) {
            return;
        }
        self.changed_at = Some(now);
        let floor = f64::from(self.floor.max(1));
        self.limit = limit.clamp(floor, f64::from(self.slots).max(floor));
    }
}
