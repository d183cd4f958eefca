//! How long a follower waits before it asks again after a failure.
//!
//! Load pattern: a source dies and all of its followers notice in the same
//! millisecond. Without jitter they come back together, again and again;
//! without growth they keep a struggling source from getting up.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

/// First wait at most. Most failures are one dead instance of several, and
/// the next one answers at once.
const FIRST: Duration = Duration::from_millis(200);

/// Longest wait: a fleet without any source asks some hundred times a
/// second in all at 5,200 nodes, and is back ten seconds after the source.
const LONGEST: Duration = Duration::from_secs(10);

/// Longest wait that a source may ask for.
const TOLD_MAX: Duration = Duration::from_secs(60);

/// Waits of one follower.
#[derive(Clone, Debug)]
pub struct ReconnectBackoff {
    ceiling: Duration,
    longest: Duration,
    rng: SmallRng,
}

impl ReconnectBackoff {
    /// Waits drawn from `seed`, which differs between followers.
    pub fn new(seed: u64) -> Self {
        Self {
            ceiling: FIRST,
            longest: LONGEST,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The same, with `longest` as the longest wait: a small fleet can ask
    /// more often without harm, and is back sooner.
    pub fn bounded(mut self, longest: Duration) -> Self {
        self.longest = longest.min(LONGEST);
        self
    }

    /// A source answered: the next failure begins with a short wait again.
    pub fn reset(&mut self) {
        self.ceiling = FIRST;
    }

    /// Wait after a failure, drawn evenly up to a ceiling that doubles.
    pub fn next_wait(&mut self) -> Duration {
        let wait = self.ceiling.mul_f64(self.rng.random_range(0.0..1.0));
        self.ceiling = (self.ceiling * 2).min(self.longest);
        wait
    }

    /// The same for a follower that starts and holds nothing: `longest` at most.
    ///
    /// Guards against a node that asks while all sources start as well, and
    /// waits longer than any of them needs: it serves nobody until it has
    /// asked again, up to a second after the others.
    pub fn next_starting_wait(&mut self, longest: Duration) -> Duration {
        self.next_wait()
            .min(longest.mul_f64(self.rng.random_range(0.0..1.0)))
    }

    /// Wait after a source said when to come back: not before, and a little
    /// spread, because times told in the same millisecond are alike.
    pub fn retry_after(&mut self, after: Duration) -> Duration {
        let spread = self.rng.random_range(1.0..1.1);
        after.min(TOLD_MAX).mul_f64(spread)
    }
}
