//! How likely a call repeats work that a service has been asked for before.
//!
//! Load pattern: one of a service's servers fails half of its calls, each is
//! repeated elsewhere, and each further run makes its calls to the next
//! service anew. There they look like first tries, earn retries of their own,
//! and the next service gets more repeats than the fleet allows.
//!
//! So a further try says so to the server's node, and what the server calls
//! meanwhile is charged to the budget of the service that it calls. The node
//! cannot tell which of the running requests made a call; it takes the part
//! of them that are repeats.

/// One whole repeat.
const WHOLE: u16 = 1_000;

/// Likelihood that a call is a repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RepeatShare {
    per_mille: u16,
}

impl RepeatShare {
    /// A first try of a call that nothing repeats.
    pub const FIRST: Self = Self { per_mille: 0 };

    /// A further try.
    pub const REPEAT: Self = Self { per_mille: WHOLE };

    /// Thousandths, at most all of them.
    pub fn of_per_mille(per_mille: u16) -> Self {
        Self {
            per_mille: per_mille.min(WHOLE),
        }
    }

    /// The mean over the requests that a server runs; none for none.
    pub fn mean(shares: impl Iterator<Item = Self>) -> Self {
        let (mut sum, mut count) = (0_u32, 0_u32);
        for share in shares {
            sum += u32::from(share.per_mille);
            count += 1;
        }
        Self {
            per_mille: sum.checked_div(count).unwrap_or(0) as u16,
        }
    }

    /// Thousandths, as nodes tell each other.
    pub fn per_mille(self) -> u16 {
        self.per_mille
    }

    /// Repeats to be expected.
    pub fn expected(self) -> f64 {
        f64::from(self.per_mille) / f64::from(WHOLE)
    }
}
