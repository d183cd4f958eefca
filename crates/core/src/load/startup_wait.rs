//! Which calls wait while a newly started node gets its first configuration.
//!
//! Load pattern: all processes of a fleet are lost at once and restart. A node
//! accepts calls a few tenths of a second before a control instance can send it
//! the configuration. If those calls were refused at once, all their callers
//! would retry a second or more later, together with the new calls of that
//! moment: all of their answers would be late, and the servers would be idle
//! first and overloaded afterwards. A short wait serves most of them in time.
//!
//! The wait is bounded: it applies only right after the start of a process, for
//! a part of the caller's deadline, and to a limited number of calls. A node
//! that still has no configuration refuses at once and says when to retry.

use std::time::Duration;

/// How long after its start a node expects its first configuration. A fleet of
/// 79 machines with 0.075 of a core for each control instance takes 0.4 to 0.8
/// s from the start of all processes.
const STARTUP_WINDOW: Duration = Duration::from_millis(1_500);

/// Divisor of the caller's deadline for how long a call waits at most, so that
/// a call that is refused in the end can still be retried elsewhere.
const DEADLINE_DIVISOR: u32 = 4;

/// Maximum number of calls that wait at once. A call takes a few kilobytes, and
/// this is one second of calls at the busiest node.
const CALLS_MAX: usize = 256;

/// Returns until when a call that arrives at `now` waits, relative to the
/// node's start, while `waiting` others wait; `None` if it is refused at once.
pub fn wait_until(
    now: Duration,
    deadline: Option<Duration>,
    waiting: usize,
) -> Option<Duration> {
    if now >= STARTUP_WINDOW || waiting >= CALLS_MAX {
        return None;
    }
    let wait_max = deadline.map(|deadline| deadline / DEADLINE_DIVISOR);
    let until = wait_max.map_or(STARTUP_WINDOW, |wait_max| now + wait_max);
    Some(until.min(STARTUP_WINDOW))
}
