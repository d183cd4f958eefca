//! When a refused caller is told to come back.
//!
//! Load pattern: a burst is refused, and all its callers come back at the
//! same moment as the next burst. Without a time they come back at once and
//! the overload feeds itself. The time is drawn at random over a span, so
//! that the returning load is spread thinly. The refusal itself is given at
//! once and never held back.

use std::time::Duration;

use rand::Rng;

use crate::refusal::RefusalReason;

/// Span over which callers refused for overload come back. With queues of
/// at most 1 s, what was full then has been worked off by its end.
const OVERLOAD_SPAN: Duration = Duration::from_secs(4);

/// Span for what an instance's start, stop or loss causes: other nodes know
/// of it within about 2 s.
const CHURN_SPAN: Duration = Duration::from_secs(2);

/// The least wait; the header counts whole seconds.
const LEAST: Duration = Duration::from_secs(1);

/// When to come back after a refusal for `reason`; `None` where coming back
/// later gives the same answer.
pub fn retry_after(reason: RefusalReason, rng: &mut impl Rng) -> Option<Duration> {
    let span = match reason {
        RefusalReason::NoFreeSlot
        | RefusalReason::QueueFull
        | RefusalReason::QueueTimeout
        | RefusalReason::CustomerLimit
        | RefusalReason::ServerRefused
        | RefusalReason::DeadlinePassed
        | RefusalReason::RetryBudget => OVERLOAD_SPAN,
        RefusalReason::NoConfiguration
        | RefusalReason::NoEndpoint
        | RefusalReason::Draining
        | RefusalReason::NotAnnounced
        | RefusalReason::ConnectFailed
        | RefusalReason::ClaimNoMajority
        | RefusalReason::ClaimUnanswered
        | RefusalReason::Stopping => CHURN_SPAN,
        _ => return None,
    };
    let drawn = rng.random_range(0.0..=1.0);
    Some(LEAST + span.mul_f64(drawn))
}
