//! Checks operators' orders about evacuations against the failure domains of the
//! fleet, which are not part of the replicated state.

use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::EvacuationChange;
use cowslip_core::document::DocumentFault;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementHandle;
use crate::fanout_task::FanoutMessage;

/// Checks orders about evacuations.
#[derive(Clone)]
pub struct EvacuationApi {
    /// The agreement task.
    pub agreement: AgreementHandle,
    /// The fan-out task, which knows the nodes and the directory.
    pub fanout: mpsc::Sender<FanoutMessage>,
    /// Failure domains that the settings name; empty if they name none.
    pub failure_domains: Vec<Arc<str>>,
}

impl EvacuationApi {
    /// Checks an order if this instance leads, and sets its time by the leader's
    /// clock. Other changes pass unchecked, and so does the end of an evacuation:
    /// it must be possible after the settings no longer name the domain.
    ///
    /// # Errors
    ///
    /// Returns the answer to an order that is refused.
    pub async fn prepare_change(
        &self,
        entry: &mut ChangeEntry,
    ) -> Result<(), ChangeOutcome> {
        let leading = self.agreement.leader.borrow().is_leading();
        let ConfigChange::Evacuate(change) = &entry.change else {
            return Ok(());
        };
        if !leading {
            return Ok(());
        }
        entry.at_ms = wall_clock::millis();
        if let EvacuationChange::End { .. } = change {
            return Ok(());
        }
        let checked = self.check(change).await;
        checked.map_err(|fault| ChangeOutcome::Invalid {
            faults: vec![fault],
        })
    }

    /// Checks that the failure domain of an order exists.
    ///
    /// # Errors
    ///
    /// Returns the fault of an order about an unknown failure domain.
    pub async fn check(&self, change: &EvacuationChange) -> Result<(), DocumentFault> {
        let failure_domain = change.failure_domain();
        let known = self.known_domains().await;
        if known.contains(failure_domain) {
            return Ok(());
        }
        let names: Vec<&str> = known.iter().map(|name| &**name).collect();
        Err(DocumentFault {
            path: format!("evacuations.{failure_domain}"),
            problem: format!(
                "no such failure domain; the fleet has {}",
                names.join(", ")
            ),
        })
    }

    /// The failure domains that the settings name or, if they name none, those of
    /// the live nodes and the backend servers.
    async fn known_domains(&self) -> BTreeSet<Arc<str>> {
        let mut known: BTreeSet<Arc<str>> =
            self.failure_domains.iter().cloned().collect();
        if !known.is_empty() {
            return known;
        }
        let (reply, endpoints) = oneshot::channel();
        // A send fails only at shutdown; the answer is then missing too.
        let _ = self.fanout.send(FanoutMessage::Endpoints(reply)).await;
        for record in endpoints.await.unwrap_or_default() {
            known.insert(record.failure_domain);
        }
        let (reply, status) = oneshot::channel();
        let _ = self.fanout.send(FanoutMessage::Status(reply)).await;
        if let Ok(status) = status.await {
            for line in status.nodes {
                known.insert(line.report.failure_domain);
            }
        }
        known
    }
}
