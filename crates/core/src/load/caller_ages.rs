//! How long a caller has been asking already.
//!
//! Load pattern: a fleet comes back after a second without service, and with
//! the calls of the moment come all those that were refused meanwhile, sent
//! again. Their answers are late whatever is done; taken for new ones they
//! wait in front of calls that could still be in time, and for seconds nearly
//! every answer is late. Callers give all calls of a route the same time and
//! say what is left of it, so one that gives less has been at it before.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The longest time that callers gave is forgotten after this long without
/// its like: callers' settings change.
const KEPT: Duration = Duration::from_secs(30);

/// Routes held at most; a service has tens.
const ROUTES_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct LongestTime {
    time: Duration,
    seen_at: Duration,
}

/// Longest times that callers of each route gave lately.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: HashMap<Arc<str>, LongestTime>,
}

impl CallerAges {
    /// How long ago the caller of a call on `route` that gives it `deadline`
    /// began to ask; zero where nothing longer is known.
    pub fn age(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        deadline: Duration,
    ) -> Duration {
        let given = LongestTime {
            time: deadline,
            seen_at: now,
        };
        if let Some(longest) = self.routes.get_mut(route) {
            if deadline < longest.time && now < longest.seen_at + KEPT {
                return longest.time - deadline;
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
