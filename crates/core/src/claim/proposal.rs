//! One entry node's dealings with the holders of one key.

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

/// Ballots tried before a proposal gives up. Two proposers that outbid each
/// other settle within two or three with a random pause between.
const ROUNDS_MAX: u64 = 6;

/// What a proposal is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSubject {
    /// The key.
    pub key: ClaimKey,
    /// Digest of the request.
    pub request: KeyDigest,
    /// The run that is proposed.
    pub token: RunToken,
    /// Sets of holders; a majority of each is needed.
    pub sets: Vec<Vec<Arc<str>>>,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The run may go ahead, and no other ever will under this key.
    Granted,
    /// Another run was claimed and nothing is known of its end.
    Unanswered,
    /// The call has been answered.
    Answered(KeptAnswer),
    /// The call has been answered with more than is kept.
    AnswerNotKept,
    /// The key was used for another request.
    KeyReused,
    /// No majority of the holders votes; nothing was granted.
    NoMajority,
    /// The end of the run is written.
    EndWritten,
    /// Looked at only: no run stands under the key.
    Free,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Wait for more replies.
    Wait,
    /// Send this to every holder.
    Send(ClaimRequest),
    /// Pause for a random short time, then call [`ClaimProposal::begin`].
    Pause,
    /// Over.
    Done(ClaimOutcome),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalPhase {
    Preparing,
    Accepting,
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderVote {
    For,
    Against,
}

/// What a proposal is for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ClaimIntent {
    /// Claim the key for a run.
    Run,
    /// Say how the key stands.
    Look,
    /// Write how the run ended.
    End(ClaimState),
}

/// Claims a key, or writes how its run ended.
#[derive(Debug)]
pub struct ClaimProposal {
    subject: ClaimSubject,
    intent: ClaimIntent,
    phase: ProposalPhase,
    round: u64,
    rounds: u64,
    /// Highest round that outbid this ballot.
    outbid: Option<u64>,
    votes: BTreeMap<Arc<str>, HolderVote>,
    highest: Option<WrittenValue>,
}

impl ClaimProposal {
    /// Claims the key for the subject's run.
    pub fn claim(subject: ClaimSubject) -> Self {
        Self::new(subject, ClaimIntent::Run)
    }

    /// Only looks how the key stands, for a call that does not run now but
    /// may have run before.
    pub fn inspect(subject: ClaimSubject) -> Self {
        Self::new(subject, ClaimIntent::Look)
    }

    fn new(subject: ClaimSubject, intent: ClaimIntent) -> Self {
        Self {
            subject,
            intent,
            phase: ProposalPhase::Over,
            round: 0,
            rounds: 0,
            outbid: None,
            votes: BTreeMap::new(),
            highest: None,
        }
    }

    /// Goes on from a granted claim to the end of its run, in one round trip:
    /// while the claim stands nobody else writes, so nothing need be read.
    /// Once only: after a release that may have been taken others do write,
    /// so a second try has to read first, as [`ClaimProposal::end`] does.
    pub fn end_granted(mut self, state: ClaimState) -> (Self, ClaimRequest) {
        let write = ClaimValue {
            request: self.subject.request,
            state: state.clone(),
        };
        self.intent = ClaimIntent::End(state);
        self.rounds = 0;
        self.round += 1;
        let request = self.accept(Some(write));
        (self, request)
    }

    /// Goes on to write how the run ended where it is not certain what the
    /// holders took so far; [`ClaimProposal::begin`] is next. Harmless where
    /// another run holds the key. The proposal itself goes on, because two
    /// with one token would use the same ballots for different values.
    pub fn end(mut self, state: ClaimState) -> Self {
        self.intent = ClaimIntent::End(state);
        self.rounds = 0;
        self
    }

    /// The run that is proposed.
    pub fn subject(&self) -> &ClaimSubject {
        &self.subject
    }

    /// Every holder that is asked.
    pub fn holders(&self) -> Vec<Arc<str>> {
        let mut holders: Vec<Arc<str>> = Vec::new();
        for holder in self.subject.sets.iter().flatten() {
            if !holders.contains(holder) {
                holders.push(Arc::clone(holder));
            }
        }
        holders
    }

    /// Begins the next ballot.
    pub fn begin(&mut self) -> ClaimStep {
        // A majority of no holders is reached by nobody's vote.
        let holders = self.subject.sets.first().map_or(0, Vec::len);
        if self.rounds >= ROUNDS_MAX || holders == 0 {
            return self.over(ClaimOutcome::NoMajority);
        }
        self.rounds += 1;
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

    /// Takes a holder's reply.
    pub fn handle(&mut self, holder: &Arc<str>, reply: ClaimReply) -> ClaimStep {
        // Guards against replies of an earlier ballot that arrive late: they
        // would count as votes for a ballot that the holder never promised.
        if *reply.ballot() != self.ballot() {
            return ClaimStep::Wait;
        }
        match (self.phase, reply) {
            (ProposalPhase::Preparing, ClaimReply::Promised { written, .. }) => {
                self.learn(written);
                self.vote(holder, HolderVote::For)
            }
            (ProposalPhase::Accepting, ClaimReply::Accepted { .. }) => {
                self.vote(holder, HolderVote::For)
            }
            (_, ClaimReply::Outbid { round, .. }) => {
                self.outbid = Some(self.outbid.unwrap_or(0).max(round));
                self.vote(holder, HolderVote::Against)
            }
            (_, ClaimReply::Abstains { .. }) => self.holder_unavailable(holder),
            _ => ClaimStep::Wait,
        }
    }

    /// A holder did not answer in time, or cannot be reached.
    pub fn holder_unavailable(&mut self, holder: &Arc<str>) -> ClaimStep {
        if self.votes.contains_key(holder) {
            return ClaimStep::Wait;
        }
        self.vote(holder, HolderVote::Against)
    }

    fn learn(&mut self, written: Option<WrittenValue>) {
        let Some(written) = written else {
            return;
        };
        let held = self.highest.as_ref();
        if held.is_none_or(|held| held.ballot < written.ballot) {
            self.highest = Some(written);
        }
    }
    fn vote(&mut self, holder: &Arc<str>, vote: HolderVote) -> ClaimStep {
        if self.phase == ProposalPhase::Over {
            return ClaimStep::Wait;
        }
        self.votes.insert(Arc::clone(holder), vote);
        if self.every_set(|tally| tally.yes >= tally.majority) {
            return self.carried();
        }
        if self.every_set(|tally| tally.no <= tally.seats - tally.majority) {
            return ClaimStep::Wait;
        }
        if self.outbid.is_some() {
            self.phase = ProposalPhase::Over;
            return ClaimStep::Pause;
        }
        self.over(ClaimOutcome::NoMajority)
    }

    fn every_set(&self, holds: impl Fn(SetTally) -> bool) -> bool {
        for set in &self.subject.sets {
            if !holds(SetTally::of(set, &self.votes)) {
                return false;
            }
        }
        true
    }

    /// A majority of every set voted for the phase.
    fn carried(&mut self) -> ClaimStep {
        if self.phase == ProposalPhase::Preparing {
            return self.prepared();
        }
        let outcome = match self.intent {
            ClaimIntent::Run | ClaimIntent::Look => ClaimOutcome::Granted,
            ClaimIntent::End(_) => ClaimOutcome::EndWritten,
        };
        self.over(outcome)
    }

    fn prepared(&mut self) -> ClaimStep {
        let standing = self.highest.take().and_then(|written| written.value);
        let write = match &self.intent {
            ClaimIntent::Run => self.claimed(standing),
            ClaimIntent::Look => match self.claimed(standing) {
                Ok(_) => Err(ClaimOutcome::Free),
                Err(outcome) => Err(outcome),
            },
            ClaimIntent::End(state) => {
                let write = self.ended(state, standing);
                write.ok_or(ClaimOutcome::EndWritten)
            }
        };
        let write = match write {
            Ok(write) => Some(write),
            Err(outcome) => return self.over(outcome),
        };
        ClaimStep::Send(self.accept(write))
    }

    /// What a claim writes over what stands, or how it ends without.
    fn claimed(&self, standing: Option<ClaimValue>) -> Result<ClaimValue, ClaimOutcome> {
        let free = ClaimValue {
            request: self.subject.request,
            state: ClaimState::Running(self.subject.token.clone()),
        };
        let Some(value) = standing else {
            return Ok(free);
        };
        if value.request != self.subject.request {
            return Err(ClaimOutcome::KeyReused);
        }
        match value.state {
            ClaimState::Released => Ok(free),
            ClaimState::Running(token) if token == self.subject.token => Ok(free),
            ClaimState::Running(_) => Err(ClaimOutcome::Unanswered),
            ClaimState::Answered(answer) => Err(ClaimOutcome::Answered(answer)),
            ClaimState::AnswerNotKept => Err(ClaimOutcome::AnswerNotKept),
        }
    }

    /// What the end of a run writes over what stands; `None` where nothing
    /// is to be written. An empty register is written too: the run's own
    /// claim may still be on its way, and a higher ballot shuts it out.
    fn ended(
        &self,
        state: &ClaimState,
        standing: Option<ClaimValue>,
    ) -> Option<ClaimValue> {
        let write = ClaimValue {
            request: self.subject.request,
            state: state.clone(),
        };
        match standing {
            None => Some(write),
            Some(value) => match value.state {
                ClaimState::Running(token) if token == self.subject.token => Some(write),
                _ => None,
            },
        }
    }

    fn accept(&mut self, value: Option<ClaimValue>) -> ClaimRequest {
        self.phase = ProposalPhase::Accepting;
        self.votes.clear();
        self.outbid = None;
        ClaimRequest::Accept {
            key: self.subject.key,
            ballot: self.ballot(),
            value,
        }
    }

    fn over(&mut self, outcome: ClaimOutcome) -> ClaimStep {
        self.phase = ProposalPhase::Over;
        ClaimStep::Done(outcome)
    }
}

/// Votes of one set of holders.
struct SetTally {
    seats: usize,
    majority: usize,
    yes: usize,
    no: usize,
}

impl SetTally {
    fn of(set: &[Arc<str>], votes: &BTreeMap<Arc<str>, HolderVote>) -> Self {
        let mut tally = Self {
            seats: set.len(),
            majority: set.len() / 2 + 1,
            yes: 0,
            no: 0,
        };
        for holder in set {
            match votes.get(holder) {
                Some(HolderVote::For) => tally.yes += 1,
                Some(HolderVote::Against) => tally.no += 1,
                None => {}
            }
        }
        tally
    }
}
