//! Exponential backoff with jitter for a follower's requests after a failure.
//!
//! When a source dies, all of its followers notice in the same millisecond.
//! Without jitter they would all retry together, repeatedly; without
//! exponential growth they would keep an overloaded source from recovering.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// Upper bound of the first wait. In most failures one of several instances is
/// dead, and the next one answers at once.
const CEILING_MIN: Duration = Duration::from_millis(200);

/// Highest upper bound. While no source is up, a fleet of 5,200 nodes asks some
/// hundred times a second in total, and all of it reconnects within ten seconds
/// after a source is up again.
const CEILING_MAX: Duration = Duration::from_secs(10);

/// Longest wait that a source may demand.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Backoff state of one follower.
#[derive(Clone, Debug)]
pub struct ReconnectBackoff {
    ceiling: Duration,
    ceiling_max: Duration,
    rng: SmallRng,
}

impl ReconnectBackoff {
    /// Creates a backoff whose jitter is drawn from `seed`, which must differ
    /// between followers.
    pub fn new(seed: u64) -> Self {
        Self {
            ceiling: CEILING_MIN,
            ceiling_max: CEILING_MAX,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Limits the growth of the wait to `longest`: a small fleet can retry more
    /// often without harm, and reconnects sooner.
    pub fn bounded(mut self, longest: Duration) -> Self {
        self.ceiling_max = longest.min(CEILING_MAX);
        self.reset();
        self
    }

    /// Resets the backoff after a source has answered, so the wait after the
    /// next failure is short.
    pub fn reset(&mut self) {
        self.ceiling = CEILING_MIN.min(self.ceiling_max);
    }

    /// Wait after a failure, drawn uniformly from zero to an upper bound that
    /// doubles with each failure.
    pub fn next_wait(&mut self) -> Duration {
        let wait = self.ceiling.mul_f64(self.rng.random_range(0.0..1.0));
        self.ceiling = (self.ceiling * 2).min(self.ceiling_max);
        wait
    }

    /// Wait after a failure of a starting follower, `longest` at most.
    ///
    /// When nodes and sources start together, a node may wait longer than the
    /// sources need to start. It cannot serve until it has asked again, up to
    /// a second after the other nodes.
    pub fn next_starting_wait(&mut self, longest: Duration) -> Duration {
        self.next_wait()
            .min(longest.mul_f64(self.rng.random_range(0.0..1.0)))
    }

    /// Wait after a source has asked the follower to retry after `after`. It is
    /// never shorter, unless `after` exceeds `RETRY_AFTER_MAX`, and up to a
    /// tenth longer, because a source may give equal times to many followers.
    pub fn retry_after(&mut self, after: Duration) -> Duration {
        let spread = self.rng.random_range(1.0..1.1);
        after.min(RETRY_AFTER_MAX).mul_f64(spread)
    }
}
