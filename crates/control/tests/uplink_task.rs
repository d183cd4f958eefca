//! An instance that follows the leader, when another one becomes leader.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Request;
use actix_rt::System;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use cowslip_control::fanout_task;
use cowslip_control::fanout_task::FanoutMessage;
use cowslip_control::leader_view::LeaderView;
use cowslip_control::source_metrics::SourceMetrics;
use cowslip_control::uplink_task;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;

/// Time after which the new leader must have been asked. The old one may hold a call
/// for two seconds.
const TURN_TIME_MAX: Duration = Duration::from_millis(500);

/// An instance that answers no request, as one behind a silent cut.
#[derive(Default)]
struct SilentInstance {
    polls: Cell<usize>,
    reports: Cell<usize>,
}

struct SilentHandler(Rc<SilentInstance>);

impl HttpHandler for SilentHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let instance = &self.0;
        match request.path() {
            FollowCall::PATH => instance.polls.set(instance.polls.get() + 1),
            ReportCall::PATH => instance.reports.set(instance.reports.get() + 1),
            _ => {}
        }
        Box::pin(std::future::pending())
    }
}

fn silent_instance() -> (Rc<SilentInstance>, HttpListener) {
    let instance = Rc::new(SilentInstance::default());
    let handler = Rc::new(SilentHandler(Rc::clone(&instance)));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = HttpListener::bind(any, 8, handler).expect("a free port");
    (instance, listener)
}

fn led_by(listener: &HttpListener) -> LeaderView {
    LeaderView {
        address: Some(listener.address()),
        lease_until: None,
    }
}

fn endpoint() -> EndpointRecord {
    EndpointRecord {
        instance: "records-1".into(),
        service: "records".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots: 9,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    }
}

async fn wait_until(condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(10), "never");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

// Guards against an instance that follows nobody for two seconds after an election,
// because it still waits for the answer of a leader that was cut off.
#[test]
fn a_new_leader_is_asked_while_the_old_one_is_silent() {
    System::new().block_on(async {
        let (old, old_listener) = silent_instance();
        let (new, new_listener) = silent_instance();
        let (view, leader) = watch::channel(led_by(&old_listener));
        let metrics = SourceMetrics::new(&mut Registry::default());
        let fanout = fanout_task::spawn("control-1".into(), "voss".into(), metrics);
        let client = PeerClient::new(AccessKey::new("test-system"));
        let follow = uplink_task::follow(
            "control-1".into(),
            leader.clone(),
            client.clone(),
            fanout.clone(),
        );
        actix_rt::spawn(follow);
        let reports = uplink_task::send_reports(leader, client, fanout.clone());
        actix_rt::spawn(reports);
        let batch = ReportBatch {
            groups: Vec::new(),
            endpoints: vec![endpoint()],
        };
        let reported = fanout.send(FanoutMessage::Report(batch)).await;
        assert!(reported.is_ok());
        wait_until(|| old.polls.get() > 0 && old.reports.get() > 0).await;
        view.send_replace(led_by(&new_listener));
        let polled = wait_until(|| new.polls.get() > 0).await;
        let reported = wait_until(|| new.reports.get() > 0).await;
        assert!(polled < TURN_TIME_MAX, "polled after {polled:?}");
        assert!(reported < TURN_TIME_MAX, "reported after {reported:?}");
    });
}
