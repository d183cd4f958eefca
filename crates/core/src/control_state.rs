//! The replicated state: what the agreed log makes of the configuration.
//!
//! Every control instance applies the same entries in the same order and so
//! holds the same document, the same moves and the same answers to resends.
//! Races are settled here, by the order of the log, and nowhere else.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::change::ChangeEntry;
use crate::change::ChangeOutcome;
use crate::change::ConfigChange;
use crate::change::NumberedRevision;
use crate::document::validate_edit;
use crate::document::DocumentFault;
use crate::document::FleetDocument;
use crate::rollout::rollout_registry::RolloutRegistry;
use crate::version::ConfigVersion;

/// Answers kept for resends. At 13,000 changes a day this is over five days
/// of them; older requests are answered as new ones, which their expected
/// version then refuses.
const ANSWERS_KEPT: usize = 65_536;

/// Accepted changes kept for display.
const HISTORY_KEPT: usize = 1_000;

/// An accepted change, for the list of moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version it made.
    pub version: ConfigVersion,
    /// Request that asked for it.
    pub request_id: Arc<str>,
    /// Leader's wall clock, milliseconds since 1970.
    pub at_ms: u64,
    /// What it changed, in a few words.
    pub summary: String,
}

/// A version and the whole document it stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document, shared and never edited in place.
    pub document: Arc<FleetDocument>,
}

/// State that every control instance derives from the agreed log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    snapshot: ConfigSnapshot,
    winner: Arc<str>,
    answers: BTreeMap<Arc<str>, ChangeOutcome>,
    answer_order: VecDeque<Arc<str>>,
    history: VecDeque<AcceptedChange>,
    #[serde(default)]
    rollouts: RolloutRegistry,
    /// Operators' number of the revision in force; 0 before the first.
    #[serde(default)]
    revision: u64,
}

impl ControlState {
    /// The configuration in force.
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Operators' number of the revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Moves of backend server versions.
    pub fn rollouts(&self) -> &RolloutRegistry {
        &self.rollouts
    }

    /// Accepted changes, the newest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.history.iter()
    }

    /// The first answer to a request that has already been decided.
    pub fn answer(&self, request_id: &str) -> Option<&ChangeOutcome> {
        self.answers.get(request_id)
    }

    /// Applies the log entry at `version`. The result depends on the entries
    /// applied before and on nothing else.
    pub fn apply(
        &mut self,
        version: ConfigVersion,
        entry: &ChangeEntry,
    ) -> ChangeOutcome {
        // Guards against a resend that reached the log twice, because its
        // first answer was lost: the operator would see two changes. The
        // first answer is kept with the state, so it holds after failover.
        if let Some(answer) = self.answers.get(&entry.request_id) {
            return answer.clone();
        }
        let outcome = self.decide(version, entry);
        if is_kept(entry, &outcome) {
            self.remember(&entry.request_id, &outcome);
        }
        outcome
    }

    fn decide(&mut self, version: ConfigVersion, entry: &ChangeEntry) -> ChangeOutcome {
        let current = self.snapshot.version;
        if entry.expected.is_some_and(|expected| expected != current)
            || self.is_outrun(&entry.change)
        {
            let winner = Arc::clone(&self.winner);
            return ChangeOutcome::Conflict { current, winner };
        }
        let document = match self.edited(version, entry) {
            Ok(document) => document,
            Err(faults) => return ChangeOutcome::Invalid { faults },
        };
        self.snapshot = ConfigSnapshot {
            version,
            document: Arc::new(document),
        };
        if let ConfigChange::Revise(revision) = &entry.change {
            self.revision = revision.number;
        }
        self.winner = Arc::clone(&entry.request_id);
        self.record(version, entry);
        ChangeOutcome::Accepted { version }
    }

    /// True for a revision on top of another one than is in force.
    fn is_outrun(&self, change: &ConfigChange) -> bool {
        let ConfigChange::Revise(revision) = change else {
            return false;
        };
        revision.builds_on != self.revision
    }

    fn edited(
        &mut self,
        version: ConfigVersion,
        entry: &ChangeEntry,
    ) -> Result<FleetDocument, Vec<DocumentFault>> {
        let document = &self.snapshot.document;
        if let ConfigChange::Move(change) = &entry.change {
            return self
                .rollouts
                .apply_change(version, entry.at_ms, document, change);
        }
        if let ConfigChange::Revise(revision) = &entry.change {
            check_number(revision, self.revision)?;
        }
        self.rollouts.reconcile_edit(edit(document, &entry.change)?)
    }

    fn record(&mut self, version: ConfigVersion, entry: &ChangeEntry) {
        self.history.push_back(AcceptedChange {
            version,
            request_id: Arc::clone(&entry.request_id),
            at_ms: entry.at_ms,
            summary: entry.change.summary(),
        });
        if self.history.len() > HISTORY_KEPT {
            self.history.pop_front();
        }
    }

    fn remember(&mut self, request_id: &Arc<str>, outcome: &ChangeOutcome) {
        self.answers.insert(Arc::clone(request_id), outcome.clone());
        self.answer_order.push_back(Arc::clone(request_id));
        if self.answer_order.len() <= ANSWERS_KEPT {
            return;
        }
        if let Some(oldest) = self.answer_order.pop_front() {
            self.answers.remove(&oldest);
        }
    }
}

/// Whether resends get this answer again.
///
/// A refused revision is judged anew instead: the same order may come once
/// more after the revision that it builds on has come into force.
fn is_kept(entry: &ChangeEntry, outcome: &ChangeOutcome) -> bool {
    let revision = matches!(entry.change, ConfigChange::Revise(_));
    !revision || matches!(outcome, ChangeOutcome::Accepted { .. })
}

fn check_number(
    revision: &NumberedRevision,
    held: u64,
) -> Result<(), Vec<DocumentFault>> {
    if revision.number > held {
        return Ok(());
    }
    Err(vec![DocumentFault {
        path: "number".to_owned(),
        problem: format!("{} is not above {held}, which is in force", revision.number),
    }])
}

/// The document of a revision as it will be in force: with what operators
/// do not write taken from the one in force.
pub fn merge_revision(held: &FleetDocument, written: &FleetDocument) -> FleetDocument {
    let mut edited = written.clone();
    keep_versions(held, &mut edited);
    edited.holders = held.holders.clone();
    edited
}

/// Versions of services are moved by moves alone: a revision names none.
fn keep_versions(document: &FleetDocument, edited: &mut FleetDocument) {
    for (name, spec) in &mut edited.services {
        let Some(held) = document.services.get(name) else {
            continue;
        };
        spec.version = Arc::clone(&held.version);
        spec.candidate = held.candidate.clone();
        spec.withdrawn = held.withdrawn.clone();
    }
}

fn pin_version(
    edited: &mut FleetDocument,
    service: &Arc<str>,
    version: &Arc<str>,
) -> Result<(), Vec<DocumentFault>> {
    let spec = edited.services.get_mut(service);
    let Some(spec) = spec.filter(|spec| spec.takes_any_version()) else {
        let path = format!("services.{service}.version");
        let problem = "its version is named already".to_owned();
        return Err(vec![DocumentFault { path, problem }]);
    };
    spec.version = Arc::clone(version);
    Ok(())
}

/// The document after `change`, validated whole, or every fault of it.
pub fn edit(
    document: &FleetDocument,
    change: &ConfigChange,
) -> Result<FleetDocument, Vec<DocumentFault>> {
    let mut edited = document.clone();
    match change {
        ConfigChange::Apply(whole) => {
            edited = whole.clone();
            // Guards against a file of an operator's that knows nothing of
            // the roster: entry nodes would draw other holders at once, and
            // a key claimed at the old ones could run again.
            edited.holders = document.holders.clone();
        }
        ConfigChange::Revise(revision) => {
            edited = revision.delta.edit(document);
            keep_versions(document, &mut edited);
        }
        ConfigChange::PinVersion { service, version } => {
            pin_version(&mut edited, service, version)?;
        }
        ConfigChange::SetHolders(roster) => edited.holders = roster.clone(),
        ConfigChange::SetDefault { key, value } => edited.defaults.set(*key, *value),
        ConfigChange::AddException(entry) => edited.exceptions.push(entry.clone()),
        // Moves edit the document by the record of the move.
        ConfigChange::Move(_) => {}
        ConfigChange::RemoveException { id } => {
            let held = edited.exceptions.len();
            edited.exceptions.retain(|entry| entry.id != *id);
            if edited.exceptions.len() == held {
                let path = "exceptions".to_owned();
                let problem = format!("no exception has the id {id:?}");
                return Err(vec![DocumentFault { path, problem }]);
            }
        }
    }
    let faults = validate_edit(document, &edited);
    if faults.is_empty() {
        Ok(edited)
    } else {
        Err(faults)
    }
}
