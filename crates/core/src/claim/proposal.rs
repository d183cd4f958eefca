//! The proposer of the claim protocol: an entry node's exchange with the
//! holders of one key.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::ClaimBallot;
use super::ClaimKey;
use super::ClaimReply;
use super::ClaimRequest;
use super::ClaimState;
use super::ClaimValue;
use super::KeptAnswer;
use super::KeyDigest;
use super::RunToken;
use super::WrittenValue;

/// Ballots that a proposal tries before it gives up. With a random pause
/// between ballots, two proposers that outbid each other need two or three.
const BALLOTS_MAX: u64 = 6;

/// The key and the run that a proposal is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSubject {
    /// Key of the call.
    pub key: ClaimKey,
    /// Digest of the request.
    pub request: KeyDigest,
    /// Run that is proposed.
    pub token: RunToken,
    /// Sets of holders; a majority of each must agree. There are two while
    /// the roster changes.
    pub holder_sets: Vec<Vec<Arc<str>>>,
}

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The run may start. No other run is granted under the key unless this
    /// one is released.
    Granted,
    /// Another run holds the claim, and its end is not known.
    Unanswered,
    /// The call has already been answered with this.
    Answered(KeptAnswer),
    /// The call has already been answered, and the answer was too large to
    /// keep.
    AnswerNotKept,
    /// The key was used for a different request.
    KeyReused,
    /// No majority of the holders agreed; nothing was granted.
    NoMajority,
    /// The end of the run is written, or nothing was to be written because the
    /// run does not hold the claim.
    EndWritten,
    /// Result of an inspection: no run holds the key.
    Free,
}

/// What the driver of a proposal has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Wait for more replies.
    Wait,
    /// Send this request to every holder.
    Send(ClaimRequest),
    /// Pause for a short random time, then call [`ClaimProposal::begin`].
    Pause,
    /// The proposal is complete.
    Done(ClaimOutcome),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalPhase {
    Preparing,
    Accepting,
    Idle,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderVote {
    For,
    Against,
}

/// Purpose of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ClaimIntent {
    /// Claim the key for a run.
    Claim,
    /// Read the state of the key without claiming it.
    Inspect,
    /// Write how the run ended.
    End(ClaimState),
}

/// Proposer for one run: claims its key, reads the key's state, or writes how
/// the run ended.
#[derive(Debug)]
pub struct ClaimProposal {
    subject: ClaimSubject,
    intent: ClaimIntent,
    phase: ProposalPhase,
    round: u64,
    /// Ballots begun for the present intent.
    ballots: u64,
    /// Highest round that outbid the present ballot.
    outbid: Option<u64>,
    votes: BTreeMap<Arc<str>, HolderVote>,
    /// Write with the highest ballot among the promises.
    highest: Option<WrittenValue>,
}

impl ClaimProposal {
    /// Creates a proposal that claims the key for the subject's run.
    pub fn claim(subject: ClaimSubject) -> Self {
        Self::new(subject, ClaimIntent::Claim)
    }

    /// Creates a proposal that only reads the state of the key, for a call that
    /// does not run now but may have run before.
    pub fn inspect(subject: ClaimSubject) -> Self {
        Self::new(subject, ClaimIntent::Inspect)
    }

    fn new(subject: ClaimSubject, intent: ClaimIntent) -> Self {
        Self {
            subject,
            intent,
            phase: ProposalPhase::Idle,
            round: 0,
            ballots: 0,
            outbid: None,
            votes: BTreeMap::new(),
            highest: None,
        }
    }

    /// Writes the end of a granted run in one round trip. The prepare phase is
    /// skipped because no other proposer writes while the claim is held.
    ///
    /// Must be called only once per run: after a release that holders may
    /// have accepted, other proposers do write, so a second attempt has to
    /// prepare first, as [`ClaimProposal::end`] does.
    pub fn end_granted(mut self, state: ClaimState) -> (Self, ClaimRequest) {
        let write = ClaimValue {
            request: self.subject.request,
            state: state.clone(),
        };
        self.intent = ClaimIntent::End(state);
        self.ballots = 0;
        self.round += 1;
        let request = self.start_accept(Some(write));
        (self, request)
    }

    /// Prepares to write the end of the run when it is not certain what the
    /// holders have accepted; call [`ClaimProposal::begin`] next. Changes
    /// nothing if another run holds the key.
    ///
    /// Continues the same proposal, because two proposals with the same token
    /// would use the same ballots for different values.
    pub fn end(mut self, state: ClaimState) -> Self {
        self.intent = ClaimIntent::End(state);
        self.ballots = 0;
        self
    }

    /// The key and the run that the proposal is for.
    pub fn subject(&self) -> &ClaimSubject {
        &self.subject
    }

    /// Every holder that requests are sent to, each once.
    pub fn holders(&self) -> Vec<Arc<str>> {
        let mut holders: Vec<Arc<str>> = Vec::new();
        for holder in self.subject.holder_sets.iter().flatten() {
            if !holders.contains(holder) {
                holders.push(Arc::clone(holder));
            }
        }
        holders
    }

    /// Begins the next ballot with its prepare phase.
    pub fn begin(&mut self) -> ClaimStep {
        // Without holders no vote ever arrives, so no majority can be reached.
        let holders = self.subject.holder_sets.first().map_or(0, Vec::len);
        if self.ballots >= BALLOTS_MAX || holders == 0 {
            return self.complete(ClaimOutcome::NoMajority);
        }
        self.ballots += 1;
        self.round = self.round.max(self.outbid.unwrap_or(0)) + 1;
        self.phase = ProposalPhase::Preparing;
        self.outbid = None;
        self.votes.clear();
        self.highest = None;
        ClaimStep::Send(ClaimRequest::Prepare {
            key: self.subject.key,
            ballot: self.ballot(),
        })
    }

    fn ballot(&self) -> ClaimBallot {
        ClaimBallot {
            round: self.round,
            token: self.subject.token.clone(),
        }
    }

    /// Handles a holder's reply.
    pub fn handle(&mut self, holder: &Arc<str>, reply: ClaimReply) -> ClaimStep {
        // Ignores late replies to an earlier ballot: they would count as votes
        // for a ballot that the holder never promised.
        if *reply.ballot() != self.ballot() {
            return ClaimStep::Wait;
        }
        match (self.phase, reply) {
            (ProposalPhase::Preparing, ClaimReply::Promised { written, .. }) => {
                self.keep_highest(written);
                self.count_vote(holder, HolderVote::For)
            }
            (ProposalPhase::Accepting, ClaimReply::Accepted { .. }) => {
                self.count_vote(holder, HolderVote::For)
            }
            (_, ClaimReply::Outbid { round, .. }) => {
                self.outbid = Some(self.outbid.unwrap_or(0).max(round));
                self.count_vote(holder, HolderVote::Against)
            }
            (_, ClaimReply::Abstains { .. }) => self.holder_unavailable(holder),
            _ => ClaimStep::Wait,
        }
    }

    /// Counts a holder that did not reply in time, or cannot be reached, as a
    /// vote against the ballot.
    pub fn holder_unavailable(&mut self, holder: &Arc<str>) -> ClaimStep {
        if self.votes.contains_key(holder) {
            return ClaimStep::Wait;
        }
        self.count_vote(holder, HolderVote::Against)
    }

    fn keep_highest(&mut self, written: Option<WrittenValue>) {
        let Some(written) = written else {
            return;
        };
        let highest = self.highest.as_ref();
        if highest.is_none_or(|highest| highest.ballot < written.ballot) {
            self.highest = Some(written);
        }
    }

    fn count_vote(&mut self, holder: &Arc<str>, vote: HolderVote) -> ClaimStep {
        if self.phase == ProposalPhase::Idle {
            return ClaimStep::Wait;
        }
        self.votes.insert(Arc::clone(holder), vote);
        if self.every_set(|tally| tally.votes_for >= tally.majority) {
            return self.majority_reached();
        }
        if self.every_set(|tally| tally.votes_against <= tally.holders - tally.majority) {
            return ClaimStep::Wait;
        }
        if self.outbid.is_some() {
            self.phase = ProposalPhase::Idle;
            return ClaimStep::Pause;
        }
        self.complete(ClaimOutcome::NoMajority)
    }

    fn every_set(&self, holds: impl Fn(SetTally) -> bool) -> bool {
        for set in &self.subject.holder_sets {
            if !holds(SetTally::of(set, &self.votes)) {
                return false;
            }
        }
        true
    }

    /// Moves on once a majority of every set has voted for the present phase.
    fn majority_reached(&mut self) -> ClaimStep {
        if self.phase == ProposalPhase::Preparing {
            return self.after_prepare();
        }
        let outcome = match self.intent {
            ClaimIntent::Claim | ClaimIntent::Inspect => ClaimOutcome::Granted,
            ClaimIntent::End(_) => ClaimOutcome::EndWritten,
        };
        self.complete(outcome)
    }

    fn after_prepare(&mut self) -> ClaimStep {
        let current = self.highest.take().and_then(|written| written.value);
        let write = match &self.intent {
            ClaimIntent::Claim => self.value_for_claim(current),
            ClaimIntent::Inspect => match self.value_for_claim(current) {
                Ok(_) => Err(ClaimOutcome::Free),
                Err(outcome) => Err(outcome),
            },
            ClaimIntent::End(state) => {
                let write = self.value_for_end(state, current);
                write.ok_or(ClaimOutcome::EndWritten)
            }
        };
        let write = match write {
            Ok(write) => Some(write),
            Err(outcome) => return self.complete(outcome),
        };
        ClaimStep::Send(self.start_accept(write))
    }

    /// The value that a claim writes over `current`, or the outcome if the key
    /// cannot be claimed.
    fn value_for_claim(
        &self,
        current: Option<ClaimValue>,
    ) -> Result<ClaimValue, ClaimOutcome> {
        let running = ClaimValue {
            request: self.subject.request,
            state: ClaimState::Running(self.subject.token.clone()),
        };
        let Some(value) = current else {
            return Ok(running);
        };
        if value.request != self.subject.request {
            return Err(ClaimOutcome::KeyReused);
        }
        match value.state {
            ClaimState::Released => Ok(running),
            ClaimState::Running(token) if token == self.subject.token => Ok(running),
            ClaimState::Running(_) => Err(ClaimOutcome::Unanswered),
            ClaimState::Answered(answer) => Err(ClaimOutcome::Answered(answer)),
            ClaimState::AnswerNotKept => Err(ClaimOutcome::AnswerNotKept),
        }
    }

    /// The value that the end of a run writes over `current`; `None` if the
    /// run does not hold the claim. An empty register is written too, because
    /// the run's own claim may still be in flight and the higher ballot makes
    /// the holders refuse it.
    fn value_for_end(
        &self,
        state: &ClaimState,
        current: Option<ClaimValue>,
    ) -> Option<ClaimValue> {
        let write = ClaimValue {
            request: self.subject.request,
            state: state.clone(),
        };
        match current {
            None => Some(write),
            Some(value) => match value.state {
                ClaimState::Running(token) if token == self.subject.token => Some(write),
                _ => None,
            },
        }
    }

    fn start_accept(&mut self, value: Option<ClaimValue>) -> ClaimRequest {
        self.phase = ProposalPhase::Accepting;
        self.votes.clear();
        self.outbid = None;
        ClaimRequest::Accept {
            key: self.subject.key,
            ballot: self.ballot(),
            value,
        }
    }

    fn complete(&mut self, outcome: ClaimOutcome) -> ClaimStep {
        self.phase = ProposalPhase::Idle;
        ClaimStep::Done(outcome)
    }
}

/// Number of votes in one set of holders.
struct SetTally {
    holders: usize,
    majority: usize,
    votes_for: usize,
    votes_against: usize,
}

impl SetTally {
    fn of(set: &[Arc<str>], votes: &BTreeMap<Arc<str>, HolderVote>) -> Self {
        let mut tally = Self {
            holders: set.len(),
            majority: set.len() / 2 + 1,
            votes_for: 0,
            votes_against: 0,
        };
        for holder in set {
            match votes.get(holder) {
                Some(HolderVote::For) => tally.votes_for += 1,
                Some(HolderVote::Against) => tally.votes_against += 1,
                None => {}
            }
        }
        tally
    }
}
