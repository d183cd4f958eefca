//! Configuration changes and their outcomes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::HolderRoster;
use crate::config_delta::ConfigDelta;
use crate::control_roster::ControlRoster;
use crate::document::DocumentFault;
use crate::document::ExceptionEntry;
use crate::document::FleetDocument;
use crate::quarantine::QuarantineChange;
use crate::rollout::rollout_change::MoveChange;
use crate::tuning::TuningKey;
use crate::version::ConfigVersion;

/// Maximum length of a request ID in bytes.
const REQUEST_ID_BYTES_MAX: usize = 256;

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// Replace the whole document, except the roster of claim holders.
    Apply(FleetDocument),
    /// Replace what operators write with a revision that they numbered.
    Revise(Box<NumberedRevision>),
    /// Set the version of a service whose version is still
    /// [`ANY_VERSION`](crate::document::ANY_VERSION).
    PinVersion {
        /// Name of the service.
        service: Arc<str>,
        /// Version announced by its backend servers.
        version: Arc<str>,
    },
    /// Set a fleet default.
    SetDefault {
        /// Tuning parameter.
        key: TuningKey,
        /// New value.
        value: u64,
    },
    /// Add an exception; its id must be new.
    AddException(ExceptionEntry),
    /// Remove the exception with this id.
    RemoveException {
        /// Id of the exception.
        id: Arc<str>,
    },
    /// One of the two steps that replace the roster of claim holders; proposed
    /// only by the leader.
    SetHolders(HolderRoster),
    /// Replace the roster of control instances; proposed only by the leader.
    SetControls(ControlRoster),
    /// Start, step or end the move of a service to a new version.
    Move(MoveChange),
    /// Evacuate a failure domain, or end its evacuation.
    Evacuate(EvacuationChange),
    /// Refuse a request that crashes backend servers, or send it again.
    Quarantine(QuarantineChange),
}

/// An operator's order about the backend servers of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationChange {
    /// Send no more calls to the servers of a domain that is not evacuated yet.
    Start {
        /// The failure domain.
        failure_domain: Arc<str>,
        /// Who gives the order.
        operator: Arc<str>,
        /// Reason for the order.
        reason: Arc<str>,
    },
    /// Send calls to the servers of an evacuated domain again.
    End {
        /// The failure domain.
        failure_domain: Arc<str>,
    },
}

impl EvacuationChange {
    /// The failure domain that the order is about.
    pub fn failure_domain(&self) -> &Arc<str> {
        match self {
            Self::Start { failure_domain, .. } | Self::End { failure_domain } => {
                failure_domain
            }
        }
    }

    /// A short description for the list of changes shown to operators.
    pub fn summary(&self) -> String {
        match self {
            Self::Start { failure_domain, .. } => format!("{failure_domain} evacuated"),
            Self::End { failure_domain } => {
                format!("evacuation of {failure_domain} ended")
            }
        }
    }
}

impl ConfigChange {
    /// A short description for the list of changes shown to operators.
    pub fn summary(&self) -> String {
        match self {
            Self::Apply(document) => format!(
                "apply {} services, {} routes",
                document.services.len(),
                document.routes.len()
            ),
            Self::Revise(revision) => format!(
                "revision {} on top of {}",
                revision.number, revision.builds_on
            ),
            Self::PinVersion { service, version } => {
                format!("{service} is served by version {version}")
            }
            Self::SetDefault { key, value } => format!("default {key}={value}"),
            Self::AddException(entry) => format!("exception {} added", entry.id),
            Self::RemoveException { id } => format!("exception {id} removed"),
            Self::SetHolders(roster) => format!(
                "claim holders {} before, {} after",
                roster.before.len(),
                roster.seats.len()
            ),
            Self::SetControls(roster) => {
                format!("{} control instances", roster.seats.len())
            }
            Self::Move(change) => change.summary(),
            Self::Evacuate(change) => change.summary(),
            Self::Quarantine(change) => change.summary(),
        }
    }
}

/// A revision of what operators write, numbered by the operators.
///
/// The log holds only the delta from the revision that it builds on. A whole
/// document of 300 routes takes 60 KB, and many in a short time would fill the
/// disk and the links between control instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedRevision {
    /// Number chosen by the operators; must exceed that of the revision in
    /// force.
    pub number: u64,
    /// Number of the revision that it builds on; must be the one in force.
    pub builds_on: u64,
    /// Delta from the document of that revision to the new one.
    pub delta: ConfigDelta,
}

/// A change as stored in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Identifies the request, so that a resend gets the first answer.
    pub request_id: Arc<str>,
    /// Version on which the operator based the change; a change that expects
    /// another version than the one in force is refused. `None` accepts any.
    pub expected: Option<ConfigVersion>,
    /// Leader's wall clock when it received the change, in milliseconds since
    /// the Unix epoch. Deadlines of moves are counted from it.
    pub at_ms: u64,
    /// The change itself.
    pub change: ConfigChange,
}

impl ChangeEntry {
    /// Returns the fault of a request ID that is too long to be kept with its answer.
    pub fn check_request_id(&self) -> Result<(), DocumentFault> {
        let bytes = self.request_id.len();
        if bytes <= REQUEST_ID_BYTES_MAX {
            return Ok(());
        }
        Err(DocumentFault {
            path: "request_id".to_owned(),
            problem: format!("{bytes} bytes are too long; use {REQUEST_ID_BYTES_MAX}"),
        })
    }
}

/// Outcome of a change. A resend gets the same one, but a refused revision is
/// decided again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is in force under a new version.
    Accepted {
        /// Version created by the change.
        version: ConfigVersion,
    },
    /// The change was based on a version or revision that is no longer in
    /// force.
    Conflict {
        /// Version in force when the change was applied.
        current: ConfigVersion,
        /// Id of the request that created that version.
        winner: Arc<str>,
    },
    /// The change or the resulting document is invalid; nothing changed.
    Invalid {
        /// All faults found.
        faults: Vec<DocumentFault>,
    },
}
