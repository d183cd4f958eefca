//! Task that moves services to new backend server versions.
//!
//! On the leader it collects the nodes' counts, lets a [`RolloutDriver`] decide
//! on each move and proposes the resulting changes to the agreement. On other
//! instances it forwards the counts to the leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::document::FleetDocument;
use cowslip_core::move_tracker::NodeReport;
use cowslip_core::rollout::evidence::EvidenceReport;
use cowslip_core::rollout::evidence_totals::EvidenceTotals;
use cowslip_core::rollout::fleet_snapshot::FleetMonitor;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_change::MoveCounts;
use cowslip_core::rollout::rollout_change::StepWait;
use cowslip_core::rollout::rollout_driver::CoursePoint;
use cowslip_core::rollout::rollout_driver::RolloutDriver;
use cowslip_core::rollout::rollout_driver::DRIVER_INTERVAL;
use cowslip_core::rollout::rollout_judge::JudgeInputs;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::evidence_messages::EvidenceCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementHandle;
use crate::agreement_task::AgreementMessage;
use crate::fanout_task::FanoutMessage;
use crate::leader_forward;

/// Capacity of the task's queue. While it is full, senders wait. A report that
/// is lost needs no resending: counts are cumulative, so the node's next report
/// includes them.
const QUEUE_CAPACITY: usize = 4_096;

/// Interval at which collected counts are forwarded to the leader, so that the
/// 290 nodes of a relay cause only ten messages a second.
const FORWARD_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a proposal; after it, the change may be proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the counts of a node that no longer reports are kept once its moves
/// have ended.
const REPORT_RETENTION: Duration = Duration::from_secs(600);

/// Number of ended moves whose courses are kept for plots.
const ENDED_COURSES_MAX: usize = 64;

/// A message to the rollout task.
#[derive(Debug)]
pub enum RolloutMessage {
    /// Delivers counts of nodes.
    Evidence(EvidenceCall),
    /// Returns what this leader knows of a move in addition to its record.
    Course(ConfigVersion, oneshot::Sender<RolloutCourse>),
}

/// What a leader knows of a move in addition to its record.
#[derive(Clone, Debug, Default)]
pub struct RolloutCourse {
    /// Reason why the move waits with its next step.
    pub wait: Option<StepWait>,
    /// Counts of calls so far.
    pub counts: MoveCounts,
    /// Share of the new version and evidence over time.
    pub points: Vec<CoursePoint>,
}

/// Channel to the running task.
pub type RolloutHandle = mpsc::Sender<RolloutMessage>;

// Times are wall-clock times: moves outlive leaders, so they cannot be relative
// to the start of one process.
struct RolloutTask {
    instance: Arc<str>,
    agreement: AgreementHandle,
    fanout: mpsc::Sender<FanoutMessage>,
    client: PeerClient,
    leading: bool,
    totals: EvidenceTotals,
    monitor: FleetMonitor,
    drivers: BTreeMap<ConfigVersion, RolloutDriver>,
    courses: BTreeMap<ConfigVersion, RolloutCourse>,
    pending_reports: BTreeMap<Arc<str>, EvidenceReport>,
    proposing: BTreeSet<ConfigVersion>,
    proposal_done: mpsc::UnboundedSender<ConfigVersion>,
}

/// Starts the task.
pub fn spawn(
    instance: Arc<str>,
    agreement: AgreementHandle,
    fanout: mpsc::Sender<FanoutMessage>,
    client: PeerClient,
) -> RolloutHandle {
    let (proposal_done, proposals_done) = mpsc::unbounded_channel();
    let task = RolloutTask {
        instance,
        agreement,
        fanout,
        client,
        leading: false,
        totals: EvidenceTotals::default(),
        monitor: FleetMonitor::default(),
        drivers: BTreeMap::new(),
        courses: BTreeMap::new(),
        pending_reports: BTreeMap::new(),
        proposing: BTreeSet::new(),
        proposal_done,
    };
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    actix_rt::spawn(task.run(receiver, proposals_done));
    sender
}

impl RolloutTask {
    async fn run(
        mut self,
        mut receiver: mpsc::Receiver<RolloutMessage>,
        mut proposals_done: mpsc::UnboundedReceiver<ConfigVersion>,
    ) {
        let mut evaluate_tick = actix_rt::time::interval(DRIVER_INTERVAL);
        let mut forward_tick = actix_rt::time::interval(FORWARD_INTERVAL);
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(rollout) = proposals_done.recv() => {
                    self.proposing.remove(&rollout);
                }
                _ = evaluate_tick.tick() => self.evaluate_moves().await,
                _ = forward_tick.tick() => self.forward_reports(),
            }
        }
    }

    fn handle_message(&mut self, message: RolloutMessage) {
        match message {
            RolloutMessage::Evidence(call) => {
                let leading = self.agreement.leader.borrow().is_leading();
                for report in call.reports {
                    if leading {
                        self.totals.record_report(wall_clock::since_epoch(), report);
                    } else {
                        self.queue_report(report);
                    }
                }
            }
            RolloutMessage::Course(rollout, reply) => {
                let course = self.courses.get(&rollout);
                let _ = reply.send(course.cloned().unwrap_or_default());
            }
        }
    }

    fn queue_report(&mut self, report: EvidenceReport) {
        let pending = self.pending_reports.get(&report.node);
        let order = (report.incarnation, report.sequence);
        if pending.is_none_or(|pending| (pending.incarnation, pending.sequence) < order) {
            self.pending_reports
                .insert(Arc::clone(&report.node), report);
        }
    }

    /// Forwards the pending reports to the leader. Lost reports are not resent,
    /// because the nodes' next reports include their counts.
    fn forward_reports(&mut self) {
        let view = *self.agreement.leader.borrow();
        if view.is_leading() {
            for (_, report) in std::mem::take(&mut self.pending_reports) {
                self.totals.record_report(wall_clock::since_epoch(), report);
            }
            return;
        }
        let Some(address) = view.address else {
            return;
        };
        if self.pending_reports.is_empty() {
            return;
        }
        let reports = std::mem::take(&mut self.pending_reports)
            .into_values()
            .collect();
        let call = EvidenceCall { reports };
        leader_forward::spawn(self.client.clone(), address, call, "evidence-failed");
    }

    async fn evaluate_moves(&mut self) {
        let view = *self.agreement.leader.borrow();
        if !view.is_leading() {
            // A lease that has expired for a moment does not end the leadership.
            if view.lease_until.is_none() {
                self.step_down();
            }
            return;
        }
        self.leading = true;
        let Some(records) = self.running_moves().await else {
            return;
        };
        self.forget_ended(&records);
        if records.is_empty() {
            return;
        }
        let Some((mut servers, nodes)) = self.fleet_state().await else {
            return;
        };
        let Some(document) = self.document().await else {
            return;
        };
        // Servers that get no calls must not make a move look ready to go on.
        servers.retain(|server| !document.is_evacuated(&server.failure_domain));
        let now = wall_clock::since_epoch();
        self.totals.refresh_pending(now);
        self.monitor.record_servers(now, servers.iter());
        for record in &records {
            self.evaluate_move(now, record, &servers, &nodes);
        }
    }

    /// Discards all counts and decisions when leadership ends, so that a later
    /// leadership of this instance does not use outdated ones. Nodes report
    /// cumulative counts, so the next leader gets all of them again.
    fn step_down(&mut self) {
        if !self.leading {
            return;
        }
        self.leading = false;
        self.totals = EvidenceTotals::default();
        self.monitor = FleetMonitor::default();
        self.drivers.clear();
        self.courses.clear();
    }

    async fn running_moves(&self) -> Option<Vec<RolloutRecord>> {
        let (reply, answer) = oneshot::channel();
        let message = AgreementMessage::Rollouts(reply);
        self.agreement.task.send(message).await.ok()?;
        let LeaderAnswer::Answered(mut records) = answer.await.ok()? else {
            return None;
        };
        records.retain(|record| record.end.is_none());
        Some(records)
    }

    async fn document(&self) -> Option<Arc<FleetDocument>> {
        let (reply, answer) = oneshot::channel();
        let message = AgreementMessage::Current("".into(), reply);
        self.agreement.task.send(message).await.ok()?;
        match answer.await.ok()? {
            LeaderAnswer::Answered(current) => Some(current.snapshot.document),
            LeaderAnswer::NotLeader(_) | LeaderAnswer::Unknown => None,
        }
    }

    async fn fleet_state(&self) -> Option<(Vec<EndpointRecord>, Vec<NodeReport>)> {
        let (reply, servers) = oneshot::channel();
        let message = FanoutMessage::Endpoints(reply);
        self.fanout.send(message).await.ok()?;
        let (reply, status) = oneshot::channel();
        self.fanout.send(FanoutMessage::Status(reply)).await.ok()?;
        let lines = status.await.ok()?.nodes.into_iter();
        let nodes = lines.map(|line| line.report).collect();
        Some((servers.await.ok()?, nodes))
    }

    fn forget_ended(&mut self, records: &[RolloutRecord]) {
        let running = |rollout| records.iter().any(|record| record.rollout == rollout);
        self.drivers.retain(|rollout, _| running(*rollout));
        let before = wall_clock::since_epoch().saturating_sub(REPORT_RETENTION);
        self.totals.retain(before, running);
        while self.courses.len() > ENDED_COURSES_MAX + records.len() {
            self.courses.pop_first();
        }
    }

    fn evaluate_move(
        &mut self,
        now: Duration,
        record: &RolloutRecord,
        servers: &[EndpointRecord],
        nodes: &[NodeReport],
    ) {
        let snapshot =
            self.monitor
                .snapshot(now, record, servers.iter(), nodes, &self.totals);
        let driver = self.drivers.entry(record.rollout);
        let driver = driver.or_insert_with(|| RolloutDriver::new(record));
        let change = driver.evaluate(now, record, &snapshot, &self.totals);
        let points = driver.course().to_vec();
        let counts = points
            .last()
            .map_or(MoveCounts::default(), |point| point.counts);
        let course = RolloutCourse {
            wait: driver.wait(),
            counts,
            points,
        };
        let inputs = *driver.inputs();
        self.log_wait(record.rollout, &course, &inputs);
        let evidence = evidence_fields(&course, &inputs);
        self.courses.insert(record.rollout, course);
        if let Some(change) = change {
            self.propose(record.rollout, change, &evidence);
        }
    }

    /// Logs the reason why a move waits whenever that reason changes.
    fn log_wait(
        &self,
        rollout: ConfigVersion,
        course: &RolloutCourse,
        inputs: &JudgeInputs,
    ) {
        let before = self.courses.get(&rollout).and_then(|before| before.wait);
        let Some(wait) = course.wait.filter(|wait| before != Some(*wait)) else {
            return;
        };
        info!(
            "event=move-waits process=control instance={} move={rollout} for={} {}",
            self.instance,
            LogValue(wait.as_str()),
            evidence_fields(course, inputs)
        );
    }

    fn propose(&mut self, rollout: ConfigVersion, change: MoveChange, evidence: &str) {
        let Some(request_id) = change.request_id() else {
            return;
        };
        if !self.proposing.insert(rollout) {
            return;
        }
        info!(
            "event=move-step process=control instance={} move={rollout} change={} {evidence}",
            self.instance,
            LogValue(change.summary())
        );
        let entry = ChangeEntry {
            request_id,
            expected: None,
            at_ms: wall_clock::millis(),
            change: ConfigChange::Move(change),
        };
        let task = self.agreement.task.clone();
        let proposal_done = self.proposal_done.clone();
        actix_rt::spawn(async move {
            let outcome =
                actix_rt::time::timeout(PROPOSAL_TIMEOUT, submit_change(task, entry));
            if let Ok(Some(LeaderAnswer::Answered(refused))) = outcome.await {
                if !matches!(refused, ChangeOutcome::Accepted { .. }) {
                    warn!("event=move-step-refused process=control move={rollout}");
                }
            }
            // Fails only at shutdown: the task runs as long as the process.
            let _ = proposal_done.send(rollout);
        });
    }
}

/// Formats the latest evidence on a move as log fields.
fn evidence_fields(course: &RolloutCourse, inputs: &JudgeInputs) -> String {
    let Some(point) = course.points.last() else {
        return "looks=0".to_owned();
    };
    let JudgeInputs {
        failed,
        late,
        error_evidence,
        failure_evidence,
        lateness_evidence,
        limit,
    } = inputs;
    format!(
        "share_per_mille={} new_calls={} new_failures={} calls={} suspicion={:.2} \
         old_failing={:.2} old_failed={}/{} new_failed={}/{} old_late={}/{} new_late={}/{} \
         error_evidence={error_evidence:.2} failure_evidence={failure_evidence:.2} \
         lateness_evidence={lateness_evidence:.2} limit={limit:.2}",
        point.share_per_mille,
        point.counts.new_calls,
        point.counts.new_failures,
        point.counts.calls,
        point.suspicion,
        point.old_failing,
        failed.old.events,
        failed.old.calls,
        failed.new.events,
        failed.new.calls,
        late.old.events,
        late.old.calls,
        late.new.events,
        late.new.calls,
    )
}

async fn submit_change(
    task: mpsc::Sender<AgreementMessage>,
    entry: ChangeEntry,
) -> Option<LeaderAnswer<ChangeOutcome>> {
    let (reply, answer) = oneshot::channel();
    task.send(AgreementMessage::Change(Box::new(entry), reply))
        .await
        .ok()?;
    answer.await.ok()
}
