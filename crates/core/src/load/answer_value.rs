//! What of its worth an answer is expected to lose at a server.
//!
//! Load patterns: servers of unlike speed, one or two in each failure domain,
//! and traffic between domains that is paid for. Always the quickest answer
//! takes most calls across for a few milliseconds that nobody misses; always
//! the near server leaves calls waiting for a slow one while others stand
//! idle. So a call is placed by the chance that its answer comes too late to
//! be worth most, and by what its bytes cost on the way: it stays near while
//! it has time in hand, and crosses where staying would make it late.

use std::time::Duration;

/// Least work that a chance is worked out for; below it waits decide.
const WORK_MIN: Duration = Duration::from_millis(1);

/// Waiting that counts as much as a whole answer, where the chances of two
/// servers are alike: of two with time to spare the quicker one is taken.
const TIE_TIME: Duration = Duration::from_secs(100);

/// What an answer is worth, and until when.
#[derive(Clone, Copy, Debug)]
pub struct AnswerValue {
    /// Time in which it is worth most.
    pub target_left: Duration,
    /// Time in which it is worth anything.
    pub left: Duration,
    /// Part of its worth that it costs to cross between failure domains.
    pub far: f64,
}

impl AnswerValue {
    /// Part of its worth that the answer is expected to lose where it waits
    /// `wait` for a job of `work` on average.
    pub fn loss(&self, wait: Duration, work: Duration, far: bool) -> f64 {
        let late = late_chance(wait, work, self.target_left);
        let lost = late_chance(wait, work, self.left);
        let far = if far { self.far } else { 0.0 };
        let tie = (wait + work).as_secs_f64() / TIE_TIME.as_secs_f64();
        late + lost + far + tie
    }

    /// Longest wait for a job of `work` on average that is no worse than to
    /// lose `loss` elsewhere; zero where every wait is.
    pub fn wait_for(&self, work: Duration, loss: f64) -> Duration {
        let least = f64::from(f32::EPSILON);
        let room = work.max(WORK_MIN).mul_f64(-loss.clamp(least, 1.0).ln());
        self.target_left.saturating_sub(room)
    }
}

/// The chance that a job of `work` on average ends later than `within` where
/// it begins after `wait`. Times of jobs vary widely, a few take several times
/// the mean, so that the chance falls slowly with the time in hand.
fn late_chance(wait: Duration, work: Duration, within: Duration) -> f64 {
    let room = within.saturating_sub(wait);
    (-room.as_secs_f64() / work.max(WORK_MIN).as_secs_f64()).exp()
}
