//! The wall clock: for display, for numbers that must increase across restarts,
//! and for moves, which outlive the processes that run them.
//!
//! The wall clock may jump, so durations within one process are measured with
//! [`std::time::Instant`].

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the time since 1970, or zero if the clock is set to an earlier time.
pub fn since_epoch() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

/// Returns the number of milliseconds since 1970.
pub fn millis() -> u64 {
    since_epoch().as_millis() as u64
}
