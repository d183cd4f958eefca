//! Job times at one backend server, by route.
//!
//! Load patterns: deadlines too short to be met, long jobs among short ones,
//! and a server that slows down. The estimates show which work cannot end in
//! time (it is refused before it takes a slot), which routes have long jobs,
//! and how current times compare with the baseline.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::load::call_queue::JobLength;

/// Weight of a sample in the local mean: about the last 8 jobs.
const LOCAL_WEIGHT: f64 = 1.0 / 8.0;

/// Weight of a sample in the mean: about the last 16 jobs, two rounds of a
/// server's slots.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a sample in the baseline: about the last 64 jobs under light load.
/// It is learned only then, since a server slowed by its load would otherwise
/// make its slowness the baseline within a second.
const BASELINE_WEIGHT: f64 = 1.0 / 64.0;

/// A job's time is capped at this multiple of the baseline, so that one very
/// slow job in a hundred does not make the server look slow.
const OUTLIER_FACTOR: f64 = 4.0;

/// Samples before a route's estimates are used. Fewer are unreliable, and the
/// first jobs of a cold server are slower than the rest.
const SAMPLES_MIN: u32 = 8;

/// Growth of the observed minimum with each job, so that one unusually fast job
/// is forgotten after a few hundred others.
const MIN_GROWTH: f64 = 1.005;

/// Multiple of the shortest route's time from which a route's jobs are long.
/// Below it, keeping slots free for short jobs costs more than it saves.
const LONG_FACTOR: f64 = 4.0;

/// Divisor of a route's number of jobs. Another route is compared with it only
/// if it has at least an eighth as many jobs, about one in each round of a
/// server's slots.
const FREQUENT_DIVISOR: u32 = 8;

/// Assumed work of a job on an unknown route without a target.
const DEFAULT_COST: Duration = Duration::from_millis(10);

/// Divisor of the target that gives the prior for a job on an unknown route.
const PRIOR_DIVISOR: u32 = 4;

/// Number of samples that the prior counts as.
const PRIOR_SAMPLES: u32 = 1;

/// Maximum number of routes held; a service has tens.
const ROUTES_MAX: usize = 1_024;

#[derive(Clone, Debug)]
struct RouteTimes {
    samples: u32,
    /// Prior estimate before the first job, in seconds.
    prior: Option<f64>,
    min: f64,
    local_mean: f64,
    baseline: f64,
    mean: f64,
}

/// Baseline time of a job, in seconds, with its number of samples.
#[derive(Clone, Copy, Debug)]
struct BaselineJob {
    seconds: f64,
    samples: u32,
}

impl BaselineJob {
    fn from_prior(seconds: f64) -> Self {
        Self {
            seconds,
            samples: SAMPLES_MIN,
        }
    }
}

/// Job times of one backend server, held in seconds.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    routes: HashMap<Arc<str>, RouteTimes>,
    /// Prior estimates, in seconds, of routes without samples.
    priors: HashMap<Arc<str>, f64>,
}

impl ServiceTimes {
    /// Sets a prior for `route` from a call whose target is `target_left` away.
    ///
    /// Guards against a node that starts while its server has a second of work
    /// queued. With no job times known, a full queue would look empty, and all
    /// entry nodes would send their calls there.
    pub fn add_prior(&mut self, route: &Arc<str>, target_left: Duration) {
        if self.routes.contains_key(route) || self.priors.len() >= ROUTES_MAX {
            return;
        }
        let prior = (target_left / PRIOR_DIVISOR).as_secs_f64();
        let longest = self.priors.entry(Arc::clone(route)).or_insert(prior);
        *longest = longest.max(prior);
    }

    /// Records a job on `route`; `uncontended` if so few jobs ran that they did
    /// not slow each other.
    pub fn observe(&mut self, route: &Arc<str>, elapsed: Duration, uncontended: bool) {
        let elapsed = elapsed.as_secs_f64();
        if let Some(times) = self.routes.get_mut(route) {
            times.record(elapsed, uncontended);
            return;
        }
        if self.routes.len() >= ROUTES_MAX {
            return;
        }
        let prior = self.priors.remove(route);
        let assumed = prior.unwrap_or(elapsed).max(elapsed / OUTLIER_FACTOR);
        let samples = f64::from(1 + PRIOR_SAMPLES);
        let times = RouteTimes {
            samples: 1,
            prior,
            min: elapsed,
            local_mean: elapsed,
            baseline: elapsed,
            mean: assumed + (elapsed - assumed) / samples,
        };
        self.routes.insert(Arc::clone(route), times);
    }

    /// Records a job on `route` during which the server called no other
    /// service.
    pub fn observe_local(&mut self, route: &str, elapsed: Duration) {
        if let Some(times) = self.routes.get_mut(route) {
            times.update_local_mean(elapsed.as_secs_f64());
        }
    }

    /// Records a job on `route` that was abandoned after `elapsed`. It would
    /// have taken at least that long, so it counts only if that exceeds the
    /// local mean.
    pub fn observe_abandoned(&mut self, route: &str, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if let Some(times) = self.routes.get_mut(route) {
            if elapsed > times.local_mean {
                times.update_local_mean(elapsed);
            }
        }
    }

    /// Records that a job on `route` was abandoned after `elapsed`, or is still
    /// running after it: its time is at least that long.
    pub fn observe_lower_bound(&mut self, route: &str, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        if let Some(times) = self.routes.get_mut(route) {
            if elapsed > times.mean {
                times.update_mean(elapsed);
            }
        }
    }

    /// Forgets all times and priors, since the backend server was replaced.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.priors.clear();
    }

    /// Minimum expected time of a job on `route`; zero if unknown, so that no
    /// call is refused on a guess.
    pub fn min_time(&self, route: &str) -> Duration {
        let times = self.estimated(route);
        times.map_or(Duration::ZERO, |times| Duration::from_secs_f64(times.min))
    }

    /// Expected work of a job on `route`, from the baseline.
    pub fn cost(&self, route: &str) -> Duration {
        let times = self.estimated(route);
        times.map_or(DEFAULT_COST, |times| {
            Duration::from_secs_f64(times.baseline)
        })
    }

    /// Current mean time of a job on `route`, whatever influences it: load, a
    /// cold start or slowness of its server, or the services that it calls.
    pub fn mean_time(&self, route: &str) -> Duration {
        if let Some(times) = self.routes.get(route) {
            return Duration::from_secs_f64(times.mean);
        }
        let prior = self.priors.get(route);
        prior.map_or(DEFAULT_COST, |prior| Duration::from_secs_f64(*prior))
    }

    /// Current mean time of a job on `route`; `None` if no job has been
    /// observed.
    pub fn observed_mean(&self, route: &str) -> Option<Duration> {
        let times = self.routes.get(route)?;
        Some(Duration::from_secs_f64(times.mean))
    }

    /// Local mean of `route` as a multiple of its baseline; 1 if unknown.
    pub fn slowdown(&self, route: &str) -> f64 {
        let times = self.estimated(route);
        times.map_or(1.0, |times| {
            times.local_mean / times.baseline.max(f64::EPSILON)
        })
    }

    /// `elapsed` as a multiple of the baseline of `route`; 1 if unknown.
    pub fn ratio(&self, route: &str, elapsed: Duration) -> f64 {
        let times = self.estimated(route);
        times.map_or(1.0, |times| {
            elapsed.as_secs_f64() / times.baseline.max(f64::EPSILON)
        })
    }

    /// Whether jobs on `route` are long compared with those of another route
    /// that is called often enough.
    ///
    /// Guards against a route that is called a few times a minute and answers
    /// at once. Compared with it every other job is long, and slots reserved
    /// for it (three of nine, in one case) stay free while calls wait.
    pub fn length(&self, route: &str) -> JobLength {
        let Some(own) = self.baseline_job(route) else {
            return JobLength::Short;
        };
        let is_shorter = |other: BaselineJob| own.seconds >= LONG_FACTOR * other.seconds;
        if self.any_frequent(own, is_shorter) {
            return JobLength::Long;
        }
        JobLength::Short
    }

    /// Whether jobs on `route` take a small part of the time of those of
    /// another route that is called often enough.
    pub fn is_much_shorter(&self, route: &str) -> bool {
        let Some(own) = self.baseline_job(route) else {
            return false;
        };
        self.any_frequent(own, |other| other.seconds >= LONG_FACTOR * own.seconds)
    }

    /// Whether any route that is called often compared with `own` meets the
    /// predicate.
    fn any_frequent(
        &self,
        own: BaselineJob,
        predicate: impl Fn(BaselineJob) -> bool,
    ) -> bool {
        let frequent = |job: &BaselineJob| job.samples >= own.samples / FREQUENT_DIVISOR;
        let measured = self
            .routes
            .keys()
            .filter_map(|route| self.baseline_job(route));
        let assumed = self
            .priors
            .values()
            .map(|prior| BaselineJob::from_prior(*prior));
        measured.chain(assumed).filter(frequent).any(predicate)
    }

    /// Baseline job of `route`; from the prior if it has few samples.
    fn baseline_job(&self, route: &str) -> Option<BaselineJob> {
        let Some(times) = self.routes.get(route) else {
            let prior = self.priors.get(route)?;
            return Some(BaselineJob::from_prior(*prior));
        };
        if times.samples >= SAMPLES_MIN {
            return Some(BaselineJob {
                seconds: times.baseline,
                samples: times.samples,
            });
        }
        times.prior.map(BaselineJob::from_prior)
    }

    fn estimated(&self, route: &str) -> Option<&RouteTimes> {
        let times = self.routes.get(route)?;
        (times.samples >= SAMPLES_MIN).then_some(times)
    }
}

impl RouteTimes {
    fn record(&mut self, elapsed: f64, uncontended: bool) {
        self.samples = self.samples.saturating_add(1);
        self.update_mean(elapsed);
        self.min = (self.min * MIN_GROWTH).min(elapsed);
        // The first samples weigh equally, so that a cold first job does not
        // define the baseline.
        let equal_weight = 1.0 / f64::from(self.samples);
        if uncontended || self.samples <= SAMPLES_MIN {
            self.baseline +=
                (elapsed - self.baseline) * BASELINE_WEIGHT.max(equal_weight);
        }
    }

    fn update_mean(&mut self, elapsed: f64) {
        let equal_weight = 1.0 / f64::from(self.samples + PRIOR_SAMPLES);
        let capped = elapsed.min(self.baseline * OUTLIER_FACTOR);
        self.mean += (capped - self.mean) * MEAN_WEIGHT.max(equal_weight);
    }

    fn update_local_mean(&mut self, elapsed: f64) {
        let capped = elapsed.min(self.baseline * OUTLIER_FACTOR);
        self.local_mean += (capped - self.local_mean) * LOCAL_WEIGHT;
    }
}
