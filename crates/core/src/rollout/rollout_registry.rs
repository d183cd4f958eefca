//! All moves, as part of the replicated state.
//!
//! Every control instance holds the same records, so a new leader continues
//! from the last committed decision.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::document::validate;
use crate::document::CallContext;
use crate::document::CandidateShare;
use crate::document::DocumentFault;
use crate::document::FleetDocument;
use crate::document::ServiceSpec;
use crate::rollout::rollout_change::MoveChange;
use crate::rollout::rollout_change::MoveCounts;
use crate::rollout::rollout_record::ExposureBound;
use crate::rollout::rollout_record::RolloutEnd;
use crate::rollout::rollout_record::RolloutRecord;
use crate::rollout::rollout_record::ShareStep;
use crate::rollout::share_plan::FULL_SHARE;
use crate::rollout::share_plan::LAST_SHARE;
use crate::tuning::TuningKey;
use crate::version::ConfigVersion;

/// Maximum number of ended moves kept for display: about a week of
/// them for 440 services that each move once or twice.
const ENDED_MAX: usize = 512;

/// Maximum time window of a move: a week. A longer one is assumed to be a
/// typing mistake.
const MOVE_MS_MAX: u64 = 7 * 24 * 3_600 * 1_000;

/// All running moves, and the most recent ended ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRegistry {
    running: BTreeMap<Arc<str>, RolloutRecord>,
    over: VecDeque<RolloutRecord>,
}

type EditResult = Result<FleetDocument, Vec<DocumentFault>>;

fn refuse<T>(problem: String) -> Result<T, Vec<DocumentFault>> {
    let path = "move".to_owned();
    Err(vec![DocumentFault { path, problem }])
}

impl RolloutRegistry {
    /// Running moves, ordered by service.
    pub fn running(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.running.values()
    }

    /// All moves kept, ended ones first.
    pub fn all(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.over.iter().chain(self.running.values())
    }

    /// Applies a change of a move, accepted as `version` at `at_ms`. Returns
    /// the resulting document, or the faults for which the change is refused.
    pub fn apply_change(
        &mut self,
        version: ConfigVersion,
        at_ms: u64,
        document: &FleetDocument,
        change: &MoveChange,
    ) -> EditResult {
        match change {
            MoveChange::Start { .. } => self.start(version, at_ms, document, change),
            MoveChange::Step {
                rollout,
                share_per_mille,
            } => {
                let step = ShareStep {
                    version,
                    at_ms,
                    share_per_mille: *share_per_mille,
                };
                self.step(*rollout, step, document)
            }
            MoveChange::TakeBack {
                rollout,
                cause,
                counts,
            } => {
                let cause = cause.clone();
                let end = RolloutEnd::TakenBack { cause };
                self.end(*rollout, (version, at_ms), end, *counts, document)
            }
            MoveChange::Finish {
                rollout,
                waited,
                counts,
            } => {
                let waited = *waited;
                let end = RolloutEnd::Finished { waited };
                self.end(*rollout, (version, at_ms), end, *counts, document)
            }
        }
    }

    fn start(
        &mut self,
        version: ConfigVersion,
        at_ms: u64,
        document: &FleetDocument,
        change: &MoveChange,
    ) -> EditResult {
        let MoveChange::Start {
            service,
            to,
            due,
            reason,
            if_quiet,
        } = change
        else {
            return Ok(document.clone());
        };
        let spec = self.check_startable(service, to, document)?;
        let context = CallContext {
            service,
            route: "",
            failure_domain: "",
        };
        let least_ms = document.tuning(TuningKey::MoveLeastSeconds, &context) * 1_000;
        let due_ms = due.due_ms(at_ms);
        let given_ms = due_ms.saturating_sub(at_ms);
        if !(least_ms..=MOVE_MS_MAX).contains(&given_ms) {
            return refuse(format!(
                "the set time cannot be met: it gives {} s, and a move needs {} s at least \
                 and {} s at most",
                given_ms / 1_000,
                least_ms / 1_000,
                MOVE_MS_MAX / 1_000
            ));
        }
        let first = document.tuning(TuningKey::MoveFirstShare, &context) as u16;
        let record = RolloutRecord {
            rollout: version,
            service: Arc::clone(service),
            from: Arc::clone(&spec.version),
            to: Arc::clone(to),
            reason: reason.clone(),
            if_quiet: *if_quiet,
            step_calls: document.tuning(TuningKey::MoveStepCalls, &context),
            exposure: exposure_bound(document, &context),
            started_ms: at_ms,
            due_ms,
            steps: vec![ShareStep {
                version,
                at_ms,
                share_per_mille: first,
            }],
            end: None,
            ended: None,
            counts: MoveCounts::default(),
        };
        let edited = with_record(document, &record);
        let faults = validate(&edited);
        if !faults.is_empty() {
            return Err(faults);
        }
        self.running.insert(Arc::clone(service), record);
        Ok(edited)
    }

    fn check_startable<'a>(
        &self,
        service: &str,
        to: &str,
        document: &'a FleetDocument,
    ) -> Result<&'a ServiceSpec, Vec<DocumentFault>> {
        if let Some(running) = self.running.get(service) {
            return refuse(format!(
                "move {} of {service} to {} is in progress; wait for it or take it back",
                running.rollout, running.to
            ));
        }
        let Some(spec) = document.services.get(service) else {
            return refuse(format!("no service {service:?} in the document"));
        };
        if *spec.version == *to {
            return refuse(format!("{service} is at version {to} already"));
        }
        if let Some(candidate) = &spec.candidate {
            return refuse(format!(
                "{service} has candidate {} set by hand; remove it from the document first",
                candidate.version
            ));
        }
        Ok(spec)
    }

    fn find_running(
        &mut self,
        rollout: ConfigVersion,
    ) -> Result<&mut RolloutRecord, Vec<DocumentFault>> {
        let running = self
            .running
            .values_mut()
            .find(|running| running.rollout == rollout);
        match running {
            Some(running) => Ok(running),
            None => refuse(format!("no move {rollout} is in progress")),
        }
    }

    fn step(
        &mut self,
        rollout: ConfigVersion,
        step: ShareStep,
        document: &FleetDocument,
    ) -> EditResult {
        let running = self.find_running(rollout)?;
        let share = step.share_per_mille;
        // A late step from a replaced leader would lower the share again.
        if share <= running.share() || share > FULL_SHARE {
            return refuse(format!(
                "move {rollout} is at share {} of {FULL_SHARE}; a step goes above it",
                running.share()
            ));
        }
        running.steps.push(step);
        Ok(with_record(document, running))
    }

    fn end(
        &mut self,
        rollout: ConfigVersion,
        ended: (ConfigVersion, u64),
        end: RolloutEnd,
        counts: MoveCounts,
        document: &FleetDocument,
    ) -> EditResult {
        let running = self.find_running(rollout)?;
        let finished = matches!(end, RolloutEnd::Finished { .. });
        if finished && running.share() < LAST_SHARE {
            return refuse(format!(
                "move {rollout} is at share {} of {FULL_SHARE}; it finishes at {LAST_SHARE}",
                running.share()
            ));
        }
        running.end = Some(end);
        running.ended = Some(ended);
        running.counts = counts;
        let edited = with_record(document, running);
        let service = Arc::clone(&running.service);
        if let Some(record) = self.running.remove(&service) {
            self.over.push_back(record);
        }
        if self.over.len() > ENDED_MAX {
            self.over.pop_front();
        }
        Ok(edited)
    }

    /// Reconciles an operator's direct edit with the running moves. A service
    /// under a move keeps its candidate; an edit that conflicts with the move
    /// is refused.
    pub fn reconcile_edit(&self, mut edited: FleetDocument) -> EditResult {
        let mut faults = self.stale_candidates(&edited);
        for running in self.running.values() {
            let path = format!("services.{}", running.service);
            let Some(spec) = edited.services.get(&running.service) else {
                faults.push(DocumentFault {
                    path,
                    problem: format!("move {} needs this service", running.rollout),
                });
                continue;
            };
            let candidate = spec.candidate.as_ref();
            let same = candidate.is_none_or(|candidate| candidate.version == running.to);
            if spec.version != running.from || !same {
                let problem = format!(
                    "move {} to {} is in progress; wait for it or take it back",
                    running.rollout, running.to
                );
                faults.push(DocumentFault { path, problem });
                continue;
            }
            edited = with_record(&edited, running);
        }
        if faults.is_empty() {
            Ok(edited)
        } else {
            Err(faults)
        }
    }
}

impl RolloutRegistry {
    /// Returns a fault for each candidate of a move that is over. A file
    /// printed during a move and applied after it would otherwise put a
    /// withdrawn version back into service.
    fn stale_candidates(&self, edited: &FleetDocument) -> Vec<DocumentFault> {
        let mut faults = Vec::new();
        for (service, spec) in &edited.services {
            let Some(candidate) = &spec.candidate else {
                continue;
            };
            if candidate.rollout.is_zero() || self.running.contains_key(service) {
                continue;
            }
            faults.push(DocumentFault {
                path: format!("services.{service}.candidate"),
                problem: format!(
                    "move {} is over; leave the candidate out, or start another move",
                    candidate.rollout
                ),
            });
        }
        faults
    }
}

fn exposure_bound(
    document: &FleetDocument,
    context: &CallContext<'_>,
) -> Option<ExposureBound> {
    let percent = document.tuning(TuningKey::MoveExposure, context);
    let calls = document.tuning(TuningKey::MoveExposureCalls, context);
    (percent > 0).then_some(ExposureBound { percent, calls })
}

fn withdrawn(spec: &ServiceSpec, version: &Arc<str>) -> Vec<Arc<str>> {
    let mut withdrawn = spec.withdrawn.clone();
    if !withdrawn.contains(version) {
        withdrawn.push(Arc::clone(version));
    }
    withdrawn
}

/// Returns the document with the service set to the state of `record`.
fn with_record(document: &FleetDocument, record: &RolloutRecord) -> FleetDocument {
    let mut edited = document.clone();
    let before = edited.services.remove(&record.service).unwrap_or_default();
    let candidate = CandidateShare {
        version: Arc::clone(&record.to),
        share_per_mille: record.share(),
        rollout: record.rollout,
    };
    let spec = match record.end {
        None => ServiceSpec {
            version: Arc::clone(&record.from),
            candidate: Some(candidate),
            ..before
        },
        Some(RolloutEnd::Finished { .. }) => ServiceSpec {
            version: Arc::clone(&record.to),
            candidate: None,
            withdrawn: Vec::new(),
            ..before
        },
        Some(RolloutEnd::TakenBack { .. }) => ServiceSpec {
            version: Arc::clone(&record.from),
            candidate: None,
            withdrawn: withdrawn(&before, &record.to),
            ..before
        },
    };
    edited.services.insert(Arc::clone(&record.service), spec);
    edited
}
