//! Sequential tests that tell a bad version from chance.
//!
//! Load pattern: counts come in small samples for as long as the move lasts,
//! failures are rare, and the version may turn bad at any moment. A test
//! with a fixed sample, looked at again and again, raises false alarms; one
//! that sums since the start has gathered so much credit that it answers
//! late when a version turns bad late.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// How many times the old rate of failures the new version is supposed to
/// have if it is bad. Three is the least that counts as bad: below a ratio
/// of about 1.8, which is `2 / ln 3`, evidence for it shrinks. Sixteen finds
/// gross failure soonest.
pub const FAILURE_ODDS_RATIOS: [f64; 3] = [3.0, 6.0, 16.0];

/// The same for slow calls. Six, because a version a tenth slower has up
/// to 1.6 times as many calls beyond a high quantile and is not bad; the
/// bound is then 2.8, and half as slow again shows as four times as many.
pub const SLOWNESS_ODDS_RATIOS: [f64; 3] = [6.0, 10.0, 16.0];

/// Most evidence that one look gives, as a natural logarithm. Guards
/// against bursts, such as a crash of one server that breaks ten calls at
/// once: they show as one look and are no ten independent failures. Three
/// samples at least are needed for the usual limits.
const SAMPLE_EVIDENCE_MAX: f64 = 3.0;

/// Sums are scaled down from here on, far below the greatest float.
const SCALE_AT: f64 = 1e100;

/// Calls of one version in one look, and those with the event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventCounts {
    /// Calls.
    pub calls: u64,
    /// Calls with the event.
    pub events: u64,
}

impl EventCounts {
    /// Share of calls with the event.
    pub fn rate(&self) -> f64 {
        self.events as f64 / self.calls.max(1) as f64
    }
}

/// What one look offers to a test: both versions over the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TestSample {
    /// The version in service.
    pub old: EventCounts,
    /// The version that is taking over.
    pub new: EventCounts,
}

/// A test that is fed samples and tells how strong the evidence is.
pub trait SequentialTest: fmt::Debug {
    /// Takes one look; the natural logarithm of the evidence that the new
    /// version is bad. A limit of `ln(1/a)` holds false alarms to `a`.
    fn update(&mut self, sample: &TestSample) -> f64;
}

/// Logarithm of the likelihood ratio of one look, for a version whose odds of
/// the event are `ratio` times the old ones against one with the same odds.
///
/// It is that of the split of all events between the two versions given their
/// sum: a trouble that hits both alike changes the sum and not the split. The
/// calls without the event count as well. Without them a version that fails
/// 45 of 100 calls while the old one fails 15 is hardly told from it, since
/// nearly all events stay with the many calls of the old one. Whatever the
/// common rate, its mean under "no worse" is one.
pub fn log_likelihood_ratio(sample: &TestSample, ratio: f64) -> f64 {
    let TestSample { old, new } = sample;
    let events = old.events + new.events;
    if old.calls == 0 || new.calls == 0 || events == 0 {
        return 0.0;
    }
    new.events as f64 * ratio.ln() - ln_mean_ratio(sample, events, ratio)
}

/// Logarithm of the mean of `ratio` to the power of the events that fall on
/// the new version where `events` fall on all calls alike.
fn ln_mean_ratio(sample: &TestSample, events: u64, ratio: f64) -> f64 {
    let (old, new) = (sample.old.calls as f64, sample.new.calls as f64);
    let events = events.min(sample.old.calls + sample.new.calls) as f64;
    let least = (events - old).max(0.0);
    let most = events.min(new);
    // Weights of the hypergeometric distribution beside the least count's,
    // each from the one before.
    let mut fair = ScaledSum::default();
    let mut tilted = ScaledSum::default();
    let mut count = least;
    while count < most {
        let taken = (new - count) * (events - count);
        let left = (count + 1.0) * (old - events + count + 1.0);
        fair.next(taken / left);
        tilted.next(taken / left * ratio);
        count += 1.0;
    }
    least * ratio.ln() + tilted.ln() - fair.ln()
}

/// A sum of terms, each a multiple of the one before, that may grow beyond
/// any float.
struct ScaledSum {
    term: f64,
    sum: f64,
    ln_scale: f64,
}

impl Default for ScaledSum {
    /// The first term alone, which is one.
    fn default() -> Self {
        Self {
            term: 1.0,
            sum: 1.0,
            ln_scale: 0.0,
        }
    }
}

impl ScaledSum {
    fn next(&mut self, factor: f64) {
        self.term *= factor;
        self.sum += self.term;
        if self.sum > SCALE_AT {
            self.term /= SCALE_AT;
            self.sum /= SCALE_AT;
            self.ln_scale += SCALE_AT.ln();
        }
    }

    fn ln(&self) -> f64 {
        self.sum.ln() + self.ln_scale
    }
}

/// Likelihood ratios summed over every look at which the version may have
/// turned bad (a Shiryaev–Roberts sum), each start weighted so that all
/// weights sum to one.
///
/// The weighted sum's mean under "no worse" is at most one at any time, so
/// by Ville's inequality it ever passes `1/a` with a chance of at most `a`,
/// however long and often it is looked at. A version that turns bad at the
/// n-th look costs `ln(n(n+1))` more evidence than one bad from the start.
#[derive(Clone, Debug)]
pub struct ChangePointTest {
    ratios: [f64; 3],
    sums: [f64; 3],
    samples: f64,
}

impl ChangePointTest {
    /// A test against versions with these ratios.
    pub fn new(ratios: [f64; 3]) -> Self {
        Self {
            ratios,
            sums: [0.0; 3],
            samples: 0.0,
        }
    }
}

impl SequentialTest for ChangePointTest {
    fn update(&mut self, sample: &TestSample) -> f64 {
        if sample.old.events + sample.new.events > 0 {
            self.samples += 1.0;
            let weight = 1.0 / (self.samples * (self.samples + 1.0));
            for (sum, ratio) in self.sums.iter_mut().zip(self.ratios) {
                let gain = log_likelihood_ratio(sample, ratio).min(SAMPLE_EVIDENCE_MAX);
                *sum = (*sum + weight) * gain.exp();
            }
        }
        let sum: f64 = self.sums.iter().sum();
        (sum / self.ratios.len() as f64).ln()
    }
}
