//! How much of its slots a server gets after it starts or returns.
//!
//! Load pattern: a server starts or returns, has no outstanding work, and looks
//! better than all others to every entry node at once. All send it calls, it is
//! cold, and its first calls time out. The usable share of its slots therefore
//! grows linearly from a tenth to the whole.

use std::time::Duration;

/// Time until all slots are used. Cold stand-in servers are slow for their
/// first ten requests; at a tenth of the usual load those take a small part of
/// this time.
const RAMP_TIME: Duration = Duration::from_secs(10);

/// Initial share: one slot in ten, so that there are some answers that show how
/// the server performs.
const INITIAL_SHARE: f64 = 0.1;

/// Returns the usable share of the slots of a server that started `age` ago.
pub fn share(age: Duration) -> f64 {
    let grown = age.as_secs_f64() / RAMP_TIME.as_secs_f64();
    (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * grown).min(1.0)
}
