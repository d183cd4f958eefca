//! Version numbers, which order all accepted configurations.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Position of an accepted change in the replicated log.
///
/// Ordered by term first, so a version accepted under a later leader is above
/// all versions accepted under earlier ones.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct ConfigVersion {
    /// Term of the leader that accepted the change; 0 before the first change.
    pub term: u64,
    /// Index in the log; 0 before the first change.
    pub index: u64,
}

impl ConfigVersion {
    /// The version of a fleet that has accepted no change yet.
    pub const ZERO: Self = Self { term: 0, index: 0 };

    /// Creates the version for `index` of `term`.
    pub fn new(term: u64, index: u64) -> Self {
        Self { term, index }
    }

    /// True for the version before the first change.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.index)
    }
}

/// The reason why a text is not a version of the form `TERM.INDEX`.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum VersionError {
    /// There is no dot between the two numbers.
    #[error("a version has the form TERM.INDEX, such as 3.120")]
    MissingDot,
    /// One of the two parts is not a whole number.
    #[error("a version consists of two whole numbers, TERM.INDEX: {0}")]
    NotNumber(#[from] ParseIntError),
}

impl FromStr for ConfigVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, index) = text.split_once('.').ok_or(VersionError::MissingDot)?;
        Ok(Self {
            term: term.parse()?,
            index: index.parse()?,
        })
    }
}
