//! Replication by the leader, its commit index and its lease.
//!
//! Load pattern: bursts of changes, and members that fall behind. Entries are
//! pipelined up to a window and batched into messages; otherwise each change
//! would wait for a round trip and two syncs of its own. A member that misses
//! entries is probed with one message at a time until its log matches, instead
//! of being sent the whole window again and again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::folder_watermarks::FolderWatermark;
use crate::agreement::log_entry::EntryBody;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::member::AgreementMember;
use crate::agreement::member::ElectionState;
use crate::agreement::member_list::MemberList;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::member_message::MessageBody;
use crate::agreement::replica_log::ReplicaLog;
use crate::agreement::replica_log::UnreadableEntry;
use crate::agreement::timing::ELECTION_TIMEOUT_MIN;
use crate::agreement::timing::HAND_OVER_TIMEOUT;
use crate::agreement::timing::HEARTBEAT_INTERVAL;
use crate::agreement::timing::INSTALL_TIMEOUT;
use crate::agreement::timing::LEASE_DURATION;
use crate::agreement::timing::PEER_LIVE_TIMEOUT;
use crate::agreement::timing::STEP_DOWN_TIMEOUT;
use crate::departure::Departure;
use crate::version::ConfigVersion;

/// Maximum number of unacknowledged entries in flight to one member. A round
/// trip with its sync takes about 10 ms, so the window allows 100,000 changes
/// a second, far more than any disk can sync.
const WINDOW_ENTRIES: u64 = 1_024;

/// Maximum size of the unacknowledged entries in flight to one member, in bytes;
/// an entry is sent as long as those before it take less. Bounds the messages
/// that wait for a slow member, and their decoding there.
const WINDOW_BYTES: usize = 2 * APPEND_BYTES;

/// Maximum size of the entries in one message, in bytes; a larger entry is sent
/// alone.
const APPEND_BYTES: usize = 1024 * 1024;

/// Maximum number of uncommitted entries; further changes are refused. Bounds
/// memory, and the wait of operators to a few seconds.
const UNCOMMITTED_MAX: u64 = 1_024;

/// Maximum size of the uncommitted entries, in bytes; further changes are refused.
const UNCOMMITTED_BYTES_MAX: usize = 8 * APPEND_BYTES;

/// Replication progress of one other member.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerProgress {
    /// Data folder of the member.
    folder: u64,
    /// Index of the next entry to send.
    next: u64,
    /// Index of the first entry sent since the member was last found to hold the
    /// entry before it, or was taken to.
    sent_from: u64,
    /// Index of the last entry known to be synced by the member.
    pub(super) matched: u64,
    /// Latest send time, on the leader's clock, that the member acknowledged.
    acked_sent_at: Option<Duration>,
    /// Time of the last answer.
    answered_at: Option<Duration>,
    /// Index of an unacknowledged snapshot, and when its timeout ends.
    installing: Option<(u64, Duration)>,
    /// Entries were missing: one message at a time is sent until the logs
    /// match.
    probing: bool,
    /// A message was sent since the last heartbeat; while probing, no other
    /// entries are sent before the next heartbeat.
    probe_in_flight: bool,
    /// Commit index last sent to the member.
    sent_commit: u64,
}

impl PeerProgress {
    /// True if the member answered within [`PEER_LIVE_TIMEOUT`].
    pub(super) fn is_live(&self, now: Duration) -> bool {
        self.answered_at
            .is_some_and(|at| now < at + PEER_LIVE_TIMEOUT)
    }

    /// Time of the member's last answer.
    pub(super) fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    /// True if a snapshot may be sent: the member answers heartbeats, and no
    /// other snapshot is in flight. A snapshot to an unreachable member would
    /// be lost and block others until its timeout.
    fn may_send_snapshot(&self, now: Duration) -> bool {
        let waiting = self.installing.is_some_and(|(_, until)| now < until);
        self.is_live(now) && !waiting
    }

    fn may_send_entries(&self, log: &ReplicaLog) -> bool {
        let open = !self.probing || !self.probe_in_flight;
        if self.next > log.last().index || !open {
            return false;
        }
        let first = self.sent_from.max(self.matched + 1);
        // Entries that the log has given up since they were sent still count as in
        // flight: the member is far behind or does not answer.
        first >= log.first_index()
            && self.next.saturating_sub(first) < WINDOW_ENTRIES
            && log.bytes_between(first, self.next) < WINDOW_BYTES
    }
}

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    since: Duration,
    /// Index of the first entry of the leader's term. The leader holds no lease
    /// before this entry is committed and applied.
    pub(super) first_index: u64,
    heartbeat_at: Duration,
    heartbeat_due: bool,
    pub(super) peers: BTreeMap<Arc<str>, PeerProgress>,
    /// Set while leadership is being handed over: when the timeout ends.
    handing_over: Option<Duration>,
}

impl Leadership {
    /// Time at which this member became leader.
    pub(super) fn since(&self) -> Duration {
        self.since
    }

    /// Latest time such that a majority has acknowledged a message sent at that
    /// time or later.
    fn confirmed_at(&self, member: &AgreementMember, now: Duration) -> Option<Duration> {
        let own = &member.identity.instance;
        let reached = member.log.members().quorum_value(|voter| {
            if voter == own {
                return Some(now);
            }
            self.peers.get(voter).and_then(|peer| peer.acked_sent_at)
        });
        reached.flatten()
    }

    /// True if no other leader can have been elected yet.
    pub(super) fn is_confirmed(&self, member: &AgreementMember, now: Duration) -> bool {
        let at = self.confirmed_at(member, now);
        at.is_some_and(|at| now < at + ELECTION_TIMEOUT_MIN)
    }

    /// True if the leader may accept changes and answer as fresh.
    ///
    /// Guards against a partitioned leader that serves old configurations as
    /// current while a new leader accepts changes; see
    /// [`crate::agreement::timing`].
    pub(super) fn is_fresh(&self, member: &AgreementMember, now: Duration) -> bool {
        self.lease_until(member, now).is_some()
    }

    /// When the lease expires, or `None` if the leader does not hold it.
    pub(super) fn lease_until(
        &self,
        member: &AgreementMember,
        now: Duration,
    ) -> Option<Duration> {
        if member.delivered < self.first_index || self.handing_over.is_some() {
            return None;
        }
        let until = self.confirmed_at(member, now)? + LEASE_DURATION;
        (now < until).then_some(until)
    }
}

impl AgreementMember {
    /// Becomes leader of the current term and appends its first entry.
    pub(super) fn become_leader(&mut self, now: Duration) {
        self.begin_leadership(now);
        self.append_as_leader(EntryBody::Blank);
    }

    pub(super) fn begin_leadership(&mut self, now: Duration) {
        self.leader = None;
        self.election_state = ElectionState::Leader(Leadership {
            since: now,
            first_index: self.log.last().index + 1,
            heartbeat_at: now + HEARTBEAT_INTERVAL,
            heartbeat_due: true,
            peers: BTreeMap::new(),
            handing_over: None,
        });
        let reported = FolderWatermark {
            start: self.identity.start,
            synced: self.output.synced_index(),
            term: self.hard.term,
        };
        self.watermarks.observe(self.identity.folder, reported);
    }

    pub(super) fn append_as_leader(&mut self, body: EntryBody) -> ConfigVersion {
        if let EntryBody::Members(members) = &body {
            self.drop_replaced_peers(members);
        }
        let version = self.next_version();
        self.append(LogEntry::new(version, body));
        version
    }

    /// Drops the progress of data folders that are no longer in `members`.
    ///
    /// Guards against a repaired member that inherits the progress of its lost
    /// folder: acknowledgements of that folder would count for the new one, and
    /// the entries before them would not be sent.
    fn drop_replaced_peers(&mut self, members: &MemberList) {
        let ElectionState::Leader(leadership) = &mut self.election_state else {
            return;
        };
        let peers = &mut leadership.peers;
        peers.retain(|name, peer| members.contains(name, peer.folder));
    }

    /// Appends an entry and returns its version, or `None` if this member does
    /// not hold the leader lease or has too many uncommitted entries.
    pub fn propose(&mut self, now: Duration, body: EntryBody) -> Option<ConfigVersion> {
        self.accepts_changes(now)
            .then(|| self.append_as_leader(body))
    }

    /// Appends a departure to the log; `None` if this member accepts no changes at
    /// present.
    pub fn propose_departure(
        &mut self,
        now: Duration,
        departure: Departure,
    ) -> Option<ConfigVersion> {
        if !self.accepts_changes(now) {
            return None;
        }
        let version = self.next_version();
        self.append(LogEntry::of_departure(version, departure));
        Some(version)
    }

    fn accepts_changes(&self, now: Duration) -> bool {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return false;
        };
        leadership.is_fresh(self, now) && !self.has_full_backlog()
    }

    /// Version of the next entry that this leader appends.
    fn next_version(&self) -> ConfigVersion {
        ConfigVersion::new(self.hard.term, self.log.last().index + 1)
    }

    /// True if the entries that wait to be committed are as many or as large as may
    /// wait at once.
    fn has_full_backlog(&self) -> bool {
        let end = self.log.last().index + 1;
        let first = self.commit + 1;
        end - first >= UNCOMMITTED_MAX
            || self.log.bytes_between(first, end) >= UNCOMMITTED_BYTES_MAX
    }

    /// Runs the leader's timers that are due at `now`.
    pub(super) fn tick_leader(&mut self, now: Duration) {
        let ElectionState::Leader(leadership) = &mut self.election_state else {
            return;
        };
        if now >= leadership.heartbeat_at {
            leadership.heartbeat_at = now + HEARTBEAT_INTERVAL;
            leadership.heartbeat_due = true;
        }
        let ElectionState::Leader(leadership) = &self.election_state else {
            return;
        };
        let confirmed = leadership.confirmed_at(self, now);
        let since = confirmed.unwrap_or_default().max(leadership.since);
        let until = leadership.handing_over;
        if now >= since + STEP_DOWN_TIMEOUT || until.is_some_and(|until| now >= until) {
            self.become_follower(now, self.hard.term);
            return;
        }
        if until.is_some() {
            self.finish_hand_over(now);
            return;
        }
        self.promote_learner(now);
        self.maintain_voters(now);
    }

    /// Transfers leadership to a member that holds the whole log, before a
    /// planned stop. The next leader then serves after one round trip.
    pub fn hand_over(&mut self, now: Duration) {
        let alone = self.log.members().voters().count() < 2;
        let ElectionState::Leader(leadership) = &mut self.election_state else {
            return;
        };
        if alone {
            return;
        }
        leadership.handing_over = Some(now + HAND_OVER_TIMEOUT);
        self.finish_hand_over(now);
    }

    fn finish_hand_over(&mut self, now: Duration) {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return;
        };
        let last = self.log.last().index;
        let mut successor = None;
        for voter in self.log.members().voters() {
            let Some(peer) = leadership.peers.get(voter) else {
                continue;
            };
            if peer.matched == last && peer.is_live(now) {
                successor = Some(Arc::clone(voter));
            }
        }
        let Some(successor) = successor else {
            return;
        };
        // Stepping down first ends the lease, so that the successor's voters
        // need not wait for it.
        self.become_follower(now, self.hard.term);
        self.send(&successor, MessageBody::TakeOver);
    }

    pub(super) fn handle_append_answer(
        &mut self,
        now: Duration,
        message: &MemberMessage,
        matched: Result<u64, u64>,
        sent_at: Duration,
    ) {
        if message.term > self.hard.term {
            self.become_follower(now, message.term);
            return;
        }
        if message.term < self.hard.term || !self.is_listed(message) {
            return;
        }
        let ElectionState::Leader(leadership) = &mut self.election_state else {
            return;
        };
        let Some(peer) = leadership.peers.get_mut(&message.from) else {
            return;
        };
        peer.answered_at = Some(now);
        if sent_at > Duration::ZERO {
            peer.acked_sent_at = peer.acked_sent_at.max(Some(sent_at));
        }
        match matched {
            Ok(matched) => peer.record_match(matched),
            Err(held) => peer.record_mismatch(held),
        }
        self.advance_commit();
    }

    /// Advances the commit index to the last entry that a majority has synced,
    /// if that entry is of the current term.
    ///
    /// Guards against committing an entry of an earlier term by counting its
    /// copies: a member without it could still be elected and undo the change.
    pub(super) fn advance_commit(&mut self) {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return;
        };
        let own = &self.identity.instance;
        let synced = self.output.synced_index();
        let quorum_index = self.log.members().quorum_value(|voter| {
            if voter == own {
                return synced;
            }
            leadership.peers.get(voter).map_or(0, |peer| peer.matched)
        });
        let quorum_index = quorum_index.unwrap_or(0);
        let version = self.log.version_at(quorum_index);
        let own_term = version.is_some_and(|version| version.term == self.hard.term);
        if quorum_index > self.commit && own_term {
            self.commit = quorum_index;
        }
        self.record_acknowledged(synced);
        if self.commit >= self.log.members_index() && !self.is_voter() {
            // The member list just committed removed this leader.
            self.election_state = ElectionState::Follower;
        }
    }

    fn record_acknowledged(&mut self, synced: u64) {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return;
        };
        for (name, record) in self.log.members().iter() {
            let matched = if *name == self.identity.instance {
                synced
            } else {
                leadership.peers.get(name).map_or(0, |peer| peer.matched)
            };
            let index = matched.min(self.commit);
            self.watermarks.record_acknowledged(record.folder, index);
        }
    }

    /// Sends due entries, snapshots and heartbeats to all other members.
    pub(super) fn replicate(&mut self, now: Duration) {
        let next = self.log.last().index;
        let targets = self.replication_targets();
        let ElectionState::Leader(leadership) = &mut self.election_state else {
            return;
        };
        let heartbeat = std::mem::take(&mut leadership.heartbeat_due);
        for (peer, folder) in targets {
            let ElectionState::Leader(leadership) = &mut self.election_state else {
                return;
            };
            let known = leadership.peers.remove(&peer);
            let mut progress = known.unwrap_or_else(|| PeerProgress {
                folder,
                next,
                sent_from: next,
                ..PeerProgress::default()
            });
            if heartbeat {
                progress.probe_in_flight = false;
            }
            let progress = self.replicate_to(now, &peer, progress, heartbeat);
            if let ElectionState::Leader(leadership) = &mut self.election_state {
                leadership.peers.insert(peer, progress);
            }
        }
    }

    fn replicate_to(
        &mut self,
        now: Duration,
        peer: &Arc<str>,
        mut progress: PeerProgress,
        heartbeat: bool,
    ) -> PeerProgress {
        if !self.can_append_to(&progress) && !progress.may_send_snapshot(now) {
            if heartbeat {
                self.send_append(now, peer, ConfigVersion::ZERO, Vec::new(), heartbeat);
            }
            return progress;
        }
        let commit_advanced = progress.sent_commit < self.commit;
        let mut due = heartbeat || commit_advanced;
        while due || (progress.may_send_entries(&self.log) && !self.unreadable) {
            due = false;
            let previous = self.log.version_at(progress.next - 1);
            let Some(previous) = previous.filter(|_| progress.installing.is_none())
            else {
                self.send_snapshot(now, peer, &mut progress);
                break;
            };
            let entries = self.next_entries(&progress);
            progress.next += entries.len() as u64;
            progress.probe_in_flight = true;
            progress.sent_commit = self.commit;
            self.send_append(now, peer, previous, entries, heartbeat);
        }
        progress
    }

    /// True if the log still holds the entry before the next one to send, and
    /// no snapshot is in flight.
    fn can_append_to(&self, progress: &PeerProgress) -> bool {
        let held = self.log.version_at(progress.next - 1).is_some();
        held && progress.installing.is_none()
    }

    fn next_entries(&mut self, progress: &PeerProgress) -> Vec<LogEntry> {
        if !progress.may_send_entries(&self.log) {
            return Vec::new();
        }
        let batch = self
            .log
            .batch_from(progress.next, WINDOW_ENTRIES, APPEND_BYTES);
        batch.unwrap_or_else(|UnreadableEntry| {
            self.unreadable = true;
            Vec::new()
        })
    }

    fn send_append(
        &mut self,
        now: Duration,
        peer: &Arc<str>,
        previous: ConfigVersion,
        entries: Vec<LogEntry>,
        heartbeat: bool,
    ) {
        let marks = if heartbeat {
            self.watermarks.marks().clone()
        } else {
            BTreeMap::new()
        };
        let body = MessageBody::Append {
            previous,
            entries,
            commit: self.commit,
            sent_at: now,
            marks,
        };
        self.send(peer, body);
    }

    fn send_snapshot(
        &mut self,
        now: Duration,
        peer: &Arc<str>,
        progress: &mut PeerProgress,
    ) {
        let snapshot = self.log.snapshot().clone();
        let index = snapshot.version.index;
        progress.installing = Some((index, now + INSTALL_TIMEOUT));
        progress.next = index + 1;
        progress.sent_from = progress.next;
        let sent_at = now;
        self.send(peer, MessageBody::Install { snapshot, sent_at });
    }
}

impl PeerProgress {
    fn record_match(&mut self, matched: u64) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(matched + 1);
        if matched > 0 {
            self.probing = false;
        }
        if self.installing.is_some_and(|(index, _)| matched >= index) {
            self.installing = None;
        }
    }

    fn record_mismatch(&mut self, held: u64) {
        if held + 1 >= self.next {
            return;
        }
        self.next = held + 1;
        self.sent_from = self.next;
        if !self.probing {
            self.probing = true;
            self.probe_in_flight = false;
        }
    }
}
