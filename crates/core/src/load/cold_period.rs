//! Until when a backend server counts as cold.
//!
//! A server reports how long it stays cold, but its reports are seconds apart
//! and may be late. Between a start that nobody has reported and the first
//! report the server is assumed to be cold.

use std::time::Duration;

/// Longest time for which one report is believed. A cold server reports again
/// within seconds, so a larger value is an error of the reporter.
const REPORTED_MAX: Duration = Duration::from_secs(60);

/// How much longer than reported a server counts as cold. Reports are in whole
/// milliseconds and take some to arrive, and everything that waits is sent at once
/// when the cold period ends.
const COLD_MARGIN: Duration = Duration::from_millis(50);

/// Reported and assumed cold time of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdPeriod {
    reported_until: Duration,
    assumed_since: Option<Duration>,
}

impl ColdPeriod {
    /// Assumes that the server has just become cold, whatever was reported.
    pub fn assume(&mut self, now: Duration) {
        self.assumed_since = Some(now);
    }

    /// Applies the remaining cold time from the first report of a run; `None` if
    /// the report does not contain it.
    pub fn begin_run(&mut self, now: Duration, remaining: Option<Duration>) {
        match remaining {
            Some(remaining) => {
                self.assumed_since = None;
                self.report(now, remaining);
            }
            None => self.assume(now),
        }
    }

    /// Applies the remaining cold time from a later report. It does not end an
    /// assumed period: the report may have been sent before the server became
    /// cold.
    pub fn report(&mut self, now: Duration, remaining: Duration) {
        self.reported_until = now + remaining.min(REPORTED_MAX);
        if !remaining.is_zero() {
            self.reported_until += COLD_MARGIN;
        }
    }

    /// When the server is warm if an assumed period lasts `assumed_time`.
    pub fn warm_at(&self, assumed_time: Duration) -> Duration {
        let assumed_until = self
            .assumed_since
            .map(|since| since + assumed_time + COLD_MARGIN);
        self.reported_until
            .max(assumed_until.unwrap_or(Duration::ZERO))
    }
}
