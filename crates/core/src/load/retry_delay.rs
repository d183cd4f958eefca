//! The retry time sent to a refused caller.
//!
//! Load pattern: a burst is refused, and all its callers retry at the same
//! moment as the next burst arrives. Without a retry time they retry at once,
//! and the overload sustains itself. The time is random within a span, so that
//! the retries are spread out. The refusal itself is always sent at once.
//!
//! A span of seconds is useless to a caller with a deadline of one second: it
//! would retry too late or not at all. If the caller sends its remaining time,
//! the span is a part of that.

use std::time::Duration;

use rand::Rng;

use crate::quarantine::FIRST_DURATION;
use crate::refusal::RefusalReason;

/// Span of retries after a refusal for overload. Queues hold at most 1 s of
/// work, so a queue that was full has been worked off by the end of the span.
const OVERLOAD_SPAN: Duration = Duration::from_secs(4);

/// Span of retries after a refusal because an instance starts, stops or was
/// lost; other nodes learn of that within about 2 s.
const CHURN_SPAN: Duration = Duration::from_secs(2);

/// Minimum delay if the header counts whole seconds.
const MIN_DELAY: Duration = Duration::from_secs(1);

/// Divisor of the caller's remaining time that limits the span in which it is
/// to retry. The time left after that is enough for the work and for one more
/// refusal.
const REMAINING_DIVISOR: u32 = 4;

/// Span after a server refused a call although not all slots were taken. The
/// service still has capacity, so the next server may take the call: the span
/// covers a few round trips and is long enough that callers do not return
/// together.
const SHED_SPAN: Duration = Duration::from_millis(100);

/// Minimum delay if fractions of a second are sent: the maximum time for a new
/// connection and the way to a server.
const MIN_SUBSECOND_DELAY: Duration = Duration::from_millis(20);

/// Properties of the caller that limit the span.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTime {
    /// Time that the caller has left, if it sent it.
    pub left: Option<Duration>,
    /// Whether the caller reads fractions of a second.
    pub fractions: bool,
}

/// What a retry has to wait for.
enum DelayCause {
    /// Another server, since one refused although it had free slots.
    Shed,
    /// The work queued before the call.
    Overload,
    /// The update about an instance that starts, stops or was lost.
    Churn,
}

fn cause(reason: RefusalReason) -> Option<DelayCause> {
    match reason {
        RefusalReason::ServerRefused => Some(DelayCause::Shed),
        RefusalReason::RetryBudget
        | RefusalReason::NoFreeSlot
        | RefusalReason::QueueFull
        | RefusalReason::QueueTimeout
        | RefusalReason::CustomerLimit
        | RefusalReason::DeadlinePassed => Some(DelayCause::Overload),
        RefusalReason::NoConfiguration
        | RefusalReason::NoEndpoint
        | RefusalReason::Draining
        | RefusalReason::Evacuated
        | RefusalReason::NotAnnounced
        | RefusalReason::ConnectFailed
        | RefusalReason::ClaimNoMajority
        | RefusalReason::ClaimUnanswered
        | RefusalReason::Stopping => Some(DelayCause::Churn),
        _ => None,
    }
}

/// Returns when to retry after a refusal for `reason`; `None` if a later retry
/// would get the same answer. For a quarantined request it is the duration of a first
/// quarantine, for nodes that do not know its end.
pub fn retry_after(
    reason: RefusalReason,
    caller: CallerTime,
    rng: &mut impl Rng,
) -> Option<Duration> {
    if reason == RefusalReason::Quarantined {
        return Some(FIRST_DURATION);
    }
    let cause = cause(reason)?;
    let fraction = rng.random_range(0.0..=1.0);
    let full_span = match cause {
        DelayCause::Shed | DelayCause::Overload => OVERLOAD_SPAN,
        DelayCause::Churn => CHURN_SPAN,
    };
    if !caller.fractions {
        return Some(MIN_DELAY + full_span.mul_f64(fraction));
    }
    let useful_span = caller
        .left
        .map(|left| left / REMAINING_DIVISOR)
        .unwrap_or(full_span);
    let span = match cause {
        DelayCause::Shed => SHED_SPAN.min(useful_span),
        DelayCause::Overload | DelayCause::Churn => full_span.min(useful_span),
    };
    Some(MIN_SUBSECOND_DELAY.min(useful_span / 4) + span.mul_f64(fraction))
}
