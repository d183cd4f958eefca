//! A node that follows a control instance which is slow with something else.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::Request;
use actix_rt::System;
use prometheus_client::registry::Registry;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use cowslip_core::control_roster::ControlRoster;
use cowslip_core::control_roster::ControlSeat;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::ServiceSpec;
use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::follow_exchange::FollowReply;
use cowslip_core::move_tracker::NodeReport;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_core::update_source::SourceIdentity;
use cowslip_core::update_source::UpdateSource;
use cowslip_core::version::ConfigVersion;
use cowslip_node::crash_task::ServerCrash;
use cowslip_node::entry_task::EntryMessage;
use cowslip_node::follow_metrics::FollowMetrics;
use cowslip_node::follow_task;
use cowslip_node::follow_task::FollowOptions;
use cowslip_node::follow_task::ServerNews;
use cowslip_node::gate_messages::GateMessage;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::codec;
use cowslip_wire::crash_messages::CrashCall;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::message_reply;
use cowslip_wire::messages::WireCall;

use crate::condition_wait::wait_until;
use crate::cut_call::cut_call;
use crate::endpoint_record::endpoint_record;
use crate::follow_answer::follow_answer;

#[path = "../../wire/tests/support/condition_wait.rs"]
mod condition_wait;
#[path = "support/cut_call.rs"]
mod cut_call;
#[path = "../../wire/tests/support/endpoint_record.rs"]
mod endpoint_record;
#[path = "support/follow_answer.rs"]
mod follow_answer;

const KEY: &str = "a-key-of-the-fleet-of-this-test";

/// How long a control instance holds a poll.
const FOLLOW_WAIT: Duration = Duration::from_millis(400);

/// Time after which a published version must be in force: a poll of the node, and as
/// long again for a busy machine.
const APPLY_TIME_MAX: Duration = Duration::from_millis(800);

/// Time from the acknowledgement of a change to its being in force at all nodes, as
/// users state it.
const CHANGE_TIME_MAX: Duration = Duration::from_secs(2);

/// Time after which a control instance must know of a crash, however busy the node is.
const REPORT_TIME_MAX: Duration = Duration::from_millis(500);

/// Calls that a busy node has ready at any time, and the time that each takes.
const BUSY_TASKS: usize = 300;
const BUSY_TIME: Duration = Duration::from_millis(5);

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A control instance that answers polls and never answers reports.
struct StalledReports {
    source: RefCell<UpdateSource>,
    reports: Cell<usize>,
    started: Instant,
}

impl StalledReports {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            source: RefCell::new(UpdateSource::new(SourceIdentity {
                instance: "control-1".into(),
                failure_domain: "voss".into(),
                run: 0,
            })),
            reports: Cell::new(0),
            started: Instant::now(),
        })
    }

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
            endpoints: vec![endpoint_record(endpoint)],
        };
        source.report(now, batch);
        self.source.replace(source);
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
                Ok(call) => follow_answer(&instance.source, instance.started, call).await,
                Err(refused) => refused,
            }
        })
    }
}

/// Runs a control instance on a thread of its own. It publishes another version
/// when it is told to.
fn spawn_control(publish: oneshot::Receiver<()>) -> SocketAddr {
    let (started, address) = std::sync::mpsc::channel();
    thread::spawn(move || {
        System::new().block_on(async move {
            let instance = StalledReports::new();
            instance.restart(1, 1, "records-1");
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let handler = Rc::new(StalledHandler(Rc::clone(&instance)));
            let listener = HttpListener::bind(any, 8, handler).expect("a free port");
            started.send(listener.address()).expect("the test waits");
            publish.await.expect("the test publishes a version");
            let now = instance.started.elapsed();
            instance.source.borrow_mut().publish(now, snapshot(2));
            std::future::pending::<()>().await;
        });
    });
    address.recv().expect("the control instance started")
}

/// Keeps the calling thread busy, as calls do that arrive faster than a node can
/// handle them.
fn spawn_busy_tasks() {
    for _ in 0..BUSY_TASKS {
        actix_rt::spawn(async {
            loop {
                thread::sleep(BUSY_TIME);
                tokio::task::yield_now().await;
            }
        });
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

fn follow_options(
    controls: watch::Receiver<Vec<SocketAddr>>,
    entry: mpsc::Sender<EntryMessage>,
    gate: mpsc::UnboundedSender<GateMessage>,
) -> FollowOptions {
    FollowOptions {
        instance: "node-1".into(),
        failure_domain: "voss".into(),
        controls,
        seed: 0,
        wait: FOLLOW_WAIT,
        system_key: AccessKey::new(KEY),
        entry,
        gate,
        metrics: FollowMetrics::new(&mut Registry::default()),
    }
}

/// What a node tells of its backend server.
struct NewsSenders {
    records: mpsc::UnboundedSender<EndpointRecord>,
    crashes: mpsc::UnboundedSender<ServerCrash>,
}

fn server_news() -> (NewsSenders, ServerNews) {
    let (sent_records, records) = mpsc::unbounded_channel();
    let (sent_crashes, crashes) = mpsc::unbounded_channel();
    let senders = NewsSenders {
        records: sent_records,
        crashes: sent_crashes,
    };
    (senders, ServerNews { records, crashes })
}

/// Notes when requests with a path arrive, and answers none.
struct ArrivalHandler {
    arrivals: std::sync::mpsc::Sender<(String, Instant)>,
}

impl HttpHandler for ArrivalHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let arrival = (request.path().to_owned(), Instant::now());
        // The test may have ended.
        let _ = self.arrivals.send(arrival);
        Box::pin(std::future::pending())
    }
}

/// Runs a control instance on a thread of its own that answers nothing. Returns its
/// address and what arrives there.
fn spawn_silent_control() -> (SocketAddr, Receiver<(String, Instant)>) {
    let (started, address) = std::sync::mpsc::channel();
    let (arrivals, arrived) = std::sync::mpsc::channel();
    thread::spawn(move || {
        System::new().block_on(async move {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let handler = Rc::new(ArrivalHandler { arrivals });
            let listener = HttpListener::bind(any, 8, handler).expect("a free port");
            started.send(listener.address()).expect("the test waits");
            std::future::pending::<()>().await;
        });
    });
    let address = address.recv().expect("the control instance started");
    (address, arrived)
}

/// A control instance of the settings that names another one, and what it sees of the
/// node.
struct RosterInstance {
    listener: TcpListener,
    near: SocketAddr,
}

impl RosterInstance {
    /// Answers one request with the roster, then waits for the end of the connection.
    fn run(self) -> io::Result<usize> {
        let (mut stream, _) = self.listener.accept()?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        let mut request = [0; 4_096];
        let mut length = 0;
        // The call ends the request; its last field is read with the rest.
        while !request[..length]
            .windows(12)
            .any(|part| part == b"needs_roster")
        {
            length += stream.read(&mut request[length..])?;
        }
        let roster = ControlRoster {
            seats: vec![ControlSeat {
                instance: "control-2".into(),
                failure_domain: "voss".into(),
                address: self.near,
            }],
        };
        let body = codec::encode(&FollowReply::Roster(roster)).expect("encodes");
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body)?;
        stream.read(&mut request)
    }
}

// Guards against nodes that all follow the few control instances of their settings,
// and against their connections that stay open there after a mass start.
#[test]
fn a_starting_node_leaves_the_instance_of_its_settings_for_one_of_its_domain() {
    System::new().block_on(async {
        let near = StalledReports::new();
        near.restart(1, 1, "records-1");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Rc::new(StalledHandler(Rc::clone(&near)));
        let near = HttpListener::bind(any, 8, handler).expect("a free port");
        let listener = TcpListener::bind(any).expect("a free port");
        let settings = listener.local_addr().expect("its address");
        let instance = RosterInstance {
            listener,
            near: near.address(),
        };
        let seen = thread::spawn(move || instance.run());
        let _follower = TestFollower::spawn(settings).await;
        wait_until(TIMEOUT, || seen.is_finished()).await;
        let left = seen.join().expect("the instance runs");
        assert!(matches!(left, Ok(0)), "not closed: {left:?}");
    });
}

/// A node's follower, with a stand-in for the entry task that applies each version
/// at once.
struct TestFollower {
    applied: Rc<Cell<AppliedVersion>>,
    controls: watch::Sender<Vec<SocketAddr>>,
    _gate: mpsc::UnboundedReceiver<GateMessage>,
    _news: NewsSenders,
}

/// The version in force, and since when.
#[derive(Clone, Copy)]
struct AppliedVersion {
    version: ConfigVersion,
    at: Instant,
}

impl TestFollower {
    /// Follows the control instance at `address` and waits for version 1.1.
    async fn spawn(address: SocketAddr) -> Self {
        let (entry, messages) = mpsc::channel(64);
        let (sender, gate) = mpsc::unbounded_channel();
        let applied = Rc::new(Cell::new(AppliedVersion {
            version: ConfigVersion::ZERO,
            at: Instant::now(),
        }));
        actix_rt::spawn(apply_versions(messages, Rc::clone(&applied)));
        let (controls, watched) = watch::channel(vec![address]);
        let (senders, news) = server_news();
        follow_task::spawn(follow_options(watched, entry, sender), news)
            .expect("a thread to follow on");
        let follower = Self {
            applied,
            controls,
            _gate: gate,
            _news: senders,
        };
        follower.wait_for(ConfigVersion::new(1, 1)).await;
        follower
    }

    /// Waits until `version` is in force and returns since when.
    async fn wait_for(&self, version: ConfigVersion) -> Instant {
        wait_until(TIMEOUT, || self.applied.get().version == version).await;
        self.applied.get().at
    }
}

async fn apply_versions(
    mut messages: mpsc::Receiver<EntryMessage>,
    applied: Rc<Cell<AppliedVersion>>,
) {
    while let Some(message) = messages.recv().await {
        match message {
            EntryMessage::Install(Some(snapshot), _) => applied.set(AppliedVersion {
                version: snapshot.version,
                at: Instant::now(),
            }),
            EntryMessage::Report(reply) => {
                let _ = reply.send(NodeReport {
                    node: "node-1".into(),
                    failure_domain: "voss".into(),
                    applied: applied.get().version,
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
        let instance = StalledReports::new();
        instance.restart(1, 1, "records-1");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Rc::new(StalledHandler(Rc::clone(&instance)));
        let listener = HttpListener::bind(any, 8, handler).expect("a free port");
        let follower = TestFollower::spawn(listener.address()).await;
        // A new run of the instance lists another endpoint than the node remembers.
        instance.restart(2, 1, "records-2");
        wait_until(TIMEOUT, || instance.reports.get() > 0).await;
        let now = instance.started.elapsed();
        let published = Instant::now();
        instance.source.borrow_mut().publish(now, snapshot(2));
        let applied_at = follower.wait_for(ConfigVersion::new(1, 2)).await;
        let took = applied_at - published;
        assert!(took < APPLY_TIME_MAX, "in force after {took:?}");
    });
}

// Guards against a node that loses a poll's wait and a pause at each control instance
// of one side of a partition, and gets a change too late.
#[test]
fn a_node_passes_over_instances_that_are_cut_off() {
    System::new().block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut instances = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..7 {
            let instance = StalledReports::new();
            instance.restart(1, 1, "records-1");
            let handler = Rc::new(StalledHandler(Rc::clone(&instance)));
            listeners.push(HttpListener::bind(any, 8, handler).expect("a free port"));
            instances.push(instance);
        }
        let addresses = listeners.iter().map(HttpListener::address).collect();
        let follower = TestFollower::spawn(listeners[0].address()).await;
        let newest = instances.pop().expect("an instance on the other side");
        newest.restart(2, 2, "records-1");
        for instance in &instances {
            let now = instance.started.elapsed();
            instance.source.borrow_mut().set_leading(now, false);
        }
        let cut_at = Instant::now();
        follower.controls.send(addresses).expect("the node runs");
        let applied_at = follower.wait_for(ConfigVersion::new(1, 2)).await;
        let took = applied_at - cut_at;
        assert!(took < APPLY_TIME_MAX, "in force after {took:?}");
    });
}

// Guards against a change that takes turns with the calls of a busy node at each step
// of its way, so that it is in force too late.
#[test]
fn a_busy_node_applies_a_version_in_time() {
    let (publish, published) = oneshot::channel();
    let address = spawn_control(published);
    System::new().block_on(async {
        let follower = TestFollower::spawn(address).await;
        spawn_busy_tasks();
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let published = Instant::now();
        publish.send(()).expect("the control instance runs");
        let applied_at = follower.wait_for(ConfigVersion::new(1, 2)).await;
        let took = applied_at - published;
        assert!(took < CHANGE_TIME_MAX, "in force after {took:?}");
    });
}

// Guards against the crash of a server that is known late because its report takes turns
// with the calls of a busy node.
#[test]
fn a_busy_node_reports_a_crash_in_time() {
    let (address, arrived) = spawn_silent_control();
    System::new().block_on(async {
        let (entry, _messages) = mpsc::channel(64);
        let (gate, _gate) = mpsc::unbounded_channel();
        let (_controls, controls) = watch::channel(vec![address]);
        let (senders, news) = server_news();
        follow_task::spawn(follow_options(controls, entry, gate), news)
            .expect("a thread to follow on");
        spawn_busy_tasks();
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let crashed = Instant::now();
        let record = endpoint_record("records-1");
        senders.records.send(record).expect("the node reports");
        let crash = ServerCrash {
            calls: vec![cut_call()],
            cold: false,
        };
        senders.crashes.send(crash).expect("the node reports");
        actix_rt::time::sleep(REPORT_TIME_MAX).await;
        let arrivals: Vec<(String, Instant)> = arrived.try_iter().collect();
        for path in [ReportCall::PATH, CrashCall::PATH] {
            let arrival = arrivals.iter().find(|(arrival, _)| arrival == path);
            let took = arrival.map(|(_, at)| *at - crashed);
            let in_time = took.is_some_and(|took| took < REPORT_TIME_MAX);
            assert!(in_time, "{path} after {took:?}");
        }
    });
}

// Guards against a follower that outlives its node, and polls a control instance that
// is gone too.
#[test]
fn a_follower_ends_with_its_node() {
    System::new().block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let silent = TcpListener::bind(any).expect("a free port");
        let address = silent.local_addr().expect("its address");
        let (entry, messages) = mpsc::channel(64);
        let (gate, _gate) = mpsc::unbounded_channel();
        let (_controls, controls) = watch::channel(vec![address]);
        let (_news, news) = server_news();
        let options = follow_options(controls, entry, gate);
        let mut control =
            follow_task::spawn(options, news).expect("a thread to follow on");
        actix_rt::time::sleep(FOLLOW_WAIT / 4).await;
        drop(messages);
        let ended = actix_rt::time::timeout(FOLLOW_WAIT / 4, control.changed()).await;
        assert!(ended.is_ok_and(|changed| changed.is_err()));
    });
}
