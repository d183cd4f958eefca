//! How long a node counts as live after its last report.
//!
//! Nodes are restarted and replaced all the time, and a move is done only when
//! every live node routes by its final version. A node that has left delays
//! the move until it no longer counts as live. Where nodes send a request every
//! half second and moves have fifteen seconds, waiting ten seconds for such a
//! node would delay good versions too long.

use std::time::Duration;

/// Default for nodes whose long-poll wait is four seconds: two waits, or one
/// wait and a change of source.
const LIVE_DEFAULT: Duration = Duration::from_secs(10);

/// Fraction of [`NodePresence::live_for`] after which a relay no longer reports
/// a follower.
const REPORT_FRACTION: f64 = 0.5;

/// Fraction of [`NodePresence::live_for`] after which a relay reports all its
/// followers again: three times before the leader no longer counts them.
const REFRESH_FRACTION: f64 = 0.3;

/// Durations derived from how long a node counts as live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodePresence {
    /// How long a node counts as live at the leader.
    pub live_for: Duration,
}

impl Default for NodePresence {
    fn default() -> Self {
        Self {
            live_for: LIVE_DEFAULT,
        }
    }
}

impl NodePresence {
    /// How long a relay reports a follower after the follower's last request.
    pub fn reported_for(self) -> Duration {
        self.live_for.mul_f64(REPORT_FRACTION)
    }

    /// Interval at which a relay reports all its followers.
    pub fn refresh(self) -> Duration {
        self.live_for.mul_f64(REFRESH_FRACTION)
    }
}
