//! A node that follows a control instance which is slow with something else.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Request;
use actix_rt::System;
use prometheus_client::registry::Registry;
use tokio::sync::mpsc;
use tokio::sync::watch;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::ServiceSpec;
use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::move_tracker::NodeReport;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_core::update_source::SourceIdentity;
use cowslip_core::update_source::UpdateSource;
use cowslip_core::version::ConfigVersion;
use cowslip_node::entry_task::EntryMessage;
use cowslip_node::follow_metrics::FollowMetrics;
use cowslip_node::follow_task;
use cowslip_node::follow_task::FollowOptions;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply::HttpReply;
use cowslip_wire::message_reply;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;

use crate::condition_wait::wait_until;

#[path = "../../wire/tests/support/condition_wait.rs"]
mod condition_wait;

const KEY: &str = "a-key-of-the-fleet-of-this-test";

/// Time after which a published version must be in force: a poll of the node, and as
/// long again for a busy machine.
const APPLY_TIME_MAX: Duration = Duration::from_millis(800);

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A control instance that answers polls and never answers reports.
struct StalledReports {
    source: RefCell<UpdateSource>,
    reports: Cell<usize>,
    started: Instant,
}

impl StalledReports {
    fn restart(&self, run: u64, number: u64, endpoint: &str) {
        let mut source = UpdateSource::new(SourceIdentity {
            instance: "control-1".into(),
            failure_domain: "voss".into(),
            run,
        });
        let now = self.started.elapsed();
        source.set_leading(now, true);
        source.publish(now, snapshot(number));
        let batch = ReportBatch {
            groups: Vec::new(),
            endpoints: vec![record(endpoint)],
        };
        source.report(now, batch);
        self.source.replace(source);
    }

    async fn follow(&self, call: FollowCall) -> HttpReply {
        let now = self.started.elapsed();
        let id = self.source.borrow_mut().follow(now, call);
        loop {
            let answers = self.source.borrow_mut().tick(self.started.elapsed());
            for answer in answers {
                if answer.followers.contains(&id) {
                    return message_reply::encoded(&answer.reply);
                }
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

struct StalledHandler(Rc<StalledReports>);

impl HttpHandler for StalledHandler {
    fn handle(&self, mut request: Request) -> ReplyFuture {
        let instance = Rc::clone(&self.0);
        Box::pin(async move {
            if request.path() == ReportCall::PATH {
                instance.reports.set(instance.reports.get() + 1);
                std::future::pending::<()>().await;
            }
            let key = AccessKey::new(KEY);
            match message_reply::read::<FollowCall>(&mut request, &key).await {
                Ok(call) => instance.follow(call).await,
                Err(refused) => refused,
            }
        })
    }
}

fn snapshot(number: u64) -> ConfigSnapshot {
    let mut document = FleetDocument::default();
    for service in 0..number {
        let name = format!("service-{service}");
        document
            .services
            .insert(name.into(), ServiceSpec::default());
    }
    ConfigSnapshot {
        version: ConfigVersion::new(1, number),
        document: document.into(),
    }
}

fn record(instance: &str) -> EndpointRecord {
    EndpointRecord {
        instance: instance.into(),
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

/// Stands in for the entry task: applies each version at once.
async fn apply_versions(
    mut messages: mpsc::Receiver<EntryMessage>,
    applied: Rc<Cell<ConfigVersion>>,
) {
    while let Some(message) = messages.recv().await {
        match message {
            EntryMessage::Install(Some(snapshot), _) => applied.set(snapshot.version),
            EntryMessage::Report(reply) => {
                let _ = reply.send(NodeReport {
                    node: "node-1".into(),
                    failure_domain: "voss".into(),
                    applied: applied.get(),
                    refused: None,
                });
            }
            _ => {}
        }
    }
}

// Guards against a change that waits at a node until a report of unlisted endpoints
// has timed out.
#[test]
fn a_report_without_an_answer_holds_back_no_version() {
    System::new().block_on(async {
        let instance = Rc::new(StalledReports {
            source: RefCell::new(UpdateSource::new(SourceIdentity {
                instance: "control-1".into(),
                failure_domain: "voss".into(),
                run: 1,
            })),
            reports: Cell::new(0),
            started: Instant::now(),
        });
        instance.restart(1, 1, "records-1");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Rc::new(StalledHandler(Rc::clone(&instance)));
        let listener = HttpListener::bind(any, 8, handler).expect("a free port");
        let (entry, messages) = mpsc::channel(64);
        let (gate, _gate_messages) = mpsc::unbounded_channel();
        let applied = Rc::new(Cell::new(ConfigVersion::ZERO));
        actix_rt::spawn(apply_versions(messages, Rc::clone(&applied)));
        let (_controls, controls) = watch::channel(vec![listener.address()]);
        follow_task::spawn(FollowOptions {
            instance: "node-1".into(),
            failure_domain: "voss".into(),
            controls,
            seed: 0,
            wait: Duration::from_millis(400),
            client: PeerClient::new(AccessKey::new(KEY)),
            entry,
            gate,
            metrics: FollowMetrics::new(&mut Registry::default()),
        });
        wait_until(TIMEOUT, || applied.get() == ConfigVersion::new(1, 1)).await;
        // A new run of the instance lists another endpoint than the node remembers.
        instance.restart(2, 1, "records-2");
        wait_until(TIMEOUT, || instance.reports.get() > 0).await;
        let now = instance.started.elapsed();
        instance.source.borrow_mut().publish(now, snapshot(2));
        let took =
            wait_until(TIMEOUT, || applied.get() == ConfigVersion::new(1, 2)).await;
        assert!(took < APPLY_TIME_MAX, "in force after {took:?}");
    });
}
