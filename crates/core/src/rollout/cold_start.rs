//! Detects when a backend server is past its cold start.

use std::time::Duration;

/// Calls after which a server that does not state its cold time counts as warm. The
/// users' servers are slow for about the first ten calls; the margin covers calls
/// that run concurrently with those.
const COLD_CALLS: u32 = 20;

/// Longest time for which a server is believed to be cold, so that no version can keep
/// its answers from being judged.
const COLD_TIME_MAX: Duration = Duration::from_secs(10);

/// Tells whether one run of a backend server is cold, by what it reports or else by
/// the calls sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    calls: u32,
    begun_at: Duration,
    reported_warm_at: Option<Duration>,
}

impl ColdStart {
    /// Starts anew at `now`, because a different backend server, or a new run of the
    /// same one, has announced itself.
    pub fn restart(&mut self, now: Duration) {
        *self = Self {
            begun_at: now,
            ..Self::default()
        };
    }

    /// Applies the remaining cold time that the server reports at `now`.
    pub fn report(&mut self, now: Duration, remaining: Duration) {
        let latest = self.begun_at + COLD_TIME_MAX;
        self.reported_warm_at = Some((now + remaining).min(latest));
    }

    /// Counts one call sent to the server at `now`. Returns whether the server is
    /// warm.
    pub fn record_call(&mut self, now: Duration) -> bool {
        self.calls = self.calls.saturating_add(1);
        match self.reported_warm_at {
            Some(warm_at) => now >= warm_at,
            None => self.calls > COLD_CALLS,
        }
    }
}
