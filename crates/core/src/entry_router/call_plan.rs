//! Routing decisions for one call, and the results of its tries.

use std::sync::Arc;
use std::time::Duration;

use crate::call_try::TryFailure;
use crate::document::CallPriority;
use crate::document::RouteSpec;
use crate::entry_router::CallOrigin;
use crate::load::repeat_probability::RepeatProbability;
use crate::load::retry_budget::RetryCredit;
use crate::refusal::RefusalReason;
use crate::verdict::CallVerdict;

/// A call that was matched to a route, with its state over all tries.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Service that the call is sent to.
    pub service: Arc<str>,
    /// Path of the matching route.
    pub route: Arc<str>,
    /// Priority of the route.
    pub priority: CallPriority,
    /// Customer that the call is made for.
    pub customer: Arc<str>,
    /// Arrival time, since the start of the process.
    pub arrived_at: Duration,
    /// Deadline, since the start of the process.
    pub deadline_at: Duration,
    /// Greatest verdict of the tries so far.
    pub verdict: CallVerdict,
    /// Listener on which the call arrived.
    pub origin: CallOrigin,
    /// Probability that the next try repeats work at a backend server.
    pub repeats: RepeatProbability,
    /// What was left of the retry budget after the last failed try.
    pub retry_credit: RetryCredit,
    pub(super) idempotent: bool,
    /// Estimated time at which the caller first sent the call, before any
    /// resend.
    pub(super) first_sent_at: Duration,
    /// Deadline that the caller stated, if it did.
    pub(super) caller_deadline_at: Option<Duration>,
    /// Time from which the answer has less than its full value, if the route
    /// sets a target latency.
    pub target_at: Option<Duration>,
    pub(super) tries: TryAllowance,
    /// True if the call is offered to servers for a free slot before it waits.
    pub(super) probes_slots: bool,
    pub(super) probes_left: u64,
    pub(super) far_cost_per_kb: u64,
    /// Backend server version that was drawn for the call.
    pub(super) version: Option<Arc<str>>,
    /// Instances that were probed for a free slot.
    pub(super) probed_servers: Vec<Arc<str>>,
    /// Instances that are not tried again.
    pub(super) tried_servers: Vec<Arc<str>>,
    pub(super) last_failure: Option<RefusalReason>,
}

/// Remaining tries of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct TryAllowance {
    /// Tries that may still reach a backend server.
    servers_left: u64,
    /// All remaining tries, including those that servers' nodes refuse.
    tries_left: u64,
}

/// Tries that servers' nodes may refuse in addition to the tries that a route
/// allows: each costs a round trip and reaches no server. With a quarter of the
/// servers draining, 1 in 64 calls meets three refusals in a row.
const NODE_REFUSALS_MAX: u64 = 3;

impl TryAllowance {
    pub(super) fn of(route: &RouteSpec, tries_default: u64) -> Self {
        match route.tries_max {
            Some(servers) => Self {
                servers_left: servers,
                tries_left: servers + NODE_REFUSALS_MAX,
            },
            None => Self {
                servers_left: tries_default,
                tries_left: tries_default,
            },
        }
    }

    pub(super) fn spend(&mut self, failure: TryFailure) {
        // Probes for a free slot are counted separately.
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
    /// True if the call may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Time left until the target latency, or until the deadline if the route
    /// sets no target.
    pub(super) fn target_left(&self, now: Duration) -> Duration {
        self.target_at
            .unwrap_or(self.deadline_at)
            .saturating_sub(now)
    }

    /// Forbids further tries, as a body that was streamed cannot be sent again.
    pub fn forbid_retry(&mut self) {
        self.tries.tries_left = 0;
    }

    /// True if another try is allowed after one with this verdict. A call that
    /// has not run may always be tried again. A call that may have run is
    /// repeated only if it is idempotent, and only by the outermost layer: if
    /// each of 28 layers did, their tries would multiply at the innermost
    /// server.
    pub(super) fn may_repeat(&self, verdict: CallVerdict) -> bool {
        let outermost = self.origin == CallOrigin::Outside;
        verdict == CallVerdict::NotRun || self.idempotent && outermost
    }
}
