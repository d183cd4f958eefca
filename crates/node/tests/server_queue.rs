//! The queue of a real node in front of its backend server, on loopback.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::StatusCode;
use awc::Client;
use prometheus_client::registry::Registry;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::Semaphore;

use cowslip_core::server_gate::AnnouncedServer;
use cowslip_core::server_gate::QueueBounds;
use cowslip_node::call_headers;
use cowslip_node::call_log::CallLog;
use cowslip_node::call_metrics::CallMetrics;
use cowslip_node::call_pools::CallPools;
use cowslip_node::gate_task;
use cowslip_node::gate_task::GateBounds;
use cowslip_node::gate_task::GateEndpoint;
use cowslip_node::gate_task::GateMessage;
use cowslip_node::gate_task::GateStatus;
use cowslip_node::holder_task;
use cowslip_node::peer_handler::PeerDesk;
use cowslip_node::peer_handler::PeerHandler;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::access_key::KEY_HEADER;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;

const KEY: &str = "a-key-between-the-nodes-of-this-test";

/// A backend server that answers when it is given a permit.
struct HeldServer {
    begun: Rc<Semaphore>,
    permits: Rc<Semaphore>,
}

impl HttpHandler for HeldServer {
    fn handle(&self, _request: Request) -> ReplyFuture {
        let permits = Rc::clone(&self.permits);
        self.begun.add_permits(1);
        Box::pin(async move {
            let _held = permits.acquire().await;
            http_reply::text(StatusCode::OK, "a whole answer")
        })
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The node's listener for other nodes, for a server of one slot and a
/// queue of `room`.
fn node(server: SocketAddr, room: usize) -> HttpListener {
    let (records, _) = mpsc::unbounded_channel();
    let place = GateEndpoint {
        instance: "records-1".into(),
        failure_domain: "voss".into(),
        address: loopback(),
        server: None,
    };
    let gate = gate_task::spawn(place, records);
    let announced = AnnouncedServer {
        service: "records".into(),
        version: "v1".into(),
        slots: 1,
    };
    let bounds = QueueBounds {
        slots_floor: 25,
        calls: room,
        wait: Duration::from_secs(60),
    };
    let bounds = GateBounds::from([("records".into(), bounds)]);
    let (reply, _) = oneshot::channel();
    let announce = GateMessage::Announce(announced, server, reply);
    gate.send(announce).unwrap();
    gate.send(GateMessage::Configure(bounds)).unwrap();
    let desk = PeerDesk {
        pools: CallPools::new(),
        dialect: Rc::default(),
        view: GateStatus::default(),
        system_key: AccessKey::new(KEY),
        gate,
        holder: holder_task::spawn(),
        tickets: Cell::new(0),
        log: CallLog::new("server"),
        metrics: CallMetrics::new(&mut Registry::default(), "server"),
    };
    HttpListener::bind(loopback(), 100, Rc::new(PeerHandler::new(desk))).unwrap()
}

/// What an entry node receives.
struct Answer {
    status: u16,
    reason: Option<String>,
    verdict: Option<String>,
    comes_back: bool,
}

async fn call(node: SocketAddr) -> Answer {
    let request = Client::default()
        .get(format!("http://{node}/prices"))
        .timeout(Duration::from_secs(60))
        .insert_header((KEY_HEADER, KEY))
        .insert_header((call_headers::SERVICE, "records"))
        .insert_header((call_headers::ROUTE, "/prices"))
        .insert_header((call_headers::DEADLINE_MS, "60000"));
    let response = request.send().await.unwrap();
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    Answer {
        status: response.status().as_u16(),
        reason: text(call_headers::REASON),
        verdict: text(call_headers::VERDICT),
        comes_back: text("retry-after").is_some(),
    }
}

// Three buyers ask a server of one slot whose queue holds one. The first
// runs and one waits; the other must read at once that nothing has run, why,
// and when to come back, while the two are still held. They then get whole
// answers.
#[test]
fn one_runs_one_waits_and_one_is_told_at_once() {
    actix_rt::System::new().block_on(async {
        let begun = Rc::new(Semaphore::new(0));
        let permits = Rc::new(Semaphore::new(0));
        let server = HeldServer {
            begun: Rc::clone(&begun),
            permits: Rc::clone(&permits),
        };
        let server = HttpListener::bind(loopback(), 10, Rc::new(server)).unwrap();
        let node = node(server.address(), 1);
        let address = node.address();
        let first = actix_rt::spawn(call(address));
        begun.acquire().await.unwrap().forget();
        let (answers, mut received) = mpsc::unbounded_channel();
        for _ in 0..2 {
            let answers = answers.clone();
            actix_rt::spawn(async move { answers.send(call(address).await).ok() });
        }
        let told = received.recv().await.unwrap();
        assert_eq!(told.status, 503);
        assert_eq!(told.reason.as_deref(), Some("queue-full"));
        assert_eq!(told.verdict.as_deref(), Some("not-run"));
        assert!(told.comes_back);
        permits.add_permits(1);
        let waited = received.recv().await.unwrap();
        for answer in [first.await.unwrap(), waited] {
            assert_eq!(answer.status, 200);
            assert_eq!(answer.verdict.as_deref(), Some("ran"));
        }
    });
}
