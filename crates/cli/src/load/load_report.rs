//! Report of a run, as text tables and as JSON.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::call_tally::CallTally;
use crate::text_table::TextTable;

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Number of calls sent.
    pub sent: u64,
    /// Calls not sent because too many were in flight.
    pub unsent: u64,
    /// Number of calls answered.
    pub answered: u64,
    /// Latencies of answered calls.
    pub answered_latency: LatencyLine,
    /// Latencies of refused and lost calls.
    pub failed_latency: LatencyLine,
    /// Number of calls by outcome.
    pub ends: Vec<OutcomeLine>,
}

/// Summary of latencies in milliseconds, measured from the time at which each
/// call was due.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LatencyLine {
    /// Mean latency.
    pub mean_ms: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum latency.
    pub max_ms: f64,
}

/// Number of calls with the same outcome.
#[derive(Clone, Debug, Serialize)]
pub struct OutcomeLine {
    /// HTTP status; 0 if no complete answer arrived.
    pub status: u16,
    /// Verdict; `none` if the answer has none.
    pub verdict: String,
    /// Reason; empty if the answer has none.
    pub reason: String,
    /// Number of calls.
    pub calls: u64,
}

impl LatencyLine {
    fn from_histogram(latencies: &Histogram<u64>) -> Self {
        let quantile_ms =
            |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            mean_ms: latencies.mean() / 1_000.0,
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: latencies.max() as f64 / 1_000.0,
        }
    }

    fn cells(&self, name: &str, calls: u64) -> Vec<String> {
        let mut cells = vec![name.to_owned(), calls.to_string()];
        for value in [
            self.mean_ms,
            self.p50_ms,
            self.p90_ms,
            self.p99_ms,
            self.p999_ms,
            self.max_ms,
        ] {
            cells.push(format!("{value:.3}"));
        }
        cells
    }
}

impl LoadReport {
    /// Summarizes a tally.
    pub fn from_tally(tally: &CallTally) -> Self {
        let mut ends = Vec::new();
        for ((status, verdict, reason), calls) in &tally.outcomes {
            ends.push(OutcomeLine {
                status: *status,
                verdict: verdict.clone(),
                reason: reason.clone(),
                calls: *calls,
            });
        }
        Self {
            sent: tally.sent(),
            unsent: tally.unsent,
            answered: tally.answered.len(),
            answered_latency: LatencyLine::from_histogram(&tally.answered),
            failed_latency: LatencyLine::from_histogram(&tally.failed),
            ends,
        }
    }

    /// Returns the report as text tables.
    pub fn text(&self) -> String {
        let headings = [
            "CALLS", "NUMBER", "MEAN ms", "P50", "P90", "P99", "P99.9", "MAX",
        ];
        let mut latencies = TextTable::new(&headings);
        let failed = self.sent - self.answered;
        latencies.row(self.answered_latency.cells("answered", self.answered));
        latencies.row(self.failed_latency.cells("failed", failed));
        let mut ends = TextTable::new(&["STATUS", "VERDICT", "REASON", "CALLS"]);
        for line in &self.ends {
            ends.row(vec![
                line.status.to_string(),
                line.verdict.clone(),
                line.reason.clone(),
                line.calls.to_string(),
            ]);
        }
        let unsent = format!("unsent: {} (too many under way)\n", self.unsent);
        latencies.render() + "\n" + &ends.render() + &unsent
    }
}
