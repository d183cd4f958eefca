//! Expected loss of an answer's value at a server.
//!
//! Load patterns: servers of unequal speed, one or two in each failure domain,
//! and traffic between domains that has a cost. Always taking the fastest
//! answer sends most calls across domains to save a few milliseconds that
//! nobody needs; always taking the near server makes calls wait for a slow one
//! while others are idle. A call is therefore placed by the probability that
//! its answer misses the target, and by the cost of transferring its bytes: it
//! stays near while there is time to spare, and crosses if staying would make
//! it late.

use std::time::Duration;

/// Lower bound of the mean work in a probability; below it only the waits
/// decide.
const WORK_MIN: Duration = Duration::from_millis(1);

/// Time that counts as much as losing a whole answer. It only breaks ties: of
/// two servers with enough time to spare, the faster one is taken.
const TIE_BREAK_TIME: Duration = Duration::from_secs(100);

/// Value of an answer over time.
#[derive(Clone, Copy, Debug)]
pub struct AnswerValue {
    /// Time left until the target; an answer within it has full value.
    pub target_left: Duration,
    /// Time left until the answer has no value.
    pub left: Duration,
    /// Cost of crossing between failure domains, as a fraction of the answer's
    /// value.
    pub far: f64,
}

impl AnswerValue {
    /// Fraction of its value that the answer is expected to lose if the call
    /// waits `wait` for a job that takes `work` on average.
    pub fn loss(&self, wait: Duration, work: Duration, far: bool) -> f64 {
        let late = late_probability(wait, work, self.target_left);
        let lost = late_probability(wait, work, self.left);
        let far = if far { self.far } else { 0.0 };
        let tie = (wait + work).as_secs_f64() / TIE_BREAK_TIME.as_secs_f64();
        late + lost + far + tie
    }

    /// Longest wait for a job of `work` on average that is no worse than losing
    /// `loss` elsewhere; zero if any wait is worse.
    pub fn wait_for(&self, work: Duration, loss: f64) -> Duration {
        let least = f64::from(f32::EPSILON);
        let slack = work.max(WORK_MIN).mul_f64(-loss.clamp(least, 1.0).ln());
        self.target_left.saturating_sub(slack)
    }
}

/// Probability that a job of `work` on average ends later than `within` if it
/// starts after `wait`. An exponential distribution is assumed: job times vary
/// widely, and a few take several times the mean, so the probability falls
/// slowly with the time to spare.
fn late_probability(wait: Duration, work: Duration, within: Duration) -> f64 {
    let slack = within.saturating_sub(wait);
    (-slack.as_secs_f64() / work.max(WORK_MIN).as_secs_f64()).exp()
}
