//! Task that owns the routing state of the entry side: the entry task.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::claim::KeyDigest;
use cowslip_core::claim::ROSTER_LEASE;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::CallPlan;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::ServerTry;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::entry_router::TryReport;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::load::server_load::ReportedLoad;
use cowslip_core::move_tracker::NodeReport;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::refusal::RetryReason;
use cowslip_core::rollout::evidence::EvidenceReport;
use cowslip_core::rollout::node_guard::EndedTry;
use cowslip_core::rollout::node_guard::TryNumber;
use cowslip_core::server_notice::ServerNotice;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::gate_messages::GateBounds;
use crate::gate_messages::GateConfig;
use crate::gate_messages::GateMessage;
use crate::install_hooks::InstallHooks;
use crate::startup_queue::StartupQueue;

/// Capacity of the task's queue. While it is full, senders wait, which applies
/// backpressure to the calls on their connections.
const QUEUE_CAPACITY: usize = 4_096;

/// Interval of the expiry checks for calls that wait for the first
/// configuration; a tenth of the shortest deadline that callers send.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Owned form of [`CallHead`], as sent to the entry task.
#[derive(Clone, Debug)]
pub struct OwnedHead {
    /// Requested host, without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Listener that received the call.
    pub origin: CallOrigin,
    /// Customer on whose behalf the call is made; empty if the caller names
    /// none.
    pub customer: String,
    /// Whether the method is idempotent, so that the call may run twice.
    pub idempotent: bool,
    /// Deadline from the caller, relative to now.
    pub deadline: Option<Duration>,
    /// Probability that the request that makes this call is itself a repeat.
    pub repeats: RepeatProbability,
}

/// A call and the server chosen for its next attempt.
#[derive(Debug)]
pub struct PlannedTry {
    /// Plan of the call, shared by all of its attempts.
    pub plan: CallPlan,
    /// Server of this attempt.
    pub server: ServerTry,
    /// Time left until the call's deadline.
    pub left: Duration,
    /// Time since the call arrived.
    pub waited: Duration,
    /// Time left until the route's target latency has passed.
    pub target_left: Option<Duration>,
    /// What this node last heard the server state, if anything.
    pub notice: Option<ServerNotice>,
    /// When the server was chosen, since the start of the entry task.
    pub planned_at: Duration,
    /// Load that the server's node reported with its response.
    pub reported_load: Option<ReportedLoad>,
    /// Reason for the retry; `None` for the first attempt.
    pub retry: Option<RetryReason>,
    /// Number of the attempt as rollout evidence, if the service is under a move.
    pub measured: Option<TryNumber>,
}

/// Refusal of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallRefusal {
    /// Reason given to the caller.
    pub reason: RefusalReason,
    /// Whether the call may have run.
    pub verdict: CallVerdict,
    /// When the caller may come back, if the reason alone does not tell.
    pub retry_in: Option<Duration>,
}

impl CallRefusal {
    /// A refusal whose reason tells when the caller may come back.
    pub const fn new(reason: RefusalReason, verdict: CallVerdict) -> Self {
        Self {
            reason,
            verdict,
            retry_in: None,
        }
    }
}

/// Decision of the entry task: the next attempt, or a refusal.
pub type RoutingResult = Result<PlannedTry, CallRefusal>;

/// A message to the entry task.
#[derive(Debug)]
pub enum EntryMessage {
    /// Routes a new call.
    Admit(OwnedHead, oneshot::Sender<RoutingResult>),
    /// An attempt failed; asks for a retry or a refusal.
    Failed(Box<PlannedTry>, TryFailure, oneshot::Sender<RoutingResult>),
    /// The response to an attempt was forwarded completely or abandoned.
    Ended(Box<EndedAttempt>),
    /// The backend server of this instance stated something in a response whose
    /// head has arrived.
    Stated(Arc<str>, ServerNotice),
    /// An attempt at this instance was abandoned before any response.
    Abandoned(Arc<str>),
    /// Outcome of an attempt of a service under a move, and whether its server is
    /// warm, if an answer says so.
    Measured(TryNumber, Option<bool>, EndedTry),
    /// Evaluates the evidence of the moves in progress. The flag says that a
    /// report is due; the reply has a report if it is, or if a version has just
    /// been stopped.
    CheckRollouts(bool, oneshot::Sender<Option<EvidenceReport>>),
    /// Asks whether this node's backend server is the last one of the old
    /// version of a service under a move.
    IsLastOldServer(oneshot::Sender<bool>),
    /// Installs a configuration and endpoint records from a control instance.
    Install(Option<ConfigSnapshot>, Vec<EndpointRecord>),
    /// Asks for this node's report.
    Report(oneshot::Sender<NodeReport>),
    /// A control instance answered and proved that its state is fresh.
    SourceConfirmed,
    /// Asks for the holders of this key.
    Holders(KeyDigest, oneshot::Sender<KeyHolders>),
}

/// An attempt whose response was forwarded completely or abandoned.
#[derive(Debug)]
pub struct EndedAttempt {
    /// The response and its call.
    pub report: TryReport,
    /// When the server was chosen, since the start of the entry task.
    pub planned_at: Duration,
    /// Load that the server's node reported with its response.
    pub reported_load: Option<ReportedLoad>,
    /// Whether the server stated something about itself.
    pub has_notice: bool,
}

/// Holders of a key and their addresses.
#[derive(Debug, Default)]
pub struct KeyHolders {
    /// Sets of holders; a claim needs a majority of each. Empty if this node
    /// must not claim.
    pub holder_sets: Vec<Vec<Arc<str>>>,
    /// Addresses of the holders that the directory knows.
    pub addresses: HashMap<Arc<str>, SocketAddr>,
}

struct EntryTask {
    instance: Arc<str>,
    failure_domain: Arc<str>,
    router: EntryRouter,
    gate: mpsc::UnboundedSender<GateMessage>,
    hooks: InstallHooks,
    waiting: StartupQueue,
    refused_version: Option<ConfigVersion>,
    source_confirmed_at: Option<BootInstant>,
    started: BootInstant,
    incarnation: u64,
}

/// Starts the entry task with a router that has no configuration yet, and returns
/// the channel to it.
pub fn spawn(
    instance: Arc<str>,
    failure_domain: Arc<str>,
    gate: mpsc::UnboundedSender<GateMessage>,
    hooks: InstallHooks,
    router: EntryRouter,
) -> mpsc::Sender<EntryMessage> {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let task = EntryTask {
        incarnation: wall_clock::millis(),
        router,
        gate,
        hooks,
        waiting: StartupQueue::default(),
        instance,
        failure_domain,
        refused_version: None,
        source_confirmed_at: None,
        started: BootInstant::now(),
    };
    actix_rt::spawn(task.run(receiver));
    sender
}

impl EntryTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<EntryMessage>) {
        while let Some(message) = self.next(&mut receiver).await {
            self.handle(message);
        }
    }

    /// Receives the next message. While calls wait for a configuration, refuses
    /// those whose wait has ended. `None` once all senders are gone.
    async fn next(
        &mut self,
        receiver: &mut mpsc::Receiver<EntryMessage>,
    ) -> Option<EntryMessage> {
        while !self.waiting.is_empty() {
            self.waiting.refuse_expired(self.started.elapsed());
            let next =
                actix_rt::time::timeout(WAIT_CHECK_INTERVAL, receiver.recv()).await;
            if let Ok(message) = next {
                return message;
            }
        }
        receiver.recv().await
    }

    fn handle(&mut self, message: EntryMessage) {
        match message {
            EntryMessage::Admit(head, reply) => {
                self.admit_or_wait(head, reply);
            }
            EntryMessage::Failed(failed, failure, reply) => {
                let answer = self.next_try(*failed, failure);
                self.reply_or_abandon(reply, answer);
            }
            EntryMessage::Ended(ended) => self.end_attempt(&ended),
            EntryMessage::Stated(instance, notice) => {
                let now = self.started.elapsed();
                self.router.notices().keep(now, instance, notice);
            }
            EntryMessage::Abandoned(instance) => {
                self.router.abandoned(self.started.elapsed(), &instance);
            }
            EntryMessage::Install(snapshot, endpoints) => {
                self.install(snapshot, endpoints);
                self.retry_waiting();
            }
            EntryMessage::Measured(number, warm, mut ended) => {
                let guard = self.router.guard();
                ended.measured.warm = guard.end(number, warm);
                guard.record(&ended);
            }
            EntryMessage::CheckRollouts(due, reply) => {
                let _ = reply.send(self.check_rollouts(due));
            }
            EntryMessage::IsLastOldServer(reply) => {
                let _ = reply.send(self.router.is_last_old_server(&self.instance));
            }
            EntryMessage::Report(reply) => {
                let _ = reply.send(self.report());
            }
            EntryMessage::SourceConfirmed => {
                self.source_confirmed_at = Some(BootInstant::now())
            }
            EntryMessage::Holders(key, reply) => {
                let _ = reply.send(self.holders(&key));
            }
        }
    }

    fn end_attempt(&mut self, ended: &EndedAttempt) {
        let now = self.started.elapsed();
        let report = &ended.report;
        if let Some(load) = ended.reported_load {
            self.router
                .record_load(now, &report.instance, &report.route, load);
        }
        if !ended.has_notice {
            let notices = self.router.notices();
            notices.record_answer(ended.planned_at, &report.instance);
        }
        self.router.ended(now, report);
    }

    /// Sends the answer. If the receiver is gone, reports the planned attempt
    /// as abandoned.
    fn reply_or_abandon(
        &mut self,
        reply: oneshot::Sender<RoutingResult>,
        answer: RoutingResult,
    ) {
        if let Err(Ok(unused)) = reply.send(answer) {
            let now = self.started.elapsed();
            self.router.abandoned(now, &unused.server.instance);
            if let Some(number) = unused.measured {
                self.router.guard().end(number, None);
            }
        }
    }

    /// Routes a new call, or lets it wait if a later configuration may help.
    fn admit_or_wait(&mut self, head: OwnedHead, reply: oneshot::Sender<RoutingResult>) {
        match self.admit(&head) {
            Ok(planned) => self.reply_or_abandon(reply, Ok(planned)),
            Err(refusal) => {
                let now = self.started.elapsed();
                self.waiting.enqueue_or_refuse(now, head, refusal, reply);
            }
        }
    }

    /// Routes the waiting calls again after an installation.
    fn retry_waiting(&mut self) {
        for call in self.waiting.take() {
            let head = call.head_at(self.started.elapsed());
            match self.admit(&head) {
                Ok(planned) => self.reply_or_abandon(call.reply, Ok(planned)),
                Err(refusal) => self.waiting.requeue_or_refuse(call, refusal),
            }
        }
    }

    /// Plans a new call and its first attempt.
    fn admit(&mut self, head: &OwnedHead) -> RoutingResult {
        let now = self.started.elapsed();
        let repeats = head.repeats;
        let head = CallHead {
            host: &head.host,
            path: &head.path,
            origin: head.origin,
            customer: &head.customer,
            idempotent: head.idempotent,
            deadline: head.deadline,
        };
        let mut plan = self
            .router
            .plan(now, &head)
            .map_err(|reason| CallRefusal::new(reason, CallVerdict::NotRun))?;
        if self.may_come_from_own_server(&plan) {
            self.router.charge_repeats(&mut plan, repeats);
        }
        self.begin_try(now, plan, None)
    }

    /// Returns whether the backend server beside this node may have made the
    /// call. A call from outside to the server's own service is not its call,
    /// because servers do not call their own service.
    fn may_come_from_own_server(&self, plan: &CallPlan) -> bool {
        let own = self.router.directory().get(&self.instance);
        plan.origin == CallOrigin::Backend
            || own.is_some_and(|record| record.service != plan.service)
    }

    /// Chooses the server of the next attempt.
    fn begin_try(
        &mut self,
        now: Duration,
        mut plan: CallPlan,
        retry: Option<RetryReason>,
    ) -> RoutingResult {
        match self.router.begin(now, &mut plan) {
            Ok(server) => Ok(PlannedTry {
                measured: self.router.guard().begin(
                    now,
                    &plan.service,
                    &plan.route,
                    &server,
                ),
                left: plan.deadline_at.saturating_sub(now),
                waited: now.saturating_sub(plan.arrived_at),
                target_left: plan.target_at.map(|at| at.saturating_sub(now)),
                notice: self.router.notices().get(&server.instance).cloned(),
                planned_at: now,
                reported_load: None,
                plan,
                server,
                retry,
            }),
            Err(reason) => Err(CallRefusal::new(reason, plan.verdict)),
        }
    }

    /// Decides how a call continues after a failed attempt.
    fn next_try(&mut self, failed: PlannedTry, failure: TryFailure) -> RoutingResult {
        let now = self.started.elapsed();
        if let Some(load) = failed.reported_load {
            self.router.record_load(
                now,
                &failed.server.instance,
                &failed.plan.route,
                load,
            );
        }
        let mut plan = failed.plan;
        let server = &failed.server;
        match self.router.failed(now, &mut plan, server, failure) {
            NextStep::Retry(reason) => self.begin_try(now, plan, Some(reason)),
            NextStep::Refuse(reason) => Err(CallRefusal::new(reason, plan.verdict)),
        }
    }

    /// Applies endpoint records and, if given, a configuration. A faulty
    /// configuration is refused and the current one stays in use.
    fn install(
        &mut self,
        snapshot: Option<ConfigSnapshot>,
        endpoints: Vec<EndpointRecord>,
    ) {
        self.router.merge(self.started.elapsed(), endpoints);
        let Some(snapshot) = snapshot else {
            return;
        };
        let version = snapshot.version;
        match self.router.swap(snapshot) {
            Ok(true) => {
                info!(
                    "event=version-applied process=node instance={} failure_domain={} version={version}",
                    self.instance, self.failure_domain
                );
                let evacuated = self.router.is_evacuated();
                self.hooks
                    .installed(version, self.router.document(), evacuated);
                self.configure_gate();
            }
            Ok(false) => {}
            Err(faults) => {
                self.refused_version = Some(version);
                warn!(
                    "event=version-refused process=node instance={} version={version} faults={}",
                    self.instance,
                    faults.len()
                );
            }
        }
    }

    /// Stops new versions that the evidence shows to be bad. Returns a report
    /// if it is due or a version was stopped.
    fn check_rollouts(&mut self, due: bool) -> Option<EvidenceReport> {
        let now = self.started.elapsed();
        let guard = self.router.guard();
        let stopped = guard.tick(now);
        for stop in &stopped {
            warn!(
                "event=version-stopped process=node instance={} service={} version={} cause={}",
                self.instance,
                stop.service,
                stop.version,
                LogValue(&stop.cause)
            );
        }
        if !due && stopped.is_empty() {
            return None;
        }
        guard.report(now, &self.instance, self.incarnation)
    }

    /// Returns the holders of `key`; none if this node must not claim.
    fn holders(&self, key: &KeyDigest) -> KeyHolders {
        let mut holders = KeyHolders::default();
        // A node that is cut off from the control plane while the roster changes
        // would claim at holders that no other node asks any more. The second
        // step of a roster change waits until this lease has expired.
        if self
            .source_confirmed_at
            .is_none_or(|at| at.elapsed() > ROSTER_LEASE)
        {
            return holders;
        }
        holders.holder_sets = self.router.holder_sets(key);
        for holder in holders.holder_sets.iter().flatten() {
            if let Some(record) = self.router.directory().get(holder) {
                holders.addresses.insert(Arc::clone(holder), record.address);
            }
        }
        holders
    }

    /// Sends the parts of the configuration that concern the gate.
    fn configure_gate(&self) {
        let mut bounds = GateBounds::new();
        for service in self.router.services() {
            bounds.insert(Arc::clone(service), self.router.queue_bounds(service));
        }
        // The gate task ends only with the node.
        let _ = self.gate.send(GateMessage::Configure(GateConfig {
            bounds,
            evacuated: self.router.is_evacuated(),
        }));
    }

    fn report(&self) -> NodeReport {
        NodeReport {
            node: Arc::clone(&self.instance),
            failure_domain: Arc::clone(&self.failure_domain),
            applied: self.router.version(),
            refused: self.refused_version,
        }
    }
}
