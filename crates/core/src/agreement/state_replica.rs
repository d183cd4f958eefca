//! A member, the state that results from its committed entries, and the
//! pending requests of operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::log_entry::EntryBody;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::member::AgreementMember;
use crate::agreement::member::LeaderStatus;
use crate::agreement::member::MemberOutput;
use crate::agreement::member_list::MemberList;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::membership::MemberAnswer;
use crate::agreement::membership::MemberChange;
use crate::agreement::membership::MemberLine;
use crate::agreement::saved_state::ReopenedFolder;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::agreement::saved_state::WriteBatch;
use crate::agreement::voter_plan::PlanNote;
use crate::change::ChangeEntry;
use crate::change::ChangeOutcome;
use crate::control_state::ConfigSnapshot;
use crate::control_state::ControlState;
use crate::departure::Departure;
use crate::document::DocumentFault;
use crate::document::LabelStripper;
use crate::encoded_size;
use crate::version::ConfigVersion;

/// Maximum size of a change in bytes: half of what a message between instances may
/// have, which must also hold a snapshot with the change in it.
const CHANGE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// An event that a replica handles.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// Timers may be due.
    Tick,
    /// A message from another instance.
    Message(MemberMessage),
    /// Batches up to this sequence are synced.
    Persisted(u64),
    /// A write or sync failed; nothing is written until the folder is reopened.
    DiskFailed,
    /// The data folder was reopened, or replaced by a new one.
    Reopened(ReopenedFolder),
    /// An operator's change; the answer carries the same ticket.
    Change(u64, ChangeEntry),
    /// An operator's membership change; the answer carries the same ticket.
    Members(u64, MemberChange),
    /// The departure of a backend server; the answer carries the same ticket.
    Depart(u64, Departure),
    /// The settings name these instances, which receive hellos besides the
    /// members.
    SetSeeds(Vec<(Arc<str>, SocketAddr)>),
    /// This instance is about to stop and should transfer its leadership.
    HandOver,
}

/// The answer to an operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAnswer<T> {
    /// The final outcome.
    Decided(T),
    /// Refused: this member does not lead, or accepts no changes at present.
    NotLeading,
    /// The request may or may not have been accepted.
    Unknown,
}

/// An action that the caller executes for a replica.
#[derive(Clone, Debug)]
pub enum ReplicaAction {
    /// Write and sync the batch, then report its sequence with
    /// [`ReplicaEvent::Persisted`].
    Write(WriteBatch),
    /// Send a message; it may be lost.
    Send(SocketAddr, MemberMessage),
    /// Publish this configuration to the nodes.
    Publish(ConfigSnapshot),
    /// Answer an operator's change.
    AnswerChange(u64, ChangeAnswer<ChangeOutcome>),
    /// Answer an operator's membership change.
    AnswerMembers(u64, ChangeAnswer<MemberAnswer>),
    /// Answer a departure: it is kept, or may not be.
    AnswerDeparture(u64, ChangeAnswer<()>),
    /// The leader or the lease has changed.
    LeaderStatus(LeaderStatus),
    /// The member list of the log has changed.
    Members(MemberList),
    /// The leader has reached a new verdict on the next membership change.
    Planned(PlanNote),
    /// The data folder has lost acknowledged entries.
    Barred,
    /// The data folder cannot be read; close and reopen it.
    ReopenFolder,
}

/// A request that waits for its entry to be committed.
#[derive(Clone, Debug)]
struct WaitingTicket {
    version: ConfigVersion,
    ticket: u64,
    kind: TicketKind,
}

#[derive(Clone, Copy, Debug)]
enum TicketKind {
    Change,
    Members,
    Departure,
}

impl WaitingTicket {
    /// The answer after `entry` was committed at the awaited index and applied
    /// with `outcome`.
    ///
    /// Guards against another leader's entry at the same index: the operator
    /// would get the outcome of another operator's change.
    fn answer_committed(
        &self,
        entry: &LogEntry,
        outcome: Option<&ChangeOutcome>,
    ) -> ReplicaAction {
        if entry.version != self.version {
            return self.unknown();
        }
        match (self.kind, outcome) {
            (TicketKind::Change, Some(outcome)) => {
                let answer = ChangeAnswer::Decided(outcome.clone());
                ReplicaAction::AnswerChange(self.ticket, answer)
            }
            (TicketKind::Change, None) => self.unknown(),
            (TicketKind::Members, _) => {
                let accepted = MemberAnswer::Accepted(self.version);
                let answer = ChangeAnswer::Decided(accepted);
                ReplicaAction::AnswerMembers(self.ticket, answer)
            }
            (TicketKind::Departure, _) => {
                ReplicaAction::AnswerDeparture(self.ticket, ChangeAnswer::Decided(()))
            }
        }
    }

    fn unknown(&self) -> ReplicaAction {
        match self.kind {
            TicketKind::Change => {
                ReplicaAction::AnswerChange(self.ticket, ChangeAnswer::Unknown)
            }
            TicketKind::Members => {
                ReplicaAction::AnswerMembers(self.ticket, ChangeAnswer::Unknown)
            }
            TicketKind::Departure => {
                ReplicaAction::AnswerDeparture(self.ticket, ChangeAnswer::Unknown)
            }
        }
    }
}

/// A member and its replicated state.
#[derive(Clone, Debug)]
pub struct StateReplica {
    agreement: AgreementMember,
    state: Arc<ControlState>,
    applied: ConfigVersion,
    published: ConfigVersion,
    label_stripper: LabelStripper,
    leader_status: LeaderStatus,
    members: MemberList,
    barred: bool,
    waiting: BTreeMap<u64, Vec<WaitingTicket>>,
    actions: Vec<ReplicaAction>,
}

impl StateReplica {
    /// Creates a replica with an empty state from a member that was just
    /// opened.
    pub fn new(agreement: AgreementMember) -> Self {
        Self {
            agreement,
            state: Arc::default(),
            applied: ConfigVersion::ZERO,
            published: ConfigVersion::ZERO,
            label_stripper: LabelStripper::default(),
            leader_status: LeaderStatus::default(),
            members: MemberList::default(),
            barred: false,
            waiting: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// The replicated state as of the last committed entry.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The consensus state of this member.
    pub fn agreement(&self) -> &AgreementMember {
        &self.agreement
    }

    /// The members as seen by the leader.
    pub fn member_lines(&self, now: Duration) -> Vec<MemberLine> {
        self.agreement.member_lines(now)
    }

    /// True if committed entries wait to be applied: a call of [`Self::handle`] without
    /// events applies the next ones.
    pub fn has_unapplied(&self) -> bool {
        self.agreement.has_undelivered()
    }

    /// Handles a batch of events, so that their writes share one sync and their
    /// entries one message.
    pub fn handle(
        &mut self,
        now: Duration,
        events: impl IntoIterator<Item = ReplicaEvent>,
    ) -> Vec<ReplicaAction> {
        for event in events {
            self.handle_event(now, event);
        }
        let output = self.agreement.take_output(now);
        self.apply(output);
        if self.agreement.is_snapshot_due() {
            self.compact();
        }
        self.fail_waiting_if_deposed();
        self.publish();
        self.report_changes(now);
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, now: Duration, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Tick => self.agreement.tick(now),
            ReplicaEvent::Message(message) => self.agreement.receive(now, message),
            ReplicaEvent::Persisted(sequence) => self.agreement.persisted(now, sequence),
            ReplicaEvent::DiskFailed => self.agreement.disk_failed(),
            ReplicaEvent::Reopened(opened) => self.reopen(now, opened),
            ReplicaEvent::Change(ticket, entry) => self.change(now, ticket, entry),
            ReplicaEvent::Members(ticket, change) => {
                self.change_members(now, ticket, &change);
            }
            ReplicaEvent::Depart(ticket, departure) => {
                self.depart(now, ticket, departure);
            }
            ReplicaEvent::SetSeeds(seeds) => self.agreement.set_seeds(seeds),
            ReplicaEvent::HandOver => self.agreement.hand_over(now),
        }
    }

    /// Restarts from the contents of a reopened folder. The published
    /// configuration stays; the state catches up with it as entries are
    /// committed again.
    fn reopen(&mut self, now: Duration, opened: ReopenedFolder) {
        self.agreement = self.agreement.reopen(opened, now);
        self.state = Arc::default();
        self.applied = ConfigVersion::ZERO;
        self.barred = false;
        self.fail_waiting_if_deposed();
    }

    fn change(&mut self, now: Duration, ticket: u64, entry: ChangeEntry) {
        let leading = self.agreement.leader_status(now).leading;
        if leading {
            if let Some(outcome) = self.state.answer(&entry.request_id) {
                let answer = ChangeAnswer::Decided(outcome.clone());
                self.actions
                    .push(ReplicaAction::AnswerChange(ticket, answer));
                return;
            }
        }
        if let Some(fault) = size_fault(&entry) {
            let faults = vec![fault];
            let answer = ChangeAnswer::Decided(ChangeOutcome::Invalid { faults });
            self.actions
                .push(ReplicaAction::AnswerChange(ticket, answer));
            return;
        }
        let body = EntryBody::Change(Arc::new(entry));
        let Some(version) = self.agreement.propose(now, body) else {
            let answer = ChangeAnswer::NotLeading;
            self.actions
                .push(ReplicaAction::AnswerChange(ticket, answer));
            return;
        };
        self.wait_for(version, ticket, TicketKind::Change);
    }

    fn depart(&mut self, now: Duration, ticket: u64, departure: Departure) {
        let leading = self.agreement.leader_status(now).leading;
        if leading && self.state.departures().contains(&departure) {
            let kept = ChangeAnswer::Decided(());
            self.actions
                .push(ReplicaAction::AnswerDeparture(ticket, kept));
            return;
        }
        match self.agreement.propose_departure(now, departure) {
            Some(version) => self.wait_for(version, ticket, TicketKind::Departure),
            None => {
                let answer = ChangeAnswer::NotLeading;
                self.actions
                    .push(ReplicaAction::AnswerDeparture(ticket, answer));
            }
        }
    }

    fn wait_for(&mut self, version: ConfigVersion, ticket: u64, kind: TicketKind) {
        let waiting = self.waiting.entry(version.index).or_default();
        waiting.push(WaitingTicket {
            version,
            ticket,
            kind,
        });
    }

    fn change_members(&mut self, now: Duration, ticket: u64, change: &MemberChange) {
        let leading = self.agreement.leader_status(now).leading;
        let own_removal = matches!(
            change,
            MemberChange::Remove { instance } if self.agreement.is_named(instance)
        );
        if leading && own_removal {
            // The next leader removes this member, so that no instance leads a
            // log of which it is not a member.
            self.agreement.hand_over(now);
        }
        let answer = if leading && !own_removal {
            self.agreement.change_members(now, change)
        } else {
            None
        };
        match answer {
            Some(MemberAnswer::Accepted(version)) => {
                self.wait_for(version, ticket, TicketKind::Members);
            }
            Some(refused) => {
                let answer = ChangeAnswer::Decided(refused);
                self.actions
                    .push(ReplicaAction::AnswerMembers(ticket, answer));
            }
            None => {
                let answer = ChangeAnswer::NotLeading;
                self.actions
                    .push(ReplicaAction::AnswerMembers(ticket, answer));
            }
        }
    }

    fn apply(&mut self, output: MemberOutput) {
        if let Some(write) = output.write {
            self.actions.push(ReplicaAction::Write(write));
        }
        for (address, message) in output.messages {
            self.actions.push(ReplicaAction::Send(address, message));
        }
        for note in output.notes {
            self.actions.push(ReplicaAction::Planned(note));
        }
        if output.folder_failed {
            self.actions.push(ReplicaAction::ReopenFolder);
        }
        if let Some(snapshot) = output.restored {
            self.state = snapshot.state;
            self.applied = snapshot.version;
        }
        for entry in output.committed {
            self.apply_entry(&entry);
        }
    }

    fn apply_entry(&mut self, entry: &LogEntry) {
        self.applied = entry.version;
        let waiting = self.waiting.remove(&entry.version.index);
        if let Some(departure) = &entry.departure {
            let state = Arc::make_mut(&mut self.state);
            state.record_departure(Departure::clone(departure));
        }
        let mut outcome = None;
        if let EntryBody::Change(change) = &entry.body {
            let state = Arc::make_mut(&mut self.state);
            outcome = Some(state.apply(entry.version, change));
        }
        for ticket in waiting.unwrap_or_default() {
            let action = ticket.answer_committed(entry, outcome.as_ref());
            self.actions.push(action);
        }
    }

    fn compact(&mut self) {
        let snapshot = ReplicaSnapshot {
            version: self.applied,
            state: Arc::clone(&self.state),
            ..ReplicaSnapshot::default()
        };
        self.agreement.compact(snapshot);
    }

    /// Answers all waiting requests as unknown if this member no longer leads:
    /// only the next leader knows whether they were accepted.
    fn fail_waiting_if_deposed(&mut self) {
        if self.agreement.is_leader() {
            return;
        }
        for tickets in std::mem::take(&mut self.waiting).into_values() {
            for ticket in tickets {
                self.actions.push(ticket.unknown());
            }
        }
    }

    fn publish(&mut self) {
        let snapshot = self.state.snapshot();
        if snapshot.version > self.published {
            self.published = snapshot.version;
            // Operators' notes are left out: with 1,500 routes they are two
            // thirds of the bytes that every node would check and hold.
            let published = ConfigSnapshot {
                version: snapshot.version,
                document: self.label_stripper.strip(&snapshot.document),
            };
            self.actions.push(ReplicaAction::Publish(published));
        }
    }

    fn report_changes(&mut self, now: Duration) {
        let leader_status = self.agreement.leader_status(now);
        if leader_status != self.leader_status {
            self.leader_status = leader_status.clone();
            self.actions
                .push(ReplicaAction::LeaderStatus(leader_status));
        }
        if *self.agreement.members() != self.members {
            self.members = self.agreement.members().clone();
            self.actions
                .push(ReplicaAction::Members(self.members.clone()));
        }
        if self.agreement.is_barred() && !self.barred {
            self.barred = true;
            self.actions.push(ReplicaAction::Barred);
        }
    }
}

/// The fault of a change that is too large.
///
/// Guards against a log that stops for good at an entry that no other member receives.
fn size_fault(entry: &ChangeEntry) -> Option<DocumentFault> {
    let bytes = encoded_size::of(entry);
    (bytes > CHANGE_BYTES_MAX).then(|| DocumentFault {
        path: "(change)".to_owned(),
        problem: format!("{bytes} bytes are too large; use {CHANGE_BYTES_MAX}"),
    })
}
