//! Departures that a node keeps with control instances and asks them for.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::StatusCode;
use actix_rt::System;
use tokio::sync::mpsc;
use tokio::sync::watch;

use cowslip_core::departure::Departure;
use cowslip_core::server_run::ServerRun;
use cowslip_core::version::ConfigVersion;
use cowslip_node::departure_keeper::DepartureKeeper;
use cowslip_node::gate_messages::GateMessage;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::departure_messages::DepartCall;
use cowslip_wire::departure_messages::DeparturesCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::message_reply;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A control instance that keeps departures in memory.
#[derive(Default)]
struct TestControl {
    kept: RefCell<Vec<Departure>>,
    /// The leader, if it is another instance.
    leader: Cell<Option<SocketAddr>>,
    /// Whether it has no leader yet.
    leaderless: Cell<bool>,
    /// Whether it is of a build that does not know the messages.
    is_earlier: bool,
    messages: Cell<u32>,
}

struct ControlEndpoint(Rc<TestControl>);

impl HttpHandler for ControlEndpoint {
    fn handle(&self, mut request: Request) -> ReplyFuture {
        let control = Rc::clone(&self.0);
        Box::pin(async move {
            control.messages.set(control.messages.get() + 1);
            if control.is_earlier {
                return http_reply::text(StatusCode::NOT_FOUND, "no such message");
            }
            let key = key();
            if request.path() == DeparturesCall::PATH {
                let kept = control.kept.borrow().clone();
                return message_reply::encoded(&LeaderAnswer::Answered(kept));
            }
            let read = message_reply::read::<DepartCall>(&mut request, &key).await;
            let Ok(call) = read else {
                return http_reply::text(StatusCode::BAD_REQUEST, "unreadable");
            };
            let answer = match control.leader.get() {
                _ if control.leaderless.get() => LeaderAnswer::NotLeader(None),
                Some(leader) => LeaderAnswer::NotLeader(Some(leader)),
                None => {
                    control.kept.borrow_mut().push(call.departure);
                    LeaderAnswer::Answered(())
                }
            };
            message_reply::encoded(&answer)
        })
    }
}

fn key() -> AccessKey {
    "processes-here".parse().expect("a key")
}

fn listen(control: &Rc<TestControl>) -> HttpListener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Rc::new(ControlEndpoint(Rc::clone(control)));
    HttpListener::bind(any, 16, handler).expect("a free port")
}

fn run(name: &str) -> ServerRun {
    ServerRun {
        name: name.into(),
        started_ms: Some(100),
    }
}

struct TestKeeper {
    keeper: DepartureKeeper,
    version: Rc<Cell<ConfigVersion>>,
    gate: mpsc::UnboundedReceiver<GateMessage>,
    _control: watch::Sender<SocketAddr>,
}

fn spawn(control: SocketAddr) -> TestKeeper {
    let (sender, watched) = watch::channel(control);
    let (to_gate, gate) = mpsc::unbounded_channel();
    let version = Rc::new(Cell::new(ConfigVersion::ZERO));
    let client = PeerClient::new(key());
    let keeper = DepartureKeeper::spawn(
        "node-1".into(),
        client,
        watched,
        Rc::clone(&version),
        to_gate,
    );
    TestKeeper {
        keeper,
        version,
        gate,
        _control: sender,
    }
}

// Guards against a departure that is acknowledged while no leader has kept it, and
// against one that is kept twice.
#[test]
fn a_departure_is_kept_by_the_leader_once() {
    System::new().block_on(async {
        let leader = Rc::new(TestControl::default());
        let leading = listen(&leader);
        let follower = Rc::new(TestControl::default());
        follower.leaderless.set(true);
        let following = listen(&follower);
        let test = spawn(following.address());
        assert!(!test.keeper.keep(&run("run-1")).await, "there is no leader");
        follower.leader.set(Some(leading.address()));
        follower.leaderless.set(false);
        assert!(test.keeper.keep(&run("run-1")).await);
        assert!(test.keeper.keep(&run("run-1")).await);
        let kept = leader.kept.borrow().clone();
        let runs: Vec<ServerRun> = kept.iter().map(Departure::server_run).collect();
        assert_eq!(runs, [run("run-1")]);
        assert_eq!(&*kept[0].node, "node-1");
        let unstarted = ServerRun {
            started_ms: None,
            ..run("run-1")
        };
        for _ in 0..2 {
            assert!(test.keeper.keep(&unstarted).await);
        }
        assert_eq!(leader.kept.borrow().len(), 3, "it may depart again");
    });
}

// Guards against departures that are never acknowledged while control instances are of
// an earlier build, or because of a name that is too long.
#[test]
fn a_departure_that_cannot_be_kept_is_acknowledged() {
    System::new().block_on(async {
        let control = Rc::new(TestControl {
            is_earlier: true,
            ..TestControl::default()
        });
        let listening = listen(&control);
        let test = spawn(listening.address());
        assert!(test.keeper.keep(&run("run-1")).await);
        let sent = control.messages.get();
        assert!(test.keeper.keep(&run(&"x".repeat(5_000))).await);
        assert_eq!(control.messages.get(), sent);
    });
}

// Guards against a node that never learns of the departures that its earlier process
// acknowledged, and against questions before there is a configuration.
#[test]
fn a_node_with_a_configuration_learns_of_departures() {
    System::new().block_on(async {
        let control = Rc::new(TestControl::default());
        let departure = Departure {
            node: "node-1".into(),
            run: "run-1".into(),
            started_ms: Some(100),
            at_ms: 200,
        };
        control.kept.borrow_mut().push(departure.clone());
        let listening = listen(&control);
        let mut test = spawn(listening.address());
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(control.messages.get(), 0);
        test.version.set(ConfigVersion::new(1, 1));
        let told = actix_rt::time::timeout(TIMEOUT, test.gate.recv()).await;
        let told = told.expect("in time").expect("a message");
        let GateMessage::Departed(departures) = told else {
            panic!("another message: {told:?}");
        };
        assert_eq!(departures, [departure]);
    });
}
