//! Maintains the roster of claim holders while this instance leads.

use std::time::Duration;
use std::time::Instant;

use log::info;
use tokio::sync::mpsc;

use cowslip_core::change::ConfigChange;
use cowslip_core::claim::RosterPlanner;

use crate::agreement_task::AgreementHandle;
use crate::fanout_task;
use crate::fanout_task::FanoutMessage;
use crate::system_change;

/// How often the directory is checked; the timeouts of the roster are minutes.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs until shutdown and proposes roster changes while this instance leads.
pub async fn run(agreement: AgreementHandle, fanout: mpsc::Sender<FanoutMessage>) {
    let started = Instant::now();
    let mut planner = RosterPlanner::default();
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if !agreement.leader.borrow().is_leading() {
            planner = RosterPlanner::default();
            continue;
        }
        let Some(snapshot) = fanout_task::ask(&fanout, FanoutMessage::Snapshot).await
        else {
            return;
        };
        let Some(records) = fanout_task::ask(&fanout, FanoutMessage::Endpoints).await
        else {
            return;
        };
        // A fleet without a document yet has no calls to claim.
        if snapshot.document.services.is_empty() {
            continue;
        }
        let current = &snapshot.document.holders;
        let planned = planner.plan(started.elapsed(), current, &records);
        if let Some(roster) = planned {
            info!(
                "event=roster-proposed process=control seats={} before={}",
                roster.seats.len(),
                roster.before.len()
            );
            let change = ConfigChange::SetHolders(roster);
            system_change::propose(&agreement, "claim-holders", snapshot.version, change)
                .await;
        }
    }
}
