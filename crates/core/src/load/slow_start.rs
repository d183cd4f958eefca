//! How much of its slots a server that just came (back) gets.
//!
//! Load pattern: a server starts or returns, has no work outstanding, and
//! looks better than all others to every entry node at once. All run to it,
//! it is cold, and its first calls time out. So its share of its slots grows
//! evenly from a tenth to the whole.

use std::time::Duration;

/// Time to the whole. Cold stand-ins are slow for their first ten requests;
/// at a tenth of the usual load those are over in a small part of it.
const RAMP: Duration = Duration::from_secs(10);

/// Share at the start: one slot of ten, so that there is some evidence.
const FIRST: f64 = 0.1;

/// Share of its slots for a server that has been there for `age`.
pub fn share(age: Duration) -> f64 {
    let grown = age.as_secs_f64() / RAMP.as_secs_f64();
    (FIRST + (1.0 - FIRST) * grown).min(1.0)
}
