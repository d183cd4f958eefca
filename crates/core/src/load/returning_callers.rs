//! Recognizes calls that were refused here and are tried again.
//!
//! Load pattern: a service is short of servers for longer than its callers
//! wait. Refused callers retry, and their answers are late in any case. If
//! these calls were treated as new, they would wait in front of calls that can
//! still be in time, and slots would be spent on late answers. Callers'
//! deadlines differ by more than the delay before a retry, so the time left
//! does not identify a retry. The absolute deadline stays the same for all
//! tries of a caller, however: a call with the same deadline as a refused one
//! is a retry of it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum difference between the deadlines of two tries of one caller, as seen
/// here: the transfer of each and a new connection, with links and processors
/// under load.
const END_TOLERANCE: Duration = Duration::from_millis(8);

/// Maximum number of refused calls held for a route.
const CALLS_MAX: usize = 256;

/// Maximum number of routes held; a service has tens.
const ROUTES_MAX: usize = 1_024;

/// When each refused call was first sent, by its deadline.
type RefusedCalls = BTreeMap<Duration, Duration>;

/// Recently refused calls, by route.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    routes: HashMap<Arc<str>, RefusedCalls>,
}

impl ReturningCallers {
    /// Records a refused call on `route` whose caller first sent it at
    /// `first_sent_at` and whose deadline is `deadline_at`.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        route: &Arc<str>,
        first_sent_at: Duration,
        deadline_at: Duration,
    ) {
        if !self.routes.contains_key(route) && self.routes.len() >= ROUTES_MAX {
            return;
        }
        let calls = self.routes.entry(Arc::clone(route)).or_default();
        while calls.first_key_value().is_some_and(|(end, _)| *end <= now) {
            calls.pop_first();
        }
        if calls.len() < CALLS_MAX {
            calls.insert(deadline_at, first_sent_at);
        }
    }

    /// Returns when a call on `route` with a deadline of `deadline_at` was
    /// first sent, and forgets it; `None` if no such call was refused here.
    pub fn take_first_sent_at(
        &mut self,
        route: &str,
        deadline_at: Duration,
    ) -> Option<Duration> {
        let calls = self.routes.get_mut(route)?;
        let from = deadline_at.saturating_sub(END_TOLERANCE);
        let mut matching = calls.range(from..=deadline_at + END_TOLERANCE);
        let end = matching.next().map(|(end, _)| *end)?;
        calls.remove(&end)
    }
}
