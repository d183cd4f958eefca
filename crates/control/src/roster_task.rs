//! Keeps the roster of claim holders, where this instance leads.

use std::time::Duration;
use std::time::Instant;

use log::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::claim::HolderRoster;
use cowslip_core::claim::RosterPlanner;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::wall_clock;

use crate::agreed_task::AgreedHandle;
use crate::agreed_task::AgreedMessage;
use crate::fanout_task;
use crate::fanout_task::FanoutMessage;

/// How often the directory is looked at; the roster's own times are minutes.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Watches for ever; proposes changes while this instance leads.
pub async fn run(agreed: AgreedHandle, fanout: mpsc::Sender<FanoutMessage>) {
    let started = Instant::now();
    let mut planner = RosterPlanner::default();
    loop {
        actix_rt::time::sleep(LOOK_EVERY).await;
        if !agreed.leader.borrow().leading() {
            planner = RosterPlanner::default();
            continue;
        }
        let Some(snapshot) = fanout_task::ask(&fanout, FanoutMessage::Show).await else {
            return;
        };
        let Some(records) = fanout_task::ask(&fanout, FanoutMessage::Endpoints).await
        else {
            return;
        };
        // Before its first document a fleet has no calls to claim.
        if snapshot.document.services.is_empty() {
            continue;
        }
        let held = &snapshot.document.holders;
        let wanted = planner.plan(started.elapsed(), held, &records);
        if let Some(roster) = wanted {
            propose(&agreed, snapshot.version, roster).await;
        }
    }
}

/// Proposes the roster on top of `version` alone; where another change came
/// first, the next look proposes again.
async fn propose(agreed: &AgreedHandle, version: ConfigVersion, roster: HolderRoster) {
    let at_ms = wall_clock::millis();
    info!(
        "event=roster-proposed process=control seats={} before={}",
        roster.seats.len(),
        roster.before.len()
    );
    let entry = ChangeEntry {
        request_id: format!("claim-holders-{version}-{at_ms}").into(),
        expected: Some(version),
        at_ms,
        change: ConfigChange::SetHolders(roster),
    };
    let (reply, answer) = oneshot::channel();
    let message = AgreedMessage::Change(Box::new(entry), reply);
    if agreed.task.send(message).await.is_ok() {
        let _ = answer.await;
    }
}
