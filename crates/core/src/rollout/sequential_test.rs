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

/// Odds ratios of an error, new version to old, that the test looks for. Three
/// is the least that counts as bad: for a true ratio below about 1.8, which is
/// `2 / ln 3`, the evidence decreases. Sixteen detects gross failure soonest.
pub const ERROR_ODDS_RATIOS: [f64; 3] = [3.0, 6.0, 16.0];

/// Odds ratios of any failure. The least is eight, because a server that is half as
/// fast as the others exceeds the timeout several times as often and is not bad.
pub const FAILURE_ODDS_RATIOS: [f64; 3] = [8.0, 16.0, 32.0];

/// Odds ratios of late answers, new version to old, that the test looks for. A
/// version a tenth slower has less than twice as many and is not bad; one that
/// takes half as long again has about four times as many.
pub const LATENESS_ODDS_RATIOS: [f64; 3] = [3.0, 6.0, 12.0];

/// Maximum evidence from one update, as a natural logarithm. A burst, such as
/// the crash of one server that breaks ten calls at once, arrives in one update
/// and is not ten independent failures. With this cap a verdict at the usual
/// limits takes at least three updates.
const UPDATE_EVIDENCE_MAX: f64 = 3.0;

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

    fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.events += other.events;
    }
}

/// Counts of both versions over the same period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TestSample {
    /// The version in service.
    pub old: EventCounts,
    /// The version that the service moves to.
    pub new: EventCounts,
}

impl TestSample {
    fn add(&mut self, other: &Self) {
        self.old.add(other.old);
        self.new.add(other.new);
    }
}

/// A sequential test, which updates its evidence with each look at the counts.
pub trait SequentialTest: fmt::Debug {
    /// Adds the counts since the last update. Returns the natural logarithm of the
    /// evidence that the new version is bad; a limit of `ln(1/a)` bounds the false
    /// alarm probability by `a`.
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

/// Calls of each version after which a pooled sample is complete. Samples that close
/// by time instead would often hold calls of one version only and say nothing.
const POOLED_CALLS: u64 = 12;

/// Earlier calls of the old version that each pooled sample contains, and the
/// number over which its earlier rate is averaged.
const HISTORY_CALLS: f64 = 48.0;

/// Probability below which an explanation of the old version's events in a pooled
/// sample is ruled out.
const RULED_OUT: f64 = 0.2;

/// Recent rate of the old version, averaged over its last calls.
#[derive(Clone, Copy, Debug, Default)]
struct RateHistory {
    calls: f64,
    events: f64,
}

impl RateHistory {
    fn add(&mut self, counts: EventCounts) {
        let kept = (-(counts.calls as f64) / HISTORY_CALLS).exp();
        self.calls = self.calls * kept + counts.calls as f64;
        self.events = self.events * kept + counts.events as f64;
    }

    /// Returns the counts to add to the old version's counts in `sample`: none unless
    /// the sample shows that the old version is as it was, and not as the new one.
    ///
    /// A problem of the whole fleet that has just begun shows first on the version with
    /// most of the calls.
    fn counts_beside(&self, sample: &TestSample) -> EventCounts {
        let TestSample { old, new } = sample;
        let rate = self.events / self.calls.max(1.0);
        let as_before = 1.0 - binomial_below(old.calls, rate, old.events);
        let as_new = binomial_below(old.calls, new.rate(), old.events + 1);
        if as_before < RULED_OUT || as_new >= RULED_OUT {
            return EventCounts::default();
        }
        let calls = self.calls.min(HISTORY_CALLS);
        EventCounts {
            calls: calls as u64,
            events: (calls * rate).round() as u64,
        }
    }
}

/// Probability that fewer than `bound` of `calls` have an event, if each has it with
/// probability `rate`.
fn binomial_below(calls: u64, rate: f64, bound: u64) -> f64 {
    if rate >= 1.0 {
        return if bound > calls { 1.0 } else { 0.0 };
    }
    let odds = rate / (1.0 - rate);
    let mut term = (1.0 - rate).powf(calls as f64);
    let mut below = 0.0;
    for count in 0..bound.min(calls + 1) {
        below += term;
        term *= odds * (calls - count) as f64 / (count + 1) as f64;
    }
    below
}

/// Weighted sum of likelihood ratios over all samples at which the version may
/// have turned bad (a Shiryaev–Roberts statistic). The weights of all possible
/// starts sum to one.
///
/// If the version is no worse, the mean of the sum is at most one at any time.
/// By Ville's inequality the probability that it ever exceeds `1/a` is
/// therefore at most `a`, however often it is evaluated. A version that turns
/// bad at the n-th sample takes `ln(n(n+1))` more evidence than one that is bad
/// from the start. Samples that contain earlier calls of the old version keep the
/// bound as long as its rate stays the same; [`RateHistory`] leaves those calls out
/// where the sample does not show that.
#[derive(Clone, Debug)]
pub struct ChangePointTest {
    ratios: [f64; 3],
    sums: [f64; 3],
    samples: f64,
    history: RateHistory,
    pooled: TestSample,
    /// Evidence of the pooled sample so far.
    evidence: [f64; 3],
}

impl ChangePointTest {
    /// Creates a test against these odds ratios.
    pub fn new(ratios: [f64; 3]) -> Self {
        Self {
            ratios,
            sums: [0.0; 3],
            samples: 0.0,
            history: RateHistory::default(),
            pooled: TestSample::default(),
            evidence: [0.0; 3],
        }
    }

    /// The pooled sample with earlier calls of the old version.
    fn compared(&self) -> TestSample {
        let mut compared = self.pooled;
        compared.old.add(self.history.counts_beside(&self.pooled));
        compared
    }

    fn weight(&self) -> f64 {
        let samples = self.samples + 1.0;
        1.0 / (samples * (samples + 1.0))
    }

    fn complete_sample(&mut self) {
        let weight = self.weight();
        for (sum, evidence) in self.sums.iter_mut().zip(self.evidence) {
            *sum = (*sum + weight) * evidence.exp();
        }
        self.samples += 1.0;
        self.history.add(self.pooled.old);
        self.pooled = TestSample::default();
        self.evidence = [0.0; 3];
    }
}

impl SequentialTest for ChangePointTest {
    fn update(&mut self, sample: &TestSample) -> f64 {
        self.pooled.add(sample);
        let compared = self.compared();
        for (evidence, ratio) in self.evidence.iter_mut().zip(self.ratios) {
            let gain = log_likelihood_ratio(&compared, ratio) - *evidence;
            *evidence += gain.min(UPDATE_EVIDENCE_MAX);
        }
        let weight = self.weight();
        let mut total = 0.0;
        for (sum, evidence) in self.sums.iter().zip(self.evidence) {
            total += (sum + weight) * evidence.exp();
        }
        let TestSample { old, new } = self.pooled;
        if old.calls.min(new.calls) >= POOLED_CALLS && old.events + new.events > 0 {
            self.complete_sample();
        }
        (total / self.ratios.len() as f64).ln()
    }
}
