//! What one entry node remembers of the load on one service.

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
use crate::load::server_pool::TryOutcome;
use crate::load::service_times::ServiceTimes;

/// The throttle is dropped when no server has refused for this long: several
/// half-lives of its counts.
const CALM_AFTER: Duration = Duration::from_secs(10);

/// Weight of an answer in the usual size: about the last 16.
const SIZE_PART: f64 = 1.0 / 16.0;

/// Routes whose sizes are held at most; a service has tens.
const ROUTES_MAX: usize = 1_024;

/// Retry budget, usual times and, under overload, the customers' throttle.
#[derive(Debug, Default)]
pub struct ServiceLoad {
    /// Further tries left.
    pub budget: RetryBudget,
    times: ServiceTimes,
    sizes: HashMap<Arc<str>, f64>,
    ages: CallerAges,
    returning: ReturningCallers,
    throttle: Option<CustomerThrottle>,
    refused_at: Duration,
}

impl ServiceLoad {
    /// Counts a call that came in; false where the throttle refuses it.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &str,
        priority: CallPriority,
        rng: &mut SmallRng,
    ) -> bool {
        if now > self.refused_at + CALM_AFTER {
            self.throttle = None;
        }
        let Some(throttle) = &mut self.throttle else {
            return true;
        };
        throttle.admit(now, customer, priority, rng)
    }

    /// A server took a call.
    pub fn accepted(&mut self, now: Duration, customer: &str, priority: CallPriority) {
        if let Some(throttle) = &mut self.throttle {
            throttle.accepted(now, customer, priority);
        }
    }

    /// What an answer says of its server: its time beside that of others'
    /// answers on the route.
    pub fn outcome(&mut self, report: &TryReport, failed: bool) -> TryOutcome {
        if failed {
            return TryOutcome::Failed;
        }
        self.times.observe(&report.route, report.taken, true);
        let ratio = self.times.ratio(&report.route, report.taken);
        TryOutcome::Answered(ratio)
    }

    /// How long ago the caller of a call that gives it `deadline` began to
    /// ask.
    pub fn age(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        deadline: Duration,
    ) -> Duration {
        let least = self.ages.age(now, route, deadline);
        let known = self.returning.asked_at(route, now + deadline);
        known.map_or(least, |asked_at| now.saturating_sub(asked_at))
    }

    /// A call on `route` whose caller began to ask at `asked_at` and has time
    /// until `until` was refused.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        asked_at: Duration,
        until: Duration,
    ) {
        self.returning.refused(now, route, asked_at, until);
    }

    /// A call on `route` wants its answer within `target`.
    pub fn add_prior(&mut self, route: &Arc<str>, target: Duration) {
        self.times.add_prior(route, target);
    }

    /// What an answer on `route` takes lately, at whichever server.
    pub fn mean_time(&self, route: &str) -> Duration {
        self.times.mean_time(route)
    }

    /// An answer on `route` had this many bytes.
    pub fn record_size(&mut self, route: &Arc<str>, bytes: u64) {
        if self.sizes.len() >= ROUTES_MAX && !self.sizes.contains_key(route) {
            return;
        }
        let held = self.sizes.entry(Arc::clone(route));
        let held = held.or_insert(bytes as f64);
        *held += (bytes as f64 - *held) * SIZE_PART;
    }

    /// Usual kilobytes of an answer on `route`; zero where not known.
    pub fn kilobytes(&self, route: &str) -> f64 {
        self.sizes.get(route).map_or(0.0, |bytes| bytes / 1_024.0)
    }

    /// A server's node refused a call for want of room.
    pub fn refused(&mut self, now: Duration, rng: &mut SmallRng) {
        self.refused_at = now;
        self.throttle
            .get_or_insert_with(|| CustomerThrottle::new(rng.random()));
    }
}
