//! Changes of the configuration that the leader proposes by itself.

use std::sync::Arc;

use log::warn;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementHandle;
use crate::agreement_task::AgreementMessage;

/// Proposes `change` on condition that `version` is in force, and waits for the
/// outcome. If another change came first, nothing changes, and the caller proposes it
/// again at its next check.
pub async fn propose(
    agreement: &AgreementHandle,
    name: &str,
    version: ConfigVersion,
    change: ConfigChange,
) {
    let at_ms = wall_clock::millis();
    let entry = ChangeEntry {
        request_id: Arc::from(format!("{name}-{version}-{at_ms}")),
        expected: Some(version),
        at_ms,
        change,
    };
    let (reply, answer) = oneshot::channel();
    let message = AgreementMessage::Change(Box::new(entry), reply);
    if agreement.task.send(message).await.is_err() || answer.await.is_err() {
        warn!("event=proposal-unanswered process=control change={name}");
    }
}
