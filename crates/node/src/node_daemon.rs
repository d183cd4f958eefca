//! Starts and stops the tasks and listeners of a node.

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
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::server_run::ServerRun;
use cowslip_core::server_runs::is_possible_start;
use cowslip_core::stop_schedule::StopSchedule;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::admin_handler::AdminHandler;
use cowslip_wire::admin_handler::ADMIN_CONNECTIONS_MAX;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ListenerTimeouts;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::wall_clock;

use crate::call_dialect::CallDialect;
use crate::call_log::CallLog;
use crate::call_metrics::CallMetrics;
use crate::call_pools::CallPools;
use crate::claim_client::ClaimClient;
use crate::departure_keeper::DepartureKeeper;
use crate::entry_handler::EntryHandler;
use crate::entry_handler::EntryProxy;
use crate::entry_task;
use crate::evidence_task;
use crate::follow_metrics::FollowMetrics;
use crate::follow_task;
use crate::follow_task::FollowOptions;
use crate::follow_task::ServerNews;
use crate::gate_messages::GateEndpoint;
use crate::gate_messages::GateMessage;
use crate::gate_messages::GateOutputs;
use crate::gate_messages::GateStatus;
use crate::gate_messages::ServerReport;
use crate::gate_metrics::GateMetrics;
use crate::gate_task;
use crate::holder_task;
use crate::install_hooks::InstallHooks;
use crate::link_pacer::LinkPacer;
use crate::local_handler::LocalHandler;
use crate::node_settings::NodeSettings;
use crate::node_stage::NodeStage;
use crate::node_stage::StopProgress;
use crate::peer_handler::PeerHandler;
use crate::peer_handler::PeerProxy;
use crate::quarantine_list::QuarantineList;
use crate::server_check;
use crate::server_check::ConfiguredServer;

/// Connection limit of the peer listener and of the local listener. A backend
/// server has about 100 connections; nodes may have ten times as many.
const CONNECTIONS_MAX: usize = 1_024;

/// Connection limit of the callers' listener. Refused callers open new
/// connections and leave the old ones open until they time out: 40 a second
/// held for 75 s filled a limit of 1,024, and all other callers waited six
/// seconds to be accepted. This limit and all others fit in 4,096 file
/// descriptors.
const CALLER_CONNECTIONS_MAX: usize = 2_400;

/// Timeout for draining each listener; equal to the longest deadline of a
/// request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Listening sockets of a node, bound before it starts.
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
    progress: Rc<StopProgress>,
    drain_notice: Cell<Duration>,
    stop_within: Cell<Option<Duration>>,
}

/// Wraps a listener's handler in another one.
pub type HandlerWrapper<D> =
    Box<dyn FnOnce(D, Rc<dyn HttpHandler>) -> Rc<dyn HttpHandler>>;

/// Deployment-specific handlers in front of a node's own.
pub struct NodeMiddleware {
    /// Header names used by callers and the backend server.
    pub dialect: CallDialect,
    /// Wrapper of the backend server's listener.
    pub local: HandlerWrapper<ServerReporter>,
    /// Wrapper of the admin listener.
    pub admin: HandlerWrapper<NodeStatus>,
}

impl Default for NodeMiddleware {
    fn default() -> Self {
        Self {
            dialect: CallDialect::default(),
            local: Box::new(|_, handler| handler),
            admin: Box::new(|_, handler| handler),
        }
    }
}

/// Passes the backend server's reports to the gate.
#[derive(Clone)]
pub struct ServerReporter {
    gate: mpsc::UnboundedSender<GateMessage>,
    departures: DepartureKeeper,
}

/// Whether a report may be acknowledged to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAnswer {
    /// It is applied, and a departure outlives this process.
    Taken,
    /// It is applied, but a restart of this process would forget the departure; the
    /// server should report it again.
    Unkept,
    /// No server can have made it.
    Impossible,
}

impl ServerReporter {
    /// Sends a report and waits until the gate has applied it and, if the run is
    /// leaving, until the control instances keep that.
    pub async fn report(&self, report: ServerReport) -> ReportAnswer {
        let possible = is_possible_start(report.run.started_ms, wall_clock::millis());
        if !possible || !report.server.has_possible_slots() {
            return ReportAnswer::Impossible;
        }
        let departed = report.run.leaving.then(|| ServerRun {
            name: Arc::clone(&report.run.run),
            started_ms: Some(report.run.started_ms),
        });
        let (reply, done) = oneshot::channel();
        // The gate task ends only with the node.
        let _ = self.gate.send(GateMessage::Report(report, reply));
        let _ = done.await;
        match departed {
            Some(run) => self.keep(&run).await,
            None => ReportAnswer::Taken,
        }
    }

    /// Reports that the run takes no more work, and waits until the gate has applied
    /// it and the control instances keep it. `started_ms` is the start of the run, if
    /// known; a start that is not possible counts as unknown.
    pub async fn deregister_run(
        &self,
        name: Arc<str>,
        started_ms: Option<u64>,
    ) -> ReportAnswer {
        let now_ms = wall_clock::millis();
        let started_ms = started_ms.filter(|started| is_possible_start(*started, now_ms));
        let run = ServerRun { name, started_ms };
        let (reply, done) = oneshot::channel();
        // The gate task ends only with the node.
        let _ = self
            .gate
            .send(GateMessage::DeregisterRun(run.clone(), reply));
        let _ = done.await;
        self.keep(&run).await
    }

    async fn keep(&self, run: &ServerRun) -> ReportAnswer {
        if self.departures.keep(run).await {
            ReportAnswer::Taken
        } else {
            ReportAnswer::Unkept
        }
    }
}

/// Status of a node, as its readiness page shows it.
#[derive(Clone)]
pub struct NodeStatus {
    version: Rc<Cell<ConfigVersion>>,
    progress: Rc<StopProgress>,
}

impl NodeStatus {
    /// Returns true if callers may send calls: the node has a configuration and
    /// is not leaving.
    pub fn is_ready(&self) -> bool {
        let configured = self.version.get() > ConfigVersion::ZERO;
        configured && self.progress.stage() == NodeStage::Serving
    }
}

impl NodeDaemon {
    /// Starts a node on its sockets. `seed` makes the random choices of nodes
    /// differ.
    pub fn spawn(
        settings: &NodeSettings,
        sockets: NodeSockets,
        seed: u64,
    ) -> io::Result<Self> {
        Self::spawn_with_middleware(settings, sockets, NodeMiddleware::default(), seed)
    }

    /// Starts a node whose handlers are wrapped by `middleware`.
    pub fn spawn_with_middleware(
        settings: &NodeSettings,
        sockets: NodeSockets,
        middleware: NodeMiddleware,
        seed: u64,
    ) -> io::Result<Self> {
        let mut registry = Registry::default();
        let entry_metrics = CallMetrics::new(&mut registry, "entry");
        let server_metrics = CallMetrics::new(&mut registry, "server");
        let instance = Arc::clone(&settings.instance);
        let failure_domain = Arc::clone(&settings.failure_domain);
        let (records, published) = mpsc::unbounded_channel();
        let (crashes, reported_crashes) = mpsc::unbounded_channel();
        let (departures, stated_departures) = mpsc::unbounded_channel();
        let endpoint = GateEndpoint {
            instance: Arc::clone(&settings.instance),
            failure_domain: Arc::clone(&settings.failure_domain),
            address: match settings.peer_address {
                Some(address) => address,
                None => sockets.peer.local_addr()?,
            },
            server: settings.server,
        };
        let pools = CallPools::new();
        let dialect = Rc::new(middleware.dialect);
        let gate_status = GateStatus::default();
        let (checks, requested_checks) = mpsc::unbounded_channel();
        let gate = gate_task::spawn_with_status(
            endpoint,
            GateOutputs {
                records,
                crashes,
                departures,
            },
            gate_status.clone(),
            GateMetrics::new(&mut registry),
        );
        let server = ConfiguredServer {
            service: settings.service.clone(),
            address: settings.server,
            checks,
        };
        let version = Rc::new(Cell::new(ConfigVersion::ZERO));
        let status = NodeStatus {
            version: Rc::clone(&version),
            progress: Rc::default(),
        };
        let quarantines = QuarantineList::default();
        let (listener_timeouts, timeouts_watch) =
            watch::channel(ListenerTimeouts::default());
        let router = EntryRouter::new(Arc::clone(&failure_domain), seed)
            .with_path_match(dialect.path_match);
        let entry = entry_task::spawn(
            instance,
            failure_domain,
            gate.clone(),
            InstallHooks {
                version: Rc::clone(&version),
                quarantines: quarantines.clone(),
                server,
                listener_timeouts,
            },
            router,
        );
        let peers = PeerClient::new(settings.system_key.clone());
        let (controls, watched_controls) = watch::channel(settings.controls.clone());
        let options = FollowOptions {
            instance: Arc::clone(&settings.instance),
            failure_domain: Arc::clone(&settings.failure_domain),
            controls: watched_controls,
            wait: settings.follow_wait,
            seed,
            system_key: settings.system_key.clone(),
            entry: entry.clone(),
            gate: gate.clone(),
            metrics: FollowMetrics::new(&mut registry),
        };
        let news = ServerNews {
            records: published,
            crashes: reported_crashes,
        };
        let control = follow_task::spawn(options, news)?;
        let keeper = DepartureKeeper::spawn(
            Arc::clone(&settings.instance),
            peers.clone(),
            control.clone(),
            Rc::clone(&version),
            gate.clone(),
        );
        keeper.keep_all(stated_departures);
        evidence_task::spawn(
            entry.clone(),
            peers.clone(),
            control,
            settings.evidence_pause,
        );
        let claims =
            ClaimClient::new(Arc::clone(&settings.instance), entry.clone(), peers);
        actix_rt::spawn(server_check::run(
            Rc::clone(&pools),
            Rc::clone(&dialect),
            requested_checks,
            gate.clone(),
        ));
        let entry_proxy = Rc::new(EntryProxy {
            pools: Rc::clone(&pools),
            dialect: Rc::clone(&dialect),
            service: settings.service.clone(),
            system_key: settings.system_key.clone(),
            gate_status: gate_status.clone(),
            entry,
            claims,
            quarantines: quarantines.clone(),
            metrics: entry_metrics,
            log: CallLog::new("entry", Rc::clone(&version)),
        });
        let peer_proxy = PeerProxy {
            pools,
            dialect,
            gate_status,
            system_key: settings.system_key.clone(),
            gate: gate.clone(),
            holder: holder_task::spawn(),
            quarantines,
            next_ticket: Cell::new(0),
            metrics: server_metrics,
            log: CallLog::new("server", version),
        };
        let progress = Rc::clone(&status.progress);
        let callers = EntryHandler::new(
            Rc::clone(&entry_proxy),
            CallOrigin::Outside,
            Rc::clone(&progress),
        );
        let reporter = ServerReporter {
            gate: gate.clone(),
            departures: keeper.clone(),
        };
        let local = Rc::new(LocalHandler::new(gate.clone(), entry_proxy, keeper));
        let local = (middleware.local)(reporter, local);
        let admin_handler =
            AdminHandler::new(Rc::new(registry), Rc::new(Cell::new(true)));
        let admin_handler = (middleware.admin)(status, Rc::new(admin_handler));
        let own = settings.peer_listen.ip();
        let pacer = settings.link_mbps.map(LinkPacer::spawn);
        let paced = |handler: Rc<dyn HttpHandler>| match &pacer {
            Some(pacer) => pacer.wrap(own, handler),
            None => handler,
        };
        let listen = HttpListener::spawn;
        let daemon = Self {
            callers: HttpListener::spawn_pipelined(
                sockets.callers,
                CALLER_CONNECTIONS_MAX,
                paced(Rc::new(callers)),
                timeouts_watch,
            )?,
            local: HttpListener::spawn_pipelined(
                sockets.local,
                CONNECTIONS_MAX,
                local,
                watch::channel(ListenerTimeouts::default()).1,
            )?,
            peer: listen(
                sockets.peer,
                CONNECTIONS_MAX,
                paced(Rc::new(PeerHandler::new(peer_proxy))),
            )?,
            admin: listen(sockets.admin, ADMIN_CONNECTIONS_MAX, admin_handler)?,
            gate,
            controls,
            progress,
            drain_notice: Cell::new(settings.drain_notice),
            stop_within: Cell::new(settings.stop_within),
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

    /// Applies the settings that can change while the node runs: the addresses
    /// of the control instances, and the times of a planned stop.
    pub fn reload(&self, settings: &NodeSettings) {
        self.drain_notice.set(settings.drain_notice);
        self.stop_within.set(settings.stop_within);
        self.controls.send_if_modified(|current| {
            let changed = *current != settings.controls;
            current.clone_from(&settings.controls);
            changed
        });
    }

    /// Address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the backend server's listener.
    pub fn local(&self) -> SocketAddr {
        self.local.address()
    }

    /// Address of the admin listener, which serves metrics and health.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Planned stop: announces the stop, refuses new calls and waits for those in
    /// flight. Returns true if no call was cut off.
    pub async fn stop(self) -> bool {
        match self.stop_within.get() {
            Some(within) => self.stop_within(within).await,
            None => self.drain_and_stop().await,
        }
    }

    async fn drain_and_stop(self) -> bool {
        self.progress.set_stage(NodeStage::Stopping);
        let _ = self.gate.send(GateMessage::Stop);
        actix_rt::time::sleep(self.drain_notice.get()).await;
        let mut drained = self.callers.stop(DRAIN_TIMEOUT).await;
        drained &= self.peer.stop(DRAIN_TIMEOUT).await;
        // The local listener closes last: work that the backend server still
        // does for other nodes may need outbound calls.
        drained &= self.local.stop(DRAIN_TIMEOUT).await;
        drained & self.admin.stop(DRAIN_TIMEOUT).await
    }

    /// Planned stop of a process that is killed after `within`. Returns true if no
    /// call was cut off.
    ///
    /// Load pattern: a fleet is restarted node by node. Callers learn of a stop
    /// from the readiness page within about two seconds, and the backend server
    /// stays up. If the node refused calls from the start, each caller would
    /// have to retry, and the server's slots would be idle for the whole
    /// stop; with four of nine nodes stopping, that is nearly half of the
    /// capacity. The node therefore serves all calls during the drain notice,
    /// and afterwards only those that can end before the process does. Work in
    /// progress on the backend server gets nearly all of the remaining time,
    /// whichever way its call came.
    pub async fn stop_within(self, within: Duration) -> bool {
        let schedule = StopSchedule::of(within, self.drain_notice.get());
        let began = BootInstant::now();
        let until = |time: Duration| time.saturating_sub(began.elapsed());
        self.progress.set_stage(NodeStage::Leaving);
        actix_rt::time::sleep(schedule.notice).await;
        let _ = self.gate.send(GateMessage::Stop);
        let latest_deadline = began + schedule.deadlines;
        self.progress.set_stage(NodeStage::Ending(latest_deadline));
        let progress = Rc::clone(&self.progress);
        let until_calls_end = until(schedule.calls);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(until_calls_end).await;
            progress.end_calls();
        });
        // The peer listener closes before the callers' listener: the backend
        // server's work for other nodes may need outbound calls, which arrive
        // on the callers' listener.
        let mut drained = self.peer.stop(until(schedule.peers)).await;
        self.progress.set_stage(NodeStage::Stopping);
        drained &= self.callers.stop(until(schedule.connections)).await;
        drained &= self.local.stop(until(schedule.connections)).await;
        drained & self.admin.stop(until(schedule.connections)).await
    }
}
