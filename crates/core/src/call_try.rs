//! One try of a call at one backend server, and its result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::document::CallPriority;
use crate::refusal::RefusalReason;
use crate::refusal::RetryReason;
use crate::verdict::CallVerdict;

/// One try of a call at one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTry {
    /// Instance of the backend server.
    pub instance: Arc<str>,
    /// Address on which the server's node listens.
    pub address: SocketAddr,
    /// Backend server version that it runs.
    pub version: Arc<str>,
    /// Longest expected wait at which the call is queued at this server; beyond
    /// it the call is offered to another one. `None` if it is queued however
    /// long the wait.
    pub wait_max: Option<Duration>,
}

/// End of a try that got no complete answer from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TryFailure {
    /// Whether the request may have run in this try.
    pub verdict: CallVerdict,
    /// Cause of the failure.
    pub reason: RefusalReason,
}

impl TryFailure {
    /// True if the other side reacted before the deadline, even if it only
    /// closed the connection.
    pub fn ended_before_deadline(&self) -> bool {
        self.reason != RefusalReason::DeadlinePassed
    }

    /// True if the request may have reached a backend server, including a
    /// server that refused it.
    pub fn reached_server(self) -> bool {
        self.verdict != CallVerdict::NotRun || self.reason == RefusalReason::ServerRefused
    }
}

/// Decision after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try the call again at another server.
    Retry(RetryReason),
    /// Refuse the call with this reason.
    Refuse(RefusalReason),
}

/// A try whose answer began and has now been passed on or abandoned.
#[derive(Clone, Debug)]
pub struct TryReport {
    /// Instance that answered.
    pub instance: Arc<str>,
    /// Service of the call.
    pub service: Arc<str>,
    /// Path of the call's route.
    pub route: Arc<str>,
    /// Customer that the call was made for.
    pub customer: Arc<str>,
    /// Priority of the call's route.
    pub priority: CallPriority,
    /// Status of the backend server's answer.
    pub status: u16,
    /// Time from the start of the try to the answer's head.
    pub taken: Duration,
    /// Length of the answer's body in bytes, if its head states it.
    pub bytes: Option<u64>,
}
