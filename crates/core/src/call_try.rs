//! One try of a call at one backend server, and what it came to.

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
    /// Where its node listens.
    pub address: SocketAddr,
    /// Backend server version it runs.
    pub version: Arc<str>,
    /// The call is to be offered elsewhere where it would wait longer than
    /// this; absent where it stays.
    pub wait_max: Option<Duration>,
}

/// How a try ended without a whole answer from a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TryFailure {
    /// Whether the request may have run in this try.
    pub verdict: CallVerdict,
    /// Why it failed.
    pub reason: RefusalReason,
}

impl TryFailure {
    /// True where the other side said or did something before the time ran
    /// out, be it that it broke off.
    pub fn ended_before_deadline(&self) -> bool {
        self.reason != RefusalReason::DeadlinePassed
    }

    /// True where the request came to a backend server, be it that the
    /// server refused it.
    pub fn reached_server(self) -> bool {
        self.verdict != CallVerdict::NotRun || self.reason == RefusalReason::ServerRefused
    }
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try again at another server.
    Retry(RetryReason),
    /// Tell the caller.
    Refuse(RefusalReason),
}

/// A try whose answer began, and is now passed on or given up.
#[derive(Clone, Debug)]
pub struct TryReport {
    /// Instance that answered.
    pub instance: Arc<str>,
    /// Service of the call.
    pub service: Arc<str>,
    /// Path of its route.
    pub route: Arc<str>,
    /// Customer it was made for.
    pub customer: Arc<str>,
    /// Urgency of its route.
    pub priority: CallPriority,
    /// Status of the backend server's answer.
    pub status: u16,
    /// Time from the try's start to the answer's head.
    pub taken: Duration,
    /// Bytes of the answer's body, where its head states them.
    pub bytes: Option<u64>,
}
