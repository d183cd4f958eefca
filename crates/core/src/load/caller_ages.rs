//! Estimates how long ago the caller of a call first sent it.
//!
//! Load pattern: a fleet recovers after a second without service, and all calls
//! refused in the meantime are retried along with the new ones. The answers to
//! the retried calls are late in any case. If they were treated as new, they
//! would wait in front of calls that can still be in time, and for seconds
//! nearly every answer would be late. Callers set similar deadlines for the
//! calls of a route and send the time that is left, so a call with much less
//! time left has been tried before.
//!
//! Only a lower bound of the age is used, because callers' deadlines differ by
//! up to 15 %. With a single assumed deadline, new calls with the shortest
//! deadlines looked as if they had used up their whole target (600 ms of 4 s).
//! Half of the calls were then given less than half of their target, and under
//! lasting overload nearly every answer was late: lookups earned 0.42 of their
//! value although 0.72 of them were answered.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long the longest deadline of a route is kept if no call has one as long,
/// since callers' settings change.
const RETENTION: Duration = Duration::from_secs(30);

/// Divisor for the spread of callers' deadlines on one route.
const SPREAD_DIVISOR: u32 = 6;

/// Maximum number of routes held; a service has tens.
const ROUTES_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct LongestDeadline {
    duration: Duration,
    seen_at: Duration,
}

/// Longest recent deadlines of calls, by route.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: HashMap<Arc<str>, LongestDeadline>,
}

impl CallerAges {
    /// Returns the minimum age of a call on `route` that has `deadline` left,
    /// or zero if no much longer deadline is known.
    pub fn age(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        deadline: Duration,
    ) -> Duration {
        let given = LongestDeadline {
            duration: deadline,
            seen_at: now,
        };
        if let Some(longest) = self.routes.get_mut(route) {
            if deadline < longest.duration && now < longest.seen_at + RETENTION {
                let shortest = longest.duration - longest.duration / SPREAD_DIVISOR;
                return shortest.saturating_sub(deadline);
            }
            *longest = given;
            return Duration::ZERO;
        }
        if self.routes.len() < ROUTES_MAX {
            self.routes.insert(Arc::clone(route), given);
        }
        Duration::ZERO
    }
}
