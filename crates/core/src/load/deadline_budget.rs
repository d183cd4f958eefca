//! How much of a call's remaining time is passed on to the next hop.
//!
//! Load pattern: deep chains of calls. If each hop passed on all of its time,
//! the innermost answer would arrive at the last moment, after every outer hop
//! has timed out. The work would be wasted, and the caller would get "may have
//! run" although the inner refusal was "not run". Each hop therefore reserves
//! some time for the way back.

use std::time::Duration;

/// Divisor for the part of the remaining time that a hop reserves. Over 28
/// hops, the deepest chain planned for, 0.41 of the time still reaches the
/// innermost server.
const RESERVE_DIVISOR: u32 = 32;

/// Maximum that a hop reserves: the way back between failure domains (1.5 ms)
/// and the two nodes' own processing (under 1 ms).
const RESERVE_MAX: Duration = Duration::from_millis(3);

/// Returns the part of `left` that the next hop gets.
pub fn for_next_hop(left: Duration) -> Duration {
    left - (left / RESERVE_DIVISOR).min(RESERVE_MAX)
}
