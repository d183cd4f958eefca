//! Queue of a node in front of its backend server, tested over loopback.

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

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::version::ConfigVersion;
use cowslip_node::call_headers;
use cowslip_node::call_log::CallLog;
use cowslip_node::call_metrics::CallMetrics;
use cowslip_node::call_pools::CallPools;
use cowslip_node::gate_messages::GateBounds;
use cowslip_node::gate_messages::GateConfig;
use cowslip_node::gate_messages::GateEndpoint;
use cowslip_node::gate_messages::GateMessage;
use cowslip_node::gate_messages::GateStatus;
use cowslip_node::gate_messages::ServerAnnouncement;
use cowslip_node::gate_task;
use cowslip_node::holder_task;
use cowslip_node::peer_handler::PeerHandler;
use cowslip_node::peer_handler::PeerProxy;
use cowslip_node::quarantine_list::QuarantineList;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::access_key::KEY_HEADER;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;

const KEY: &str = "a-key-between-the-nodes-of-this-test";

/// Backend server whose answers each wait for a permit.
struct PermitServer {
    started: Rc<Semaphore>,
    permits: Rc<Semaphore>,
}

impl HttpHandler for PermitServer {
    fn handle(&self, _request: Request) -> ReplyFuture {
        let permits = Rc::clone(&self.permits);
        self.started.add_permits(1);
        Box::pin(async move {
            let _permit = permits.acquire().await;
            http_reply::text(StatusCode::OK, "a whole answer")
        })
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a node's listener for other nodes, in front of a server with one slot
/// and with a queue for `queue_calls` calls.
fn spawn_node(server: SocketAddr, queue_calls: usize) -> HttpListener {
    let (records, _) = mpsc::unbounded_channel();
    let endpoint = GateEndpoint {
        instance: "records-1".into(),
        failure_domain: "voss".into(),
        address: loopback(),
        server: None,
    };
    let gate = gate_task::spawn(endpoint, records);
    let announced = AnnouncedServer {
        service: "records".into(),
        version: "v1".into(),
        slots: 1,
    };
    let bounds = QueueBounds {
        cold: None,
        slots_floor: 25,
        calls: queue_calls,
        wait: Duration::from_secs(60),
    };
    let bounds = GateBounds::from([("records".into(), bounds)]);
    let (reply, _) = oneshot::channel();
    let announce = GateMessage::Announce(
        ServerAnnouncement {
            run: None,
            server: announced,
            address: server,
            cold_remaining: None,
        },
        reply,
    );
    gate.send(announce).unwrap();
    gate.send(GateMessage::Configure(GateConfig {
        bounds,
        evacuated: false,
    }))
    .unwrap();
    let proxy = PeerProxy {
        pools: CallPools::new(),
        dialect: Rc::default(),
        gate_status: GateStatus::default(),
        system_key: AccessKey::new(KEY),
        gate,
        quarantines: QuarantineList::default(),
        holder: holder_task::spawn(),
        next_ticket: Cell::new(0),
        log: CallLog::new("server", Rc::new(Cell::new(ConfigVersion::ZERO))),
        metrics: CallMetrics::new(&mut Registry::default(), "server"),
    };
    HttpListener::bind(loopback(), 100, Rc::new(PeerHandler::new(proxy))).unwrap()
}

/// Parts of the answer that an entry node receives.
struct Answer {
    status: u16,
    reason: Option<String>,
    verdict: Option<String>,
    has_retry_after: bool,
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
        has_retry_after: text("retry-after").is_some(),
    }
}

// Guards against a call that waits although the queue is full, or that is refused
// without a reason, verdict or retry time. Three calls go to a server with one
// slot and a queue for one call: while one runs and one waits, the third is
// refused at once. The other two then get complete answers.
#[test]
fn a_call_beyond_a_full_queue_is_refused_at_once() {
    actix_rt::System::new().block_on(async {
        let started = Rc::new(Semaphore::new(0));
        let permits = Rc::new(Semaphore::new(0));
        let server = PermitServer {
            started: Rc::clone(&started),
            permits: Rc::clone(&permits),
        };
        let server = HttpListener::bind(loopback(), 10, Rc::new(server)).unwrap();
        let node = spawn_node(server.address(), 1);
        let address = node.address();
        let first = actix_rt::spawn(call(address));
        started.acquire().await.unwrap().forget();
        let (answers, mut received) = mpsc::unbounded_channel();
        for _ in 0..2 {
            let answers = answers.clone();
            actix_rt::spawn(async move { answers.send(call(address).await).ok() });
        }
        let refused = received.recv().await.unwrap();
        assert_eq!(refused.status, 503);
        assert_eq!(refused.reason.as_deref(), Some("queue-full"));
        assert_eq!(refused.verdict.as_deref(), Some("not-run"));
        assert!(refused.has_retry_after);
        permits.add_permits(1);
        let waited = received.recv().await.unwrap();
        for answer in [first.await.unwrap(), waited] {
            assert_eq!(answer.status, 200);
            assert_eq!(answer.verdict.as_deref(), Some("ran"));
        }
    });
}
