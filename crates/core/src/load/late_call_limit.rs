//! How much of a server goes to calls that are late already.
//!
//! Load pattern: a server cannot answer all its calls in time, be it that a
//! burst comes, that others were lost, or that it is cold and takes nearly as
//! long as the target. Late calls that may take every free slot are begun in
//! the moments between two others, and the next call that could still be in
//! time waits behind their work until it is late as well: the server is busy
//! all the time and hardly an answer is in time. Those that wait for a gap in
//! turn, and are refused when their time is over, would have done better to
//! ask elsewhere at once.
//!
//! So late calls leave a part of the slots free for those that come, and few
//! of them wait; the others are told to come back.

/// Part of the slots that late calls leave free.
const KEPT_PART: u32 = 3;

/// Late calls that may wait, as a part of the slots: more would not find a gap
/// before their time is over where the load lasts.
const WAITING_PART: u32 = 3;

/// Whether a late call may start beside `running` others where `allowed` may
/// run.
pub fn may_start(running: u32, allowed: u32) -> bool {
    running + allowed / KEPT_PART < allowed
}

/// Late calls that may wait where `allowed` run at once; one at least.
pub fn waiting_max(allowed: u32) -> usize {
    (allowed / WAITING_PART).max(1) as usize
}
