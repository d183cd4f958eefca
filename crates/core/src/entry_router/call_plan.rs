//! A call on its way: what was decided for it, and what its tries came to.

use std::sync::Arc;
use std::time::Duration;

use crate::call_try::TryFailure;
use crate::document::CallPriority;
use crate::document::RouteSpec;
use crate::entry_router::CallOrigin;
use crate::load::repeat_probability::RepeatProbability;
use crate::refusal::RefusalReason;
use crate::verdict::CallVerdict;

/// A call that was matched to a route, over all of its tries.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Service that answers.
    pub service: Arc<str>,
    /// Path of the route that matched.
    pub route: Arc<str>,
    /// Urgency of the route.
    pub priority: CallPriority,
    /// Customer it is made for.
    pub customer: Arc<str>,
    /// When it came in, since the process's start.
    pub arrived_at: Duration,
    /// When the call is of no more use, since the process's start.
    pub deadline_at: Duration,
    /// Greatest verdict of the tries so far.
    pub verdict: CallVerdict,
    /// Listener it came in by.
    pub origin: CallOrigin,
    /// How likely its next try repeats work at a backend server.
    pub repeats: RepeatProbability,
    pub(super) idempotent: bool,
    /// When its caller began to ask, over earlier calls too.
    pub(super) asked_at: Duration,
    /// When its caller's time is over, where the caller says so.
    pub(super) caller_until: Option<Duration>,
    /// When the answer begins to be worth less, where the route says so.
    pub target_at: Option<Duration>,
    pub(super) tries: TryAllowance,
    pub(super) seeks_slots: bool,
    pub(super) probes_left: u64,
    pub(super) far_cost_per_kb: u64,
    /// Backend server version that was drawn for it.
    pub(super) version: Option<Arc<str>>,
    pub(super) full: Vec<Arc<str>>,
    pub(super) tried: Vec<Arc<str>>,
    pub(super) failed_for: Option<RefusalReason>,
}

/// How often a call may be tried.
#[derive(Clone, Copy, Debug)]
pub(super) struct TryAllowance {
    /// Backend servers that it may reach.
    servers_left: u64,
    /// Tries, those that servers' nodes refused included.
    tries_left: u64,
}

/// Refusals by servers' nodes that a call may meet beyond the servers that
/// its route lets it reach: each costs a round trip and reaches no server.
/// With a quarter of the servers leaving, three in a row are 1 in 64 calls.
const NODE_REFUSALS_MAX: u64 = 3;

impl TryAllowance {
    pub(super) fn of(route: &RouteSpec, fleet: u64) -> Self {
        match route.tries_max {
            Some(servers) => Self {
                servers_left: servers,
                tries_left: servers + NODE_REFUSALS_MAX,
            },
            None => Self {
                servers_left: fleet,
                tries_left: fleet,
            },
        }
    }

    pub(super) fn spend(&mut self, failure: TryFailure) {
        // Offers for a free slot are counted by themselves.
        if failure.reason == RefusalReason::NoFreeSlot {
            return;
        }
        self.tries_left = self.tries_left.saturating_sub(1);
        if failure.reached_server() {
            self.servers_left = self.servers_left.saturating_sub(1);
        }
    }

    pub(super) fn is_spent(self) -> bool {
        self.servers_left == 0 || self.tries_left == 0
    }
}

impl CallPlan {
    /// True where running it twice does no harm.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Time in which its answer is worth most; all of its time where its route
    /// sets no target.
    pub(super) fn target_left(&self, now: Duration) -> Duration {
        self.target_at
            .unwrap_or(self.deadline_at)
            .saturating_sub(now)
    }

    /// Nothing can be sent again: a body that streamed is spent.
    pub fn forbid_retry(&mut self) {
        self.tries.tries_left = 0;
    }

    /// Where nothing has run another try does no harm. Where it may have,
    /// only the outermost layer repeats an idempotent call: if each of 28
    /// layers did, their tries would multiply at the innermost server.
    pub(super) fn is_harmless(&self, verdict: CallVerdict) -> bool {
        let outermost = self.origin == CallOrigin::Outside;
        verdict == CallVerdict::NotRun || self.idempotent && outermost
    }
}
