//! The task that owns the entry side's routing state.

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
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::gate_task::GateBounds;
use crate::gate_task::GateMessage;
use crate::install_hooks::InstallHooks;
use crate::startup_queue::StartupQueue;

/// Messages waiting for the task; beyond them calls wait at their sockets.
const MESSAGES_MAX: usize = 4_096;

/// How often calls that wait for the first configuration are looked at; a
/// tenth of the shortest time that callers give.
const START_TICK: Duration = Duration::from_millis(20);

/// A call's head, owned, as it goes to the task.
#[derive(Clone, Debug)]
pub struct OwnedHead {
    /// Host that the caller names, without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Listener it came in by.
    pub origin: CallOrigin,
    /// Customer it is made for; empty where the caller names none.
    pub customer: String,
    /// True where running it twice does no harm.
    pub idempotent: bool,
    /// Time the caller gives it.
    pub deadline: Option<Duration>,
    /// How likely a request that is itself a repeat makes this call.
    pub repeats: RepeatProbability,
}

/// A call and the server that gets its next try.
#[derive(Debug)]
pub struct PlannedTry {
    /// The call over all its tries.
    pub plan: CallPlan,
    /// The server.
    pub server: ServerTry,
    /// Time left for the try.
    pub left: Duration,
    /// Time since the call came in.
    pub waited: Duration,
    /// Time left in which the answer is worth most.
    pub target_left: Option<Duration>,
    /// What the server's node told of its load.
    pub told_load: Option<ReportedLoad>,
    /// Why this is not the first try.
    pub retry: Option<RetryReason>,
    /// True where the service is under a move, so that the try counts as
    /// evidence.
    pub measured: bool,
}

/// A call that is not served.
#[derive(Clone, Copy, Debug)]
pub struct CallRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: CallVerdict,
}

/// What became of a question to the task.
pub type TryAnswer = Result<PlannedTry, CallRefusal>;

/// What others ask of the task.
#[derive(Debug)]
pub enum EntryMessage {
    /// A new call.
    Admit(OwnedHead, oneshot::Sender<TryAnswer>),
    /// A try failed; what now?
    Failed(Box<PlannedTry>, TryFailure, oneshot::Sender<TryAnswer>),
    /// A try's answer has been passed on whole, or was given up; what
    /// the server's node told of its load with it.
    Ended(TryReport, Option<ReportedLoad>),
    /// A try at the instance was given up before any answer.
    Abandoned(Arc<str>),
    /// What a try of a service under a move came to.
    Tried(EndedTry),
    /// Look at the counts of moves; a report is due where true, and comes at
    /// once where a version was stopped.
    Look(bool, oneshot::Sender<Option<EvidenceReport>>),
    /// Whether a move still needs this node's backend server.
    IsLastOfOld(oneshot::Sender<bool>),
    /// News from a control instance.
    Install(Option<ConfigSnapshot>, Vec<EndpointRecord>),
    /// The node's report of itself.
    Report(oneshot::Sender<NodeReport>),
    /// A control instance that proved itself fresh has answered.
    Heard,
    /// Who holds the claim of this key.
    Holders(KeyDigest, oneshot::Sender<KeyHolders>),
}

/// Who holds a key's claim, and where.
#[derive(Debug, Default)]
pub struct KeyHolders {
    /// Sets of holders; a majority of each is needed. Empty where this node
    /// must not claim.
    pub sets: Vec<Vec<Arc<str>>>,
    /// Where they listen, as far as is known.
    pub addresses: HashMap<Arc<str>, SocketAddr>,
}

struct EntryTask {
    instance: Arc<str>,
    failure_domain: Arc<str>,
    router: EntryRouter,
    gate: mpsc::UnboundedSender<GateMessage>,
    hooks: InstallHooks,
    waiting: StartupQueue,
    refused: Option<ConfigVersion>,
    heard: Option<BootInstant>,
    started: BootInstant,
    incarnation: u64,
}

/// Starts the task.
pub fn spawn(
    instance: Arc<str>,
    failure_domain: Arc<str>,
    gate: mpsc::UnboundedSender<GateMessage>,
    hooks: InstallHooks,
    seed: u64,
) -> mpsc::Sender<EntryMessage> {
    let (sender, receiver) = mpsc::channel(MESSAGES_MAX);
    let task = EntryTask {
        incarnation: wall_clock::millis(),
        router: EntryRouter::new(Arc::clone(&failure_domain), seed),
        gate,
        hooks,
        waiting: StartupQueue::default(),
        instance,
        failure_domain,
        refused: None,
        heard: None,
        started: BootInstant::now(),
    };
    actix_rt::spawn(task.run(receiver));
    sender
}

impl EntryTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<EntryMessage>) {
        while let Some(message) = self.next(&mut receiver).await {
            self.take(message);
        }
    }

    /// The next message; calls whose wait ends before it comes are refused.
    async fn next(
        &mut self,
        receiver: &mut mpsc::Receiver<EntryMessage>,
    ) -> Option<EntryMessage> {
        while !self.waiting.is_empty() {
            self.waiting.refuse_expired(self.started.elapsed());
            let next = actix_rt::time::timeout(START_TICK, receiver.recv()).await;
            if let Ok(message) = next {
                return message;
            }
        }
        receiver.recv().await
    }

    fn take(&mut self, message: EntryMessage) {
        match message {
            EntryMessage::Admit(head, reply) => {
                self.take_call(head, reply);
            }
            EntryMessage::Failed(failed, failure, reply) => {
                let answer = self.failed(*failed, failure);
                self.hand_over(reply, answer);
            }
            EntryMessage::Ended(report, told_load) => {
                let now = self.started.elapsed();
                if let Some(load) = told_load {
                    self.router
                        .record_load(now, &report.instance, &report.route, load);
                }
                self.router.ended(now, &report);
            }
            EntryMessage::Abandoned(instance) => {
                self.router.abandoned(self.started.elapsed(), &instance);
            }
            EntryMessage::Install(snapshot, endpoints) => {
                self.install(snapshot, endpoints);
                self.take_waiting();
            }
            EntryMessage::Tried(ended) => self.router.guard().record(&ended),
            EntryMessage::Look(due, reply) => {
                let _ = reply.send(self.look(due));
            }
            EntryMessage::IsLastOfOld(reply) => {
                let _ = reply.send(self.router.is_last_old_server(&self.instance));
            }
            EntryMessage::Report(reply) => {
                let _ = reply.send(self.report());
            }
            EntryMessage::Heard => self.heard = Some(BootInstant::now()),
            EntryMessage::Holders(key, reply) => {
                let _ = reply.send(self.holders(&key));
            }
        }
    }

    /// Answers, and takes the try back where its caller has left meanwhile.
    fn hand_over(&mut self, reply: oneshot::Sender<TryAnswer>, answer: TryAnswer) {
        if let Err(Ok(unused)) = reply.send(answer) {
            let now = self.started.elapsed();
            self.router.abandoned(now, &unused.server.instance);
        }
    }

    fn take_call(&mut self, head: OwnedHead, reply: oneshot::Sender<TryAnswer>) {
        match self.admit(&head) {
            Ok(planned) => self.hand_over(reply, Ok(planned)),
            Err(refusal) => {
                let now = self.started.elapsed();
                self.waiting.enqueue_or_refuse(now, head, refusal, reply);
            }
        }
    }

    /// Tries those again that wait for what has just been installed.
    fn take_waiting(&mut self) {
        for call in self.waiting.take() {
            let head = call.head_at(self.started.elapsed());
            match self.admit(&head) {
                Ok(planned) => self.hand_over(call.reply, Ok(planned)),
                Err(refusal) => self.waiting.requeue_or_refuse(call, refusal),
            }
        }
    }

    fn admit(&mut self, head: &OwnedHead) -> TryAnswer {
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
        let mut plan = self.router.plan(now, &head).map_err(|reason| CallRefusal {
            reason,
            verdict: CallVerdict::NotRun,
        })?;
        if self.may_be_own_server(&plan) {
            self.router.charge_repeats(&mut plan, repeats);
        }
        self.begin(now, plan, None)
    }

    /// False where the backend server beside this node does not make the
    /// call: servers do not call their own service.
    fn may_be_own_server(&self, plan: &CallPlan) -> bool {
        let own = self.router.directory().get(&self.instance);
        plan.origin == CallOrigin::Backend
            || own.is_some_and(|record| record.service != plan.service)
    }

    fn begin(
        &mut self,
        now: Duration,
        mut plan: CallPlan,
        retry: Option<RetryReason>,
    ) -> TryAnswer {
        match self.router.begin(now, &mut plan) {
            Ok(server) => Ok(PlannedTry {
                measured: self.router.guard().measures(&plan.service),
                left: plan.deadline_at.saturating_sub(now),
                waited: now.saturating_sub(plan.arrived_at),
                target_left: plan.target_at.map(|at| at.saturating_sub(now)),
                told_load: None,
                plan,
                server,
                retry,
            }),
            Err(reason) => Err(CallRefusal {
                reason,
                verdict: plan.verdict,
            }),
        }
    }

    fn failed(&mut self, failed: PlannedTry, failure: TryFailure) -> TryAnswer {
        let now = self.started.elapsed();
        if let Some(load) = failed.told_load {
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
            NextStep::Retry(reason) => self.begin(now, plan, Some(reason)),
            NextStep::Refuse(reason) => Err(CallRefusal {
                reason,
                verdict: plan.verdict,
            }),
        }
    }

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
                self.hooks.installed(self.router.document());
                self.configure_gate();
            }
            Ok(false) => {}
            Err(faults) => {
                self.refused = Some(version);
                warn!(
                    "event=version-refused process=node instance={} version={version} faults={}",
                    self.instance,
                    faults.len()
                );
            }
        }
    }

    fn look(&mut self, due: bool) -> Option<EvidenceReport> {
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
        guard.report(&self.instance, self.incarnation)
    }

    fn holders(&self, key: &KeyDigest) -> KeyHolders {
        let mut holders = KeyHolders::default();
        // Guards against a node cut off from the source while the roster
        // changes: it would claim at holders that nobody asks any more. The
        // roster's second step waits for this lease to have ended.
        if self.heard.is_none_or(|at| at.elapsed() > ROSTER_LEASE) {
            return holders;
        }
        holders.sets = self.router.holder_sets(key);
        for holder in holders.sets.iter().flatten() {
            if let Some(record) = self.router.directory().get(holder) {
                holders.addresses.insert(Arc::clone(holder), record.address);
            }
        }
        holders
    }

    fn configure_gate(&self) {
        let mut bounds = GateBounds::new();
        for service in self.router.services() {
            bounds.insert(Arc::clone(service), self.router.queue_bounds(service));
        }
        // The gate's task ends only with the node.
        let _ = self.gate.send(GateMessage::Configure(bounds));
    }

    fn report(&self) -> NodeReport {
        NodeReport {
            node: Arc::clone(&self.instance),
            failure_domain: Arc::clone(&self.failure_domain),
            applied: self.router.version(),
            refused: self.refused,
        }
    }
}
