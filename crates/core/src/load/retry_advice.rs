//! When a refused caller is told to come back.
//!
//! Load pattern: a burst is refused, and all its callers come back at the
//! same moment as the next burst. Without a time they come back at once and
//! the overload feeds itself. The time is drawn at random over a span, so
//! that the returning load is spread thinly. The refusal itself is given at
//! once and never held back.
//!
//! A span of seconds is of no use to a caller whose call is over in one: it
//! comes back when its answer is late or not at all. So where the caller says
//! how much time it has, the span is a part of that.

use std::time::Duration;

use rand::Rng;

use crate::refusal::RefusalReason;

/// Span over which callers refused for overload come back. With queues of
/// at most 1 s, what was full then has been worked off by its end.
const OVERLOAD_SPAN: Duration = Duration::from_secs(4);

/// Span for what an instance's start, stop or loss causes: other nodes know
/// of it within about 2 s.
const CHURN_SPAN: Duration = Duration::from_secs(2);

/// The least wait where the header counts whole seconds.
const LEAST: Duration = Duration::from_secs(1);

/// Part of a caller's time within which it is to come back: what is left
/// then is enough for the work, and for one more refusal.
const LEFT_PART: u32 = 4;

/// Span for a server that refused though its slots were not all taken. It has
/// not run out of room, so the next one may take the call: some round trips,
/// and long enough that callers do not return together.
const SHED_SPAN: Duration = Duration::from_millis(100);

/// Least wait where fractions of a second are told: what a new connection and
/// the way to a server take at most.
const LEAST_FRACTION: Duration = Duration::from_millis(20);

/// What decides how long a span may be.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTime {
    /// Time that the caller has left, where it said so.
    pub left: Option<Duration>,
    /// True where it reads fractions of a second.
    pub fractions: bool,
}

/// Why callers come back, by what they wait for.
enum ReturnCause {
    /// A server refused though it had room.
    Shed,
    /// Work that is before them.
    Overload,
    /// News of an instance that starts, stops or was lost.
    Churn,
}

fn cause(reason: RefusalReason) -> Option<ReturnCause> {
    match reason {
        RefusalReason::ServerRefused => Some(ReturnCause::Shed),
        RefusalReason::RetryBudget
        | RefusalReason::NoFreeSlot
        | RefusalReason::QueueFull
        | RefusalReason::QueueTimeout
        | RefusalReason::CustomerLimit
        | RefusalReason::DeadlinePassed => Some(ReturnCause::Overload),
        RefusalReason::NoConfiguration
        | RefusalReason::NoEndpoint
        | RefusalReason::Draining
        | RefusalReason::NotAnnounced
        | RefusalReason::ConnectFailed
        | RefusalReason::ClaimNoMajority
        | RefusalReason::ClaimUnanswered
        | RefusalReason::Stopping => Some(ReturnCause::Churn),
        _ => None,
    }
}

/// When to come back after a refusal for `reason`; `None` where coming back
/// later gives the same answer.
pub fn retry_after(
    reason: RefusalReason,
    caller: CallerTime,
    rng: &mut impl Rng,
) -> Option<Duration> {
    let cause = cause(reason)?;
    let drawn = rng.random_range(0.0..=1.0);
    let whole = match cause {
        ReturnCause::Shed | ReturnCause::Overload => OVERLOAD_SPAN,
        ReturnCause::Churn => CHURN_SPAN,
    };
    if !caller.fractions {
        return Some(LEAST + whole.mul_f64(drawn));
    }
    let useful = caller.left.map(|left| left / LEFT_PART).unwrap_or(whole);
    let span = match cause {
        ReturnCause::Shed => SHED_SPAN.min(useful),
        ReturnCause::Overload | ReturnCause::Churn => whole.min(useful),
    };
    Some(LEAST_FRACTION.min(useful / 4) + span.mul_f64(drawn))
}
