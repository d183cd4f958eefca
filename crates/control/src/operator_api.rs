//! Operations of an operator interface: numbered revisions of the whole
//! document, moves of backend server versions, and evacuations.
//!
//! Only the leader decides. Every request may be repeated: a revision that was
//! accepted is answered as accepted, however many revisions followed, and a
//! move that is running or was started recently is not started again.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::EvacuationChange;
use cowslip_core::change::NumberedRevision;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_state::merge_revision;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::validate_edit;
use cowslip_core::document::DocumentFault;
use cowslip_core::document::FleetDocument;
use cowslip_core::move_tracker::MoveState;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_change::MoveDue;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_core::rollout::share_plan::QuietChoice;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::evidence_messages::RolloutLine;
use cowslip_wire::evidence_messages::RolloutsCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementMessage;
use crate::agreement_task::CurrentRevision;
use crate::evacuation_api::EvacuationApi;
use crate::rollout_api::RolloutApi;

/// How long after the start of an ended move a repeated request counts as a
/// resend. Operators' programs resend for some seconds. A later request is a new
/// move to the same version, made after the version has been repaired.
const RESEND_WINDOW: Duration = Duration::from_secs(10);

/// A request to put an operator's whole document in force under a number.
#[derive(Clone, Debug)]
pub struct RevisionRequest {
    /// Request ID derived from the content, so that a resend is recognized.
    pub request_id: Arc<str>,
    /// Number of the new revision.
    pub number: u64,
    /// Number of the revision that it builds on; 0 for the first.
    pub builds_on: u64,
    /// The operator's document.
    pub document: FleetDocument,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Accepted, now or earlier.
    Accepted,
    /// The revision in force is not the one that the request builds on.
    Conflict,
    /// The request cannot be carried out, for these reasons.
    Invalid(Vec<DocumentFault>),
}

/// A request to move a service to a new version.
#[derive(Clone, Debug)]
pub struct MoveRequest {
    /// Service to move.
    pub service: Arc<str>,
    /// The new version.
    pub target: Arc<str>,
    /// Time within which the new version must have taken over.
    pub within: Duration,
}

/// Status of a move.
#[derive(Clone, Debug)]
pub struct MoveStatus {
    /// The new version.
    pub target: Arc<str>,
    /// State of the move.
    pub state: MoveState,
}

/// Handles operators' requests at one control instance.
pub struct OperatorApi {
    rollout_api: RolloutApi,
    evacuation_api: EvacuationApi,
}

impl OperatorApi {
    /// Creates an API over the same tasks as the two APIs.
    pub fn new(rollout_api: RolloutApi, evacuation_api: EvacuationApi) -> Self {
        Self {
            rollout_api,
            evacuation_api,
        }
    }

    /// Returns the configuration in force if this instance leads.
    pub async fn current(&self) -> LeaderAnswer<CurrentRevision> {
        self.current_with_answer("".into()).await
    }

    async fn current_with_answer(
        &self,
        request_id: Arc<str>,
    ) -> LeaderAnswer<CurrentRevision> {
        self.ask(|reply| AgreementMessage::Current(request_id, reply))
            .await
    }

    /// Returns the outcome of a request that builds on `builds_on` if it is known
    /// without the document. Otherwise the document must be read.
    ///
    /// Load pattern: several operators send requests at once, each with a
    /// document of hundreds of kilobytes, and resend them to any instance. If
    /// every instance that gets them decoded and validated the documents, a small
    /// instance would spend all its CPU time on them for seconds and lose its
    /// leader lease.
    pub async fn precheck(
        &self,
        request_id: &Arc<str>,
        builds_on: u64,
    ) -> LeaderAnswer<Option<RequestOutcome>> {
        let current = self.current_with_answer(Arc::clone(request_id)).await;
        let current = match current.answered() {
            Ok(current) => current,
            Err(other) => return other,
        };
        LeaderAnswer::Answered(early_outcome(&current, builds_on))
    }

    /// Puts a revision in force, or returns why it was refused.
    pub async fn revise(&self, request: RevisionRequest) -> LeaderAnswer<RequestOutcome> {
        let id = Arc::clone(&request.request_id);
        let current = match self.current_with_answer(id).await.answered() {
            Ok(current) => current,
            Err(other) => return other,
        };
        if let Some(outcome) = early_outcome(&current, request.builds_on) {
            return LeaderAnswer::Answered(outcome);
        }
        let revision = match build_revision(&request, &current) {
            Ok(revision) => revision,
            Err(faults) => {
                return LeaderAnswer::Answered(RequestOutcome::Invalid(faults))
            }
        };
        let change = ConfigChange::Revise(Box::new(revision));
        self.propose(request.request_id, change).await
    }

    async fn propose(
        &self,
        request_id: Arc<str>,
        change: ConfigChange,
    ) -> LeaderAnswer<RequestOutcome> {
        let entry = ChangeEntry {
            request_id,
            expected: None,
            at_ms: wall_clock::millis(),
            change,
        };
        let answer = self
            .ask(|reply| AgreementMessage::Change(Box::new(entry), reply))
            .await;
        match answer.answered() {
            Ok(outcome) => LeaderAnswer::Answered(request_outcome(outcome)),
            Err(other) => other,
        }
    }

    /// Starts a move. Servers of the new version may announce themselves later.
    pub async fn start_move(&self, request: MoveRequest) -> LeaderAnswer<RequestOutcome> {
        let current = match self.current().await.answered() {
            Ok(current) => current,
            Err(other) => return other,
        };
        let spec = current.snapshot.document.services.get(&request.service);
        if spec.is_some_and(|spec| spec.takes_any_version()) {
            // The version that would be replaced is not known yet.
            return LeaderAnswer::Unknown;
        }
        let earlier = match self.moves_like(&request).await.answered() {
            Ok(earlier) => earlier,
            Err(other) => return other,
        };
        if earlier.last().is_some_and(is_resend) {
            return LeaderAnswer::Answered(RequestOutcome::Accepted);
        }
        let change = MoveChange::Start {
            service: Arc::clone(&request.service),
            to: Arc::clone(&request.target),
            due: MoveDue::Within(request.within.as_millis() as u64),
            reason: String::new(),
            if_quiet: QuietChoice::Finish,
        };
        let id = move_request_id(&request, earlier.len(), current.snapshot.version);
        let answer = self.propose(id.into(), ConfigChange::Move(change)).await;
        if !matches!(answer, LeaderAnswer::Answered(RequestOutcome::Invalid(_))) {
            return answer;
        }
        // The same order may have been accepted under another ID, if another
        // change came into force after it was sent for the first time.
        match self.moves_like(&request).await.answered() {
            Ok(moves) if moves.last().is_some_and(is_resend) => {
                LeaderAnswer::Answered(RequestOutcome::Accepted)
            }
            Ok(_) => answer,
            Err(other) => other,
        }
    }

    /// Returns the moves of the request's service to its target, oldest first.
    async fn moves_like(
        &self,
        request: &MoveRequest,
    ) -> LeaderAnswer<Vec<RolloutRecord>> {
        let mut records = match self.ask(AgreementMessage::Rollouts).await.answered() {
            Ok(records) => records,
            Err(other) => return other,
        };
        records.retain(|record| {
            record.service == request.service && record.to == request.target
        });
        LeaderAnswer::Answered(records)
    }

    /// Carries out an order about an evacuation. An order that is in force already
    /// is accepted.
    pub async fn evacuate(
        &self,
        change: EvacuationChange,
    ) -> LeaderAnswer<RequestOutcome> {
        let current = match self.current().await.answered() {
            Ok(current) => current,
            Err(other) => return other,
        };
        // An evacuated domain exists, even if the settings no longer name it.
        let document = &current.snapshot.document;
        if !document.is_evacuated(change.failure_domain()) {
            if let Err(fault) = self.evacuation_api.check(&change).await {
                return LeaderAnswer::Answered(RequestOutcome::Invalid(vec![fault]));
            }
        }
        if is_in_force(&current, &change) {
            return LeaderAnswer::Answered(RequestOutcome::Accepted);
        }
        // The version tells a resend from the same order after a later one.
        let version = current.snapshot.version;
        let id = match &change {
            EvacuationChange::Start { failure_domain, .. } => {
                format!("evacuate-{failure_domain}-{version}")
            }
            EvacuationChange::End { failure_domain } => {
                format!("end-evacuation-{failure_domain}-{version}")
            }
        };
        let proposed = ConfigChange::Evacuate(change.clone());
        let outcome = self.propose(id.into(), proposed).await;
        let refused =
            matches!(outcome, LeaderAnswer::Answered(RequestOutcome::Invalid(_)));
        if !refused {
            return outcome;
        }
        // A resend at another version may have been carried out meanwhile.
        match self.current().await.answered() {
            Ok(current) if is_in_force(&current, &change) => {
                LeaderAnswer::Answered(RequestOutcome::Accepted)
            }
            Ok(_) => outcome,
            Err(other) => other,
        }
    }

    /// Returns the status of a service's latest move; `None` if it had none.
    pub async fn last_move(&self, service: Arc<str>) -> LeaderAnswer<Option<MoveStatus>> {
        let call = RolloutsCall {
            service: Some(service),
            rollout: None,
            course: false,
        };
        match self.rollout_api.lines(call).await {
            Some(LeaderAnswer::Answered(lines)) => {
                LeaderAnswer::Answered(latest_line(lines).map(|line| MoveStatus {
                    target: line.record.to,
                    state: line.state,
                }))
            }
            Some(LeaderAnswer::NotLeader(leader)) => LeaderAnswer::NotLeader(leader),
            Some(LeaderAnswer::Unknown) | None => LeaderAnswer::Unknown,
        }
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<LeaderAnswer<T>>) -> AgreementMessage,
    ) -> LeaderAnswer<T> {
        let (reply, answer) = oneshot::channel();
        let sent = self.rollout_api.agreement.task.send(message(reply)).await;
        if sent.is_err() {
            return LeaderAnswer::Unknown;
        }
        // The task drops the reply channel only at shutdown.
        answer.await.unwrap_or(LeaderAnswer::Unknown)
    }
}

/// True if the configuration is already as the order asks.
fn is_in_force(current: &CurrentRevision, change: &EvacuationChange) -> bool {
    let document = &current.snapshot.document;
    let evacuated = document.is_evacuated(change.failure_domain());
    match change {
        EvacuationChange::Start { .. } => evacuated,
        EvacuationChange::End { .. } => !evacuated,
    }
}

/// Returns the outcome of a request if it is known without its document.
fn early_outcome(current: &CurrentRevision, builds_on: u64) -> Option<RequestOutcome> {
    if let Some(ChangeOutcome::Accepted { .. }) = current.answer {
        return Some(RequestOutcome::Accepted);
    }
    (builds_on != current.number).then_some(RequestOutcome::Conflict)
}

fn latest_line(lines: Vec<RolloutLine>) -> Option<RolloutLine> {
    lines.into_iter().max_by_key(|line| line.record.rollout)
}

/// Request ID of a move that follows `earlier` moves to the same version. A refused
/// request gets the same answer for as long as its ID stays the same, so the ID names
/// all that the answer depends on: what is asked, and the configuration in force.
fn move_request_id(
    request: &MoveRequest,
    earlier: usize,
    current: ConfigVersion,
) -> String {
    let MoveRequest {
        service,
        target,
        within,
    } = request;
    let within_ms = within.as_millis();
    format!("move-{service}-to-{target}-{earlier}-within-{within_ms}-at-{current}")
}

fn is_resend(record: &RolloutRecord) -> bool {
    let started = Duration::from_millis(record.started_ms);
    let recent = wall_clock::since_epoch() < started + RESEND_WINDOW;
    record.end.is_none() || recent
}

fn request_outcome(outcome: ChangeOutcome) -> RequestOutcome {
    match outcome {
        ChangeOutcome::Accepted { .. } => RequestOutcome::Accepted,
        ChangeOutcome::Conflict { .. } => RequestOutcome::Conflict,
        ChangeOutcome::Invalid { faults } => RequestOutcome::Invalid(faults),
    }
}

/// Builds the revision as the difference between the configuration in force and
/// the requested document.
fn build_revision(
    request: &RevisionRequest,
    current: &CurrentRevision,
) -> Result<NumberedRevision, Vec<DocumentFault>> {
    let snapshot = &current.snapshot;
    let target = merge_revision(&snapshot.document, &request.document);
    let faults = validate_edit(&snapshot.document, &target);
    if !faults.is_empty() {
        return Err(faults);
    }
    let target = ConfigSnapshot {
        version: snapshot.version,
        document: Arc::new(target),
    };
    // No digest is needed: the number identifies the revision that the delta
    // applies to.
    let delta = ConfigDelta::between(snapshot, &target, ConfigDigest::default());
    let delta = delta.ok_or_else(|| {
        vec![DocumentFault {
            path: "(document)".to_owned(),
            problem: "it holds parts that cannot be told as a difference".to_owned(),
        }]
    })?;
    Ok(NumberedRevision {
        number: request.number,
        builds_on: request.builds_on,
        delta,
    })
}
