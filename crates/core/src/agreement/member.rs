//! The consensus state of one member.
//!
//! The caller drives it through [`AgreementMember::tick`],
//! [`AgreementMember::receive`] and [`AgreementMember::persisted`]. The
//! protocol itself is implemented in `election`, `follower`, `leadership`,
//! `bootstrap` and `membership`.

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
use crate::agreement::replica_log::LogSize;
use crate::agreement::replica_log::ReplicaLog;
use crate::agreement::replica_log::UnreadableEntry;
use crate::agreement::saved_state::HardState;
use crate::agreement::saved_state::MemberIdentity;
use crate::agreement::saved_state::ReopenedFolder;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::agreement::saved_state::SavedState;
use crate::agreement::saved_state::WriteBatch;
use crate::agreement::sync_timer::SyncTimer;
use crate::agreement::timing::ELECTION_TIMEOUT_MIN;
use crate::agreement::timing::STEP_DOWN_TIMEOUT;
use crate::agreement::voter_plan::PlanNote;
use crate::agreement::voter_plan::PlanVerdict;
use crate::version::ConfigVersion;

/// Size in bytes of the committed entries from which on no more are handed over at
/// once. Bounds the time in which a member that applies a long log does nothing else.
const DELIVERED_BYTES_MAX: usize = 1024 * 1024;

/// A member's part in the current term.
#[derive(Clone, Debug)]
pub(super) enum ElectionState {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would win an election; holds the answers so far.
    PreCandidate(PreVotes),
    /// Requests votes; holds the voters that granted theirs.
    Candidate(BTreeSet<Arc<str>>),
    /// Leads the term.
    Leader(Leadership),
}

impl ElectionState {
    /// Votes for this member in its current term; `None` if it accepts none.
    ///
    /// Voters with slow disks answer after several election timeouts, so a
    /// candidate goes on counting votes while it asks for the next pre-votes.
    pub(super) fn votes(&self) -> Option<&BTreeSet<Arc<str>>> {
        match self {
            Self::Candidate(votes) => Some(votes),
            Self::PreCandidate(pre_votes) => pre_votes.votes.as_ref(),
            Self::Follower | Self::Leader(_) => None,
        }
    }

    /// Like [`Self::votes`], to add one or to take them.
    pub(super) fn votes_mut(&mut self) -> Option<&mut BTreeSet<Arc<str>>> {
        match self {
            Self::Candidate(votes) => Some(votes),
            Self::PreCandidate(pre_votes) => pre_votes.votes.as_mut(),
            Self::Follower | Self::Leader(_) => None,
        }
    }
}

/// The leader as known to one member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderStatus {
    /// The leader, if known.
    pub leader: Option<LeaderContact>,
    /// True if this member leads, holds the lease and has committed an entry
    /// of its own term, and with it all that earlier leaders committed.
    pub leading: bool,
    /// If `leading`: when the lease expires unless it is renewed.
    pub lease_until: Option<Duration>,
}

/// Work that a member hands to its caller.
#[derive(Clone, Debug, Default)]
pub struct MemberOutput {
    /// Batch to write and sync; the caller reports its sequence to
    /// [`AgreementMember::persisted`].
    pub write: Option<WriteBatch>,
    /// Messages to send; they may be reordered or lost.
    pub messages: Vec<AddressedMessage>,
    /// Snapshot that replaces the whole replicated state.
    pub restored: Option<ReplicaSnapshot>,
    /// Newly committed entries, in log order.
    pub committed: Vec<LogEntry>,
    /// New decisions about membership, for the log.
    pub notes: Vec<PlanNote>,
    /// The data folder cannot be read; it must be reopened.
    pub folder_failed: bool,
}

/// One member of the consensus group.
#[derive(Clone, Debug)]
pub struct AgreementMember {
    pub(super) identity: MemberIdentity,
    /// Instances named in the settings. They are the first voters of a new
    /// log, and receive hellos from this instance.
    pub(super) seeds: Vec<(Arc<str>, SocketAddr)>,
    pub(super) random: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: ReplicaLog,
    pub(super) commit: u64,
    /// Index of the last committed entry handed to the caller.
    pub(super) delivered: u64,
    /// Encoded size in bytes of the entries delivered since the last snapshot.
    pub(super) delivered_bytes: usize,
    /// Size in bytes of the entries delivered since the last snapshot at which the next
    /// one is taken.
    pub(super) snapshot_due_bytes: usize,
    /// True once the data folder did not give an entry that it should hold.
    pub(super) unreadable: bool,
    /// True while a new snapshot has not been handed to the caller.
    pub(super) restored: bool,
    pub(super) election_state: ElectionState,
    pub(super) output: OutputQueue,
    pub(super) sync_timer: SyncTimer,
    pub(super) watermarks: FolderWatermarks,
    pub(super) received_hellos: BTreeMap<Arc<str>, ReceivedHello>,
    /// Instances named in hello answers.
    pub(super) contacts: ContactBook,
    /// Seeds that answered a hello sent since this process started.
    pub(super) hello_answers: BTreeMap<Arc<str>, ReceivedHello>,
    /// Data folder of each instance whose hello this one answered while it
    /// had never held an entry.
    pub(super) answered_folders: BTreeMap<Arc<str>, u64>,
    pub(super) disk_failed: bool,
    /// Leader of the current term, once it has sent a message.
    pub(super) leader: Option<LeaderContact>,
    /// Data folder of `leader`.
    pub(super) leader_folder: u64,
    /// Leader that another instance named, and when somebody last received a message
    /// from it.
    pub(super) leader_hint: Option<(LeaderContact, Duration)>,
    /// When the leader's last message arrived; `None` before the first one.
    pub(super) leader_message_at: Option<Duration>,
    /// Last index known to match the leader's log.
    pub(super) matched_index: u64,
    /// Send time of the leader's latest message, on the leader's clock.
    pub(super) leader_sent_at: Duration,
    /// No vote is granted before this time.
    pub(super) no_vote_until: Duration,
    pub(super) election_at: Duration,
    /// True if `election_at` was put off for another candidate.
    pub(super) election_deferred: bool,
    /// When this member next asks whether all voters have restarted.
    pub(super) restart_poll_at: Duration,
    pub(super) next_hello_at: Duration,
    pub(super) may_bootstrap: bool,
    /// Number of voters that the leader maintains by itself; 0 leaves
    /// membership to operators.
    pub(super) voter_target: usize,
    /// Membership verdict that was last added to `plan_notes`.
    pub(super) last_plan_verdict: PlanVerdict,
    pub(super) plan_notes: Vec<PlanNote>,
}

impl AgreementMember {
    /// Creates a member from the contents of its data folder.
    ///
    /// `seed` initializes the random numbers of its timeouts.
    pub fn open(
        identity: MemberIdentity,
        seeds: Vec<(Arc<str>, SocketAddr)>,
        saved: SavedState,
        now: Duration,
        seed: u64,
    ) -> Self {
        let hard = saved.hard.clone();
        let log = ReplicaLog::new(saved);
        let commit = log.snapshot().version.index;
        let mut member = Self {
            identity,
            seeds,
            random: SmallRng::seed_from_u64(seed),
            hard,
            commit,
            delivered: commit,
            delivered_bytes: 0,
            snapshot_due_bytes: 0,
            unreadable: false,
            restored: commit > 0,
            election_state: ElectionState::Follower,
            output: OutputQueue::new(log.last().index),
            sync_timer: SyncTimer::default(),
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
            leader_message_at: None,
            matched_index: 0,
            leader_sent_at: Duration::ZERO,
            // Guards against two leaders that answer as fresh at once: this
            // voter may have granted a lease before it crashed, and that
            // lease is not on disk.
            no_vote_until: now + ELECTION_TIMEOUT_MIN,
            election_at: now,
            election_deferred: false,
            restart_poll_at: now,
            next_hello_at: now,
            may_bootstrap: true,
            voter_target: 0,
            last_plan_verdict: PlanVerdict::Keep,
            plan_notes: Vec::new(),
        };
        member.plan_snapshot();
        member.reset_election_timer(now);
        member.delay_restart_poll(now, Duration::ZERO);
        member
    }

    /// Returns this member with its data folder reopened, as after a process
    /// restart: state that was held only in memory is dropped.
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

    /// Prevents this member from bootstrapping a log, because the fleet
    /// already has one.
    ///
    /// Guards against an instance that returns with an empty folder while all
    /// others are down: it would bootstrap a second log, in which operators
    /// would find none of the accepted changes.
    pub fn forbid_bootstrap(&mut self) {
        self.may_bootstrap = false;
    }

    /// Makes this member, while it leads, add instances that send hellos until
    /// there are `wanted` voters, and replace lost folders of returned members.
    pub fn set_voter_target(&mut self, wanted: usize) {
        self.voter_target = wanted;
    }

    /// Replaces the instances that receive hellos besides the members, by name
    /// and address. Ignored by a member that may still bootstrap the log, since
    /// all seeds must agree on which of them does.
    pub fn set_seeds(&mut self, seeds: Vec<(Arc<str>, SocketAddr)>) {
        let may_bootstrap = self.may_bootstrap && self.log.last() == ConfigVersion::ZERO;
        if !may_bootstrap {
            self.seeds = seeds;
        }
    }

    /// The leader as known to this member.
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
        let known = self.heard_leader(now);
        LeaderStatus {
            leader: known.map(|(leader, _)| leader.clone()),
            leading: false,
            lease_until: None,
        }
    }

    /// The leader of which this member, or one that told it, has received a message
    /// within [`STEP_DOWN_TIMEOUT`], and when that was.
    pub(super) fn heard_leader(
        &self,
        now: Duration,
    ) -> Option<(&LeaderContact, Duration)> {
        let heard = self.leader.as_ref().zip(self.leader_message_at);
        let hinted = self.leader_hint.as_ref().map(|(leader, at)| (leader, *at));
        let is_live = |at: Duration| now < at + STEP_DOWN_TIMEOUT;
        let heard = heard.filter(|(_, at)| is_live(*at));
        heard.or(hinted.filter(|(_, at)| is_live(*at)))
    }

    /// Highest term that this member has seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// True while this member leads its term, with or without a lease.
    pub fn is_leader(&self) -> bool {
        matches!(self.election_state, ElectionState::Leader(_))
    }

    /// True if `instance` is this member's own name.
    pub fn is_named(&self, instance: &str) -> bool {
        *self.identity.instance == *instance
    }

    /// Index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Members as of the last log entry, committed or not.
    pub fn members(&self) -> &MemberList {
        self.log.members()
    }

    /// The entry at `index`, if the log still holds it.
    pub fn entry(&self, index: u64) -> Option<LogEntry> {
        self.log.read(index).ok().flatten()
    }

    /// Version of the entry at `index`, if the log or the snapshot knows it.
    pub fn version_at(&self, index: u64) -> Option<ConfigVersion> {
        self.log.version_at(index)
    }

    /// Number and encoded size of the log entries.
    pub fn log_size(&self) -> LogSize {
        self.log.size()
    }

    /// Size in bytes of the entries applied after the last snapshot at which the next
    /// one is taken.
    pub fn snapshot_due_bytes(&self) -> usize {
        self.snapshot_due_bytes
    }

    /// Number of log entries after the last snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.log.entries_since_snapshot()
    }

    /// True if this data folder lost acknowledged entries and must be replaced.
    pub fn is_barred(&self) -> bool {
        self.hard.barred
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) {
        self.send_hellos(now);
        if !self.can_participate() {
            return;
        }
        if self.is_leader() {
            self.tick_leader(now);
            return;
        }
        self.tick_election(now);
    }

    /// Handles a message from another instance.
    pub fn receive(&mut self, now: Duration, message: MemberMessage) {
        if *message.to != *self.identity.instance {
            return;
        }
        // Guards against an instance that lost its folder and returned empty
        // under the same name: messages meant for the lost folder must not
        // give the new one its vote.
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

    /// Records that every batch up to `sequence` is synced.
    pub fn persisted(&mut self, now: Duration, sequence: u64) {
        let synced = self.output.synced_index();
        let was_hard_synced = self.output.hard_synced();
        self.output.persisted(sequence);
        self.sync_timer.end(now, sequence);
        if !was_hard_synced && self.output.hard_synced() {
            // Vote requests and answers are sent from now on.
            self.reset_election_timer(now);
        }
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

    /// Records that the disk failed. Its contents are unknown from now on, so
    /// this member neither votes nor acknowledges until its folder is reopened
    /// or its process restarts.
    pub fn disk_failed(&mut self) {
        self.disk_failed = true;
        self.election_state = ElectionState::Follower;
        self.output.clear();
    }

    /// Takes the work that has accumulated since the last call.
    pub fn take_output(&mut self, now: Duration) -> MemberOutput {
        if self.disk_failed {
            self.output.pending().hard = None;
        }
        if self.is_leader() {
            self.replicate(now);
        }
        let (write, mut messages) = self.output.take(self.log.last().index);
        if let Some(batch) = &write {
            self.sync_timer.begin(now, batch.sequence);
        }
        let restored = self.take_restored();
        let committed = self.take_committed();
        self.log.release_until(self.output.synced_index());
        let folder_failed = std::mem::take(&mut self.unreadable);
        if folder_failed {
            self.log.close_archive();
            self.disk_failed();
            messages.clear();
        }
        MemberOutput {
            write: write.filter(|_| !self.disk_failed),
            messages,
            restored,
            committed,
            notes: std::mem::take(&mut self.plan_notes),
            folder_failed,
        }
    }

    /// Takes the next committed entries, as many as one call may hand over.
    fn take_committed(&mut self) -> Vec<LogEntry> {
        let mut committed = Vec::new();
        let mut bytes = 0;
        while self.delivered < self.commit && bytes < DELIVERED_BYTES_MAX {
            let index = self.delivered + 1;
            let entry = match self.log.read(index) {
                Ok(Some(entry)) => entry,
                Ok(None) => break,
                Err(UnreadableEntry) => {
                    self.unreadable = !self.disk_failed;
                    break;
                }
            };
            committed.push(entry);
            bytes += self.log.bytes_between(index, index + 1);
            self.delivered = index;
        }
        self.delivered_bytes += bytes;
        committed
    }

    /// True if committed entries wait for the next call of [`Self::take_output`].
    pub fn has_undelivered(&self) -> bool {
        self.delivered < self.commit && !self.disk_failed
    }

    fn take_restored(&mut self) -> Option<ReplicaSnapshot> {
        if !std::mem::take(&mut self.restored) {
            return None;
        }
        let snapshot = self.log.snapshot().clone();
        self.delivered = snapshot.version.index;
        Some(snapshot)
    }

    /// True if this member may vote, acknowledge and lead.
    pub(super) fn can_participate(&self) -> bool {
        !self.disk_failed && !self.hard.barred
    }

    pub(super) fn is_voter(&self) -> bool {
        let members = self.log.members();
        members.is_voter(&self.identity.instance, self.identity.folder)
    }

    /// Becomes a follower. In a later term than the current one, no leader is
    /// known yet.
    pub(super) fn become_follower(&mut self, now: Duration, term: u64) {
        if term > self.hard.term {
            self.set_hard_state(HardState {
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
