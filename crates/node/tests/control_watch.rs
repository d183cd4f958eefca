//! Reports of a node that turns to another control instance.

use std::time::Duration;

use actix_rt::System;
use tokio::sync::mpsc;
use tokio::sync::watch;

use cowslip_node::crash_task;
use cowslip_node::crash_task::ServerCrash;
use cowslip_node::follow_task;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::crash_messages::CrashCall;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;

use crate::condition_wait::wait_until;
use crate::cut_call::cut_call;
use crate::endpoint_record::endpoint_record;
use crate::silent_instance::SilentInstance;

#[path = "../../wire/tests/support/condition_wait.rs"]
mod condition_wait;
#[path = "support/cut_call.rs"]
mod cut_call;
#[path = "../../wire/tests/support/endpoint_record.rs"]
mod endpoint_record;
#[path = "../../wire/tests/support/silent_instance.rs"]
mod silent_instance;

/// Time after which the next control instance must have a report. The one before may
/// hold it for two seconds.
const TURN_TIME_MAX: Duration = Duration::from_millis(500);

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(10);

// Guards against a drain and a crash that are known seconds late, because the control
// instance that they were reported to is silent and the node has left it since.
#[test]
fn reports_follow_the_node_to_another_control_instance() {
    System::new().block_on(async {
        let (old, new) = (SilentInstance::bind(), SilentInstance::bind());
        let (current, control) = watch::channel(old.address());
        let client = PeerClient::new(AccessKey::new("test-system"));
        let (records, published) = mpsc::unbounded_channel();
        let publish = follow_task::publish(control.clone(), 1, client.clone(), published);
        actix_rt::spawn(publish);
        let (crashes, reported) = mpsc::unbounded_channel();
        crash_task::spawn("node-1".into(), client, control, reported);
        records
            .send(endpoint_record("records-1"))
            .expect("the task runs");
        let crash = ServerCrash {
            calls: vec![cut_call()],
            cold: false,
        };
        crashes.send(crash).expect("the task runs");
        let both = [ReportCall::PATH, CrashCall::PATH];
        wait_until(TIMEOUT, || both.iter().all(|path| old.was_asked(path))).await;
        current.send_replace(new.address());
        let published = wait_until(TIMEOUT, || new.was_asked(ReportCall::PATH)).await;
        let reported = wait_until(TIMEOUT, || new.was_asked(CrashCall::PATH)).await;
        assert!(published < TURN_TIME_MAX, "published after {published:?}");
        assert!(reported < TURN_TIME_MAX, "reported after {reported:?}");
    });
}
