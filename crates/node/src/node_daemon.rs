//! Puts a node together and stops it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use prometheus_client::registry::Registry;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use cowslip_core::entry_router::CallOrigin;
use cowslip_wire::admin_handler::AdminHandler;
use cowslip_wire::admin_handler::ADMIN_CONNECTIONS_MAX;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ListenerTimeouts;
use cowslip_wire::peer_client::PeerClient;

use crate::call_dialect::CallDialect;
use crate::call_log::CallLog;
use crate::call_metrics::CallMetrics;
use crate::call_pools::CallPools;
use crate::claim_client::ClaimClient;
use crate::entry_handler::EntryHandler;
use crate::entry_handler::EntryProxy;
use crate::entry_task;
use crate::evidence_task;
use crate::follow_metrics::FollowMetrics;
use crate::follow_task;
use crate::follow_task::FollowPlan;
use crate::gate_task;
use crate::gate_task::GateMessage;
use crate::gate_task::GatePlace;
use crate::gate_task::GateView;
use crate::gate_task::ServerReport;
use crate::holder_task;
use crate::install_hooks::InstallHooks;
use crate::local_handler::LocalHandler;
use crate::node_settings::NodeSettings;
use crate::node_stage::NodeStage;
use crate::peer_handler::PeerHandler;
use crate::peer_handler::PeerProxy;
use crate::server_check;
use crate::server_check::ServerExpectation;

/// Connections on the nodes' and the local listener. A backend server has
/// about 100; nodes get ten times that.
const CONNECTIONS_MAX: usize = 1_024;

/// Connections on the callers' listener. Callers that are refused come back
/// on new connections and leave the old ones open until they are idle: 40 a
/// second kept for 75 s filled 1,024, and everybody else waited to be taken
/// for six seconds. 4,096 descriptors bear this many and all others.
const CALLERS_MAX: usize = 2_400;

/// Longest wait for the requests in flight: the longest deadline.
const STOP_PATIENCE: Duration = Duration::from_secs(600);

/// Part of a bounded stop that is kept, once the backend server's work has
/// ended, for its last answers to reach their callers.
const ANSWERS_TIME: Duration = Duration::from_millis(200);

/// The sockets of a node, bound before it runs.
pub struct NodeSockets {
    callers: TcpListener,
    local: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

impl NodeSockets {
    /// Binds the four listeners of `settings`.
    pub fn bind(settings: &NodeSettings) -> io::Result<Self> {
        Ok(Self {
            callers: TcpListener::bind(settings.callers_listen)?,
            local: TcpListener::bind(settings.local_listen)?,
            peer: TcpListener::bind(settings.peer_listen)?,
            admin: TcpListener::bind(settings.admin_listen)?,
        })
    }
}

/// A running node.
pub struct NodeDaemon {
    callers: HttpListener,
    local: HttpListener,
    peer: HttpListener,
    admin: HttpListener,
    gate: mpsc::UnboundedSender<GateMessage>,
    controls: watch::Sender<Vec<SocketAddr>>,
    stage: Rc<Cell<NodeStage>>,
    drain_notice: Duration,
    stop_within: Option<Duration>,
}

/// Puts a handler in front of a listener's own.
pub type HandlerFront<D> = Box<dyn FnOnce(D, Rc<dyn HttpHandler>) -> Rc<dyn HttpHandler>>;

/// What the surroundings of a fleet need in front of a node.
pub struct NodeFronts {
    /// How callers and the backend server name headers.
    pub dialect: CallDialect,
    /// In front of the backend server's listener.
    pub local: HandlerFront<ServerDesk>,
    /// In front of the admin listener.
    pub admin: HandlerFront<NodeView>,
}

impl Default for NodeFronts {
    fn default() -> Self {
        Self {
            dialect: CallDialect::default(),
            local: Box::new(|_, handler| handler),
            admin: Box::new(|_, handler| handler),
        }
    }
}

/// Takes what the backend server reports of itself.
#[derive(Clone)]
pub struct ServerDesk {
    gate: mpsc::UnboundedSender<GateMessage>,
}

impl ServerDesk {
    /// A report; it is in force here once this returns.
    pub async fn report(&self, report: ServerReport) {
        let (reply, done) = oneshot::channel();
        // The gate's task ends only with the node.
        let _ = self.gate.send(GateMessage::Report(report, reply));
        let _ = done.await;
    }

    /// The run of this name, started at `born_ms` where that is known, takes
    /// no more work; true here once this returns.
    pub async fn left(&self, run: Arc<str>, born_ms: Option<u64>) {
        let (reply, done) = oneshot::channel();
        // The gate's task ends only with the node.
        let _ = self.gate.send(GateMessage::Left(run, born_ms, reply));
        let _ = done.await;
    }
}

/// What can be seen of a node from outside.
#[derive(Clone)]
pub struct NodeView {
    configured: Rc<Cell<bool>>,
    stage: Rc<Cell<NodeStage>>,
}

impl NodeView {
    /// True where callers may send it work: it has a configuration and is
    /// not leaving.
    pub fn is_ready(&self) -> bool {
        self.configured.get() && self.stage.get() == NodeStage::Open
    }
}

impl NodeDaemon {
    /// Starts a node on its sockets. `seed` spreads the nodes' choices.
    pub fn spawn(
        settings: &NodeSettings,
        sockets: NodeSockets,
        seed: u64,
    ) -> io::Result<Self> {
        Self::spawn_behind(settings, sockets, NodeFronts::default(), seed)
    }

    /// The same, behind `fronts`.
    pub fn spawn_behind(
        settings: &NodeSettings,
        sockets: NodeSockets,
        fronts: NodeFronts,
        seed: u64,
    ) -> io::Result<Self> {
        let mut registry = Registry::default();
        let entry_metrics = CallMetrics::new(&mut registry, "entry");
        let server_metrics = CallMetrics::new(&mut registry, "server");
        let instance = Arc::clone(&settings.instance);
        let failure_domain = Arc::clone(&settings.failure_domain);
        let (records, published) = mpsc::unbounded_channel();
        let place = GatePlace {
            instance: Arc::clone(&settings.instance),
            failure_domain: Arc::clone(&settings.failure_domain),
            address: sockets.peer.local_addr()?,
            server: settings.server,
        };
        let pools = CallPools::new();
        let dialect = Rc::new(fronts.dialect);
        let gate_view = GateView::default();
        let (check, checks) = mpsc::unbounded_channel();
        let gate = gate_task::spawn_viewed(place, records, gate_view.clone());
        let expectation = ServerExpectation {
            service: settings.service.clone(),
            address: settings.server,
            check,
        };
        let view = NodeView {
            configured: Rc::new(Cell::new(false)),
            stage: Rc::new(Cell::new(NodeStage::Open)),
        };
        let (times, watched_times) = watch::channel(ListenerTimeouts::default());
        let entry = entry_task::spawn(
            instance,
            failure_domain,
            gate.clone(),
            InstallHooks {
                configured: Rc::clone(&view.configured),
                expectation,
                times,
            },
            seed,
        );
        let peers = PeerClient::new(settings.system_key.clone());
        let (controls, watched_controls) = watch::channel(settings.controls.clone());
        let control = follow_task::spawn(FollowPlan {
            instance: Arc::clone(&settings.instance),
            failure_domain: Arc::clone(&settings.failure_domain),
            controls: watched_controls,
            wait: settings.follow_wait,
            seed,
            client: peers.clone(),
            entry: entry.clone(),
            gate: gate.clone(),
            metrics: FollowMetrics::new(&mut registry),
        });
        evidence_task::spawn(
            entry.clone(),
            peers.clone(),
            control.clone(),
            settings.evidence_pause,
        );
        let claims = ClaimClient::new(
            Arc::clone(&settings.instance),
            entry.clone(),
            peers.clone(),
        );
        actix_rt::spawn(follow_task::publish(control, seed, peers, published));
        actix_rt::spawn(server_check::run(
            Rc::clone(&pools),
            Rc::clone(&dialect),
            checks,
            gate.clone(),
        ));
        let desk = Rc::new(EntryProxy {
            pools: Rc::clone(&pools),
            dialect: Rc::clone(&dialect),
            service: settings.service.clone(),
            system_key: settings.system_key.clone(),
            view: gate_view.clone(),
            entry,
            claims,
            metrics: entry_metrics,
            log: CallLog::new("entry"),
        });
        let peer_desk = PeerProxy {
            pools,
            dialect,
            view: gate_view,
            system_key: settings.system_key.clone(),
            gate: gate.clone(),
            holder: holder_task::spawn(),
            next_ticket: Cell::new(0),
            metrics: server_metrics,
            log: CallLog::new("server"),
        };
        let stage = Rc::clone(&view.stage);
        let callers =
            EntryHandler::new(Rc::clone(&desk), CallOrigin::Outside, Rc::clone(&stage));
        let local = Rc::new(LocalHandler::new(gate.clone(), desk));
        let local = (fronts.local)(ServerDesk { gate: gate.clone() }, local);
        let page = AdminHandler::new(Rc::new(registry), Rc::new(Cell::new(true)));
        let page = (fronts.admin)(view, Rc::new(page));
        let listen = HttpListener::spawn;
        let daemon = Self {
            callers: HttpListener::spawn_pipelined(
                sockets.callers,
                CALLERS_MAX,
                Rc::new(callers),
                watched_times,
            )?,
            local: listen(sockets.local, CONNECTIONS_MAX, local)?,
            peer: listen(
                sockets.peer,
                CONNECTIONS_MAX,
                Rc::new(PeerHandler::new(peer_desk)),
            )?,
            admin: listen(sockets.admin, ADMIN_CONNECTIONS_MAX, page)?,
            gate,
            controls,
            stage,
            drain_notice: settings.drain_notice,
            stop_within: settings.stop_within,
        };
        info!(
            "event=started process=node instance={} failure_domain={} callers={} local={} peer={} admin={}",
            settings.instance,
            settings.failure_domain,
            daemon.callers.address(),
            daemon.local.address(),
            daemon.peer.address(),
            daemon.admin.address()
        );
        Ok(daemon)
    }

    /// Takes what of `settings` can change while the node runs: its control
    /// instances.
    pub fn reload(&self, settings: &NodeSettings) {
        self.controls.send_if_modified(|held| {
            let changed = *held != settings.controls;
            held.clone_from(&settings.controls);
            changed
        });
    }

    /// Where callers reach the node.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where the backend server reaches the node.
    pub fn local(&self) -> SocketAddr {
        self.local.address()
    }

    /// Where metrics and health are served.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// A planned stop: others are told, new work is refused, what is in
    /// flight ends. True where nothing was cut.
    pub async fn stop(self) -> bool {
        match self.stop_within {
            Some(within) => self.stop_within(within).await,
            None => self.stop_patiently().await,
        }
    }

    async fn stop_patiently(self) -> bool {
        self.stage.set(NodeStage::Stopping);
        let _ = self.gate.send(GateMessage::Stop);
        actix_rt::time::sleep(self.drain_notice).await;
        let mut whole = self.callers.stop(STOP_PATIENCE).await;
        whole &= self.peer.stop(STOP_PATIENCE).await;
        // Last of the three: what the backend server still runs for others
        // may need calls of its own.
        whole &= self.local.stop(STOP_PATIENCE).await;
        whole & self.admin.stop(STOP_PATIENCE).await
    }

    /// A stop whose time is bounded; true where nothing was cut.
    ///
    /// Load pattern: a fleet restarted node by node. Callers learn of a stop
    /// from the readiness page within some two seconds, and the backend
    /// server stays up: refused from the first moment on, callers would need
    /// a second try each, and its slots would stand idle for the whole stop,
    /// with four nodes of nine on their way for nearly half of all capacity.
    /// So everything is served through the notice; then only what can end
    /// before the process does, and what the backend server works on has
    /// nearly all of the time that is left.
    pub async fn stop_within(self, within: Duration) -> bool {
        let end = BootInstant::now() + within;
        let left = || end.saturating_duration_since(BootInstant::now());
        self.stage.set(NodeStage::Leaving);
        actix_rt::time::sleep(self.drain_notice).await;
        let _ = self.gate.send(GateMessage::Stop);
        self.stage.set(NodeStage::Ending(end));
        // Before the callers' listener closes: its work for others may need
        // calls of its own, which come in there.
        let mut whole = self.peer.stop(left().saturating_sub(ANSWERS_TIME)).await;
        self.stage.set(NodeStage::Stopping);
        whole &= self.callers.stop(left()).await;
        whole &= self.local.stop(left()).await;
        whole & self.admin.stop(left()).await
    }
}
