//! What one entry node knows about a server's load.
//!
//! Load patterns: a slow server among fast ones (its outstanding work must
//! weigh more), and a server that fails or refuses quickly (it looks idle, so
//! failures count as slow answers). The score uses only this node's own
//! observations. In searches for slots, the server's node also reports the wait
//! there and how long its jobs take. The reported wait counts down with time,
//! so that an outdated one neither attracts nor repels calls; job times change
//! slowly.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::load::decayed_count::decay;
use crate::load::slow_start;

/// Maximum slowness, so that a slow server still gets tried again.
const SLOWNESS_MAX: f64 = 8.0;

/// Weights of one answer in the slowness. A slower answer weighs more: avoiding
/// a slow server too late costs callers more than avoiding it for too long.
const ANSWER_WEIGHT: f64 = 1.0 / 8.0;
const SLOWER_WEIGHT: f64 = 1.0 / 2.0;

/// Half-life of the slowness without new answers. A server that is avoided
/// gives no new answers; after a few half-lives it gets calls again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(5);

/// Minimum slow-start share in the expected work, so that a server that has
/// just started does not look a hundred times slower than it is.
const RAMP_MIN: f64 = 0.25;

/// Maximum number of routes whose work is held; a service has tens.
const ROUTES_MAX: usize = 1_024;

/// Load that a server's node reported with an answer to a call on some route.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// How long a call would wait for a slot.
    pub wait: Duration,
    /// Mean time of recent jobs on the route, over the calls of all entry
    /// nodes. One of many entry nodes sees too few jobs to compare servers.
    pub work: Option<Duration>,
}

/// Load of one server as seen by one entry node.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    slots: u32,
    outstanding: u32,
    slowness: f64,
    seen_at: Duration,
    ramp_start: Duration,
    reported: Option<ReportedWait>,
    /// Job times at the server by route, as reported by its node.
    work_by_route: HashMap<Arc<str>, Duration>,
}

/// The wait for a slot that the server's node reported, and when.
#[derive(Clone, Copy, Debug)]
struct ReportedWait {
    wait: Duration,
    at: Duration,
}

impl ServerLoad {
    /// Creates the state of a server with `slots` that was added at `now`.
    pub fn new(slots: u32, now: Duration) -> Self {
        Self {
            slots,
            outstanding: 0,
            slowness: 1.0,
            seen_at: now,
            ramp_start: now,
            reported: None,
            work_by_route: HashMap::new(),
        }
    }

    /// Expected work including one more call, as a multiple of the server's
    /// slots at normal speed; lower is better.
    pub fn score(&self, now: Duration) -> f64 {
        let work = f64::from(self.outstanding) + 1.0;
        let ramp = slow_start::share(now.saturating_sub(self.ramp_start));
        work * self.slowness(now) / (f64::from(self.slots.max(1)) * ramp)
    }

    /// The server's response time as a multiple of the normal one; 1 if
    /// unknown.
    pub fn slowness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.seen_at);
        1.0 + (self.slowness - 1.0) * decay(age, SLOWNESS_HALF_LIFE)
    }

    /// Records the load that the server's node reported with an answer on
    /// `route`.
    pub fn record_load(&mut self, now: Duration, route: &Arc<str>, load: ReportedLoad) {
        self.reported = Some(ReportedWait {
            wait: load.wait,
            at: now,
        });
        let Some(work) = load.work else {
            return;
        };
        if self.work_by_route.len() < ROUTES_MAX || self.work_by_route.contains_key(route)
        {
            self.work_by_route.insert(Arc::clone(route), work);
        }
    }

    /// What is left of the last reported wait; zero if a slot was free or
    /// should be by now.
    pub fn reported_wait(&self, now: Duration) -> Duration {
        self.reported.map_or(Duration::ZERO, |reported| {
            reported
                .wait
                .saturating_sub(now.saturating_sub(reported.at))
        })
    }

    /// Expected time of a job on `route`. If the server's node reported none,
    /// it is derived from `usual`, the mean over all servers, and from what
    /// this node observed.
    pub fn work(&self, now: Duration, route: &str, usual: Duration) -> Duration {
        if let Some(work) = self.work_by_route.get(route) {
            return *work;
        }
        let ramp = slow_start::share(now.saturating_sub(self.ramp_start));
        let utilization = f64::from(self.outstanding) / f64::from(self.slots.max(1));
        usual.mul_f64(self.slowness(now) * (1.0 + utilization) / ramp.max(RAMP_MIN))
    }

    /// Number of outstanding calls of this node.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Counts a call sent to the server.
    pub fn begin(&mut self) {
        self.outstanding += 1;
    }

    /// Counts a call that ended.
    pub fn end(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records an answer that took `ratio` times the baseline of its route.
    pub fn answered(&mut self, now: Duration, ratio: f64) {
        let weight = if ratio > self.slowness(now) {
            SLOWER_WEIGHT
        } else {
            ANSWER_WEIGHT
        };
        self.update_slowness(now, ratio, weight);
    }

    /// Records a failed try, however quickly it failed.
    pub fn failed(&mut self, now: Duration) {
        self.update_slowness(now, SLOWNESS_MAX, SLOWER_WEIGHT);
    }

    fn update_slowness(&mut self, now: Duration, ratio: f64, weight: f64) {
        let current = self.slowness(now);
        self.slowness = current + (ratio.min(SLOWNESS_MAX) - current) * weight;
        self.seen_at = now;
    }

    /// Records a try refused for lack of capacity. It weighs less than a
    /// failure, since capacity may be free again at once.
    pub fn overloaded(&mut self, now: Duration) {
        self.update_slowness(now, SLOWNESS_MAX, ANSWER_WEIGHT);
    }

    /// Restarts the slow start of a server that returns after an absence.
    pub fn restart(&mut self, now: Duration) {
        self.ramp_start = now;
        self.slowness = 1.0;
    }
}
