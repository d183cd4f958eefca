//! What one entry node knows of a server's load.
//!
//! Load patterns: a slow server among quick ones (its work must weigh more)
//! and a server that fails or refuses fast (it looks idle, so failures weigh
//! as slow answers). The score rests on what this node saw itself. Where calls
//! seek slots, a server's node also tells the wait there and what its jobs take:
//! the wait runs out by itself, so that no old one draws or keeps off anybody,
//! and the time of jobs changes slowly.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::load::decayed_count::decay;
use crate::load::slow_start;

/// Slowness at most: it must be possible to try a slow server again.
const SLOWNESS_MAX: f64 = 8.0;

/// Weight of one answer in the slowness. A slower one weighs more: being
/// late to avoid a slow server costs callers more than avoiding it for long.
const ANSWER_PART: f64 = 1.0 / 8.0;
const SLOWER_PART: f64 = 1.0 / 2.0;

/// Half-life of slowness without news. A server that is avoided gives no
/// news; after a few of these it gets calls again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(5);

/// Least share of a ramp that counts, so that a server that has just come
/// does not look a hundred times slower than it is.
const RAMP_MIN: f64 = 0.25;

/// Routes whose work is held at most; a service has tens.
const ROUTES_MAX: usize = 1_024;

/// Load of one server as seen by one entry node.
/// What a server's node told of it, with an answer to a call on some route.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// How long a call would wait for a slot.
    pub wait: Duration,
    /// What a job on the route takes lately, all entry nodes' calls together.
    /// One of many entry nodes sees too few of them to tell servers apart.
    pub work: Option<Duration>,
}

#[derive(Clone, Debug)]
pub struct ServerLoad {
    slots: u32,
    outstanding: u32,
    slowness: f64,
    seen_at: Duration,
    since: Duration,
    told: Option<ToldWait>,
    /// What jobs take there, by route, as its node told.
    works: HashMap<Arc<str>, Duration>,
}

/// The wait for a slot that the server's node told, and when.
#[derive(Clone, Copy, Debug)]
struct ToldWait {
    wait: Duration,
    at: Duration,
}

impl ServerLoad {
    /// A server with `slots` that came at `now`.
    pub fn new(slots: u32, now: Duration) -> Self {
        Self {
            slots,
            outstanding: 0,
            slowness: 1.0,
            seen_at: now,
            since: now,
            told: None,
            works: HashMap::new(),
        }
    }

    /// Expected work before a further call, in multiples of the server's
    /// slots at usual speed; less is better.
    pub fn score(&self, now: Duration) -> f64 {
        let work = f64::from(self.outstanding) + 1.0;
        let ramp = slow_start::share(now.saturating_sub(self.since));
        work * self.slowness(now) / (f64::from(self.slots.max(1)) * ramp)
    }

    /// Its time per answer against others', 1 where nothing is known.
    pub fn slowness(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.seen_at);
        1.0 + (self.slowness - 1.0) * decay(age, SLOWNESS_HALF_LIFE)
    }

    /// The server's node told of its load, with an answer on `route`.
    pub fn record_load(&mut self, now: Duration, route: &Arc<str>, load: ReportedLoad) {
        self.told = Some(ToldWait {
            wait: load.wait,
            at: now,
        });
        let Some(work) = load.work else {
            return;
        };
        if self.works.len() < ROUTES_MAX || self.works.contains_key(route) {
            self.works.insert(Arc::clone(route), work);
        }
    }

    /// What is left of the wait that was told last; zero where a slot was
    /// free or should be by now.
    pub fn told_wait(&self, now: Duration) -> Duration {
        self.told.map_or(Duration::ZERO, |told| {
            told.wait.saturating_sub(now.saturating_sub(told.at))
        })
    }

    /// Time that a job on `route` is expected to take there; where its node told
    /// none, by the `usual` time of others and what this node saw.
    pub fn work(&self, now: Duration, route: &str, usual: Duration) -> Duration {
        if let Some(work) = self.works.get(route) {
            return *work;
        }
        let ramp = slow_start::share(now.saturating_sub(self.since));
        let taken = f64::from(self.outstanding) / f64::from(self.slots.max(1));
        usual.mul_f64(self.slowness(now) * (1.0 + taken) / ramp.max(RAMP_MIN))
    }

    /// Calls this node has outstanding there.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// A call goes there.
    pub fn begin(&mut self) {
        self.outstanding += 1;
    }

    /// A call there is over.
    pub fn end(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// An answer came, `ratio` times as slow as is usual for its route.
    pub fn answered(&mut self, now: Duration, ratio: f64) {
        let part = if ratio > self.slowness(now) {
            SLOWER_PART
        } else {
            ANSWER_PART
        };
        self.learn(now, ratio, part);
    }

    /// A try failed, however quickly.
    pub fn failed(&mut self, now: Duration) {
        self.learn(now, SLOWNESS_MAX, SLOWER_PART);
    }

    fn learn(&mut self, now: Duration, ratio: f64, part: f64) {
        let held = self.slowness(now);
        self.slowness = held + (ratio.min(SLOWNESS_MAX) - held) * part;
        self.seen_at = now;
    }

    /// A try was refused for want of room. It says less than a failure,
    /// since the room may be free again at once.
    pub fn full(&mut self, now: Duration) {
        self.learn(now, SLOWNESS_MAX, ANSWER_PART);
    }

    /// It comes back after an absence: its share grows anew.
    pub fn restart(&mut self, now: Duration) {
        self.since = now;
        self.slowness = 1.0;
    }
}
