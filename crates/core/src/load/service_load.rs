//! What one entry node remembers about the load on one service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::call_try::TryReport;
use crate::document::CallPriority;
use crate::load::caller_ages::CallerAges;
use crate::load::customer_throttle::CustomerThrottle;
use crate::load::retry_budget::RetryBudget;
use crate::load::returning_callers::ReturningCallers;
use crate::load::server_pool::ServerOutcome;
use crate::load::service_times::ServiceTimes;

/// The throttle is dropped when no server has refused a call for this long,
/// several half-lives of its counts.
const THROTTLE_IDLE_TIME: Duration = Duration::from_secs(10);

/// Weight of an answer in the mean size: about the last 16.
const SIZE_WEIGHT: f64 = 1.0 / 16.0;

/// Maximum number of routes whose sizes are held; a service has tens.
const ROUTES_MAX: usize = 1_024;

/// Retry budget, job times and, under overload, the customer throttle.
#[derive(Debug, Default)]
pub struct ServiceLoad {
    /// Retries left.
    pub budget: RetryBudget,
    times: ServiceTimes,
    sizes: HashMap<Arc<str>, f64>,
    ages: CallerAges,
    returning: ReturningCallers,
    throttle: Option<CustomerThrottle>,
    refused_at: Duration,
}

impl ServiceLoad {
    /// Counts an incoming call; returns false if the throttle refuses it.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &str,
        priority: CallPriority,
        rng: &mut SmallRng,
    ) -> bool {
        if now > self.refused_at + THROTTLE_IDLE_TIME {
            self.throttle = None;
        }
        let Some(throttle) = &mut self.throttle else {
            return true;
        };
        throttle.admit(now, customer, priority, rng)
    }

    /// Counts a call that a server accepted.
    pub fn accepted(&mut self, now: Duration, customer: &str, priority: CallPriority) {
        if let Some(throttle) = &mut self.throttle {
            throttle.accepted(now, customer, priority);
        }
    }

    /// Returns the outcome of an answered try: a failure if `failed`, otherwise
    /// the response time as a multiple of the baseline of its route.
    pub fn outcome(&mut self, report: &TryReport, failed: bool) -> ServerOutcome {
        if failed {
            return ServerOutcome::Failed;
        }
        self.times.observe(&report.route, report.taken, true);
        let ratio = self.times.ratio(&report.route, report.taken);
        ServerOutcome::Answered(ratio)
    }

    /// Returns how long ago a call that has `deadline` left was first sent.
    pub fn age(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        deadline: Duration,
    ) -> Duration {
        let min_age = self.ages.age(now, route, deadline);
        let known = self.returning.take_first_sent_at(route, now + deadline);
        known.map_or(min_age, |first_sent_at| now.saturating_sub(first_sent_at))
    }

    /// Records a refused call on `route` whose caller first sent it at
    /// `first_sent_at` and whose deadline is `deadline_at`.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        first_sent_at: Duration,
        deadline_at: Duration,
    ) {
        self.returning
            .record_refusal(now, route, first_sent_at, deadline_at);
    }

    /// Sets a prior for job times on `route` from a call's target.
    pub fn add_prior(&mut self, route: &Arc<str>, target: Duration) {
        self.times.add_prior(route, target);
    }

    /// Current mean time of an answer on `route`, over all servers.
    pub fn mean_time(&self, route: &str) -> Duration {
        self.times.mean_time(route)
    }

    /// Records the size of an answer on `route`.
    pub fn record_size(&mut self, route: &Arc<str>, bytes: u64) {
        if self.sizes.len() >= ROUTES_MAX && !self.sizes.contains_key(route) {
            return;
        }
        let size = self.sizes.entry(Arc::clone(route));
        let size = size.or_insert(bytes as f64);
        *size += (bytes as f64 - *size) * SIZE_WEIGHT;
    }

    /// Mean size of an answer on `route` in kilobytes; zero if unknown.
    pub fn kilobytes(&self, route: &str) -> f64 {
        self.sizes.get(route).map_or(0.0, |bytes| bytes / 1_024.0)
    }

    /// Records that a server's node refused a call for lack of capacity, and
    /// starts the throttle.
    pub fn record_overload(&mut self, now: Duration, rng: &mut SmallRng) {
        self.refused_at = now;
        self.throttle
            .get_or_insert_with(|| CustomerThrottle::new(rng.random()));
    }
}
