//! Sequential tests that distinguish a bad version from chance.
//!
//! Counts arrive in small samples for as long as the move lasts, failures are
//! rare, and the version may turn bad at any time. A fixed-sample test that is
//! repeated raises false alarms. A test that sums from the start accumulates so
//! much evidence in favour of the version that it reacts late when the version
//! turns bad late.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Odds ratios of failure, new version to old, that the test looks for. Three
/// is the least that counts as bad: for a true ratio below about 1.8, which is
/// `2 / ln 3`, the evidence decreases. Sixteen detects gross failure soonest.
pub const FAILURE_ODDS_RATIOS: [f64; 3] = [3.0, 6.0, 16.0];

/// Odds ratios of slow calls, new version to old, that the test looks for. The
/// least is six, because a version a tenth slower has up to 1.6 times as many
/// calls beyond a high quantile and is not bad. The evidence then decreases
/// below a ratio of 2.8, while a version that takes half as long again has four
/// times as many slow calls.
pub const SLOWNESS_ODDS_RATIOS: [f64; 3] = [6.0, 10.0, 16.0];

/// Maximum evidence from one sample, as a natural logarithm. A burst, such as
/// the crash of one server that breaks ten calls at once, arrives in one sample
/// and is not ten independent failures. With this cap a verdict at the usual
/// limits takes at least three samples.
const SAMPLE_EVIDENCE_MAX: f64 = 3.0;

/// Sums are scaled down above this value, which is far below the largest float.
const SCALE_AT: f64 = 1e100;

/// Calls of one version, and the calls with the event among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventCounts {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls with the event.
    pub events: u64,
}

impl EventCounts {
    /// Fraction of calls with the event.
    pub fn rate(&self) -> f64 {
        self.events as f64 / self.calls.max(1) as f64
    }
}

/// Counts of both versions over the same period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TestSample {
    /// The version in service.
    pub old: EventCounts,
    /// The version that the service moves to.
    pub new: EventCounts,
}

/// A sequential test, which updates its evidence with each sample.
pub trait SequentialTest: fmt::Debug {
    /// Adds one sample. Returns the natural logarithm of the evidence that the
    /// new version is bad; a limit of `ln(1/a)` bounds the false alarm
    /// probability by `a`.
    fn update(&mut self, sample: &TestSample) -> f64;
}

/// Log-likelihood ratio of one sample: odds of the event that are `ratio` times
/// the old version's odds, against equal odds.
///
/// The likelihood is conditional on the total number of events: only their
/// split between the versions counts, so a problem that affects both versions
/// alike changes the total but not the evidence. Calls without the event count
/// as well. Without them a version that fails 45 of 100 calls could hardly be
/// distinguished from an old one that fails 15, since nearly all events fall on
/// the many calls of the old version. Whatever the common rate, the likelihood
/// ratio has mean one if the new version is no worse.
pub fn log_likelihood_ratio(sample: &TestSample, ratio: f64) -> f64 {
    let TestSample { old, new } = sample;
    let events = old.events + new.events;
    if old.calls == 0 || new.calls == 0 || events == 0 {
        return 0.0;
    }
    new.events as f64 * ratio.ln() - ln_mean_ratio(sample, events, ratio)
}

/// Logarithm of the mean of `ratio` to the power of the number of events on the
/// new version, if `events` events are distributed over all calls at random.
fn ln_mean_ratio(sample: &TestSample, events: u64, ratio: f64) -> f64 {
    let (old, new) = (sample.old.calls as f64, sample.new.calls as f64);
    let events = events.min(sample.old.calls + sample.new.calls) as f64;
    let min_count = (events - old).max(0.0);
    let max_count = events.min(new);
    // Weights of the hypergeometric distribution relative to the weight of the
    // smallest possible count, each computed from the previous one.
    let mut fair = ScaledSum::default();
    let mut tilted = ScaledSum::default();
    let mut count = min_count;
    while count < max_count {
        let numerator = (new - count) * (events - count);
        let denominator = (count + 1.0) * (old - events + count + 1.0);
        fair.next(numerator / denominator);
        tilted.next(numerator / denominator * ratio);
        count += 1.0;
    }
    min_count * ratio.ln() + tilted.ln() - fair.ln()
}

/// A sum whose terms are multiples of their predecessors, scaled so that it may
/// exceed the range of floats.
struct ScaledSum {
    term: f64,
    sum: f64,
    ln_scale: f64,
}

impl Default for ScaledSum {
    /// Starts with the first term, which is one.
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

/// Weighted sum of likelihood ratios over all samples at which the version may
/// have turned bad (a Shiryaev–Roberts statistic). The weights of all possible
/// starts sum to one.
///
/// If the version is no worse, the mean of the sum is at most one at any time.
/// By Ville's inequality the probability that it ever exceeds `1/a` is
/// therefore at most `a`, however often it is evaluated. A version that turns
/// bad at the n-th sample takes `ln(n(n+1))` more evidence than one that is bad
/// from the start.
#[derive(Clone, Debug)]
pub struct ChangePointTest {
    ratios: [f64; 3],
    sums: [f64; 3],
    samples: f64,
}

impl ChangePointTest {
    /// Creates a test against these odds ratios.
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
