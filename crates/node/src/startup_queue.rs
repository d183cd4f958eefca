//! Queue of calls that wait for a node's first configuration.
//!
//! [`cowslip_core::load::startup_wait`] decides which calls wait and how long.

use std::time::Duration;

use tokio::sync::oneshot;

use cowslip_core::load::startup_wait;
use cowslip_core::refusal::RefusalReason;

use crate::entry_task::CallRefusal;
use crate::entry_task::OwnedHead;
use crate::entry_task::RoutingResult;

/// A waiting call.
#[derive(Debug)]
pub struct QueuedCall {
    /// Head of the call, as received.
    pub head: OwnedHead,
    /// Receives the answer.
    pub reply: oneshot::Sender<RoutingResult>,
    /// Arrival, since the start of the node.
    arrived_at: Duration,
    /// Time at which the wait ends, since the start of the node.
    expires_at: Duration,
    /// The last reason why the call could not be served.
    refusal: CallRefusal,
}

impl QueuedCall {
    /// Returns the head with the deadline reduced by the time spent waiting.
    pub fn head_at(&self, now: Duration) -> OwnedHead {
        let waited = now.saturating_sub(self.arrived_at);
        let mut head = self.head.clone();
        head.deadline = head.deadline.map(|given| given.saturating_sub(waited));
        head
    }
}

/// Returns true for a refusal that a later configuration or directory may
/// resolve.
fn is_temporary(refusal: CallRefusal) -> bool {
    matches!(
        refusal.reason,
        RefusalReason::NoConfiguration | RefusalReason::NoEndpoint
    )
}

/// Queue of calls that arrived before the first configuration.
#[derive(Debug, Default)]
pub struct StartupQueue {
    calls: Vec<QueuedCall>,
}

impl StartupQueue {
    /// Returns true if no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Queues a call that was refused at `now`, or answers it with `refusal`.
    pub fn enqueue_or_refuse(
        &mut self,
        now: Duration,
        head: OwnedHead,
        refusal: CallRefusal,
        reply: oneshot::Sender<RoutingResult>,
    ) {
        let expires_at = startup_wait::wait_until(now, head.deadline, self.calls.len());
        let Some(expires_at) = expires_at.filter(|_| is_temporary(refusal)) else {
            // Sending fails only if the caller has disconnected.
            let _ = reply.send(Err(refusal));
            return;
        };
        self.calls.push(QueuedCall {
            head,
            reply,
            arrived_at: now,
            expires_at,
            refusal,
        });
    }

    /// Removes and returns all calls, to be routed again.
    pub fn take(&mut self) -> Vec<QueuedCall> {
        std::mem::take(&mut self.calls)
    }

    /// Queues a call that was refused again, or answers it with `refusal`.
    pub fn requeue_or_refuse(&mut self, call: QueuedCall, refusal: CallRefusal) {
        if is_temporary(refusal) {
            self.calls.push(QueuedCall { refusal, ..call });
        } else {
            let _ = call.reply.send(Err(refusal));
        }
    }

    /// Refuses the calls whose wait has expired, and drops those whose caller has
    /// disconnected.
    pub fn refuse_expired(&mut self, now: Duration) {
        for call in self.take() {
            if call.reply.is_closed() {
                continue;
            }
            if now < call.expires_at {
                self.calls.push(call);
                continue;
            }
            let _ = call.reply.send(Err(call.refusal));
        }
    }
}
