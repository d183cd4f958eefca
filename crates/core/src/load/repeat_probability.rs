//! How likely a call repeats work that a service was asked for before.
//!
//! Load pattern: one server of a service fails half of its calls. Each is
//! retried elsewhere, and each retry calls the next service again. There these
//! calls look like first tries and earn retries of their own, so the next
//! service gets more repeats than the fleet allows.
//!
//! A retry is therefore marked for the server's node, and calls that the server
//! makes meanwhile are charged to the retry budget of the service they go to.
//! The node does not know which running request made a call, so it uses the
//! share of running requests that are repeats.

/// A certain repeat, in thousandths.
const WHOLE: u16 = 1_000;

/// Probability that a call is a repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RepeatProbability {
    per_mille: u16,
}

impl RepeatProbability {
    /// A first try of a call that repeats nothing.
    pub const FIRST: Self = Self { per_mille: 0 };

    /// A retry.
    pub const REPEAT: Self = Self { per_mille: WHOLE };

    /// Converts from thousandths, capped at 1,000.
    pub fn of_per_mille(per_mille: u16) -> Self {
        Self {
            per_mille: per_mille.min(WHOLE),
        }
    }

    /// The mean over the requests that a server runs; zero without any.
    pub fn mean(probabilities: impl Iterator<Item = Self>) -> Self {
        let (mut sum, mut count) = (0_u32, 0_u32);
        for probability in probabilities {
            sum += u32::from(probability.per_mille);
            count += 1;
        }
        Self {
            per_mille: sum.checked_div(count).unwrap_or(0) as u16,
        }
    }

    /// The probability in thousandths, as sent between nodes.
    pub fn per_mille(self) -> u16 {
        self.per_mille
    }

    /// Expected number of repeats, between 0 and 1.
    pub fn expected(self) -> f64 {
        f64::from(self.per_mille) / f64::from(WHOLE)
    }
}
