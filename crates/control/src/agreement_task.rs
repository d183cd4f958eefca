//! Task that runs this instance's agreement member.
//!
//! It owns the replicated state machine, passes it incoming events and
//! executes the actions that it returns: the store thread writes batches,
//! the peer senders send messages, the fan-out task gets each committed
//! version, and operators get their answers.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::error;
use log::info;
use log::warn;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use cowslip_core::agreement::AgreementMember;
use cowslip_core::agreement::ChangeAnswer;
use cowslip_core::agreement::LeaderStatus;
use cowslip_core::agreement::MemberAnswer;
use cowslip_core::agreement::MemberChange;
use cowslip_core::agreement::MemberIdentity;
use cowslip_core::agreement::MemberLine;
use cowslip_core::agreement::MemberMessage;
use cowslip_core::agreement::ReplicaAction;
use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::agreement::SnapshotWrite;
use cowslip_core::agreement::StateReplica;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::control_state::AcceptedChange;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::departure::Departure;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;

use crate::agreement_metrics::AgreementMetrics;
use crate::control_settings::ControlSettings;
use crate::fanout_task::FanoutMessage;
use crate::folder_opener;
use crate::folder_opener::FolderOpener;
use crate::folder_opener::FolderOpening;
use crate::folder_opener::FolderSource;
use crate::leader_view::LeaderView;
use crate::leader_view::LeaderWatch;
use crate::member_store::MemberStore;
use crate::member_store::StoreError;
use crate::membership_log;
use crate::peer_sender::PeerSenders;
use crate::store_thread;
use crate::store_thread::StoreHandle;

/// Capacity of the task's queue. While it is full, senders wait, which applies
/// backpressure to their connections.
const QUEUE_CAPACITY: usize = 1_024;

/// Interval of tick events; a sixth of the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of messages handled at once, so that they share one disk sync.
const BATCH_MAX: usize = 256;

/// A message to the agreement task.
#[derive(Debug)]
pub enum AgreementMessage {
    /// Proposes an operator's change.
    Change(
        Box<ChangeEntry>,
        oneshot::Sender<LeaderAnswer<ChangeOutcome>>,
    ),
    /// Returns the accepted changes, oldest first.
    History(oneshot::Sender<LeaderAnswer<Vec<AcceptedChange>>>),
    /// Returns the moves of backend server versions, ended ones first.
    Rollouts(oneshot::Sender<LeaderAnswer<Vec<RolloutRecord>>>),
    /// Proposes an operator's change of the member list.
    ChangeMembers(MemberChange, oneshot::Sender<LeaderAnswer<MemberAnswer>>),
    /// Returns the configuration in force, and the answer to the change with
    /// this request ID if it was decided.
    Current(Arc<str>, oneshot::Sender<LeaderAnswer<CurrentRevision>>),
    /// Keeps the departure of a backend server.
    Depart(Departure, oneshot::Sender<LeaderAnswer<()>>),
    /// Returns the departures of the servers beside these nodes.
    Departures(Vec<Arc<str>>, oneshot::Sender<LeaderAnswer<Vec<Departure>>>),
    /// Returns the members and their state.
    Members(oneshot::Sender<LeaderAnswer<Vec<MemberLine>>>),
    /// Sets the instances to contact in addition to the members.
    SetSeeds(Vec<(Arc<str>, SocketAddr)>),
    /// Delivers messages of other instances.
    PeerMessages(Vec<MemberMessage>),
    /// Starts a leadership handover because this instance is about to stop.
    /// Answered once another instance leads, or at once without other voters.
    HandOver(oneshot::Sender<()>),
}

/// The configuration in force and its revision number.
#[derive(Clone, Debug)]
pub struct CurrentRevision {
    /// Revision number, assigned by operators; 0 before the first revision.
    pub number: u64,
    /// The configuration.
    pub snapshot: ConfigSnapshot,
    /// Outcome of the change that was asked about, if it was decided.
    pub answer: Option<ChangeOutcome>,
}

/// Handle to the running task.
#[derive(Clone)]
pub struct AgreementHandle {
    /// Channel to the task.
    pub task: mpsc::Sender<AgreementMessage>,
    /// Leader as this instance knows it.
    pub leader: LeaderWatch,
}

/// Reason why the agreement member cannot start.
#[derive(Debug, Error)]
pub enum AgreementError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store thread cannot start.
    #[error("store thread: {0}")]
    Thread(#[from] io::Error),
}

struct AgreementTask {
    instance: Arc<str>,
    member: StateReplica,
    started: BootInstant,
    store: Option<StoreHandle>,
    /// Reopens the data folder after a failure.
    source: Arc<dyn FolderSource>,
    peers: PeerSenders,
    view: watch::Sender<LeaderView>,
    fanout: mpsc::Sender<FanoutMessage>,
    metrics: AgreementMetrics,
    next_ticket: u64,
    pending_changes: BTreeMap<u64, oneshot::Sender<LeaderAnswer<ChangeOutcome>>>,
    pending_member_changes: BTreeMap<u64, oneshot::Sender<LeaderAnswer<MemberAnswer>>>,
    pending_departures: BTreeMap<u64, oneshot::Sender<LeaderAnswer<()>>>,
    pending_hand_overs: Vec<oneshot::Sender<()>>,
}

/// Opens the data folder and starts the task, which sends each committed
/// version to `fanout`.
pub fn spawn(
    settings: &ControlSettings,
    fanout: mpsc::Sender<FanoutMessage>,
    metrics: AgreementMetrics,
) -> Result<AgreementHandle, AgreementError> {
    let source = FolderOpener {
        path: settings.data_folder.clone(),
        instance: Arc::clone(&settings.instance),
        replaces_unusable: settings.joining.is_some(),
    };
    let FolderOpening {
        folder,
        replaced,
        store,
    } = source.open()?;
    info!(
        "event=folder-opened process=control instance={} start={} term={} snapshot={} entries={}",
        settings.instance,
        folder.start.count,
        folder.saved.hard.term,
        folder.saved.snapshot.version,
        folder.saved.stored.len() + folder.saved.entries.len()
    );
    let identity = MemberIdentity {
        instance: Arc::clone(&settings.instance),
        address: settings.address(),
        folder: folder.folder,
        start: folder.start,
    };
    let founders = settings.founders();
    let zero = Duration::ZERO;
    let mut member =
        AgreementMember::open(identity, founders, folder.saved, zero, folder.seed);
    if let Some(joining) = settings.joining {
        member.set_voter_target(joining.voters);
        if !joining.first_start || replaced {
            member.forbid_bootstrap();
        }
    }
    let member = StateReplica::new(member);
    spawn_member(settings, member, store, Arc::new(source), fanout, metrics)
}

/// Starts the task with a member and the store that it writes to. If the store
/// fails, the folder is reopened through `source`.
pub fn spawn_member(
    settings: &ControlSettings,
    member: StateReplica,
    store: Box<dyn MemberStore>,
    source: Arc<dyn FolderSource>,
    fanout: mpsc::Sender<FanoutMessage>,
    metrics: AgreementMetrics,
) -> Result<AgreementHandle, AgreementError> {
    let (reports, store_reports) = mpsc::unbounded_channel();
    let (view, leader) = watch::channel(LeaderView::default());
    let task = AgreementTask {
        instance: Arc::clone(&settings.instance),
        member,
        started: BootInstant::now(),
        store: Some(store_thread::spawn(store, reports)?),
        source,
        peers: PeerSenders::new(PeerClient::new(settings.system_key.clone())),
        view,
        fanout,
        metrics,
        next_ticket: 0,
        pending_changes: BTreeMap::new(),
        pending_member_changes: BTreeMap::new(),
        pending_departures: BTreeMap::new(),
        pending_hand_overs: Vec::new(),
    };
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    actix_rt::spawn(task.run(receiver, store_reports));
    Ok(AgreementHandle {
        task: sender,
        leader,
    })
}

impl AgreementTask {
    async fn run(
        mut self,
        mut receiver: mpsc::Receiver<AgreementMessage>,
        mut store_reports: mpsc::UnboundedReceiver<ReplicaEvent>,
    ) {
        let mut tick = actix_rt::time::interval(TICK_INTERVAL);
        let (opened, mut openings) = mpsc::unbounded_channel();
        loop {
            let mut messages = Vec::new();
            let mut events = Vec::new();
            tokio::select! {
                taken = receiver.recv_many(&mut messages, BATCH_MAX) => {
                    if taken == 0 {
                        return;
                    }
                }
                Some(report) = store_reports.recv() => events.push(report),
                Some(opening) = openings.recv() => {
                    if let Some(reports) = self.resume(opening, &mut events) {
                        store_reports = reports;
                    }
                }
                _ = tick.tick() => events.push(ReplicaEvent::Tick),
                // Requests and timers take turns with a long log that is applied.
                () = tokio::task::yield_now(), if self.member.has_unapplied() => {}
            }
            while let Ok(report) = store_reports.try_recv() {
                events.push(report);
            }
            for message in messages {
                self.handle_message(message, &mut events);
            }
            let failed = events
                .iter()
                .any(|event| matches!(event, ReplicaEvent::DiskFailed));
            let actions = self.member.handle(self.started.elapsed(), events);
            let barred = actions
                .iter()
                .any(|action| matches!(action, ReplicaAction::Barred));
            let unreadable = actions
                .iter()
                .any(|action| matches!(action, ReplicaAction::ReopenFolder));
            for action in actions {
                self.execute(action).await;
            }
            if failed || unreadable || (barred && self.source.replaces_unusable()) {
                self.close_folder(&mut store_reports, &opened);
            }
            self.update_metrics();
            self.answer_hand_overs();
        }
    }

    /// Closes the store of a failed folder and starts to reopen the folder.
    /// Does nothing if reopening is already in progress.
    fn close_folder(
        &mut self,
        store_reports: &mut mpsc::UnboundedReceiver<ReplicaEvent>,
        opened: &mpsc::UnboundedSender<FolderOpening>,
    ) {
        if self.store.take().is_none() {
            return;
        }
        let (_, closed) = mpsc::unbounded_channel();
        let previous_reports = std::mem::replace(store_reports, closed);
        let source = Arc::clone(&self.source);
        let opener = folder_opener::spawn(source, previous_reports, opened.clone());
        if let Err(error) = opener {
            error!(
                "event=folder-opener-failed process=control instance={} error={}",
                self.instance,
                LogValue(error)
            );
        }
    }

    /// Resumes with a reopened folder; returns the reports of its new store, or
    /// `None` if the store thread cannot start.
    fn resume(
        &mut self,
        opening: FolderOpening,
        events: &mut Vec<ReplicaEvent>,
    ) -> Option<mpsc::UnboundedReceiver<ReplicaEvent>> {
        let (reports, store_reports) = mpsc::unbounded_channel();
        let store = match store_thread::spawn(opening.store, reports) {
            Ok(store) => store,
            Err(error) => {
                error!(
                    "event=store-thread-failed process=control instance={} error={}",
                    self.instance,
                    LogValue(error)
                );
                return None;
            }
        };
        let folder = opening.folder;
        info!(
            "event=folder-reopened process=control instance={} renewed={} start={} term={} snapshot={} entries={}",
            self.instance,
            opening.replaced,
            folder.start.count,
            folder.saved.hard.term,
            folder.saved.snapshot.version,
            folder.saved.stored.len() + folder.saved.entries.len()
        );
        self.store = Some(store);
        events.push(ReplicaEvent::Reopened(folder));
        Some(store_reports)
    }

    /// Turns a message into events, or answers it at once. A reply whose
    /// receiver is gone is dropped, because its caller has given up and will
    /// ask again.
    fn handle_message(
        &mut self,
        message: AgreementMessage,
        events: &mut Vec<ReplicaEvent>,
    ) {
        match message {
            AgreementMessage::Change(entry, reply) => {
                let ticket = self.new_ticket();
                self.pending_changes.insert(ticket, reply);
                events.push(ReplicaEvent::Change(ticket, *entry));
            }
            AgreementMessage::ChangeMembers(change, reply) => {
                let ticket = self.new_ticket();
                self.pending_member_changes.insert(ticket, reply);
                events.push(ReplicaEvent::Members(ticket, change));
            }
            AgreementMessage::Depart(departure, reply) => {
                let ticket = self.new_ticket();
                self.pending_departures.insert(ticket, reply);
                events.push(ReplicaEvent::Depart(ticket, departure));
            }
            AgreementMessage::Departures(nodes, reply) => {
                let kept = self.member.state().departures();
                let _ = reply.send(self.if_leading(|| kept.of_nodes(&nodes)));
            }
            AgreementMessage::History(reply) => {
                let history = self.member.state().history();
                let _ = reply.send(self.if_leading(|| history.cloned().collect()));
            }
            AgreementMessage::Rollouts(reply) => {
                let rollouts = self.member.state().rollouts().all();
                let _ = reply.send(self.if_leading(|| rollouts.cloned().collect()));
            }
            AgreementMessage::Current(request_id, reply) => {
                let state = self.member.state();
                let current = || CurrentRevision {
                    number: state.revision(),
                    snapshot: state.snapshot().clone(),
                    answer: state.answer(&request_id).cloned(),
                };
                let _ = reply.send(self.if_leading(current));
            }
            AgreementMessage::Members(reply) => {
                let now = self.started.elapsed();
                let _ = reply.send(self.if_leading(|| self.member.member_lines(now)));
            }
            AgreementMessage::PeerMessages(messages) => {
                events.extend(messages.into_iter().map(ReplicaEvent::Message));
            }
            AgreementMessage::SetSeeds(others) => {
                events.push(ReplicaEvent::SetSeeds(others))
            }
            AgreementMessage::HandOver(reply) => {
                self.pending_hand_overs.push(reply);
                events.push(ReplicaEvent::HandOver);
            }
        }
    }

    fn new_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn if_leading<T>(&self, answer: impl FnOnce() -> T) -> LeaderAnswer<T> {
        let view = *self.view.borrow();
        if view.is_leading() {
            return LeaderAnswer::Answered(answer());
        }
        LeaderAnswer::NotLeader(view.address)
    }

    async fn execute(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Write(batch) => {
                if let Some(write) = &batch.snapshot {
                    self.log_snapshot(write);
                }
                // Without an open folder the member has nothing to write.
                if let Some(store) = &self.store {
                    store.write(batch);
                }
            }
            ReplicaAction::Send(address, message) => self.peers.send(address, message),
            ReplicaAction::Publish(snapshot) => {
                // Fails only at shutdown: the fan-out task runs as long as this
                // one.
                let _ = self.fanout.send(FanoutMessage::Publish(snapshot)).await;
            }
            ReplicaAction::AnswerChange(ticket, answer) => {
                self.metrics.record_change(&answer);
                let reply = self.pending_changes.remove(&ticket);
                self.answer(reply, answer);
            }
            ReplicaAction::AnswerMembers(ticket, answer) => {
                self.metrics.record_member_answer(&answer);
                let reply = self.pending_member_changes.remove(&ticket);
                self.answer(reply, answer);
            }
            ReplicaAction::AnswerDeparture(ticket, answer) => {
                let reply = self.pending_departures.remove(&ticket);
                self.answer(reply, answer);
            }
            ReplicaAction::LeaderStatus(status) => self.publish_leader(&status),
            ReplicaAction::Members(members) => {
                membership_log::members(
                    &self.instance,
                    &members,
                    self.member.agreement(),
                );
            }
            ReplicaAction::Planned(note) => membership_log::plan(&self.instance, &note),
            ReplicaAction::Barred => {
                self.metrics.set_barred();
                warn!(
                    "event=folder-rolled-back process=control instance={}",
                    self.instance
                );
            }
            // The run loop closes the folder once all actions are executed.
            ReplicaAction::ReopenFolder => {}
        }
    }

    fn log_snapshot(&self, write: &SnapshotWrite) {
        let agreement = self.member.agreement();
        let log = agreement.log_size();
        info!(
            "event=snapshot-taken process=control instance={} version={} commit={} log_entries={} log_bytes={} next_after_bytes={}",
            self.instance,
            write.snapshot.version,
            agreement.commit_index(),
            log.entries,
            log.bytes,
            agreement.snapshot_due_bytes()
        );
    }

    fn answer<T>(
        &self,
        reply: Option<oneshot::Sender<LeaderAnswer<T>>>,
        answer: ChangeAnswer<T>,
    ) {
        let Some(reply) = reply else {
            return;
        };
        let answer = match answer {
            ChangeAnswer::Decided(outcome) => LeaderAnswer::Answered(outcome),
            ChangeAnswer::NotLeading => {
                LeaderAnswer::NotLeader(self.view.borrow().address)
            }
            ChangeAnswer::Unknown => LeaderAnswer::Unknown,
        };
        let _ = reply.send(answer);
    }

    fn publish_leader(&self, status: &LeaderStatus) {
        let leader = status.leader.as_ref();
        let view = LeaderView {
            address: leader.map(|leader| leader.address),
            lease_until: status.lease_until.map(|until| self.started + until),
        };
        let previous = self.view.send_replace(view);
        if previous.address != view.address {
            info!(
                "event=leader-changed process=control instance={} term={} leader={}",
                self.instance,
                self.member.agreement().term(),
                leader.map_or("none", |leader| &*leader.instance)
            );
        }
    }

    fn update_metrics(&self) {
        let agreement = self.member.agreement();
        let leading = self.view.borrow().is_leading();
        self.metrics
            .set_position(agreement.term(), agreement.commit_index(), leading);
        self.metrics.set_log_size(agreement.log_size());
    }

    fn answer_hand_overs(&mut self) {
        if self.pending_hand_overs.is_empty() {
            return;
        }
        let agreement = self.member.agreement();
        let sole_voter = agreement.members().voters().count() < 2;
        let has_leader = self.view.borrow().address.is_some();
        if !sole_voter && (agreement.is_leader() || !has_leader) {
            return;
        }
        for reply in self.pending_hand_overs.drain(..) {
            let _ = reply.send(());
        }
    }
}
