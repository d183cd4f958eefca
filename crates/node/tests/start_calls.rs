//! Calls that arrive before a starting node has a configuration.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::load::startup_wait;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::version::ConfigVersion;
use cowslip_node::entry_task;
use cowslip_node::entry_task::EntryMessage;
use cowslip_node::entry_task::OwnedHead;
use cowslip_node::entry_task::RoutingResult;
use cowslip_node::install_hooks::InstallHooks;
use cowslip_node::quarantine_list::QuarantineList;
use cowslip_node::server_check::ConfiguredServer;
use cowslip_wire::http_listener::ListenerTimeouts;

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

fn entry() -> mpsc::Sender<EntryMessage> {
    let (gate, _) = mpsc::unbounded_channel();
    let (checks, _) = mpsc::unbounded_channel();
    let hooks = InstallHooks {
        version: Rc::new(Cell::new(ConfigVersion::ZERO)),
        quarantines: QuarantineList::default(),
        server: ConfiguredServer {
            service: None,
            address: None,
            checks,
        },
        listener_timeouts: watch::channel(ListenerTimeouts::default()).0,
    };
    let router = EntryRouter::new("voss".into(), 1);
    entry_task::spawn("records-1".into(), "voss".into(), gate, hooks, router)
}

async fn call(
    entry: &mpsc::Sender<EntryMessage>,
    path: &str,
    deadline_ms: u64,
) -> oneshot::Receiver<RoutingResult> {
    let head = OwnedHead {
        host: "one.example".to_owned(),
        path: path.to_owned(),
        origin: CallOrigin::Outside,
        customer: String::new(),
        idempotent: true,
        deadline: Some(Duration::from_millis(deadline_ms)),
        repeats: RepeatProbability::FIRST,
    };
    let (reply, answer) = oneshot::channel();
    let sent = entry.send(EntryMessage::Admit(head, reply)).await;
    sent.expect("the task runs");
    answer
}

fn configuration() -> ConfigSnapshot {
    let spec = ServiceSpec {
        version: "v1".into(),
        ..ServiceSpec::default()
    };
    let route = RouteSpec {
        path: "/prices".into(),
        service: "records".into(),
        ..RouteSpec::default()
    };
    let document = FleetDocument {
        services: BTreeMap::from([("records".into(), spec)]),
        routes: vec![Arc::new(route)],
        ..FleetDocument::default()
    };
    ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document),
    }
}

fn server() -> EndpointRecord {
    EndpointRecord {
        instance: "records-2".into(),
        service: "records".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots: 5,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    }
}

async fn install(
    entry: &mpsc::Sender<EntryMessage>,
    snapshot: Option<ConfigSnapshot>,
    records: Vec<EndpointRecord>,
) {
    let sent = entry.send(EntryMessage::Install(snapshot, records)).await;
    sent.expect("the task runs");
}

// Guards against refusing calls while a fleet restarts after the loss of all
// processes. A node is up about half a second before it can get a configuration,
// and learns of a server shortly after. A refused caller would retry a second
// later and be late, so the call waits and is served.
#[test]
fn a_call_waits_for_the_first_configuration_and_server() {
    run(async {
        let entry = entry();
        let served = call(&entry, "/prices/today", 4_000).await;
        let unknown = call(&entry, "/nowhere", 4_000).await;
        actix_rt::time::sleep(Duration::from_millis(60)).await;
        install(&entry, Some(configuration()), Vec::new()).await;
        // A call that the configuration refuses permanently is answered at once.
        let refused = unknown.await.expect("an answer").expect_err("no route");
        assert_eq!(refused.reason, RefusalReason::NoRoute);
        install(&entry, None, vec![server()]).await;
        let planned = served.await.expect("an answer").expect("a server");
        assert_eq!(&*planned.server.instance, "records-2");
        // The wait is subtracted from the caller's deadline.
        assert!(planned.left < Duration::from_millis(3_960), "{planned:?}");
    });
}

// Guards against calls that wait in vain while no control instance is reachable.
// A waiting call is refused after part of its deadline, early enough to try
// elsewhere; a call whose caller disconnected is dropped.
#[test]
fn a_waiting_call_is_refused_if_no_configuration_arrives() {
    run(async {
        let entry = entry();
        let started = std::time::Instant::now();
        let short = call(&entry, "/prices", 400).await;
        drop(call(&entry, "/prices", 400).await);
        let refused = short.await.expect("an answer").expect_err("nothing known");
        assert_eq!(refused.reason, RefusalReason::NoConfiguration);
        let waited = started.elapsed();
        assert!(waited >= Duration::from_millis(100), "{waited:?}");
        assert!(waited < Duration::from_millis(300), "{waited:?}");
    });
}

// Guards against calls that wait for a configuration for too much of their
// deadline, in unlimited number, or once the node has been up for a while.
#[test]
fn waiting_calls_are_limited_in_time_and_number() {
    let ms = Duration::from_millis;
    let until = startup_wait::wait_until;
    assert_eq!(until(ms(100), Some(ms(800)), 0), Some(ms(300)));
    assert_eq!(until(ms(100), Some(ms(60_000)), 0), Some(ms(1_500)));
    assert_eq!(until(ms(100), None, 0), Some(ms(1_500)));
    assert_eq!(until(ms(100), None, 256), None);
    assert_eq!(until(ms(1_500), None, 0), None);
}
