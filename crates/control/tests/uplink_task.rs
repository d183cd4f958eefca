//! An instance that follows the leader, when another one becomes leader.

use std::time::Duration;

use actix_rt::System;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use cowslip_control::fanout_task;
use cowslip_control::fanout_task::FanoutMessage;
use cowslip_control::leader_view::LeaderView;
use cowslip_control::source_metrics::SourceMetrics;
use cowslip_control::uplink_task;
use cowslip_core::control_roster::ControlSeat;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;

use crate::condition_wait::wait_until;
use crate::endpoint_record::endpoint_record;
use crate::silent_instance::SilentInstance;

#[path = "../../wire/tests/support/condition_wait.rs"]
mod condition_wait;
#[path = "../../wire/tests/support/endpoint_record.rs"]
mod endpoint_record;
#[path = "../../wire/tests/support/silent_instance.rs"]
mod silent_instance;

/// Time after which the new leader must have been asked. The old one may hold a call
/// for two seconds.
const TURN_TIME_MAX: Duration = Duration::from_millis(500);

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(10);

fn led_by(instance: &SilentInstance) -> LeaderView {
    LeaderView {
        address: Some(instance.address()),
        lease_until: None,
    }
}

// Guards against an instance that follows nobody for two seconds after an election,
// because it still waits for the answer of a leader that was cut off.
#[test]
fn a_new_leader_is_asked_while_the_old_one_is_silent() {
    System::new().block_on(async {
        let (old, new) = (SilentInstance::bind(), SilentInstance::bind());
        let (view, leader) = watch::channel(led_by(&old));
        let metrics = SourceMetrics::new(&mut Registry::default());
        let fanout = fanout_task::spawn("control-1".into(), "voss".into(), metrics);
        let client = PeerClient::new(AccessKey::new("test-system"));
        let seat = ControlSeat {
            instance: "control-1".into(),
            failure_domain: "voss".into(),
            address: ([127, 0, 0, 1], 7_101).into(),
        };
        let follow =
            uplink_task::follow(seat, leader.clone(), client.clone(), fanout.clone());
        actix_rt::spawn(follow);
        let reports = uplink_task::send_reports(leader, client, fanout.clone());
        actix_rt::spawn(reports);
        let batch = ReportBatch {
            groups: Vec::new(),
            endpoints: vec![endpoint_record("records-1")],
        };
        let reported = fanout.send(FanoutMessage::Report(batch)).await;
        assert!(reported.is_ok());
        let both = [FollowCall::PATH, ReportCall::PATH];
        wait_until(TIMEOUT, || both.iter().all(|path| old.was_asked(path))).await;
        view.send_replace(led_by(&new));
        let polled = wait_until(TIMEOUT, || new.was_asked(FollowCall::PATH)).await;
        let reported = wait_until(TIMEOUT, || new.was_asked(ReportCall::PATH)).await;
        assert!(polled < TURN_TIME_MAX, "polled after {polled:?}");
        assert!(reported < TURN_TIME_MAX, "reported after {reported:?}");
    });
}
