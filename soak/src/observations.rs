//! Records of what callers, backend servers and the operator observe in a run.
//!
//! All times count from the start of the run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Outcome of a request as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer with status 200; true if it belongs to this request.
    Answered(bool),
    /// A complete answer with another status.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Verdict header: whether the request may have run.
        verdict: String,
        /// Reason header.
        reason: String,
    },
    /// The answer broke off after its head.
    Cut,
    /// The connection ended, or the call timed out, before an answer came.
    NoAnswer,
    /// No connection could be opened.
    NoConnection,
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// Request ID.
    pub id: Arc<str>,
    /// Index of the node that it was sent to.
    pub node: usize,
    /// Whether it may run at most once.
    pub at_most_once: bool,
    /// Number of the operator's route that it probes; `None` for a request to
    /// the work path.
    pub probe: Option<u64>,
    /// Time at which it was sent.
    pub sent: Duration,
    /// Time at which its outcome was known.
    pub ended: Duration,
    /// Outcome as the caller observed it.
    pub outcome: CallOutcome,
    /// Indexes of the statement spans that the answer's headers name.
    pub statements: Vec<usize>,
}

/// What a backend server states in its answers for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementKind {
    /// It takes this many calls a second from all nodes together.
    CallsPerSecond(f64),
    /// It is leaving.
    Leaving,
}

/// A time in which a backend server states something.
#[derive(Clone, Copy, Debug)]
pub struct StatementSpan {
    /// Index of the server.
    pub server: usize,
    /// What it states.
    pub kind: StatementKind,
    /// Start of the time.
    pub from: Duration,
    /// End of the time; `None` if it lasts.
    pub until: Option<Duration>,
}

/// A request that reached a backend server and was not refused by it.
#[derive(Clone, Debug)]
pub struct ServerArrival {
    /// Index of the server.
    pub server: usize,
    /// Request ID.
    pub id: Arc<str>,
    /// Time at which it arrived.
    pub at: Duration,
}

/// A crash of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerCrash {
    /// Index of the server.
    pub server: usize,
    /// Time of the crash.
    pub at: Duration,
}

/// A time in which the backend servers of a failure domain were evacuated.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationSpan {
    /// Index of the failure domain.
    pub domain: usize,
    /// Time at which the operator received the answer to the order.
    pub from: Duration,
    /// Time at which the end was ordered; `None` if it was not.
    pub until: Option<Duration>,
}

/// A time in which a node was paused.
#[derive(Clone, Copy, Debug)]
pub struct NodePause {
    /// Index of the node.
    pub node: usize,
    /// Start of the pause.
    pub from: Duration,
    /// End of the pause.
    pub until: Duration,
}

/// A change that a control instance answered as accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedRoute {
    /// Number of the route that it added.
    pub route: u64,
    /// Time at which the operator received the answer.
    pub at: Duration,
}

/// A period during which a fault may have kept a node from working.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// Index of the node; `None` for the whole fleet.
    pub node: Option<usize>,
    /// Start of the period.
    pub from: Duration,
    /// End of the period.
    pub until: Duration,
}

/// A time in which a fault was active that may keep changes from a node.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// Index of the node; `None` if the fault affects the control instances or the way
    /// to them, and so all nodes.
    pub node: Option<usize>,
    /// Start of the fault.
    pub from: Duration,
    /// End of the fault.
    pub until: Duration,
}

impl FaultSpan {
    /// Returns true if the fault may keep changes from this node.
    pub fn affects(&self, node: usize) -> bool {
        self.node.is_none_or(|index| index == node)
    }
}

/// A planned stop of a node.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Index of the node.
    pub node: usize,
    /// Time at which the stop was requested.
    pub requested: Duration,
    /// Time at which the process had exited.
    pub ended: Duration,
    /// Whether it exited by itself, within the timeout and with success.
    pub clean: bool,
}

/// Everything that was observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests whose outcome is known.
    pub calls: Vec<SentCall>,
    /// Times at which backend servers began to execute a request, by request ID.
    pub executions: BTreeMap<Arc<str>, Vec<Duration>>,
    /// Requests that reached a server too long after its drain was acknowledged
    /// and before it announced itself again: index of the server, request ID
    /// and time.
    pub after_drain: Vec<(usize, Arc<str>, Duration)>,
    /// Requests that reached a backend server, in order of arrival.
    pub arrivals: Vec<ServerArrival>,
    /// Times in which backend servers stated something.
    pub statements: Vec<StatementSpan>,
    /// Evacuations that a control instance answered as accepted.
    pub evacuations: Vec<EvacuationSpan>,
    /// Crashes of backend servers, by the time in the path of the request that crashed
    /// them.
    pub crashes: BTreeMap<u64, Vec<ServerCrash>>,
    /// Times in which nodes were paused.
    pub pauses: Vec<NodePause>,
    /// Changes answered as accepted.
    pub accepted: Vec<AcceptedRoute>,
    /// Numbers of the routes in the document that was read at the end.
    pub final_routes: Vec<u64>,
    /// Number of live voters at the end; `None` if it was not read.
    pub live_voters: Option<usize>,
    /// Index and time of each start of a node. A node starts without any
    /// configuration.
    pub starts: Vec<(usize, Duration)>,
    /// Periods during which the checks of a node allow for a fault.
    pub disruptions: Vec<Disruption>,
    /// Times in which faults were active that may keep changes from nodes.
    pub fault_spans: Vec<FaultSpan>,
    /// Planned stops of nodes.
    pub stops: Vec<PlannedStop>,
    /// Processes that exited without being asked to, and faults that could not
    /// be injected.
    pub unexpected_exits: Vec<String>,
}
