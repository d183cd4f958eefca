//! What callers, backend servers and the operator saw.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What became of a caller's request, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with status 200; true where it was the request's own.
    Answered(bool),
    /// A whole answer with another status.
    Refused {
        /// Status.
        status: u16,
        /// What it says of whether the request may have run.
        verdict: String,
        /// Why.
        reason: String,
    },
    /// The answer began and broke off.
    Cut,
    /// The connection ended, or stayed silent, before any answer.
    NoAnswer,
    /// No connection.
    NoConnection,
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// Its identifier.
    pub id: Arc<str>,
    /// Node that it was sent to.
    pub node: usize,
    /// True for one that may run once only.
    pub once: bool,
    /// Route number that it tests; `None` for one of the work.
    pub probe: Option<u64>,
    /// When it was sent.
    pub sent: Duration,
    /// When its outcome was known.
    pub ended: Duration,
    /// Its outcome.
    pub outcome: Outcome,
}

/// A change that the operator was told is accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedRoute {
    /// Number of the route that it added.
    pub route: u64,
    /// When the operator was told.
    pub at: Duration,
}

/// A time during which something outside the fleet kept a node from working.
#[derive(Clone, Copy, Debug)]
pub struct TroubledTime {
    /// The node; `None` for the whole fleet.
    pub node: Option<usize>,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A planned stop of a node.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// The node.
    pub node: usize,
    /// When it was asked to.
    pub asked: Duration,
    /// When its process had ended.
    pub ended: Duration,
    /// True where it ended by itself, in time and well.
    pub clean: bool,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Sightings {
    /// Requests whose outcome is known.
    pub calls: Vec<SentCall>,
    /// Requests begun by backend servers, by identifier.
    pub begun: BTreeMap<Arc<str>, Vec<Duration>>,
    /// Requests begun by a server after its drain was acknowledged, and
    /// before it announced itself again.
    pub after_drain: Vec<(usize, Arc<str>, Duration)>,
    /// Changes that were accepted.
    pub accepted: Vec<AcceptedRoute>,
    /// Routes of the document read back at the end.
    pub read_back: Vec<u64>,
    /// Control instances that vote and run, at the end.
    pub live_voters: Option<usize>,
    /// Starts of nodes, which forget what they had.
    pub starts: Vec<(usize, Duration)>,
    /// Times that excuse a node.
    pub troubles: Vec<TroubledTime>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Processes that ended though nobody asked them to.
    pub own_ends: Vec<String>,
}
