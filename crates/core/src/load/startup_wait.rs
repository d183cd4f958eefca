//! Which calls wait while a node that has just started gets its first
//! configuration.
//!
//! Load pattern: all processes of a fleet are lost at once and start again.
//! A node takes calls some tenths of a second before a control instance can
//! tell it the configuration. Refused at once, every caller of that time comes
//! back a second or more later, together with the calls of that moment: all
//! of their answers are late, and the servers stand idle and are overrun in
//! turn. A short wait serves most of them in time.
//!
//! It is bounded: only in the first moments of a process, for a part of the
//! time that the caller gives, and for so many calls. A node that stays
//! without a configuration refuses at once and says when to come back.

use std::time::Duration;

/// How long after its start a node expects its first configuration. A fleet
/// of 79 machines with 0.075 of a core for each control instance takes 0.4 to
/// 0.8 s from the start of all processes.
const START_TIME: Duration = Duration::from_millis(1_500);

/// A call waits at most this part of the time its caller gives, so that one
/// that is refused in the end can still try again elsewhere.
const DEADLINE_PART: u32 = 4;

/// Calls that wait at once; some kilobytes each, and a second's work of the
/// busiest node seen.
const CALLS_MAX: usize = 256;

/// Until when a call waits that comes at `now`, counted from the node's
/// start, beside `waiting` others; `None` where it is refused at once.
pub fn wait_until(
    now: Duration,
    deadline: Option<Duration>,
    waiting: usize,
) -> Option<Duration> {
    if now >= START_TIME || waiting >= CALLS_MAX {
        return None;
    }
    let patience = deadline.map(|deadline| deadline / DEADLINE_PART);
    let until = patience.map_or(START_TIME, |patience| now + patience);
    Some(until.min(START_TIME))
}
