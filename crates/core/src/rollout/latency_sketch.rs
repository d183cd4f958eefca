//! A mergeable latency histogram of bounded size, in memory and encoded.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Lowest distinguishable latency, in microseconds: about a tenth of the 0.78
/// ms that the platform may add to a call.
const MIN_US: u64 = 64;

/// Highest distinguishable latency, in microseconds: the longest deadline.
const MAX_US: u64 = 600_000_000;

/// Significant decimal digits. One digit keeps values within 6 %, far finer
/// than the slow-downs to detect, at about 350 counters per sketch.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Width of the buckets of [`SketchBuckets::of`], in microseconds.
const STEP_US: u64 = 10_000;

/// Histogram of latencies.
#[derive(Clone)]
pub struct LatencySketch {
    buckets: Histogram<u64>,
}

/// Occupied buckets of a sketch, as encoded in reports and stored per reporter:
/// (latency in microseconds, count), ascending.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SketchBuckets(pub Vec<(u32, u32)>);

impl SketchBuckets {
    /// A single latency, rounded down to [`STEP_US`].
    pub fn of(latency: Duration) -> Self {
        let steps = latency.as_micros() as u64 / STEP_US;
        let low = u32::try_from(steps * STEP_US).unwrap_or(u32::MAX);
        Self(vec![(low, 1)])
    }

    /// Returns whether no latency is counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of latencies in buckets whose lower end exceeds `bound_us`.
    pub fn count_above(&self, bound_us: u64) -> u64 {
        let above = self.0.iter().filter(|(low, _)| u64::from(*low) > bound_us);
        above.map(|(_, count)| u64::from(*count)).sum()
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        for (low, count) in &other.0 {
            match self.0.binary_search_by_key(low, |(low, _)| *low) {
                Ok(at) => self.0[at].1 = self.0[at].1.saturating_add(*count),
                Err(at) => self.0.insert(at, (*low, *count)),
            }
        }
    }
}

impl Default for LatencySketch {
    fn default() -> Self {
        let buckets = Histogram::new_with_bounds(MIN_US, MAX_US, SIGNIFICANT_DIGITS);
        Self {
            buckets: buckets.expect("constant bounds are valid for a histogram"),
        }
    }
}

impl fmt::Debug for LatencySketch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LatencySketch({} values)", self.buckets.len())
    }
}

impl LatencySketch {
    /// Counts one latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        self.buckets.saturating_record(micros);
    }

    /// Number of latencies counted.
    pub fn count(&self) -> u64 {
        self.buckets.len()
    }

    /// Upper end of the bucket that contains the quantile, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.buckets.value_at_quantile(quantile)
    }

    /// Number of latencies in buckets above the one that contains `bound_us`.
    pub fn count_above(&self, bound_us: u64) -> u64 {
        let above = self.buckets.next_non_equivalent(bound_us);
        if above > MAX_US {
            return 0;
        }
        self.buckets.count_between(above, MAX_US)
    }

    /// Returns the occupied buckets.
    pub fn buckets(&self) -> SketchBuckets {
        let mut buckets = Vec::new();
        for bucket in self.buckets.iter_recorded() {
            let low = self.buckets.lowest_equivalent(bucket.value_iterated_to());
            let count = u32::try_from(bucket.count_at_value()).unwrap_or(u32::MAX);
            buckets.push((u32::try_from(low).unwrap_or(u32::MAX), count));
        }
        SketchBuckets(buckets)
    }

    /// Adds the difference between two cumulative readings of the same
    /// reporter, `before` and `now`.
    pub fn add_increase(&mut self, before: &SketchBuckets, now: &SketchBuckets) {
        let mut previous = before.0.iter().peekable();
        for (latency, count) in &now.0 {
            while previous.next_if(|(at, _)| at < latency).is_some() {}
            let previous = previous.next_if(|(at, _)| at == latency);
            let increase = count.saturating_sub(previous.map_or(0, |(_, count)| *count));
            if increase > 0 {
                let latency = u64::from(*latency);
                self.buckets
                    .saturating_record_n(latency, u64::from(increase));
            }
        }
    }
}
