//! One member's part of the agreement on the log.
//!
//! Terms, votes, entries and commits are told to it by the methods; the
//! parts of its behaviour stand in `election`, `follower`, `leadership`,
//! `founding` and `membership`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::agreement::bootstrap::ReceivedHello;
use crate::agreement::contact_book::ContactBook;
use crate::agreement::election::LeaseWaiver;
use crate::agreement::election::PreVoteReply;
use crate::agreement::election::PreVotes;
use crate::agreement::folder_watermarks::FolderWatermarks;
use crate::agreement::leadership::Leadership;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::member_list::MemberList;
use crate::agreement::member_message::LeaderContact;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::member_message::MessageBody;
use crate::agreement::output_queue::AddressedMessage;
use crate::agreement::output_queue::OutputQueue;
use crate::agreement::replica_log::ReplicaLog;
use crate::agreement::saved_state::HardState;
use crate::agreement::saved_state::MemberIdentity;
use crate::agreement::saved_state::ReopenedFolder;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::agreement::saved_state::SavedState;
use crate::agreement::saved_state::WriteBatch;
use crate::agreement::timing::ELECTION_TIMEOUT_MIN;
use crate::agreement::timing::RESTART_POLL_SPREAD;
use crate::agreement::timing::STEP_DOWN_TIMEOUT;
use crate::agreement::voter_plan::PlanNote;
use crate::agreement::voter_plan::PlanVerdict;
use crate::version::ConfigVersion;

/// What a member is at the moment.
#[derive(Clone, Debug)]
pub(super) enum ElectionState {
    /// It follows, or waits for a leader.
    Follower,
    /// It asks whether an election would be won; what voters said.
    PreCandidate(PreVotes),
    /// It asks for votes; voters that gave theirs.
    Candidate(BTreeSet<Arc<str>>),
    /// It leads.
    Leader(Leadership),
}

/// Who leads, as a member knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderStatus {
    /// Where the leader is, if known.
    pub leader: Option<LeaderContact>,
    /// True where this member leads, holds the lease and has applied all
    /// that earlier leaders committed.
    pub leading: bool,
    /// Where it does: when the lease ends, unless it is confirmed again.
    pub lease_until: Option<Duration>,
}

/// What a member wants done.
#[derive(Clone, Debug, Default)]
pub struct MemberOutput {
    /// To be synced; tell its sequence back.
    pub write: Option<WriteBatch>,
    /// To be sent, in any order; any may be lost.
    pub messages: Vec<AddressedMessage>,
    /// A snapshot that takes the place of the whole state.
    pub restored: Option<ReplicaSnapshot>,
    /// Entries committed since, in order.
    pub committed: Vec<LogEntry>,
    /// What was newly decided about the members.
    pub notes: Vec<PlanNote>,
}

/// One member of the agreement.
#[derive(Clone, Debug)]
pub struct AgreementMember {
    pub(super) identity: MemberIdentity,
    /// Voters of the settings: they found the log, and are greeted by
    /// instances that know no members.
    pub(super) seeds: Vec<(Arc<str>, SocketAddr)>,
    pub(super) random: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: ReplicaLog,
    pub(super) commit: u64,
    delivered: u64,
    pub(super) restored: bool,
    pub(super) election_state: ElectionState,
    pub(super) output: OutputQueue,
    pub(super) watermarks: FolderWatermarks,
    pub(super) received_hellos: BTreeMap<Arc<str>, ReceivedHello>,
    /// Instances that answers to greetings named.
    pub(super) contacts: ContactBook,
    /// Instances that answered this start's greetings.
    pub(super) hello_answers: BTreeMap<Arc<str>, ReceivedHello>,
    /// Folder by which each instance was last answered while this one had
    /// never held any entry.
    pub(super) answered_folders: BTreeMap<Arc<str>, u64>,
    pub(super) disk_failed: bool,
    /// Leader of the term, once heard.
    pub(super) leader: Option<LeaderContact>,
    /// Its data folder.
    pub(super) leader_folder: u64,
    /// Leader named by the answer to a greeting, and when.
    pub(super) leader_hint: Option<(LeaderContact, Duration)>,
    pub(super) leader_heard_at: Option<Duration>,
    /// Last index known to match the leader's.
    pub(super) matched_index: u64,
    /// Leader's clock on its last message.
    pub(super) leader_sent_at: Duration,
    /// No vote is given before this time.
    pub(super) no_vote_until: Duration,
    pub(super) election_at: Duration,
    /// When it next asks whether all voters have started again.
    pub(super) restart_poll_at: Duration,
    pub(super) next_hello_at: Duration,
    pub(super) may_bootstrap: bool,
    /// Voters that the leader sees to by itself; 0 leaves them to operators.
    pub(super) voter_target: usize,
    /// Last verdict on the members that was noted.
    pub(super) last_plan_verdict: PlanVerdict,
    pub(super) plan_notes: Vec<PlanNote>,
}

impl AgreementMember {
    /// A member that has just started on what its folder holds.
    pub fn open(
        identity: MemberIdentity,
        seeds: Vec<(Arc<str>, SocketAddr)>,
        saved: SavedState,
        now: Duration,
        seed: u64,
    ) -> Self {
        let log = ReplicaLog::new(saved.snapshot, saved.entries);
        let commit = log.snapshot().version.index;
        let mut member = Self {
            identity,
            seeds,
            random: SmallRng::seed_from_u64(seed),
            hard: saved.hard,
            commit,
            delivered: commit,
            restored: commit > 0,
            election_state: ElectionState::Follower,
            output: OutputQueue::new(log.last().index),
            log,
            watermarks: FolderWatermarks::default(),
            received_hellos: BTreeMap::new(),
            contacts: ContactBook::default(),
            hello_answers: BTreeMap::new(),
            answered_folders: BTreeMap::new(),
            disk_failed: false,
            leader: None,
            leader_folder: 0,
            leader_hint: None,
            leader_heard_at: None,
            matched_index: 0,
            leader_sent_at: Duration::ZERO,
            // Guards against a restarted voter that helps a second leader
            // to power while the first still answers as fresh, under a
            // lease that this voter granted before it crashed and forgot.
            no_vote_until: now + ELECTION_TIMEOUT_MIN,
            election_at: now,
            restart_poll_at: now,
            next_hello_at: now,
            may_bootstrap: true,
            voter_target: 0,
            last_plan_verdict: PlanVerdict::Keep,
            plan_notes: Vec::new(),
        };
        member.reset_election_timer(now);
        member.delay_restart_poll(now, Duration::ZERO);
        member
    }

    /// The same member once its folder has been opened again, as after a start
    /// of its process: what it held in memory only is forgotten.
    pub fn reopen(&self, opened: ReopenedFolder, now: Duration) -> Self {
        let same_folder = opened.folder == self.identity.folder;
        let identity = MemberIdentity {
            folder: opened.folder,
            start: opened.start,
            ..self.identity.clone()
        };
        let seeds = self.seeds.clone();
        let mut member = Self::open(identity, seeds, opened.saved, now, opened.seed);
        member.may_bootstrap = self.may_bootstrap && same_folder;
        member.voter_target = self.voter_target;
        member.leader_hint = self.leader_hint.clone();
        member.contacts = self.contacts.clone();
        member
    }

    /// Never founds a log: the fleet has been founded before.
    ///
    /// Guards against an instance that comes back with an empty folder while
    /// all others are away: it would found a second log, and operators would
    /// read that nothing was ever accepted.
    pub fn forbid_bootstrap(&mut self) {
        self.may_bootstrap = false;
    }

    /// As a leader, adds instances that greet until there are `wanted`
    /// voters, and puts returned ones in the place of their lost folders.
    pub fn set_voter_target(&mut self, wanted: usize) {
        self.voter_target = wanted;
    }

    /// Other instances to greet besides the members, by name and address.
    /// Before the founding nothing changes, since all must agree on who founds.
    pub fn set_seeds(&mut self, others: Vec<(Arc<str>, SocketAddr)>) {
        let bootstrap = self.may_bootstrap && self.log.last() == ConfigVersion::ZERO;
        if !bootstrap {
            self.seeds = others;
        }
    }

    /// Who leads, as far as this member knows.
    pub fn leader_status(&self, now: Duration) -> LeaderStatus {
        if let ElectionState::Leader(leadership) = &self.election_state {
            let lease_until = leadership.lease_until(self, now);
            let leading = lease_until.is_some();
            let leader = leading.then(|| LeaderContact {
                instance: Arc::clone(&self.identity.instance),
                address: self.identity.address,
            });
            return LeaderStatus {
                leader,
                leading,
                lease_until,
            };
        }
        let heard = self
            .leader_heard_at
            .is_some_and(|at| now < at + STEP_DOWN_TIMEOUT);
        let hint = self
            .leader_hint
            .as_ref()
            .filter(|(_, at)| now < *at + STEP_DOWN_TIMEOUT);
        let hinted = hint.map(|(leader, _)| leader.clone());
        LeaderStatus {
            leader: self.leader.clone().filter(|_| heard).or(hinted),
            leading: false,
            lease_until: None,
        }
    }

    /// Highest term seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// True while this member leads its term, with a lease or without.
    pub fn is_leader(&self) -> bool {
        matches!(self.election_state, ElectionState::Leader(_))
    }

    /// True for this member's own name.
    pub fn is_named(&self, instance: &str) -> bool {
        *self.identity.instance == *instance
    }

    /// Last committed index.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Members as of the last entry, committed or not.
    pub fn members(&self) -> &MemberList {
        self.log.members()
    }

    /// The entry at `index`, where it is held.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        self.log.entry(index)
    }

    /// Entries since the last snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.log.entries_since_snapshot()
    }

    /// True where this folder lost acknowledged entries and can only be
    /// replaced.
    pub fn is_barred(&self) -> bool {
        self.hard.barred
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        self.send_hellos(now);
        if !self.can_participate() {
            return;
        }
        if self.is_leader() {
            self.tick_leader(now);
            return;
        }
        if now >= self.election_at && self.is_voter() {
            self.reset_election_timer(now);
            self.ask_pre_votes(now);
        }
        if self.is_restart_poll_due(now) {
            self.restart_poll_at = now + RESTART_POLL_SPREAD;
            self.ask_pre_votes(now);
        }
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Duration, message: MemberMessage) {
        if *message.to != *self.identity.instance {
            return;
        }
        // Guards against an instance that lost its folder and came back
        // empty under the same name: it must not take part with the
        // standing of the folder that it lost.
        let meant = message.to_folder;
        if meant.is_some_and(|folder| folder != self.identity.folder) {
            return;
        }
        match message.body {
            MessageBody::Hello { fresh } => {
                self.handle_hello(now, &message, fresh);
                return;
            }
            MessageBody::HelloAnswer { .. } => {
                self.handle_hello_answer(now, message);
                return;
            }
            MessageBody::Distrust { mark } => {
                self.handle_distrust(now, mark);
                return;
            }
            _ => {}
        }
        if self.can_participate() && self.trusts(&message) {
            self.handle_member_message(now, message);
        }
    }

    fn handle_member_message(&mut self, now: Duration, message: MemberMessage) {
        match &message.body {
            MessageBody::PreVote { last } => self.answer_pre_vote(now, &message, *last),
            MessageBody::PreVoteAnswer {
                next_term,
                granted,
                idle,
            } => {
                let reply = PreVoteReply {
                    granted: *granted,
                    idle: *idle,
                };
                self.handle_pre_vote_answer(now, &message, *next_term, reply);
            }
            MessageBody::Vote {
                last,
                handed_over,
                all_idle,
            } => {
                let waiver = LeaseWaiver {
                    handed_over: *handed_over,
                    all_idle: *all_idle,
                };
                self.answer_vote(now, &message, *last, waiver);
            }
            MessageBody::VoteAnswer { granted } => {
                self.handle_vote_answer(now, &message, *granted);
            }
            MessageBody::Append { .. } | MessageBody::Install { .. } => {
                self.handle_leader_message(now, message);
            }
            MessageBody::AppendAnswer { matched, sent_at } => {
                self.handle_append_answer(now, &message, *matched, *sent_at);
            }
            MessageBody::TakeOver => self.handle_take_over(now, &message),
            MessageBody::Hello { .. }
            | MessageBody::HelloAnswer { .. }
            | MessageBody::Distrust { .. } => {}
        }
    }

    /// Every write up to `sequence` is synced.
    pub fn persisted(&mut self, now: Duration, sequence: u64) {
        let synced = self.output.synced_index();
        self.output.persisted(sequence);
        if !self.can_participate() {
            return;
        }
        match self.election_state {
            ElectionState::Leader(_) => self.advance_commit(),
            ElectionState::Candidate(_) => self.count_votes(now),
            ElectionState::Follower | ElectionState::PreCandidate(_) => {
                if self.output.synced_index() != synced {
                    self.acknowledge();
                }
            }
        }
    }

    /// The disk failed. What it holds is not known any more, so this
    /// member neither votes nor acknowledges until its process ends.
    pub fn disk_failed(&mut self) {
        self.disk_failed = true;
        self.election_state = ElectionState::Follower;
        self.output.clear();
    }

    /// Hands out what was decided since the last time.
    pub fn take_output(&mut self, now: Duration) -> MemberOutput {
        if self.disk_failed {
            self.output.pending().hard = None;
        }
        if self.is_leader() {
            self.replicate(now);
        }
        let (write, messages) = self.output.take(self.log.last().index);
        let restored = self.take_restored();
        let mut committed = Vec::new();
        while self.delivered < self.commit {
            let Some(entry) = self.log.entry(self.delivered + 1) else {
                break;
            };
            committed.push(entry.clone());
            self.delivered += 1;
        }
        MemberOutput {
            write: write.filter(|_| !self.disk_failed),
            messages,
            restored,
            committed,
            notes: std::mem::take(&mut self.plan_notes),
        }
    }

    fn take_restored(&mut self) -> Option<ReplicaSnapshot> {
        if !std::mem::take(&mut self.restored) {
            return None;
        }
        let snapshot = self.log.snapshot().clone();
        self.delivered = snapshot.version.index;
        Some(snapshot)
    }

    /// True where this member may vote, acknowledge and lead.
    pub(super) fn can_participate(&self) -> bool {
        !self.disk_failed && !self.hard.barred
    }

    pub(super) fn is_voter(&self) -> bool {
        let members = self.log.members();
        members.is_voter(&self.identity.instance, self.identity.folder)
    }

    /// Follows in `term`, with nobody known to lead it yet.
    pub(super) fn become_follower(&mut self, now: Duration, term: u64) {
        if term > self.hard.term {
            self.set_hard(HardState {
                term,
                voted_for: None,
                barred: false,
            });
            self.leader = None;
            self.matched_index = 0;
        }
        self.election_state = ElectionState::Follower;
        self.reset_election_timer(now);
    }

    /// Version of the last entry.
    pub fn last(&self) -> ConfigVersion {
        self.log.last()
    }
}
