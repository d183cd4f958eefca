//! Messages to the gate task, its answers, and what it tells other tasks.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::departure::Departure;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::load::call_queue::CallTicket;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_core::server_notice::ServerNotice;
use cowslip_core::server_presence::PresenceRefusal;
use cowslip_core::server_run::ServerRun;
use cowslip_core::server_runs::RunReport;
use cowslip_core::server_statement::ServerStatement;
use cowslip_wire::boot_instant::BootInstant;

use crate::crash_task::ServerCrash;
use crate::server_probe::ProbeResult;

/// Identity and addresses of the node's own endpoint.
#[derive(Clone, Debug)]
pub struct GateEndpoint {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address on which the node listens for other nodes.
    pub address: SocketAddr,
    /// Address of the backend server, if the settings name one.
    pub server: Option<SocketAddr>,
}

/// A slot granted to one call.
#[derive(Clone, Debug)]
pub struct SlotGrant {
    /// Address of the backend server.
    pub server: SocketAddr,
    /// True if the backend server is past its cold start.
    pub warm: bool,
    /// Run of the backend server, if it names its runs.
    pub run: Option<ServerRun>,
    /// Whether the gate must be told when the request has been sent, because the
    /// calls to the server in any second are limited or may become so.
    pub counts_sends: bool,
}

/// A backend server's announcement of itself.
#[derive(Clone, Debug)]
pub struct ServerAnnouncement {
    /// Name of the run, if the server names its runs.
    pub run: Option<Arc<str>>,
    /// Service, version and slots.
    pub server: AnnouncedServer,
    /// Address of the server.
    pub address: SocketAddr,
    /// How much longer the server stays cold, if it states it.
    pub cold_remaining: Option<Duration>,
}

/// A periodic report from a backend server.
#[derive(Clone, Debug)]
pub struct ServerReport {
    /// The run that sent the report.
    pub run: RunReport,
    /// Service, version and slots.
    pub server: AnnouncedServer,
    /// Address of the server.
    pub address: SocketAddr,
    /// How much longer the server stays cold, if the report says so.
    pub cold_remaining: Option<Duration>,
}

/// A run that a health check found before its first report.
#[derive(Clone, Debug)]
pub struct FoundRun {
    /// Name of the run.
    pub run: Arc<str>,
    /// Assumed service, version and slots.
    pub server: AnnouncedServer,
    /// Address of the server.
    pub address: SocketAddr,
    /// How much longer the server stays cold, if the health page says so.
    pub cold_remaining: Option<Duration>,
    /// What the server states with the health page.
    pub statement: ServerStatement,
}

/// Result of an announcement.
pub type AnnounceAnswer = Result<(), PresenceRefusal>;

/// Result of a request for a slot.
pub type SlotAnswer = Result<SlotGrant, RefusalReason>;

/// A message to the gate task.
#[derive(Debug)]
pub enum GateMessage {
    /// The backend server announced itself.
    Announce(ServerAnnouncement, oneshot::Sender<AnnounceAnswer>),
    /// A periodic report; answered once the gate has applied it.
    Report(ServerReport, oneshot::Sender<()>),
    /// A health check found a run that has not reported yet.
    RunFound(FoundRun),
    /// The run takes no more work; answered once the gate has applied it.
    DeregisterRun(ServerRun, oneshot::Sender<()>),
    /// Departures that earlier processes of this node acknowledged.
    Departed(Vec<Departure>),
    /// The backend server shuts down: drain it. Answered with the run that departs by
    /// it, if the server names its runs.
    Drain(oneshot::Sender<Option<ServerRun>>),
    /// The node shuts down.
    Stop,
    /// A connection to the backend server failed.
    Unreachable,
    /// Result of a probe of the backend server's address.
    Probed(SocketAddr, ProbeResult),
    /// A call requests a slot.
    AcquireSlot(SlotRequest, oneshot::Sender<SlotAnswer>),
    /// The request of a call was sent to the backend server.
    RequestSent(CallTicket),
    /// The backend server answered, and it states something or had stated a limit.
    Answered(AnswerStatement),
    /// A call ended, or its caller stopped waiting for a slot.
    ReleaseSlot(CallTicket, SlotOutcome),
    /// The backend server started an outbound call.
    OutboundBegin,
    /// An outbound call of the backend server was answered or cancelled.
    OutboundEnd,
    /// The directory's current record of the node's own endpoint.
    Reconcile(Box<EndpointRecord>),
    /// The control instance changed and may lack the endpoint's last record.
    Republish,
    /// The configuration in force.
    Configure(GateConfig),
}

/// A call that requests a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Ticket of the call.
    pub ticket: CallTicket,
    /// Properties that its entry node states.
    pub call: OfferedCall,
    /// What its repeats have in common with it.
    pub fingerprint: CallFingerprint,
    /// What its entry node heard the server state, if anything.
    pub notice: Option<ServerNotice>,
}

/// What the backend server states in an answer.
#[derive(Clone, Debug)]
pub struct AnswerStatement {
    /// Run that the request was sent to, if the server names its runs.
    pub run: Option<ServerRun>,
    /// When the request was sent.
    pub sent: BootInstant,
    /// The statement.
    pub statement: ServerStatement,
}

/// The parts of the configuration in force that concern the gate.
#[derive(Clone, Debug, Default)]
pub struct GateConfig {
    /// Queue bounds by service.
    pub bounds: GateBounds,
    /// Whether the node's failure domain is evacuated.
    pub evacuated: bool,
}

/// Queue bounds by service, from the configuration in force.
pub type GateBounds = HashMap<Arc<str>, QueueBounds>;

/// Current figures of the gate, shared with the handlers.
#[derive(Clone, Debug, Default)]
pub struct GateStatus {
    pub(crate) expected_wait: Rc<Cell<Duration>>,
    pub(crate) repeat_probability: Rc<Cell<RepeatProbability>>,
    pub(crate) service_times: Rc<RefCell<HashMap<Arc<str>, Duration>>>,
    pub(crate) limited: Rc<Cell<bool>>,
}

impl GateStatus {
    /// Whether the server states how many calls a second it takes.
    pub fn is_limited(&self) -> bool {
        self.limited.get()
    }

    /// Expected wait for a slot of a call that arrives now.
    pub fn expected_wait(&self) -> Duration {
        self.expected_wait.get()
    }

    /// Probability that a request the server runs now repeats earlier work.
    pub fn repeat_probability(&self) -> RepeatProbability {
        self.repeat_probability.get()
    }

    /// Recent service time of calls on `route`, if known.
    pub fn service_time(&self, route: &str) -> Option<Duration> {
        self.service_times.borrow().get(route).copied()
    }
}

/// Where the task sends what it finds.
pub struct GateOutputs {
    /// Each change of the endpoint's record.
    pub records: mpsc::UnboundedSender<EndpointRecord>,
    /// Each crash of the backend server.
    pub crashes: mpsc::UnboundedSender<ServerCrash>,
    /// Each run that states in an answer that it is leaving.
    pub departures: mpsc::UnboundedSender<ServerRun>,
}
