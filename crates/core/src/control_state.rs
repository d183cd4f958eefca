//! The replicated state machine of the configuration.
//!
//! Every control instance applies the same log entries in the same order, and
//! so holds the same document, the same moves and the same answers to resends.
//! Conflicts between concurrent changes are resolved only here, by the order of
//! the log.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::change::ChangeEntry;
use crate::change::ChangeOutcome;
use crate::change::ConfigChange;
use crate::change::EvacuationChange;
use crate::change::NumberedRevision;
use crate::departure::Departure;
use crate::departure::DepartureTable;
use crate::document::validate_edit;
use crate::document::DocumentFault;
use crate::document::EvacuationEntry;
use crate::document::FleetDocument;
use crate::fault_texts;
use crate::fault_texts::FaultTexts;
use crate::rollout::rollout_registry::RolloutRegistry;
use crate::version::ConfigVersion;

/// Maximum number of answers kept for resends: over five days of them at 13,000
/// changes a day. A request older than that is decided as a new one and refused
/// because of its expected version.
const ANSWERS_MAX: usize = 65_536;

/// Maximum number of accepted changes kept for display.
const HISTORY_MAX: usize = 1_000;

/// An accepted change, for the list of changes shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Version created by the change.
    pub version: ConfigVersion,
    /// Id of the request.
    pub request_id: Arc<str>,
    /// Leader's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Short description of the change.
    pub summary: String,
}

/// A version and its whole document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the document.
    pub version: ConfigVersion,
    /// The document; shared, so it is never edited in place.
    pub document: Arc<FleetDocument>,
}

/// State that every control instance derives from the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredState")]
pub struct ControlState {
    snapshot: ConfigSnapshot,
    winner: Arc<str>,
    answers: BTreeMap<Arc<str>, ChangeOutcome>,
    answer_order: VecDeque<Arc<str>>,
    /// Derived from the answers.
    #[serde(skip)]
    fault_texts: FaultTexts,
    history: VecDeque<AcceptedChange>,
    rollouts: RolloutRegistry,
    /// Number of the operators' revision in force; 0 before the first.
    revision: u64,
    #[serde(skip_serializing_if = "DepartureTable::is_empty")]
    departures: DepartureTable,
}

/// The stored form of the state.
#[derive(Deserialize)]
struct StoredState {
    snapshot: ConfigSnapshot,
    winner: Arc<str>,
    answers: BTreeMap<Arc<str>, ChangeOutcome>,
    answer_order: VecDeque<Arc<str>>,
    history: VecDeque<AcceptedChange>,
    #[serde(default)]
    rollouts: RolloutRegistry,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    departures: DepartureTable,
}

impl From<StoredState> for ControlState {
    fn from(stored: StoredState) -> Self {
        let fault_texts = FaultTexts::of_answers(&stored.answers, &stored.answer_order);
        Self {
            snapshot: stored.snapshot,
            winner: stored.winner,
            answers: stored.answers,
            answer_order: stored.answer_order,
            fault_texts,
            history: stored.history,
            rollouts: stored.rollouts,
            revision: stored.revision,
            departures: stored.departures,
        }
    }
}

impl ControlState {
    /// The configuration in force.
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Number of the operators' revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Running and past moves of backend server versions.
    pub fn rollouts(&self) -> &RolloutRegistry {
        &self.rollouts
    }

    /// Runs of backend servers that have departed.
    pub fn departures(&self) -> &DepartureTable {
        &self.departures
    }

    /// Keeps the departure of a backend server's run. The configuration stays as it is.
    pub fn record_departure(&mut self, departure: Departure) {
        self.departures.record(departure);
    }

    /// Accepted changes, newest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.history.iter()
    }

    /// Returns the first answer to a request, if it is still kept.
    pub fn answer(&self, request_id: &str) -> Option<&ChangeOutcome> {
        self.answers.get(request_id)
    }

    /// Applies the log entry at `version`. The result depends only on this
    /// entry and on those applied before it.
    pub fn apply(
        &mut self,
        version: ConfigVersion,
        entry: &ChangeEntry,
    ) -> ChangeOutcome {
        // An operator resends a request whose answer was lost, so the request
        // may be in the log twice and must not be applied twice. The first
        // answer is part of the state, so it survives a failover.
        if let Some(answer) = self.answers.get(&entry.request_id) {
            return answer.clone();
        }
        let outcome = self.decide(version, entry);
        if is_answer_kept(entry, &outcome) {
            self.keep_answer(&entry.request_id, &outcome);
        }
        outcome
    }

    fn decide(&mut self, version: ConfigVersion, entry: &ChangeEntry) -> ChangeOutcome {
        let current = self.snapshot.version;
        if entry.expected.is_some_and(|expected| expected != current)
            || self.is_on_stale_revision(&entry.change)
        {
            let winner = Arc::clone(&self.winner);
            return ChangeOutcome::Conflict { current, winner };
        }
        let document = match self.apply_edit(version, entry) {
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
        self.append_history(version, entry);
        ChangeOutcome::Accepted { version }
    }

    /// True if the change is a revision that does not build on the one in
    /// force.
    fn is_on_stale_revision(&self, change: &ConfigChange) -> bool {
        let ConfigChange::Revise(revision) = change else {
            return false;
        };
        revision.builds_on != self.revision
    }

    fn apply_edit(
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
        if let ConfigChange::Evacuate(change) = &entry.change {
            return edit_evacuations(document, change, version, entry.at_ms);
        }
        if let ConfigChange::Quarantine(change) = &entry.change {
            let mut edited = FleetDocument::clone(document);
            let applied = change.apply(&mut edited.quarantines, version, entry.at_ms);
            return applied.map(|()| edited).map_err(|fault| vec![fault]);
        }
        if let ConfigChange::Revise(revision) = &entry.change {
            check_revision_number(revision, self.revision)?;
        }
        self.rollouts
            .reconcile_edit(edit_document(document, &entry.change)?)
    }

    fn append_history(&mut self, version: ConfigVersion, entry: &ChangeEntry) {
        self.history.push_back(AcceptedChange {
            version,
            request_id: Arc::clone(&entry.request_id),
            at_ms: entry.at_ms,
            summary: entry.change.summary(),
        });
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
    }

    fn keep_answer(&mut self, request_id: &Arc<str>, outcome: &ChangeOutcome) {
        self.answers.insert(Arc::clone(request_id), outcome.clone());
        self.answer_order.push_back(Arc::clone(request_id));
        self.fault_texts.add(request_id, outcome);
        if self.answer_order.len() > ANSWERS_MAX {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
                self.fault_texts.remove(&oldest);
            }
        }
        while let Some(oldest) = self.fault_texts.pop_excess() {
            if let Some(answer) = self.answers.get_mut(&oldest) {
                *answer = fault_texts::without_texts();
            }
        }
    }
}

/// True if resends get this answer again.
///
/// A refused revision is decided again instead: the same request may be sent
/// again after the revision that it builds on has come into force.
fn is_answer_kept(entry: &ChangeEntry, outcome: &ChangeOutcome) -> bool {
    let revision = matches!(entry.change, ConfigChange::Revise(_));
    !revision || matches!(outcome, ChangeOutcome::Accepted { .. })
}

fn check_revision_number(
    revision: &NumberedRevision,
    current: u64,
) -> Result<(), Vec<DocumentFault>> {
    if revision.number > current {
        return Ok(());
    }
    Err(vec![DocumentFault {
        path: "number".to_owned(),
        problem: format!(
            "{} is not above {current}, which is in force",
            revision.number
        ),
    }])
}

/// Returns the document that a revision puts in force: `written`, with the
/// parts that operators do not write taken from the document in force,
/// `current`.
pub fn merge_revision(current: &FleetDocument, written: &FleetDocument) -> FleetDocument {
    let mut edited = written.clone();
    keep_service_versions(current, &mut edited);
    edited.holders = current.holders.clone();
    edited.controls = current.controls.clone();
    edited.evacuations = current.evacuations.clone();
    edited.quarantines = current.quarantines.clone();
    edited
}

/// Copies the versions of services from `document`, because a revision contains
/// none and must not undo a move.
fn keep_service_versions(document: &FleetDocument, edited: &mut FleetDocument) {
    for (name, spec) in &mut edited.services {
        let Some(current) = document.services.get(name) else {
            continue;
        };
        spec.version = Arc::clone(&current.version);
        spec.candidate = current.candidate.clone();
        spec.withdrawn = current.withdrawn.clone();
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

/// Returns the document after an order about an evacuation that is in the log at
/// `version`, or why it is refused.
fn edit_evacuations(
    document: &FleetDocument,
    change: &EvacuationChange,
    version: ConfigVersion,
    at_ms: u64,
) -> Result<FleetDocument, Vec<DocumentFault>> {
    let fault = |failure_domain: &Arc<str>, problem: &str| {
        let path = format!("evacuations.{failure_domain}");
        let problem = problem.to_owned();
        Err(vec![DocumentFault { path, problem }])
    };
    let mut edited = document.clone();
    match change {
        EvacuationChange::Start {
            failure_domain,
            operator,
            reason,
        } => {
            if document.is_evacuated(failure_domain) {
                return fault(failure_domain, "it is evacuated already");
            }
            let entry = EvacuationEntry {
                version,
                since_ms: at_ms,
                operator: Arc::clone(operator),
                reason: Arc::clone(reason),
            };
            edited.evacuations.insert(Arc::clone(failure_domain), entry);
        }
        EvacuationChange::End { failure_domain } => {
            if edited.evacuations.remove(failure_domain).is_none() {
                return fault(failure_domain, "it is not evacuated");
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

/// Returns the document after `change`, or all faults if the result is not a
/// valid document.
pub fn edit_document(
    document: &FleetDocument,
    change: &ConfigChange,
) -> Result<FleetDocument, Vec<DocumentFault>> {
    let mut edited = document.clone();
    match change {
        ConfigChange::Apply(whole) => {
            edited = whole.clone();
            // An operator's file does not contain the roster. Without it,
            // entry nodes would at once choose other holders, and a call
            // whose key is claimed at the old ones could run again.
            edited.holders = document.holders.clone();
            edited.controls = document.controls.clone();
            // A file that was written before an evacuation must not end it.
            edited.evacuations = document.evacuations.clone();
            edited.quarantines = document.quarantines.clone();
        }
        ConfigChange::Revise(revision) => {
            edited = revision.delta.edit(document);
            keep_service_versions(document, &mut edited);
        }
        ConfigChange::PinVersion { service, version } => {
            pin_version(&mut edited, service, version)?;
        }
        ConfigChange::SetHolders(roster) => edited.holders = roster.clone(),
        ConfigChange::SetControls(roster) => edited.controls = roster.clone(),
        ConfigChange::SetDefault { key, value } => edited.defaults.set(*key, *value),
        ConfigChange::AddException(entry) => edited.exceptions.push(entry.clone()),
        // Changes of a move are applied by the registry of moves instead,
        // evacuations by `edit_evacuations`, and quarantines by their table.
        ConfigChange::Move(_)
        | ConfigChange::Evacuate(_)
        | ConfigChange::Quarantine(_) => {}
        ConfigChange::RemoveException { id } => {
            let exceptions_before = edited.exceptions.len();
            edited.exceptions.retain(|entry| entry.id != *id);
            if edited.exceptions.len() == exceptions_before {
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
