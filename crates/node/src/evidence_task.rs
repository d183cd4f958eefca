//! Evaluates the node's rollout guard periodically and reports its counts to
//! the control instances.

use std::time::Duration;

use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use cowslip_core::rollout::evidence::EvidenceReport;
use cowslip_core::rollout::node_guard::EVALUATION_INTERVAL;
use cowslip_wire::evidence_messages::EvidenceCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;

use crate::control_watch;
use crate::control_watch::ControlWatch;
use crate::entry_task::EntryMessage;

/// Timeout of a report. A lost report needs no retry, because the next one
/// contains all of its counts.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts evaluating the guard, and reporting to the control instance in use
/// every `pause` while a service is under a move. Failed reports do not stop the
/// evaluation.
pub fn spawn(
    entry: mpsc::Sender<EntryMessage>,
    client: PeerClient,
    control: ControlWatch,
    pause: Duration,
) {
    let (latest, reports) = watch::channel(None);
    actix_rt::spawn(evaluate(entry, latest, pause));
    actix_rt::spawn(send_reports(reports, client, control));
}

async fn evaluate(
    entry: mpsc::Sender<EntryMessage>,
    latest: watch::Sender<Option<EvidenceReport>>,
    pause: Duration,
) {
    let interval = EVALUATION_INTERVAL.min(pause);
    let mut since_report = Duration::ZERO;
    loop {
        actix_rt::time::sleep(interval).await;
        since_report += interval;
        let (reply, report) = oneshot::channel();
        let due = since_report >= pause;
        if entry
            .send(EntryMessage::CheckRollouts(due, reply))
            .await
            .is_err()
        {
            return;
        }
        let Ok(report) = report.await else {
            return;
        };
        if report.is_some() {
            since_report = Duration::ZERO;
            latest.send_replace(report);
        }
    }
}

async fn send_reports(
    mut reports: watch::Receiver<Option<EvidenceReport>>,
    client: PeerClient,
    control: ControlWatch,
) {
    while reports.changed().await.is_ok() {
        let Some(report) = reports.borrow_and_update().clone() else {
            continue;
        };
        let address = *control.borrow();
        let call = EvidenceCall {
            reports: vec![report],
        };
        let other = control_watch::wait_for_other(&control, address);
        let sent = client.send_unless(address, &call, REPORT_TIMEOUT, other);
        if let Err(error) = sent.await {
            warn!(
                "event=evidence-failed process=node control={address} error={}",
                LogValue(error)
            );
        }
    }
}
