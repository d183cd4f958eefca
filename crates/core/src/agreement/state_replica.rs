//! A member together with the state made of the log, and the operators
//! that wait for answers.

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
use crate::document::BareDocument;
use crate::version::ConfigVersion;

/// Entries between two snapshots. At 13,000 changes a day one is taken
/// every eight hours, and a start replays at most this many.
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// What can happen to a member.
#[derive(Clone, Debug)]
pub enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A message from another instance.
    Message(MemberMessage),
    /// Writes up to this sequence are synced.
    Persisted(u64),
    /// A write or sync failed; nothing written later counts.
    DiskFailed,
    /// The folder was opened again, or another one in its place.
    Reopened(ReopenedFolder),
    /// An operator's change; the answer carries the ticket.
    Change(u64, ChangeEntry),
    /// An operator's change of members; the answer carries the ticket.
    Members(u64, MemberChange),
    /// Instances to greet, besides the members.
    SetSeeds(Vec<(Arc<str>, SocketAddr)>),
    /// This instance is about to stop.
    HandOver,
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAnswer<T> {
    /// Decided, for good.
    Decided(T),
    /// Not taken: this member does not lead, or takes nothing now.
    NotLeading,
    /// It may have been accepted.
    Unknown,
}

/// What a member wants done.
#[derive(Clone, Debug)]
pub enum ReplicaAction {
    /// Write and sync, then tell the sequence back.
    Write(WriteBatch),
    /// Send, with no promise of arrival.
    Send(SocketAddr, MemberMessage),
    /// Hand out this configuration.
    Publish(ConfigSnapshot),
    /// Answer an operator's change.
    AnswerChange(u64, ChangeAnswer<ChangeOutcome>),
    /// Answer an operator's change of members.
    AnswerMembers(u64, ChangeAnswer<MemberAnswer>),
    /// The leader or the lease has changed.
    LeaderStatus(LeaderStatus),
    /// The log names other members than before.
    Members(MemberList),
    /// As a leader, a new verdict on who should be a member.
    Planned(PlanNote),
    /// The folder was found to have lost acknowledged entries.
    Barred,
}

/// Who waits for an entry to commit.
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
}

impl WaitingTicket {
    /// The answer once `entry` is committed at the awaited index, with
    /// what the state made of it.
    ///
    /// Guards against an answer from another leader's entry at the same
    /// index: the operator would read somebody else's outcome.
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
    bare: BareDocument,
    leader_status: LeaderStatus,
    members: MemberList,
    barred: bool,
    waiting: BTreeMap<u64, Vec<WaitingTicket>>,
    actions: Vec<ReplicaAction>,
}

impl StateReplica {
    /// Puts the state on top of a member that has just opened.
    pub fn new(agreement: AgreementMember) -> Self {
        Self {
            agreement,
            state: Arc::default(),
            applied: ConfigVersion::ZERO,
            published: ConfigVersion::ZERO,
            bare: BareDocument::default(),
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

    /// The member's part of the agreement.
    pub fn agreement(&self) -> &AgreementMember {
        &self.agreement
    }

    /// The members as the leader sees them.
    pub fn member_lines(&self, now: Duration) -> Vec<MemberLine> {
        self.agreement.member_lines(now)
    }

    /// Takes events that came together, so that their writes share a sync
    /// and their entries a message.
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
        if self.agreement.entries_since_snapshot() >= SNAPSHOT_ENTRIES {
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
            ReplicaEvent::SetSeeds(others) => self.agreement.set_seeds(others),
            ReplicaEvent::HandOver => self.agreement.hand_over(now),
        }
    }

    /// Begins again on what the folder holds. What was published stays so: the
    /// state grows back to it as entries are found to be committed.
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
        let body = EntryBody::Change(Arc::new(entry));
        let Some(version) = self.agreement.propose(now, body) else {
            let answer = ChangeAnswer::NotLeading;
            self.actions
                .push(ReplicaAction::AnswerChange(ticket, answer));
            return;
        };
        self.wait_for(version, ticket, TicketKind::Change);
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
            // The next leader removes this one, so that nobody leads a log
            // that it is no member of.
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

    /// Tells those that wait for this member, now deposed, that their
    /// changes may have been accepted: only the next leader knows.
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
            // What operators noted stays here: with 1,500 routes it is two
            // thirds of the bytes that every node would check and hold.
            let published = ConfigSnapshot {
                version: snapshot.version,
                document: self.bare.of(&snapshot.document),
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
