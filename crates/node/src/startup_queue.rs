//! Calls that wait for the first configuration of a node.
//!
//! Which calls wait and how long is decided in
//! [`cowslip_core::load::startup_wait`]; here they are kept.

use std::time::Duration;

use tokio::sync::oneshot;

use cowslip_core::load::startup_wait;
use cowslip_core::refusal::RefusalReason;

use crate::entry_task::CallRefusal;
use crate::entry_task::OwnedHead;
use crate::entry_task::TryAnswer;

/// A call that waits.
#[derive(Debug)]
pub struct QueuedCall {
    /// Its head, as it came.
    pub head: OwnedHead,
    /// Where its answer goes.
    pub reply: oneshot::Sender<TryAnswer>,
    /// When it came, from the node's start.
    arrived_at: Duration,
    expires_at: Duration,
    /// Why it could not be served yet.
    refusal: CallRefusal,
}

impl QueuedCall {
    /// Its head with the time that is left of what the caller gave.
    pub fn head_at(&self, now: Duration) -> OwnedHead {
        let waited = now.saturating_sub(self.arrived_at);
        let mut head = self.head.clone();
        head.deadline = head.deadline.map(|given| given.saturating_sub(waited));
        head
    }
}

/// True for a refusal that a configuration or directory to come may end.
fn is_temporary(refusal: CallRefusal) -> bool {
    matches!(
        refusal.reason,
        RefusalReason::NoConfiguration | RefusalReason::NoEndpoint
    )
}

/// Calls that wait.
#[derive(Debug, Default)]
pub struct StartupQueue {
    calls: Vec<QueuedCall>,
}

impl StartupQueue {
    /// True where none waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Keeps a call that was refused at `now`, or answers it with that.
    pub fn enqueue_or_refuse(
        &mut self,
        now: Duration,
        head: OwnedHead,
        refusal: CallRefusal,
        reply: oneshot::Sender<TryAnswer>,
    ) {
        let expires_at = startup_wait::wait_until(now, head.deadline, self.calls.len());
        let Some(expires_at) = expires_at.filter(|_| is_temporary(refusal)) else {
            // A caller that left needs no answer.
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

    /// Takes out all that wait, to be tried again.
    pub fn take(&mut self) -> Vec<QueuedCall> {
        std::mem::take(&mut self.calls)
    }

    /// Puts back a call that was refused again, or answers it with that.
    pub fn requeue_or_refuse(&mut self, call: QueuedCall, refusal: CallRefusal) {
        if is_temporary(refusal) {
            self.calls.push(QueuedCall { refusal, ..call });
        } else {
            let _ = call.reply.send(Err(refusal));
        }
    }

    /// Refuses those whose time is over.
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
