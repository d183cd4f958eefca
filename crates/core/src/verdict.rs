//! Knowledge of whether a call has run at a backend server.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run at a backend server.
///
/// A non-idempotent call may be retried only after [`CallVerdict::NotRun`].
/// Variants are ordered by certainty that the request ran; the verdict of a
/// call with several tries is the greatest of their verdicts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum CallVerdict {
    /// No backend server has run the request.
    NotRun,
    /// The request was sent to a backend server, but no complete answer came.
    MayHaveRun,
    /// A backend server answered.
    Ran,
}

impl CallVerdict {
    /// The value of the verdict header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Parses the value of the verdict header; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "not-run" => Some(Self::NotRun),
            "may-have-run" => Some(Self::MayHaveRun),
            "ran" => Some(Self::Ran),
            _ => None,
        }
    }
}

impl fmt::Display for CallVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
