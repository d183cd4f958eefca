//! How long jobs take at one backend server, by route.
//!
//! Load patterns: deadlines too short to be met, long jobs among short ones,
//! and a server that slows down. The estimates say which work cannot end in
//! time (refused before it costs a slot), which routes are long, and how the
//! time of now compares with that of before.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::load::call_queue::JobLength;

/// Weight of a sample in the recent mean: about the last 8 jobs.
const RECENT_PART: f64 = 1.0 / 8.0;

/// Weight in the mean of now: about the last 16 jobs, two rounds of a
/// server's slots.
const LATELY_PART: f64 = 1.0 / 16.0;

/// Weight in the usual mean: about the last 64 jobs under little load. It
/// is learned only there; a server slowed by its load would otherwise make
/// its slowness the norm within a second.
const USUAL_PART: f64 = 1.0 / 64.0;

/// A job counts up to this many times the usual, so that one in a hundred
/// that takes very long does not pass for a slow server.
const OUTLYING_FACTOR: f64 = 4.0;

/// Samples before a route's estimates are used: fewer say little, and the
/// first jobs of a cold server are slower than the rest.
const SAMPLES_MIN: u32 = 8;

/// The least time seen rises by this with each job, so that one lucky run
/// is forgotten after some hundred others.
const LEAST_RISE: f64 = 1.005;

/// A route is long from this many times the shortest route on. Below it,
/// keeping slots free for short jobs costs more than it saves.
const LONG_FACTOR: f64 = 4.0;

/// Short jobs count from this part of the long ones on: an eighth, about one
/// in each round of a server's slots.
const OFTEN_PART: u32 = 8;

/// Work of a job whose route is not known yet and has no target.
const COST_UNKNOWN: Duration = Duration::from_millis(10);

/// Part of its target that a job whose route is not known yet is taken to be.
const GUESS_PART: u32 = 4;

/// Jobs that a guess weighs as much as, beside those seen.
const GUESS_SAMPLES: u32 = 1;

/// Routes held at most; a service has tens.
const ROUTES_MAX: usize = 1_024;

#[derive(Clone, Debug)]
struct RouteTimes {
    samples: u32,
    /// What was guessed before the first job, in seconds.
    guess: Option<f64>,
    least: f64,
    recent: f64,
    usual: f64,
    lately: f64,
}

/// What a job usually takes.
#[derive(Clone, Copy, Debug)]
struct UsualJob {
    seconds: f64,
    samples: u32,
}

impl UsualJob {
    fn guessed(seconds: f64) -> Self {
        Self {
            seconds,
            samples: SAMPLES_MIN,
        }
    }
}

/// Times of the jobs of one backend server, in seconds within.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<Arc<str>, RouteTimes>,
    /// Guesses, in seconds, by routes that are not known yet.
    guesses: HashMap<Arc<str>, f64>,
}

impl ServiceTimes {
    /// A call on `route` wants its answer within `target_left`.
    ///
    /// Guards against a node that starts while its server has work for a
    /// second: with no time known a full queue passes for none, and all entry
    /// nodes send their calls there.
    pub fn add_prior(&mut self, route: &Arc<str>, target_left: Duration) {
        if self.routes.contains_key(route) || self.guesses.len() >= ROUTES_MAX {
            return;
        }
        let guess = (target_left / GUESS_PART).as_secs_f64();
        let held = self.guesses.entry(Arc::clone(route)).or_insert(guess);
        *held = held.max(guess);
    }

    /// A job on `route` took `taken`; `light` where so few ran that the time
    /// is its own.
    pub fn observe(&mut self, route: &Arc<str>, taken: Duration, light: bool) {
        let taken = taken.as_secs_f64();
        if let Some(times) = self.routes.get_mut(route) {
            times.add(taken, light);
            return;
        }
        if self.routes.len() >= ROUTES_MAX {
            return;
        }
        let guess = self.guesses.remove(route);
        let supposed = guess.unwrap_or(taken).max(taken / OUTLYING_FACTOR);
        let seen = f64::from(1 + GUESS_SAMPLES);
        let times = RouteTimes {
            samples: 1,
            guess,
            least: taken,
            recent: taken,
            usual: taken,
            lately: supposed + (taken - supposed) / seen,
        };
        self.routes.insert(Arc::clone(route), times);
    }

    /// A job on `route` that the server did by itself took `taken`.
    pub fn observe_local(&mut self, route: &str, taken: Duration) {
        if let Some(times) = self.routes.get_mut(route) {
            times.add_recent(taken.as_secs_f64());
        }
    }

    /// A job on `route` was given up after `lasted`: it would have taken at
    /// least that long, which says something where it is long already.
    pub fn observe_abandoned(&mut self, route: &str, lasted: Duration) {
        let lasted = lasted.as_secs_f64();
        if let Some(times) = self.routes.get_mut(route) {
            if lasted > times.recent {
                times.add_recent(lasted);
            }
        }
    }

    /// A job on `route` was given up after `lasted`, or has run that long:
    /// it takes at least as much.
    pub fn observe_lower_bound(&mut self, route: &str, lasted: Duration) {
        let lasted = lasted.as_secs_f64();
        if let Some(times) = self.routes.get_mut(route) {
            if lasted > times.lately {
                times.add_lately(lasted);
            }
        }
    }

    /// Forgets everything: the backend server was replaced.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.guesses.clear();
    }

    /// The least time a job on `route` can be expected to take; zero where
    /// that is not known, so that nothing is refused on a guess.
    pub fn min_time(&self, route: &str) -> Duration {
        let times = self.known(route);
        times.map_or(Duration::ZERO, |times| Duration::from_secs_f64(times.least))
    }

    /// The work that a job on `route` is expected to be.
    pub fn cost(&self, route: &str) -> Duration {
        let times = self.known(route);
        times.map_or(COST_UNKNOWN, |times| Duration::from_secs_f64(times.usual))
    }

    /// What a job on `route` takes now, whatever the reason: its server's load,
    /// cold start or slowness, or the services that it calls.
    pub fn mean_time(&self, route: &str) -> Duration {
        if let Some(times) = self.routes.get(route) {
            return Duration::from_secs_f64(times.lately);
        }
        let guess = self.guesses.get(route);
        guess.map_or(COST_UNKNOWN, |guess| Duration::from_secs_f64(*guess))
    }

    /// The same, where jobs on it have been seen.
    pub fn observed_mean(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route)?;
        Some(Duration::from_secs_f64(times.lately))
    }

    /// Recent time of `route` over its usual time; 1 where not known.
    pub fn slowdown(&self, route: &str) -> f64 {
        let times = self.known(route);
        times.map_or(1.0, |times| times.recent / times.usual.max(f64::EPSILON))
    }

    /// `taken` over the usual time of `route`; 1 where that is not known.
    pub fn ratio(&self, route: &str, taken: Duration) -> f64 {
        let times = self.known(route);
        times.map_or(1.0, |times| {
            taken.as_secs_f64() / times.usual.max(f64::EPSILON)
        })
    }

    /// Whether jobs on `route` are long beside those of another route that are
    /// asked for often enough.
    ///
    /// Guards against a route that is asked for a few times a minute and
    /// answers at once: beside it every other job is long, and slots kept for
    /// it stand idle while calls wait. Of nine slots three did.
    pub fn length(&self, route: &str) -> JobLength {
        let Some(own) = self.usual_job(route) else {
            return JobLength::Short;
        };
        let beside = |other: UsualJob| own.seconds >= LONG_FACTOR * other.seconds;
        if self.has_often(own, beside) {
            return JobLength::Long;
        }
        JobLength::Short
    }

    /// Whether jobs on `route` take a small part of the time of those of another
    /// route that are asked for often enough.
    pub fn is_much_shorter(&self, route: &str) -> bool {
        let Some(own) = self.usual_job(route) else {
            return false;
        };
        self.has_often(own, |other| other.seconds >= LONG_FACTOR * own.seconds)
    }

    /// Whether some route that is asked for often beside `own` is so.
    fn has_often(&self, own: UsualJob, so: impl Fn(UsualJob) -> bool) -> bool {
        let often = |job: &UsualJob| job.samples >= own.samples / OFTEN_PART;
        let seen = self.routes.keys().filter_map(|route| self.usual_job(route));
        let guessed = self.guesses.values().map(|guess| UsualJob::guessed(*guess));
        seen.chain(guessed).filter(often).any(so)
    }

    /// The usual job on `route`; by its target where few have been seen.
    fn usual_job(&self, route: &str) -> Option<UsualJob> {
        let Some(times) = self.routes.get(route) else {
            let guess = self.guesses.get(route)?;
            return Some(UsualJob::guessed(*guess));
        };
        if times.samples >= SAMPLES_MIN {
            return Some(UsualJob {
                seconds: times.usual,
                samples: times.samples,
            });
        }
        times.guess.map(UsualJob::guessed)
    }

    fn known(&self, route: &str) -> Option<&RouteTimes> {
        let times = self.routes.get(route)?;
        (times.samples >= SAMPLES_MIN).then_some(times)
    }
}

impl RouteTimes {
    fn add(&mut self, taken: f64, light: bool) {
        self.samples = self.samples.saturating_add(1);
        self.add_lately(taken);
        self.least = (self.least * LEAST_RISE).min(taken);
        // The first samples weigh alike, so that a cold first job does not
        // pass for the usual time.
        let even = 1.0 / f64::from(self.samples);
        if light || self.samples <= SAMPLES_MIN {
            self.usual += (taken - self.usual) * USUAL_PART.max(even);
        }
    }

    fn add_lately(&mut self, taken: f64) {
        let even = 1.0 / f64::from(self.samples + GUESS_SAMPLES);
        let counted = taken.min(self.usual * OUTLYING_FACTOR);
        self.lately += (counted - self.lately) * LATELY_PART.max(even);
    }

    fn add_recent(&mut self, taken: f64) {
        let counted = taken.min(self.usual * OUTLYING_FACTOR);
        self.recent += (counted - self.recent) * RECENT_PART;
    }
}
