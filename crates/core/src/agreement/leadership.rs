//! What a leader does: sends entries, counts acknowledgements and leases.
//!
//! Load pattern: bursts of changes, and members that fall behind. Entries
//! are sent without waiting for the answers to those before, up to a
//! window, and many in one message; without that each change would wait
//! for a round trip and two syncs of its own. A member that misses entries
//! is asked once for what it holds, instead of being sent the whole window
//! over and over.

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
use crate::agreement::timing::ELECTION_TIMEOUT_MIN;
use crate::agreement::timing::HAND_OVER_TIMEOUT;
use crate::agreement::timing::HEARTBEAT_INTERVAL;
use crate::agreement::timing::INSTALL_TIMEOUT;
use crate::agreement::timing::LEASE_DURATION;
use crate::agreement::timing::PEER_LIVE_TIMEOUT;
use crate::agreement::timing::STEP_DOWN_TIMEOUT;
use crate::version::ConfigVersion;

/// Entries sent to a member ahead of its acknowledgements. A round trip
/// with its sync takes some 10 ms, so that this carries bursts of 100,000
/// changes a second, far above any disk.
const WINDOW_ENTRIES: u64 = 1_024;

/// Rough size of the entries of one message, in bytes; one larger entry
/// still goes alone. A sixteenth of the largest message.
const APPEND_BYTES: usize = 1024 * 1024;

/// Entries not committed yet, beyond which changes are refused: operators
/// wait some seconds at most, and memory stays bounded.
const UNCOMMITTED_MAX: u64 = 1_024;

/// How far one other member has come.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerProgress {
    /// Data folder that this is about.
    folder: u64,
    /// Next entry to send.
    next: u64,
    /// Last entry known to be synced there.
    pub(super) matched: u64,
    /// Latest own clock that came back.
    acked_sent_at: Option<Duration>,
    /// Last time anything came.
    last_heard: Option<Duration>,
    /// Index of a snapshot on its way, and until when it is waited for.
    installing: Option<(u64, Duration)>,
    /// Entries were missing there; one message at a time until it agrees.
    probing: bool,
    probe_in_flight: bool,
    sent_commit: u64,
}

impl PeerProgress {
    /// True where the member was heard of a short while ago.
    pub(super) fn is_live(&self, now: Duration) -> bool {
        self.last_heard
            .is_some_and(|at| now < at + PEER_LIVE_TIMEOUT)
    }

    /// Last time anything came from it.
    pub(super) fn last_heard(&self) -> Option<Duration> {
        self.last_heard
    }

    /// True where a snapshot may go out: the member answers heartbeats, and
    /// none is on its way. One sent to a member that is away would be lost
    /// and waited for.
    fn may_send_snapshot(&self, now: Duration) -> bool {
        let waiting = self.installing.is_some_and(|(_, until)| now < until);
        self.is_live(now) && !waiting
    }

    fn may_send_entries(&self, last: u64) -> bool {
        let window = self.next - self.matched.min(self.next) <= WINDOW_ENTRIES;
        let open = !self.probing || !self.probe_in_flight;
        self.next <= last && window && open
    }
}

/// What only a leader keeps.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    since: Duration,
    /// First entry of the own term: nothing is fresh before it commits.
    pub(super) first_index: u64,
    heartbeat_at: Duration,
    heartbeat_due: bool,
    pub(super) peers: BTreeMap<Arc<str>, PeerProgress>,
    /// Set while a successor is waited for.
    handing_over: Option<Duration>,
}

impl Leadership {
    /// When this leadership began.
    pub(super) fn since(&self) -> Duration {
        self.since
    }

    /// Latest time at which a majority is known to have taken a heartbeat
    /// that had left by then.
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

    /// True where no other leader can have been elected yet.
    pub(super) fn is_confirmed(&self, member: &AgreementMember, now: Duration) -> bool {
        let at = self.confirmed_at(member, now);
        at.is_some_and(|at| now < at + ELECTION_TIMEOUT_MIN)
    }

    /// True where the leader may accept changes and answer as fresh.
    ///
    /// Guards against a leader on the far side of a silent partition. It
    /// shows as old configurations handed out as current while a new
    /// leader accepts changes; see [`crate::agreement::timing`].
    pub(super) fn is_fresh(&self, member: &AgreementMember, now: Duration) -> bool {
        self.lease_until(member, now).is_some()
    }

    /// When the lease ends, where it holds now.
    pub(super) fn lease_until(
        &self,
        member: &AgreementMember,
        now: Duration,
    ) -> Option<Duration> {
        if member.commit < self.first_index || self.handing_over.is_some() {
            return None;
        }
        let until = self.confirmed_at(member, now)? + LEASE_DURATION;
        (now < until).then_some(until)
    }
}

impl AgreementMember {
    /// Takes up leadership of the current term.
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
        let shown = FolderWatermark {
            start: self.identity.start,
            synced: self.output.synced_index(),
            term: self.hard.term,
        };
        self.watermarks.observe(self.identity.folder, shown);
    }

    pub(super) fn append_as_leader(&mut self, body: EntryBody) -> ConfigVersion {
        if let EntryBody::Members(members) = &body {
            self.drop_replaced_peers(members);
        }
        let index = self.log.last().index + 1;
        let version = ConfigVersion::new(self.hard.term, index);
        self.append(LogEntry { version, body });
        version
    }

    /// Drops what was known of folders that are no member's any more.
    ///
    /// Guards against a repaired member that is counted by what its lost
    /// folder had acknowledged, and sent entries from where that one stood.
    fn drop_replaced_peers(&mut self, members: &MemberList) {
        let ElectionState::Leader(leadership) = &mut self.election_state else {
            return;
        };
        let peers = &mut leadership.peers;
        peers.retain(|name, peer| members.contains(name, peer.folder));
    }

    /// Adds an entry where this member leads and may accept.
    pub fn propose(&mut self, now: Duration, body: EntryBody) -> Option<ConfigVersion> {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return None;
        };
        let waiting = self.log.last().index - self.commit;
        if !leadership.is_fresh(self, now) || waiting >= UNCOMMITTED_MAX {
            return None;
        }
        Some(self.append_as_leader(body))
    }

    /// The leader's part of the passing of time.
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

    /// Gives leadership to a member that holds everything, for a planned
    /// stop: the next leader then serves after one round trip.
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
        // Stepping down first ends the lease for good: the successor's
        // voters do not wait for it.
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
        peer.last_heard = Some(now);
        if sent_at > Duration::ZERO {
            peer.acked_sent_at = peer.acked_sent_at.max(Some(sent_at));
        }
        match matched {
            Ok(matched) => peer.record_match(matched),
            Err(held) => peer.record_mismatch(held),
        }
        self.advance_commit();
    }

    /// Commits what a majority has synced, through an entry of this term.
    ///
    /// Guards against counting copies of an earlier term's entry: a later
    /// leader without it could still be elected and undo the change.
    pub(super) fn advance_commit(&mut self) {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return;
        };
        let own = &self.identity.instance;
        let synced = self.output.synced_index();
        let reached = self.log.members().quorum_value(|voter| {
            if voter == own {
                return synced;
            }
            leadership.peers.get(voter).map_or(0, |peer| peer.matched)
        });
        let reached = reached.unwrap_or(0);
        let version = self.log.version_at(reached);
        let own_term = version.is_some_and(|version| version.term == self.hard.term);
        if reached > self.commit && own_term {
            self.commit = reached;
        }
        self.record_acknowledged(synced);
        if self.commit >= self.log.members_index() && !self.is_voter() {
            // The last change that this leader committed removed it.
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

    /// Sends what each member needs now.
    pub(super) fn replicate(&mut self, now: Duration) {
        let next = self.log.last().index;
        let replication_targets = self.replication_targets();
        let ElectionState::Leader(leadership) = &mut self.election_state else {
            return;
        };
        let heartbeat = std::mem::take(&mut leadership.heartbeat_due);
        for (peer, folder) in replication_targets {
            let ElectionState::Leader(leadership) = &mut self.election_state else {
                return;
            };
            let known = leadership.peers.remove(&peer);
            let mut progress = known.unwrap_or_else(|| PeerProgress {
                folder,
                next,
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
        let last = self.log.last().index;
        let news = progress.sent_commit < self.commit;
        let mut due = heartbeat || news;
        while due || progress.may_send_entries(last) {
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

    /// True where the log still holds what comes before the next entry.
    fn can_append_to(&self, progress: &PeerProgress) -> bool {
        let held = self.log.version_at(progress.next - 1).is_some();
        held && progress.installing.is_none()
    }

    fn next_entries(&self, progress: &PeerProgress) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        if !progress.may_send_entries(self.log.last().index) {
            return entries;
        }
        let mut weight = 0;
        for entry in self.log.from(progress.next) {
            weight += entry.estimated_bytes();
            let full = entries.len() as u64 >= WINDOW_ENTRIES;
            if full || (!entries.is_empty() && weight > APPEND_BYTES) {
                break;
            }
            entries.push(entry.clone());
        }
        entries
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
        if !self.probing {
            self.probing = true;
            self.probe_in_flight = false;
        }
    }
}
