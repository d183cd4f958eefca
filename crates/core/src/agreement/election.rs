//! Pre-votes, votes and leadership transfer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::agreement::member::AgreementMember;
use crate::agreement::member::ElectionState;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::member_message::MessageBody;
use crate::agreement::saved_state::HardState;
use crate::agreement::timing::ELECTION_TIMEOUT_JITTER;
use crate::agreement::timing::ELECTION_TIMEOUT_MIN;
use crate::agreement::timing::RESTART_ELECTION_TIMEOUT;
use crate::agreement::timing::RESTART_POLL_JITTER_DIVISOR;
use crate::agreement::timing::RESTART_POLL_SPREAD;
use crate::version::ConfigVersion;

/// Answers of the voters to a pre-vote.
#[derive(Clone, Debug)]
pub(super) struct PreVotes {
    /// Voters that would vote for this member.
    granted: BTreeSet<Arc<str>>,
    /// Voters that can no longer lead this member's term or an earlier one.
    idle: BTreeSet<Arc<str>>,
    /// Votes for this member in its current term, if it still accepts more.
    pub(super) votes: Option<BTreeSet<Arc<str>>>,
}

/// One voter's answer to a pre-vote.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreVoteReply {
    /// The voter would vote for the sender of the pre-vote.
    pub(super) granted: bool,
    /// The voter is in the sender's term, and can no longer lead that term or
    /// an earlier one.
    pub(super) idle: bool,
}

/// Reasons for which voters need not wait for earlier leases to expire before
/// they vote for a candidate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeaseWaiver {
    /// The leader of the previous term gave up its lease and chose the
    /// candidate as its successor.
    pub(super) handed_over: bool,
    /// Every voter was idle in the previous term.
    pub(super) all_idle: bool,
}

impl AgreementMember {
    /// True if it is time to ask whether all voters have restarted. This is
    /// done only during the wait after this member's own start, and until a
    /// leader's first message.
    pub(super) fn is_restart_poll_due(&self, now: Duration) -> bool {
        let starting = now < self.no_vote_until && self.leader_message_at.is_none();
        starting && now >= self.restart_poll_at && self.is_voter()
    }

    /// Starts the pre-vote that is due, if any.
    ///
    /// While a term or vote is being synced none is started: the next term
    /// would only add another sync.
    pub(super) fn tick_election(&mut self, now: Duration) {
        if !self.output.hard_synced() {
            return;
        }
        if now >= self.election_at && self.is_voter() {
            self.reset_election_timer(now);
            let votes = self.election_state.votes_mut().map(std::mem::take);
            self.ask_pre_votes(now, votes);
        }
        if self.is_restart_poll_due(now) {
            self.restart_poll_at = now + RESTART_POLL_SPREAD;
            self.ask_pre_votes(now, None);
        }
    }

    /// Restarts the wait for a leader. It includes a sync, because a voter
    /// answers only after one.
    pub(super) fn reset_election_timer(&mut self, now: Duration) {
        let spread = self
            .random
            .random_range(0..ELECTION_TIMEOUT_JITTER.as_millis() as u64);
        let sync_time = self.sync_timer.allowance();
        self.election_at =
            now + ELECTION_TIMEOUT_MIN + sync_time + Duration::from_millis(spread);
        self.election_deferred = false;
    }

    /// Puts off this member's election, once, while another candidate syncs
    /// its own vote: on slow disks both would otherwise vote for themselves.
    fn defer_election(&mut self, now: Duration) {
        if self.election_deferred {
            return;
        }
        // The candidate's disk may be slower than this member's.
        let vote_due = now + 2 * self.sync_timer.allowance();
        self.election_at = self.election_at.max(vote_due);
        self.election_deferred = true;
    }

    /// Schedules the next restart poll: `delay` from now, plus this voter's
    /// slot of [`RESTART_POLL_SPREAD`] in the order of the voters' names.
    ///
    /// Guards against split votes after a crash of all processes. They return
    /// within a few milliseconds of each other, and two voters that poll at the
    /// same time both become candidates. If one of three voters has lost its
    /// disk, neither wins.
    pub(super) fn delay_restart_poll(&mut self, now: Duration, delay: Duration) {
        let voters: Vec<_> = self.log.members().voters().collect();
        let position = voters
            .iter()
            .position(|voter| **voter == self.identity.instance);
        let slot = RESTART_POLL_SPREAD / voters.len().max(1) as u32;
        let jitter = slot.as_millis() as u64 / RESTART_POLL_JITTER_DIVISOR;
        let jitter = self.random.random_range(0..jitter.max(1));
        let offset = slot * position.unwrap_or_default() as u32;
        self.restart_poll_at = now + delay + offset + Duration::from_millis(jitter);
    }

    /// Asks the voters whether this member would win an election, without
    /// raising the term.
    ///
    /// Guards against a member that was partitioned: without a pre-vote it
    /// would return with a higher term and depose a working leader.
    ///
    /// `votes` are those that this member already has in its current term and
    /// still accepts more of.
    fn ask_pre_votes(&mut self, now: Duration, votes: Option<BTreeSet<Arc<str>>>) {
        let own = BTreeSet::from([Arc::clone(&self.identity.instance)]);
        // During the wait after its start a member may not vote for itself.
        let granted = if self.is_free_to_vote(now) {
            own.clone()
        } else {
            BTreeSet::new()
        };
        self.election_state = ElectionState::PreCandidate(PreVotes {
            granted,
            idle: own,
            votes,
        });
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send(&voter, MessageBody::PreVote { last });
        }
        self.count_pre_votes(now);
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: Duration,
        message: &MemberMessage,
        last: ConfigVersion,
    ) {
        let next_term = message.term + 1;
        let is_syncing_vote = self.hard.voted_for.is_some() && !self.output.hard_synced();
        let granted = next_term > self.hard.term
            && last >= self.log.last()
            && !is_syncing_vote
            && self.is_free_to_vote(now);
        if granted {
            self.defer_election(now);
        }
        let body = MessageBody::PreVoteAnswer {
            next_term,
            granted,
            idle: last >= self.log.last() && self.is_idle_in(message.term),
        };
        self.answer(message, body);
    }

    /// True if this member is in `term` and can no longer lead it or an earlier
    /// term: leadership is held only in memory, and a member that accepts no
    /// more votes has given up its term.
    fn is_idle_in(&self, term: u64) -> bool {
        let idle = !self.is_leader() && self.election_state.votes().is_none();
        idle && self.hard.term == term
    }

    pub(super) fn handle_pre_vote_answer(
        &mut self,
        now: Duration,
        message: &MemberMessage,
        next_term: u64,
        reply: PreVoteReply,
    ) {
        if message.term > self.hard.term {
            self.become_follower(now, message.term);
            return;
        }
        if next_term != self.hard.term + 1 || !self.is_listed(message) {
            return;
        }
        let ElectionState::PreCandidate(votes) = &mut self.election_state else {
            return;
        };
        if reply.granted {
            votes.granted.insert(Arc::clone(&message.from));
        }
        if reply.idle && message.term == self.hard.term {
            votes.idle.insert(Arc::clone(&message.from));
        }
        self.count_pre_votes(now);
    }

    /// Starts an election if a majority would vote for this member, or if all
    /// voters have restarted.
    ///
    /// A restarted voter waits for leases that it may have granted before its
    /// restart. After a crash of all processes that is half a second in which
    /// no node has a configuration. If every voter is idle, so that none can
    /// lead this term or an earlier one, no such lease exists and the wait is
    /// skipped. A leader of a later term has raised the terms of a majority,
    /// which then refuses this candidate.
    fn count_pre_votes(&mut self, now: Duration) {
        let ElectionState::PreCandidate(votes) = &self.election_state else {
            return;
        };
        if self.is_majority(&votes.granted) {
            self.campaign(now, LeaseWaiver::default());
            return;
        }
        let is_idle =
            |voter: &Arc<str>| votes.idle.contains(voter) || self.has_lost_folder(voter);
        let all_idle = self.log.members().voters().all(is_idle);
        if all_idle && now < self.no_vote_until {
            let waiver = LeaseWaiver {
                all_idle,
                ..LeaseWaiver::default()
            };
            self.campaign(now, waiver);
        }
    }

    /// True if `voter` has returned with a data folder other than the listed
    /// one since this member started. Any leadership or lease of the listed
    /// folder ended with its process, so the voter counts as idle; it has no
    /// vote. Without this, a fleet that restarts with one lost disk waits half
    /// a second for leases that nobody holds.
    ///
    /// After a leader's first message hellos are no evidence any more: the
    /// member list may name a folder that is newer than the hello.
    fn has_lost_folder(&self, voter: &str) -> bool {
        let record = self.log.members().get(voter);
        let hello = self.received_hellos.get(voter);
        let (Some(record), Some(hello)) = (record, hello) else {
            return false;
        };
        self.leader_message_at.is_none() && record.folder != hello.folder
    }

    /// Raises the term and requests votes in it.
    fn campaign(&mut self, now: Duration, waiver: LeaseWaiver) {
        let own = Arc::clone(&self.identity.instance);
        self.become_follower(now, self.hard.term + 1);
        self.set_hard_state(HardState {
            voted_for: Some(Arc::clone(&own)),
            ..self.hard.clone()
        });
        self.election_state = ElectionState::Candidate(BTreeSet::from([own]));
        self.delay_restart_poll(now, RESTART_ELECTION_TIMEOUT);
        let last = self.log.last();
        for voter in self.other_voters() {
            let vote = MessageBody::Vote {
                last,
                handed_over: waiver.handed_over,
                all_idle: waiver.all_idle,
            };
            self.send(&voter, vote);
        }
    }

    pub(super) fn answer_vote(
        &mut self,
        now: Duration,
        message: &MemberMessage,
        last: ConfigVersion,
        waiver: LeaseWaiver,
    ) {
        if message.term < self.hard.term {
            self.answer(message, MessageBody::VoteAnswer { granted: false });
            return;
        }
        // A hand-over needs no wait: the leader of the previous term gave up
        // its lease before it chose its successor, and leases of older terms
        // had expired before that leader was elected.
        let waits_after_start = now < self.no_vote_until && !waiver.all_idle;
        let free = !waits_after_start && self.is_free_of_leases(now);
        if !waiver.handed_over && !free {
            return;
        }
        if message.term > self.hard.term {
            self.become_follower(now, message.term);
        }
        let voted = self.hard.voted_for.clone();
        let free = voted.as_ref().is_none_or(|voted| *voted == message.from);
        let granted = free && last >= self.log.last();
        if granted && voted.is_none() {
            self.set_hard_state(HardState {
                voted_for: Some(Arc::clone(&message.from)),
                ..self.hard.clone()
            });
            self.reset_election_timer(now);
            self.delay_restart_poll(now, RESTART_ELECTION_TIMEOUT);
        }
        self.answer(message, MessageBody::VoteAnswer { granted });
    }

    pub(super) fn handle_vote_answer(
        &mut self,
        now: Duration,
        message: &MemberMessage,
        granted: bool,
    ) {
        if message.term > self.hard.term {
            self.become_follower(now, message.term);
            return;
        }
        let counts = granted && message.term == self.hard.term;
        if !counts || !self.is_listed(message) {
            return;
        }
        if let Some(votes) = self.election_state.votes_mut() {
            votes.insert(Arc::clone(&message.from));
            self.count_votes(now);
        }
    }

    /// Becomes leader if a majority voted for this member. Its own vote counts
    /// once it is synced.
    pub(super) fn count_votes(&mut self, now: Duration) {
        let Some(votes) = self.election_state.votes() else {
            return;
        };
        if self.output.hard_synced() && self.is_majority(votes) {
            self.become_leader(now);
        }
    }

    /// Starts an election, because the leader of this term has stepped down in
    /// favour of this member.
    pub(super) fn handle_take_over(&mut self, now: Duration, message: &MemberMessage) {
        if message.term == self.hard.term && self.is_voter() && !self.is_leader() {
            let waiver = LeaseWaiver {
                handed_over: true,
                ..LeaseWaiver::default()
            };
            self.campaign(now, waiver);
        }
    }

    /// True if no leader can still hold a lease that this member granted,
    /// before or after its last start.
    fn is_free_to_vote(&self, now: Duration) -> bool {
        now >= self.no_vote_until && self.is_free_of_leases(now)
    }

    /// True if no leader can still hold a lease that this member granted since
    /// its last start.
    fn is_free_of_leases(&self, now: Duration) -> bool {
        if let ElectionState::Leader(leadership) = &self.election_state {
            return !leadership.is_confirmed(self, now);
        }
        let message_at = self.leader_message_at;
        message_at.is_none_or(|at| now >= at + ELECTION_TIMEOUT_MIN)
    }

    /// True if the sender is a member and has the data folder in the member
    /// list.
    pub(super) fn is_listed(&self, message: &MemberMessage) -> bool {
        self.log.members().contains(&message.from, message.folder)
    }

    fn is_majority(&self, votes: &BTreeSet<Arc<str>>) -> bool {
        let members = self.log.members();
        let given = members.voters().filter(|voter| votes.contains(*voter));
        given.count() >= members.quorum()
    }

    fn other_voters(&self) -> Vec<Arc<str>> {
        let voters = self.log.members().voters();
        let others = voters.filter(|voter| **voter != self.identity.instance);
        others.cloned().collect()
    }
}
