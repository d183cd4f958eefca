//! Pre-votes, votes and the taking over of leadership.

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

/// What voters answered to the question whether an election would be won.
#[derive(Clone, Debug)]
pub(super) struct PreVotes {
    /// Those that would vote for the asker.
    granted: BTreeSet<Arc<str>>,
    /// Those that can lead no term up to the asker's any more.
    idle: BTreeSet<Arc<str>>,
}

/// One voter's answer to that question.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreVoteReply {
    /// It would vote for the asker.
    pub(super) granted: bool,
    /// It is at the asker's term and can lead no term up to that any more.
    pub(super) idle: bool,
}

/// Why a candidate's voters need not wait for leases to end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeaseWaiver {
    /// The leader of the term before gave up its lease for the candidate.
    pub(super) handed_over: bool,
    /// Every voter was idle in the term before.
    pub(super) all_idle: bool,
}

impl AgreementMember {
    /// True where it is time to ask whether all voters have started again:
    /// until the wait after the own start is over, or a leader is heard.
    pub(super) fn is_restart_poll_due(&self, now: Duration) -> bool {
        let starting = now < self.no_vote_until && self.leader_heard_at.is_none();
        starting && now >= self.restart_poll_at && self.is_voter()
    }

    pub(super) fn reset_election_timer(&mut self, now: Duration) {
        let spread = self
            .random
            .random_range(0..ELECTION_TIMEOUT_JITTER.as_millis() as u64);
        self.election_at = now + ELECTION_TIMEOUT_MIN + Duration::from_millis(spread);
    }

    /// Puts off the question whether all voters have started again.
    ///
    /// Guards against split votes after the loss of all processes: they are
    /// back within some milliseconds of each other, and two that ask together
    /// both stand for election. Where one of three voters lost its disk
    /// neither wins. In the order of their names each has its own part of the
    /// spread.
    pub(super) fn delay_restart_poll(&mut self, now: Duration, patience: Duration) {
        let voters: Vec<_> = self.log.members().voters().collect();
        let place = voters
            .iter()
            .position(|voter| **voter == self.identity.instance);
        let part = RESTART_POLL_SPREAD / voters.len().max(1) as u32;
        let jitter = part.as_millis() as u64 / RESTART_POLL_JITTER_DIVISOR;
        let jitter = self.random.random_range(0..jitter.max(1));
        let turn = part * place.unwrap_or_default() as u32;
        self.restart_poll_at = now + patience + turn + Duration::from_millis(jitter);
    }

    /// Asks whether an election would be won, without raising the term.
    ///
    /// Guards against a member that was cut off: without this it would come
    /// back with a high term and depose a leader that serves well.
    pub(super) fn ask_pre_votes(&mut self, now: Duration) {
        let own = BTreeSet::from([Arc::clone(&self.identity.instance)]);
        // While it waits after its start its own vote is not free either.
        let granted = if self.is_free_to_vote(now) {
            own.clone()
        } else {
            BTreeSet::new()
        };
        self.election_state =
            ElectionState::PreCandidate(PreVotes { granted, idle: own });
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
        let granted = next_term > self.hard.term
            && last >= self.log.last()
            && self.is_free_to_vote(now);
        let body = MessageBody::PreVoteAnswer {
            next_term,
            granted,
            idle: last >= self.log.last() && self.is_idle_in(message.term),
        };
        self.answer(message, body);
    }

    /// True where this member is at `term` and can lead neither that one nor
    /// an earlier one any more: leadership is in memory only, and a candidate
    /// that asks anew has given up its term.
    fn is_idle_in(&self, term: u64) -> bool {
        let idle = matches!(
            self.election_state,
            ElectionState::Follower | ElectionState::PreCandidate(_)
        );
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

    /// Stands for election where a majority would vote for this member, or
    /// where all voters have started again.
    ///
    /// A voter that starts again waits for leases that it may have granted
    /// and forgotten. After the loss of all processes that is half a second
    /// in which no node has a configuration. But where every voter can lead
    /// no term up to this one any more, no such lease is left. Whoever leads
    /// a later term than the one asked for raises the terms of a majority,
    /// whose voters then refuse this candidate.
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

    /// True where `voter` has come back with another folder than it votes by
    /// since this member started: whatever it led or granted before ended
    /// with that process. It is idle and has no vote. Without this a fleet
    /// that starts again with one lost disk waits half a second for leases
    /// that nobody holds.
    ///
    /// Once a leader is heard greetings say nothing any more: the list may
    /// name a folder that is newer than the greeting.
    fn has_lost_folder(&self, voter: &str) -> bool {
        let record = self.log.members().get(voter);
        let hello = self.received_hellos.get(voter);
        let (Some(record), Some(hello)) = (record, hello) else {
            return false;
        };
        self.leader_heard_at.is_none() && record.folder != hello.folder
    }

    /// Raises the term and asks for votes in it.
    fn campaign(&mut self, now: Duration, waiver: LeaseWaiver) {
        let own = Arc::clone(&self.identity.instance);
        self.become_follower(now, self.hard.term + 1);
        self.set_hard(HardState {
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
        // A hand-over needs no wait: the leader of the term before gave up
        // its lease before it named its successor, and leases of older
        // terms had ended before that leader was elected.
        let forgotten = now < self.no_vote_until && !waiver.all_idle;
        let free = !forgotten && self.is_free_of_leases(now);
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
            self.set_hard(HardState {
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
        if let ElectionState::Candidate(votes) = &mut self.election_state {
            votes.insert(Arc::clone(&message.from));
            self.count_votes(now);
        }
    }

    /// Takes up leadership where a majority voted; the own vote counts
    /// once it is synced.
    pub(super) fn count_votes(&mut self, now: Duration) {
        let ElectionState::Candidate(votes) = &self.election_state else {
            return;
        };
        if self.output.hard_synced() && self.is_majority(votes) {
            self.become_leader(now);
        }
    }

    /// The leader of this term has stepped down in favour of this member.
    pub(super) fn handle_take_over(&mut self, now: Duration, message: &MemberMessage) {
        if message.term == self.hard.term && self.is_voter() && !self.is_leader() {
            let waiver = LeaseWaiver {
                handed_over: true,
                ..LeaseWaiver::default()
            };
            self.campaign(now, waiver);
        }
    }

    /// True where no leader can still hold a lease that this member
    /// granted, before or after its last start.
    fn is_free_to_vote(&self, now: Duration) -> bool {
        now >= self.no_vote_until && self.is_free_of_leases(now)
    }

    /// The same for leases granted since its last start.
    fn is_free_of_leases(&self, now: Duration) -> bool {
        if let ElectionState::Leader(leadership) = &self.election_state {
            return !leadership.is_confirmed(self, now);
        }
        let heard = self.leader_heard_at;
        heard.is_none_or(|at| now >= at + ELECTION_TIMEOUT_MIN)
    }

    /// True where the sender is a member with the folder it was listed by.
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
