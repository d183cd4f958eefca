//! Pins the version of services for which the document names none, while this
//! instance leads.
//!
//! Load pattern: operators write routes without versions, and servers of a later
//! version announce themselves before the move to it is requested. Without a
//! pinned version, calls would go to the later version at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::ServiceSpec;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementHandle;
use crate::agreement_task::AgreementMessage;
use crate::fanout_task;
use crate::fanout_task::FanoutMessage;

/// How often the directory is checked; well below the seconds after which servers
/// of a later version could appear beside the first ones.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs until shutdown and proposes version pins while this instance leads.
pub async fn run(agreement: AgreementHandle, fanout: mpsc::Sender<FanoutMessage>) {
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if !agreement.leader.borrow().is_leading() {
            continue;
        }
        let Some(snapshot) = fanout_task::ask(&fanout, FanoutMessage::Snapshot).await
        else {
            return;
        };
        let mut specs = snapshot.document.services.values();
        if !specs.any(ServiceSpec::takes_any_version) {
            continue;
        }
        let Some(records) = fanout_task::ask(&fanout, FanoutMessage::Endpoints).await
        else {
            return;
        };
        for (service, version) in choose_versions(&snapshot, &records) {
            propose(&agreement, &snapshot, service, version).await;
        }
    }
}

/// Returns each service without a version, with the version that most of its
/// serving servers run.
fn choose_versions(
    snapshot: &ConfigSnapshot,
    records: &[EndpointRecord],
) -> Vec<(Arc<str>, Arc<str>)> {
    let mut pins = Vec::new();
    for (service, spec) in &snapshot.document.services {
        if !spec.takes_any_version() {
            continue;
        }
        let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for record in records {
            let serving = record.standing == EndpointStanding::Serving;
            if serving && record.service == *service {
                *counts.entry(&record.version).or_default() += 1;
            }
        }
        let most_common = counts.iter().max_by_key(|(_, count)| **count);
        if let Some((version, _)) = most_common {
            pins.push((Arc::clone(service), Arc::clone(version)));
        }
    }
    pins
}

async fn propose(
    agreement: &AgreementHandle,
    snapshot: &ConfigSnapshot,
    service: Arc<str>,
    version: Arc<str>,
) {
    info!("event=version-pinned process=control service={service} version={version}");
    let entry = ChangeEntry {
        request_id: format!("pin-{service}-{}", snapshot.version).into(),
        expected: None,
        at_ms: wall_clock::millis(),
        change: ConfigChange::PinVersion { service, version },
    };
    let (reply, answer) = oneshot::channel();
    let sent = agreement
        .task
        .send(AgreementMessage::Change(Box::new(entry), reply))
        .await;
    if sent.is_err() || answer.await.is_err() {
        warn!("event=pin-unanswered process=control");
    }
}
