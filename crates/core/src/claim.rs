//! At-most-once execution of non-idempotent calls across all resends.
//!
//! A call with an `Idempotency-Key` may run only after its key is claimed at
//! a majority of the key's holders: three nodes in three failure domains.
//! Each key is a register that the holders replicate with ballots, as in
//! single-decree Paxos: an entry node prepares a ballot at a majority, learns
//! which value may already be written, and only then writes. The register
//! changes from empty or released to running, and from running to answered
//! or back to released. Only the entry node that claimed the running run may
//! end it.
//!
//! Load pattern: callers resend through other nodes after an answer was lost,
//! while nodes join and leave. Without claims the second run of a batch sale
//! would invoice goods that were never shipped.

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

/// How long a holder remembers a key after the last write to it. Callers
/// resend within seconds or a few minutes. A longer retention costs memory at
/// the holders and makes a restarted holder abstain for longer.
pub const KEY_RETENTION: Duration = Duration::from_secs(300);

/// Longest deadline of a call with a key: a fifth of [`KEY_RETENTION`], so
/// that a run ends well before its key may be evicted.
pub const KEYED_DEADLINE_MAX: Duration = Duration::from_secs(60);

/// Largest assumed difference between the wall clocks of two nodes. Clocks
/// synchronised by NTP stay within a tenth of it.
pub const CLOCK_SKEW: Duration = Duration::from_secs(1);

/// How long an entry node may claim keys without hearing from its update
/// source. After that the holders may have changed without its knowledge.
pub const ROSTER_LEASE: Duration = Duration::from_secs(600);

/// Largest answer, in bytes of headers and body, that is kept for resends.
/// The answer to an acceptance or a sale is a receipt of a few hundred bytes.
pub const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Unique identifier of one run of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunToken {
    /// Instance of the entry node that claims the run.
    pub node: Arc<str>,
    /// Start time of that node's process, in microseconds since the Unix
    /// epoch.
    pub incarnation: u64,
    /// Sequence number of the run within the process.
    pub serial: u64,
}

/// A ballot number. Higher ballots win, and no two proposers share one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimBallot {
    /// Increases with each ballot of a proposer.
    pub round: u64,
    /// Run whose proposer owns the ballot.
    pub token: RunToken,
}

/// State of the call that a key identifies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Claimed by this run. Only the claiming entry node knows whether the
    /// call has reached a backend server.
    Running(RunToken),
    /// The call was claimed and did not run; the key can be claimed again.
    Released,
    /// A backend server answered with this.
    Answered(KeptAnswer),
    /// A backend server answered, and the answer is too large to keep.
    AnswerNotKept,
}

/// Value of a key's register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Digest of the request; detects a key that is reused for another one.
    pub request: KeyDigest,
    /// State of the call.
    pub state: ClaimState,
}

/// A complete answer that is kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to callers.
    pub headers: Vec<(Arc<str>, ByteBlob)>,
    /// The complete body.
    pub body: ByteBlob,
}

impl KeptAnswer {
    /// Approximate size in bytes, for checking limits: the body and the names
    /// and values of the headers.
    pub fn bytes(&self) -> usize {
        let mut bytes = self.body.len();
        for (name, value) in &self.headers {
            bytes += name.len() + value.len();
        }
        bytes
    }
}

/// A request from an entry node to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Asks the holder to promise to refuse lower ballots, and to return the
    /// last value it accepted.
    Prepare {
        /// Key whose register is prepared.
        key: ClaimKey,
        /// Ballot to promise.
        ballot: ClaimBallot,
    },
    /// Asks the holder to write the value under the ballot.
    Accept {
        /// Key whose register is written.
        key: ClaimKey,
        /// Ballot of the write.
        ballot: ClaimBallot,
        /// Value to write; `None` writes an empty register.
        value: Option<ClaimValue>,
    },
}

/// A holder's reply. Each variant carries the ballot that it replies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The ballot is promised.
    Promised {
        /// Ballot promised.
        ballot: ClaimBallot,
        /// The last write that the holder accepted, if there is one.
        written: Option<WrittenValue>,
    },
    /// The write was accepted.
    Accepted {
        /// Ballot of the write.
        ballot: ClaimBallot,
    },
    /// Refused, because the holder has promised a higher ballot.
    Outbid {
        /// Ballot refused.
        ballot: ClaimBallot,
        /// Round of the promised ballot, which the next ballot must exceed.
        round: u64,
    },
    /// The holder may not vote on this key: the key may have been used before
    /// the holder started, or the holder's memory is full.
    Abstains {
        /// Ballot not voted on.
        ballot: ClaimBallot,
    },
}

/// A write that a holder has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrittenValue {
    /// Ballot of the write.
    pub ballot: ClaimBallot,
    /// Value written; `None` for an empty register.
    pub value: Option<ClaimValue>,
}

impl ClaimReply {
    /// The ballot that this replies to.
    pub fn ballot(&self) -> &ClaimBallot {
        match self {
            Self::Promised { ballot, .. }
            | Self::Accepted { ballot }
            | Self::Outbid { ballot, .. }
            | Self::Abstains { ballot } => ballot,
        }
    }
}

/// How a claimed run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The call certainly did not run; its key can be claimed again.
    NotRun,
    /// It is unknown whether the call ran; the claim stays in place.
    Unknown,
    /// The call ran and was answered with this.
    Answered(KeptAnswer),
    /// The call ran, and its answer is too large to keep.
    AnswerTooLarge,
}

impl RunEnd {
    /// State to write to the register; `None` leaves the claim in place.
    pub fn into_state(self) -> Option<ClaimState> {
        match self {
            Self::NotRun => Some(ClaimState::Released),
            Self::Unknown => None,
            Self::Answered(answer) => Some(ClaimState::Answered(answer)),
            Self::AnswerTooLarge => Some(ClaimState::AnswerNotKept),
        }
    }

    /// End of a run whose call was refused with `verdict`.
    pub fn from_verdict(verdict: CallVerdict) -> Self {
        match verdict {
            CallVerdict::NotRun => Self::NotRun,
            CallVerdict::MayHaveRun | CallVerdict::Ran => Self::Unknown,
        }
    }
}
