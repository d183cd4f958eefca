//! Log entries that start, step and end moves.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::rollout::rollout_judge::BadnessCause;
use crate::rollout::share_plan::QuietChoice;
use crate::version::ConfigVersion;

/// Deadline by which the new version must be in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveDue {
    /// Wall clock, in milliseconds since the Unix epoch.
    At(u64),
    /// Milliseconds after the change is accepted.
    Within(u64),
}

impl MoveDue {
    /// Wall clock of the deadline in milliseconds since the Unix epoch, for a
    /// change accepted at `at_ms`.
    pub fn due_ms(self, at_ms: u64) -> u64 {
        match self {
            Self::At(due_ms) => due_ms,
            Self::Within(within_ms) => at_ms.saturating_add(within_ms),
        }
    }
}

/// Why a move is taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeBackCause {
    /// The new version is bad by the combined counts of all nodes.
    FleetEvidence(BadnessCause),
    /// A node found the new version bad by its own counts.
    NodeEvidence {
        /// Name of the node's instance.
        node: Arc<str>,
        /// Evidence on which the node decided.
        cause: BadnessCause,
    },
    /// An operator requested it.
    Operator {
        /// Reason given by the operator.
        reason: String,
    },
}

impl fmt::Display for TakeBackCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FleetEvidence(cause) => write!(f, "{cause}"),
            Self::NodeEvidence { node, cause } => write!(f, "{cause} (node {node})"),
            Self::Operator { reason } => write!(f, "operator: {reason}"),
        }
    }
}

/// What delays the next step of a move.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum StepWait {
    /// Too few calls for evidence, and the operators chose to hold.
    QuietTraffic,
    /// Evidence against the new version is accumulating.
    Suspicion,
    /// The old version itself fails so many calls that a bad new version cannot
    /// be distinguished from it.
    TroubledFleet,
    /// The new version's servers have too few slots for a larger share.
    FewSlots,
    /// Live nodes do not report their counts.
    LostReporters,
    /// Live nodes have not applied the last step.
    NodesBehind,
    /// The move reached its last steps late and kept each for its minimum time.
    LastSteps,
}

impl StepWait {
    /// Text shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QuietTraffic => "too few calls for evidence",
            Self::Suspicion => "evidence against the version is gathering",
            Self::TroubledFleet => "the version in service fails many calls itself",
            Self::FewSlots => "the new version's servers have too few slots",
            Self::LostReporters => "live nodes do not report their counts",
            Self::NodesBehind => "live nodes have not applied the last step",
            Self::LastSteps => {
                "the last steps were reached late and kept their minimum time"
            }
        }
    }
}

/// Calls of a service during a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveCounts {
    /// Calls of both versions.
    pub calls: u64,
    /// Calls of the new version.
    pub new_calls: u64,
    /// Failed calls of the new version.
    pub new_failures: u64,
}

/// A change that starts, advances or ends a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveChange {
    /// Starts the move of a service to a new version.
    Start {
        /// Service to move.
        service: Arc<str>,
        /// The new version.
        to: Arc<str>,
        /// Deadline of the move.
        due: MoveDue,
        /// Reason for the move; may be empty.
        reason: String,
        /// What to do if there are too few calls for evidence.
        if_quiet: QuietChoice,
    },
    /// Raises the traffic share of the new version.
    Step {
        /// Configuration version that started the move.
        rollout: ConfigVersion,
        /// New share, in thousandths.
        share_per_mille: u16,
    },
    /// Takes the new version out of service.
    TakeBack {
        /// Configuration version that started the move.
        rollout: ConfigVersion,
        /// Why the move is taken back.
        cause: TakeBackCause,
        /// Calls so far.
        counts: MoveCounts,
    },
    /// Puts the new version in service alone.
    Finish {
        /// Configuration version that started the move.
        rollout: ConfigVersion,
        /// What delayed the move longest, if anything.
        waited: Option<StepWait>,
        /// Calls so far.
        counts: MoveCounts,
    },
}

impl MoveChange {
    /// Short description for the list of changes.
    pub fn summary(&self) -> String {
        match self {
            Self::Start { service, to, .. } => {
                format!("move of {service} to {to} began")
            }
            Self::Step {
                rollout,
                share_per_mille,
            } => format!("move {rollout}: share {share_per_mille} of 1000"),
            Self::TakeBack { rollout, cause, .. } => {
                format!("move {rollout} taken back: {cause}")
            }
            Self::Finish { rollout, .. } => format!("move {rollout} finished"),
        }
    }

    /// Request ID of a change that the leader itself proposes; `None` for a
    /// start, which an operator requests.
    ///
    /// If the leader changes in the middle of a step, both leaders propose the
    /// step. The request ID depends only on the change, so the log accepts it
    /// once.
    pub fn request_id(&self) -> Option<Arc<str>> {
        let id = match self {
            Self::Start { .. } => return None,
            Self::Step {
                rollout,
                share_per_mille,
            } => format!("move-{rollout}-share-{share_per_mille}"),
            Self::TakeBack { rollout, .. } => format!("move-{rollout}-take-back"),
            Self::Finish { rollout, .. } => format!("move-{rollout}-finish"),
        };
        Some(id.into())
    }
}
