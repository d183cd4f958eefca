//! Weighs the crashes that a request was in flight at.
//!
//! Load pattern: many callers send a request, so that it is in flight at most crashes,
//! whatever caused them, and servers complete it all the time. Then its data goes bad:
//! from now on each server that begins it crashes, and none completes it. A completion
//! acquits the request of the crashes before it, not of later ones.

use std::time::Duration;

/// Crashes that a request was in flight at from which on it is taken to cause them.
pub const CRASHES_MIN: usize = 3;

/// Weight of a crash that the request was in flight at.
const FULL_WEIGHT: usize = 2;

/// Weight of a crash that something else may well have caused.
const DOUBTFUL_WEIGHT: usize = 1;

/// Weight of the crashes from which on the request is taken to cause them.
const WEIGHT_MIN: usize = CRASHES_MIN * FULL_WEIGHT;

/// Weight that crashes must have which no other request explains. Two of three: where two
/// requests crash the same servers, each is in flight at crashes of the other.
const OWN_WEIGHT_MIN: usize = (CRASHES_MIN - 1) * FULL_WEIGHT;

/// Time after a crash from which on a call is taken to have begun later. Reports of
/// crashes at the same time do not reach the leader equally fast.
const APART_MIN: Duration = Duration::from_millis(500);

/// A crash with a request in flight. Times count from any common origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCrash {
    /// When the request got its slot.
    pub began: Duration,
    /// When the crash cut it, or was found.
    pub at: Duration,
    /// When the server had last completed the same request, if it is known.
    pub completed: Option<Duration>,
    /// Whether something else may well have caused the crash: the server was cold and
    /// may have got too many calls, or the request had been given up shortly before.
    pub doubtful: bool,
}

/// What speaks against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Crashes since servers last completed the request.
    pub crashes: usize,
    /// How much these crashes say.
    weight: usize,
    /// Whether servers have completed it at all.
    pub completed: bool,
    /// Whether it began again after the first of these crashes and another followed.
    pub repeated: bool,
}

impl CrashEvidence {
    /// Weighs the crashes that a request was in flight at.
    pub fn of(crashes: &[RequestCrash]) -> Self {
        let completed = crashes.iter().filter_map(|crash| crash.completed).max();
        let is_later = |at| completed.is_none_or(|completed| at > completed);
        let later = crashes.iter().filter(|crash| is_later(crash.at));
        let weights = later.clone().map(|crash| match crash.doubtful {
            true => DOUBTFUL_WEIGHT,
            false => FULL_WEIGHT,
        });
        let first = later.clone().map(|crash| crash.at).min();
        let began = later.clone().map(|crash| crash.began).max();
        let repeated = first
            .zip(began)
            .is_some_and(|(first, began)| began > first + APART_MIN);
        Self {
            weight: weights.sum(),
            crashes: later.count(),
            completed: completed.is_some(),
            repeated,
        }
    }

    /// Whether the request is taken to cause the crashes.
    ///
    /// One that servers complete in general must have begun again after a crash:
    /// servers that end at the same time, because something else failed, all have it
    /// in flight if many callers send it.
    pub fn is_conclusive(&self) -> bool {
        self.weight >= WEIGHT_MIN && (self.repeated || !self.completed)
    }

    /// Whether these crashes, which no other request explains, are enough of those that
    /// the request was in flight at.
    pub fn is_own(&self) -> bool {
        self.weight >= OWN_WEIGHT_MIN
    }

    /// Whether a request that was taken to cause crashes before causes them again.
    pub fn is_relapse(&self) -> bool {
        self.weight >= FULL_WEIGHT && !self.completed
    }
}
