//! Changes that operators ask for, and what became of them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::HolderRoster;
use crate::config_delta::ConfigDelta;
use crate::document::DocumentFault;
use crate::document::ExceptionEntry;
use crate::document::FleetDocument;
use crate::rollout::rollout_change::MoveChange;
use crate::tuning::TuningKey;
use crate::version::ConfigVersion;

/// One change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// Replace the whole document.
    Apply(FleetDocument),
    /// Replace what operators write, under a number of theirs.
    Revise(Box<NumberedRevision>),
    /// Name the version that serves a service whose document names none.
    PinVersion {
        /// Service.
        service: Arc<str>,
        /// The version its servers have announced.
        version: Arc<str>,
    },
    /// Set one of the fleet's defaults.
    SetDefault {
        /// Which figure.
        key: TuningKey,
        /// Its new value.
        value: u64,
    },
    /// Add an exception; its id must be new.
    AddException(ExceptionEntry),
    /// Remove the exception with this id.
    RemoveException {
        /// Id of the exception.
        id: Arc<str>,
    },
    /// One of the two steps in which the roster of claim holders changes;
    /// only the leader asks for it.
    SetHolders(HolderRoster),
    /// Begin, step or end the move of a service to a new version.
    Move(MoveChange),
}

impl ConfigChange {
    /// A short description for the list of moves.
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
            Self::Move(change) => change.summary(),
        }
    }
}

/// What operators write, replaced under a number that they chose.
///
/// Only the difference to the revision it builds on is in the log: whole
/// documents of 300 routes are 60 KB each, a storm of them would fill the
/// disk and the links between control instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedRevision {
    /// The operators' number; above that of the revision in force.
    pub number: u64,
    /// Number of the revision that it builds on.
    pub builds_on: u64,
    /// From the document of that revision to the new one.
    pub delta: ConfigDelta,
}

/// A change as it stands in the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Names the request, so that a resend gets the first answer.
    pub request_id: Arc<str>,
    /// Version the operator believes in force; `None` accepts any.
    pub expected: Option<ConfigVersion>,
    /// Leader's wall clock when it took the change, in milliseconds since
    /// 1970, for display only.
    pub at_ms: u64,
    /// What to change.
    pub change: ConfigChange,
}

/// What became of a change; the same for every resend of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// In the agreed log; the move carries the version's number.
    Accepted {
        /// Version the change made.
        version: ConfigVersion,
    },
    /// Another change came first under the expected version.
    Conflict {
        /// Version in force when the change was looked at.
        current: ConfigVersion,
        /// Request that made that version.
        winner: Arc<str>,
    },
    /// The resulting document would be invalid; nothing changed.
    Invalid {
        /// Every fault found.
        faults: Vec<DocumentFault>,
    },
}
