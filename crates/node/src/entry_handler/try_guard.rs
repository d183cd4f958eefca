//! Drop guard that reports the end of an attempt to the entry task.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use cowslip_core::entry_router::CallPlan;
use cowslip_core::entry_router::TryReport;
use cowslip_core::rollout::evidence::MeasuredTry;
use cowslip_core::rollout::evidence::TryOutcome;
use cowslip_core::rollout::node_guard::EndedTry;
use cowslip_core::rollout::node_guard::TryNumber;

use crate::call_forward;
use crate::entry_task::EndedAttempt;
use crate::entry_task::EntryMessage;
use crate::entry_task::PlannedTry;
use crate::hop::HopResponse;

use super::ended_try;
use super::peer_response::reported_load;
use super::peer_response::server_notice;

/// Reports the end of an attempt to the entry task on drop, so that every
/// path out of a call reports it.
pub(super) struct TryGuard {
    entry: mpsc::Sender<EntryMessage>,
    message: Option<EntryMessage>,
    /// Evidence to record if the caller disconnects during an attempt of a
    /// service under a move. Without it, the bound on calls to the new version
    /// would be exceeded unnoticed while many callers disconnect early.
    abandoned: Option<(TryNumber, EndedTry)>,
    planned_at: Duration,
}

impl TryGuard {
    /// Creates a guard of an attempt that has no response yet.
    pub(super) fn new(entry: mpsc::Sender<EntryMessage>, planned: &PlannedTry) -> Self {
        let instance = Arc::clone(&planned.server.instance);
        let abandoned = MeasuredTry {
            took: Duration::ZERO,
            outcome: TryOutcome::Abandoned,
            warm: false,
        };
        Self {
            entry,
            message: Some(EntryMessage::Abandoned(instance)),
            planned_at: planned.planned_at,
            abandoned: planned
                .measured
                .map(|number| (number, ended_try(planned, abandoned))),
        }
    }

    /// Records that the response's head arrived, `taken` after the attempt's
    /// start.
    pub(super) fn set_answered(
        &mut self,
        plan: &CallPlan,
        response: &HopResponse,
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
            status: response.head.status.as_u16(),
            taken,
            bytes: call_forward::stated_length(response.head.headers())
                .or(Some(response.body.buffered().len() as u64)),
        };
        self.message = Some(EntryMessage::Ended(Box::new(EndedAttempt {
            report,
            planned_at: self.planned_at,
            reported_load: reported_load(response),
            has_notice: server_notice(response).is_some(),
        })));
        self.abandoned = None;
    }

    /// Drops the guard without a report, because another message reports the
    /// end.
    pub(super) fn disarm(mut self) {
        self.message = None;
        self.abandoned = None;
    }

    /// Sends `message` to the entry task, in a new task if the channel is
    /// full.
    fn notify(&self, message: EntryMessage) {
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
            self.notify(message);
        }
        if let Some((number, abandoned)) = self.abandoned.take() {
            self.notify(EntryMessage::Measured(number, None, abandoned));
        }
    }
}
