//! Maintains the roster of control instances while this instance leads.

use std::time::Duration;

use log::info;
use tokio::sync::mpsc;

use cowslip_core::change::ConfigChange;
use cowslip_core::control_roster::ControlPlanner;
use cowslip_core::control_roster::ControlSeat;
use cowslip_wire::boot_instant::BootInstant;

use crate::agreement_task::AgreementHandle;
use crate::fanout_task;
use crate::fanout_task::FanoutMessage;
use crate::system_change;

/// How often the live instances are compared with the roster. Nodes of a fleet that
/// has just started follow the instances in their settings until it has a roster.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs until shutdown and proposes rosters while this instance, whose seat is
/// `seat`, leads.
pub async fn run(
    seat: ControlSeat,
    agreement: AgreementHandle,
    fanout: mpsc::Sender<FanoutMessage>,
) {
    let started = BootInstant::now();
    let mut planner = ControlPlanner::default();
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        if !agreement.leader.borrow().is_leading() {
            planner = ControlPlanner::default();
            continue;
        }
        let Some(snapshot) = fanout_task::ask(&fanout, FanoutMessage::Snapshot).await
        else {
            return;
        };
        let Some(live) = fanout_task::ask(&fanout, FanoutMessage::Controls).await else {
            return;
        };
        // With a version that has no routes nodes would answer that a route is
        // missing, and not that they have no configuration yet.
        if snapshot.document.services.is_empty() {
            continue;
        }
        let Some(mut live) = live else {
            continue;
        };
        live.push(seat.clone());
        let roster = &snapshot.document.controls;
        let Some(planned) = planner.plan(started.elapsed(), roster, &live) else {
            continue;
        };
        info!(
            "event=control-roster-proposed process=control instance={} seats={} before={} live={}",
            seat.instance,
            planned.seats.len(),
            roster.seats.len(),
            live.len()
        );
        let change = ConfigChange::SetControls(planned);
        system_change::propose(&agreement, "control-instances", snapshot.version, change)
            .await;
    }
}
