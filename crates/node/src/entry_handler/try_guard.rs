//! The end of a try, told in every case.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use cowslip_core::entry_router::CallPlan;
use cowslip_core::entry_router::TryReport;
use cowslip_core::rollout::evidence::MeasuredTry;
use cowslip_core::rollout::evidence::TryOutcome;
use cowslip_core::rollout::node_guard::EndedTry;

use crate::call_forward;
use crate::entry_task::EntryMessage;
use crate::entry_task::PlannedTry;
use crate::hop::HopResponse;

use super::ended_try;
use super::told_load;

/// Tells the routing task that a try is over when it is dropped, so that
/// no way out of a call can forget it.
pub(super) struct TryGuard {
    entry: mpsc::Sender<EntryMessage>,
    message: Option<EntryMessage>,
    /// What is counted of a try under a move whose caller leaves. Guards
    /// against a bound on what a new version gets that is passed unseen while
    /// many callers leave early.
    left: Option<EndedTry>,
}

impl TryGuard {
    /// A guard of a try without an answer so far.
    pub(super) fn new(entry: mpsc::Sender<EntryMessage>, planned: &PlannedTry) -> Self {
        let instance = Arc::clone(&planned.server.instance);
        let left = MeasuredTry {
            took: Duration::ZERO,
            end: TryOutcome::Abandoned,
            warm: false,
        };
        Self {
            entry,
            message: Some(EntryMessage::Abandoned(instance)),
            left: planned.measured.then(|| ended_try(planned, left)),
        }
    }

    /// The answer's head is there, `taken` after the try's start.
    pub(super) fn answered(
        &mut self,
        plan: &CallPlan,
        answer: &HopResponse,
        taken: Duration,
    ) {
        let Some(EntryMessage::Abandoned(instance)) = self.message.take() else {
            return;
        };
        let report = TryReport {
            instance,
            service: Arc::clone(&plan.service),
            route: Arc::clone(&plan.route),
            customer: Arc::clone(&plan.customer),
            priority: plan.priority,
            status: answer.head.status.as_u16(),
            taken,
            bytes: call_forward::stated_length(answer.head.headers())
                .or(Some(answer.body.buffered().len() as u64)),
        };
        self.message = Some(EntryMessage::Ended(report, told_load(answer)));
        self.left = None;
    }

    /// The task is told of the end by another message.
    pub(super) fn disarm(mut self) {
        self.message = None;
        self.left = None;
    }

    fn tell(&self, message: EntryMessage) {
        if let Err(mpsc::error::TrySendError::Full(message)) =
            self.entry.try_send(message)
        {
            let entry = self.entry.clone();
            actix_rt::spawn(async move { entry.send(message).await });
        }
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        if let Some(message) = self.message.take() {
            self.tell(message);
        }
        if let Some(left) = self.left.take() {
            self.tell(EntryMessage::Tried(left));
        }
    }
}
