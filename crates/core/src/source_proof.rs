//! Proof of the freshness of a source's answers.
//!
//! A control instance on the minority side of an undetected partition does not
//! know that it is isolated. If it counted as fresh, a node that starts there
//! would roll back to an older version than it had applied. So freshness is
//! never assumed: the leader is fresh while its leader lease is valid, and any
//! other instance only for a bounded time after an answer from the leader.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::version::ConfigVersion;

/// How long an answer of the leader keeps its receiver fresh, counted from the
/// time the request was sent. A control instance sends a request every half
/// second; freshness survives the loss of four in a row.
pub const FRESH_FOR: Duration = Duration::from_secs(2);

/// The source of an answer and how fresh the answer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceProof {
    /// Name of the instance that answers.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Version that the instance holds.
    pub version: ConfigVersion,
    /// Milliseconds for which the answer stays fresh, counted from the time
    /// its request was sent; 0 if its freshness is not proved.
    pub fresh_ms: u64,
    /// True if the proof is newer than the request: the answer includes
    /// everything that was accepted before the request was sent.
    pub confirmed: bool,
}

/// Tracks how fresh this instance is.
#[derive(Clone, Copy, Debug, Default)]
pub struct SourceFreshness {
    leading: bool,
    proved_at: Option<Duration>,
    fresh_until: Duration,
}

impl SourceFreshness {
    /// Records whether this instance leads and its leader lease is valid.
    pub fn set_leading(&mut self, leading: bool) {
        self.leading = leading;
    }

    /// Records an answer to a request sent at `sent_at`. Freshness counts from
    /// that time, because a delayed answer proves nothing about the time it
    /// spent in transit.
    pub fn record_proof(&mut self, sent_at: Duration, source: &SourceProof) {
        if source.fresh_ms == 0 {
            return;
        }
        let until = sent_at + Duration::from_millis(source.fresh_ms).min(FRESH_FOR);
        self.fresh_until = self.fresh_until.max(until);
        if source.confirmed {
            self.proved_at = self.proved_at.max(Some(sent_at));
        }
    }

    /// How long an answer given at `now` stays fresh; zero if it is not fresh.
    pub fn fresh_for(&self, now: Duration) -> Duration {
        if self.leading {
            return FRESH_FOR;
        }
        self.fresh_until.saturating_sub(now)
    }

    /// True if this instance holds everything accepted before `requested_at`.
    pub fn confirms(&self, requested_at: Duration) -> bool {
        self.leading || self.proved_at.is_some_and(|proved| proved >= requested_at)
    }
}
