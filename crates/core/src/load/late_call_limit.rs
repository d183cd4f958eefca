//! Limits how many slots of a server late calls may take. A call is late once
//! it can no longer meet its target.
//!
//! Load pattern: a server cannot answer all its calls in time, because of a
//! burst, because other servers were lost, or because it is cold and takes
//! nearly as long as the target. If late calls may take every free slot, they
//! start in the moments between two other calls, and the next call that could
//! still be in time waits behind them until it is late as well: the server is
//! always busy, and hardly any answer is in time. Late calls that wait for a
//! free slot and are refused at their deadline would have done better to try
//! elsewhere at once.
//!
//! Late calls therefore leave part of the slots free for new calls, and only a
//! few of them may wait; the others are refused, with a time to retry.

/// Divisor for the part of the slots that late calls leave free.
const RESERVED_DIVISOR: u32 = 3;

/// Divisor of the slots for the number of late calls that may wait. Under
/// lasting load, more would not get a slot before their deadline.
const WAITING_DIVISOR: u32 = 3;

/// Whether a late call may start while `running` calls run; at most `allowed`
/// may run at once.
pub fn may_start(running: u32, allowed: u32) -> bool {
    running + allowed / RESERVED_DIVISOR < allowed
}

/// Maximum number of late calls that may wait while `allowed` may run at once;
/// at least one.
pub fn waiting_max(allowed: u32) -> usize {
    (allowed / WAITING_DIVISOR).max(1) as usize
}
