//! How long a node counts as live after it was last heard of.
//!
//! Load pattern: nodes are restarted and replaced all the time, and a move is
//! done only once every live node routes by its end. One that has gone is
//! waited for until it no longer counts; where nodes ask every half second
//! and moves are given fifteen, ten seconds of it make good versions late.

use std::time::Duration;

/// Where nodes wait four seconds for news: two waits, or one and a change of
/// source.
const USUAL: Duration = Duration::from_secs(10);

/// Part of it after which a relay no longer names a follower.
const RELAY_PART: f64 = 0.5;

/// Part of it after which a relay names all its followers again: three times
/// before the leader forgets them.
const REFRESH_PART: f64 = 0.3;

/// Times that follow from how long a node counts as live.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodePresence {
    /// At the leader.
    pub live_for: Duration,
}

impl Default for NodePresence {
    fn default() -> Self {
        Self { live_for: USUAL }
    }
}

impl NodePresence {
    /// How long a relay names a follower after it was heard.
    pub fn named_for(self) -> Duration {
        self.live_for.mul_f64(RELAY_PART)
    }

    /// How often a relay names all its followers.
    pub fn refresh(self) -> Duration {
        self.live_for.mul_f64(REFRESH_PART)
    }
}
