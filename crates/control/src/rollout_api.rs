//! Operators' requests about moves: checks changes before they are proposed, and
//! reports the state of moves.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::move_tracker::MoveProgress;
use cowslip_core::move_tracker::MoveState;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_record::RolloutEnd;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_core::rollout::start_check;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::evidence_messages::RolloutLine;
use cowslip_wire::evidence_messages::RolloutsCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementHandle;
use crate::agreement_task::AgreementMessage;
use crate::fanout_task::FanoutMessage;
use crate::fanout_task::VersionProgress;
use crate::rollout_task::RolloutCourse;
use crate::rollout_task::RolloutHandle;
use crate::rollout_task::RolloutMessage;

/// Handles operators' requests about moves.
#[derive(Clone)]
pub struct RolloutApi {
    /// The agreement task.
    pub agreement: AgreementHandle,
    /// The fan-out task, which knows the nodes and the directory.
    pub fanout: mpsc::Sender<FanoutMessage>,
    /// The rollout task.
    pub rollouts: RolloutHandle,
}

impl RolloutApi {
    /// Checks an operator's move change against the directory and sets its time.
    /// For a move that is taken back, also sets the current counts. Returns the
    /// answer as `Err` if the change is refused. Other changes pass unchecked, as
    /// do all changes if this instance does not lead.
    pub async fn prepare_change(
        &self,
        entry: &mut ChangeEntry,
    ) -> Result<(), ChangeOutcome> {
        let leading = self.agreement.leader.borrow().is_leading();
        let ConfigChange::Move(change) = &mut entry.change else {
            return Ok(());
        };
        if !leading {
            return Ok(());
        }
        // The leader's clock replaces the operator's: a wrong operator clock
        // would make the time of the move too short or too long.
        entry.at_ms = wall_clock::millis();
        let (reply, answer) = oneshot::channel();
        let asked = self.fanout.send(FanoutMessage::Endpoints(reply)).await;
        let servers = answer.await.unwrap_or_default();
        let checked = start_check::check(change, servers.iter());
        if let (Ok(()), Err(fault)) = (asked, checked) {
            if self.is_resend(&entry.request_id).await {
                return Ok(());
            }
            let faults = vec![fault];
            return Err(ChangeOutcome::Invalid { faults });
        }
        if let MoveChange::TakeBack {
            rollout, counts, ..
        } = change
        {
            *counts = self.course(*rollout).await.counts;
        }
        Ok(())
    }

    /// Returns true if a change with this request ID was accepted before. A
    /// resend must get the first answer, which is in the log, even if the
    /// directory has changed since and the check would now fail.
    async fn is_resend(&self, request_id: &str) -> bool {
        let (reply, answer) = oneshot::channel();
        let message = AgreementMessage::History(reply);
        if self.agreement.task.send(message).await.is_err() {
            return false;
        }
        let Ok(LeaderAnswer::Answered(changes)) = answer.await else {
            return false;
        };
        changes
            .iter()
            .any(|change| *change.request_id == *request_id)
    }

    async fn course(&self, rollout: ConfigVersion) -> RolloutCourse {
        let (reply, answer) = oneshot::channel();
        let message = RolloutMessage::Course(rollout, reply);
        // Fails only at shutdown: the task runs as long as the process.
        let _ = self.rollouts.send(message).await;
        answer.await.unwrap_or_default()
    }

    /// Returns the moves that match the call; `None` at shutdown.
    pub async fn lines(
        &self,
        call: RolloutsCall,
    ) -> Option<LeaderAnswer<Vec<RolloutLine>>> {
        let (reply, answer) = oneshot::channel();
        let message = AgreementMessage::Rollouts(reply);
        self.agreement.task.send(message).await.ok()?;
        let records = match answer.await.ok()? {
            LeaderAnswer::Answered(records) => records,
            LeaderAnswer::NotLeader(leader) => {
                return Some(LeaderAnswer::NotLeader(leader))
            }
            LeaderAnswer::Unknown => return Some(LeaderAnswer::Unknown),
        };
        let mut lines = Vec::new();
        for record in records {
            let rollout_matches = call
                .rollout
                .is_none_or(|requested| requested == record.rollout);
            let service = call.service.as_ref();
            let service_matches =
                service.is_none_or(|requested| *requested == record.service);
            if rollout_matches && service_matches {
                lines.push(self.line(record, call.course).await?);
            }
        }
        Some(LeaderAnswer::Answered(lines))
    }

    async fn line(
        &self,
        record: RolloutRecord,
        with_course: bool,
    ) -> Option<RolloutLine> {
        let course = self.course(record.rollout).await;
        let (reply, answer) = oneshot::channel();
        let message = FanoutMessage::Progress(record.last_version(), reply);
        self.fanout.send(message).await.ok()?;
        let progress = answer.await.ok()?;
        Some(line(record, course, progress, with_course))
    }
}

fn line(
    record: RolloutRecord,
    course: RolloutCourse,
    progress: VersionProgress,
    with_course: bool,
) -> RolloutLine {
    let counts = match record.end {
        Some(_) => record.counts,
        None => course.counts,
    };
    let state = state(&record, &progress.progress);
    let ended_after_ms = record
        .ended
        .map(|(_, at_ms)| at_ms.saturating_sub(record.started_ms));
    let propagation_ms = match state {
        MoveState::Done => progress.done_after_ms,
        MoveState::InProgress | MoveState::TakenBack => Some(0),
    };
    let is_over = state != MoveState::InProgress;
    let after = ended_after_ms.filter(|_| is_over);
    RolloutLine {
        ended_after_ms: after.map(|after| after + propagation_ms.unwrap_or(0)),
        state,
        nodes: progress.progress,
        counts,
        wait: course.wait.filter(|_| record.end.is_none()),
        course: if with_course {
            course.points
        } else {
            Vec::new()
        },
        record,
    }
}

/// Returns the state of a move. A finished move is done only once every live
/// node routes by its final version.
fn state(record: &RolloutRecord, nodes: &MoveProgress) -> MoveState {
    match record.end {
        None => MoveState::InProgress,
        Some(RolloutEnd::TakenBack { .. }) => MoveState::TakenBack,
        Some(RolloutEnd::Finished { .. }) => nodes.state,
    }
}
