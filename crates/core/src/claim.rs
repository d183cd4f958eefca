//! At most one run of a non-idempotent call, over all of its resends.
//!
//! A call with an `Idempotency-Key` is claimed at a majority of its key's
//! holders, three nodes in three failure domains, before it may run. Each
//! key is one register that the holders replicate by ballots, as in
//! single-decree Paxos: an entry node prepares a ballot at a majority,
//! learns what may already stand there, and only then writes. The register
//! goes from empty or released to running, and from running to answered or
//! back to released; only the claimant of a run leaves the state running.
//!
//! Load pattern: callers that resend after a lost answer, to other nodes,
//! while nodes come and go. Without it the second run of a batch sale
//! invoices goods that were never shipped.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::verdict::CallVerdict;

pub use self::bytes::ByteBlob;
pub use self::holder::ClaimHolder;
pub use self::key::ClaimKey;
pub use self::key::KeyDigest;
pub use self::proposal::ClaimOutcome;
pub use self::proposal::ClaimProposal;
pub use self::proposal::ClaimStep;
pub use self::proposal::ClaimSubject;
pub use self::roster::HolderRoster;
pub use self::roster::HolderSeat;
pub use self::roster::RosterPlanner;

mod bytes;
mod holder;
mod key;
mod proposal;
mod roster;

/// How long a key is remembered after the last word on it. Callers resend
/// within seconds or a few minutes; a longer time costs memory at the
/// holders and makes a restarted holder abstain for longer.
pub const KEEP_TIME: Duration = Duration::from_secs(300);

/// Longest deadline of a call with a key: a fifth of [`KEEP_TIME`], so that
/// a run has ended well before its key may be forgotten.
pub const KEYED_DEADLINE_MAX: Duration = Duration::from_secs(60);

/// Greatest difference assumed between the wall clocks of two nodes. Clocks
/// that follow NTP stay within a tenth of it.
pub const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// An entry node that has heard nothing from the source for this long
/// claims no more: the holders may have changed without it.
pub const ROSTER_LEASE: Duration = Duration::from_secs(600);

/// Largest answer that is kept for resends, head and body, in bytes. An
/// acceptance or a sale answers with a receipt of a few hundred bytes.
pub const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// One run of one call; no two runs have the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunToken {
    /// Instance of the entry node.
    pub node: Arc<str>,
    /// Start of that node's process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Number of the run within the process.
    pub serial: u64,
}

/// A ballot: higher ones win, and no two proposers share one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimBallot {
    /// Grows with each try.
    pub round: u64,
    /// Whose ballot it is.
    pub token: RunToken,
}

/// How a key's call stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Claimed by this run; whether it has reached a backend server is not
    /// known to anyone else.
    Running(RunToken),
    /// Claimed once, and it did not run: free for the next claim.
    Released,
    /// A backend server answered.
    Answered(KeptAnswer),
    /// A backend server answered with more than is kept.
    AnswerNotKept,
}

/// What stands in a key's register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Digest of the request, so that a key used for another is noticed.
    pub request: KeyDigest,
    /// How the call stands.
    pub state: ClaimState,
}

/// An answer kept whole for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that pass on to callers.
    pub headers: Vec<(Arc<str>, ByteBlob)>,
    /// The whole body.
    pub body: ByteBlob,
}

impl KeptAnswer {
    /// Bytes it takes, near enough for limits.
    pub fn bytes(&self) -> usize {
        let mut bytes = self.body.len();
        for (name, value) in &self.headers {
            bytes += name.len() + value.len();
        }
        bytes
    }
}

/// What an entry node asks of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Promise to take no lower ballot, and say what stands.
    Prepare {
        /// The key.
        key: ClaimKey,
        /// Ballot to promise.
        ballot: ClaimBallot,
    },
    /// Write the value under the ballot.
    Accept {
        /// The key.
        key: ClaimKey,
        /// Ballot of the write.
        ballot: ClaimBallot,
        /// What is written; `None` writes that nothing stands.
        value: Option<ClaimValue>,
    },
}

/// What a holder answers. Each names the ballot it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Promised; the last write taken, if there is one.
    Promised {
        /// Ballot promised.
        ballot: ClaimBallot,
        /// Ballot and value of the last write.
        written: Option<WrittenValue>,
    },
    /// The write was taken.
    Accepted {
        /// Ballot of the write.
        ballot: ClaimBallot,
    },
    /// A higher ballot has been promised.
    Outbid {
        /// Ballot refused.
        ballot: ClaimBallot,
        /// Round to exceed.
        round: u64,
    },
    /// The holder cannot vote on this key: it started after the key may
    /// have been used, or its memory is full.
    Abstains {
        /// Ballot not voted on.
        ballot: ClaimBallot,
    },
}

/// A write that a holder has taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrittenValue {
    /// Its ballot.
    pub ballot: ClaimBallot,
    /// What was written.
    pub value: Option<ClaimValue>,
}

impl ClaimReply {
    /// The ballot it belongs to.
    pub fn ballot(&self) -> &ClaimBallot {
        match self {
            Self::Promised { ballot, .. }
            | Self::Accepted { ballot }
            | Self::Outbid { ballot, .. }
            | Self::Abstains { ballot } => ballot,
        }
    }
}

/// What becomes of a claim when its run is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It certainly did not run: the key is free again.
    NotRun,
    /// Nobody knows; the claim stays as it is.
    Unknown,
    /// It ran, with this answer.
    Answered(KeptAnswer),
    /// It ran, and its answer is too large to keep.
    AnswerTooLarge,
}

impl RunEnd {
    /// What to write; `None` where the claim stays.
    pub fn into_state(self) -> Option<ClaimState> {
        match self {
            Self::NotRun => Some(ClaimState::Released),
            Self::Unknown => None,
            Self::Answered(answer) => Some(ClaimState::Answered(answer)),
            Self::AnswerTooLarge => Some(ClaimState::AnswerNotKept),
        }
    }

    /// The end of a run that was refused with `verdict`.
    pub fn from_verdict(verdict: CallVerdict) -> Self {
        match verdict {
            CallVerdict::NotRun => Self::NotRun,
            CallVerdict::MayHaveRun | CallVerdict::Ran => Self::Unknown,
        }
    }
}
