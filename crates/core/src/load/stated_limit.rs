//! Limits the calls to a backend server that states how many a second it takes.
//!
//! Load pattern: a server in need states in its answers how many calls a second it
//! takes from all nodes together. Each entry node sees only its own calls, and
//! together they would send the server several times the stated rate. The server's
//! own node applies the limit, since every call to the server passes it.
//!
//! The calls pass a token bucket that fills at the stated rate. A call reserves a
//! token when its slot is granted and uses it when it is sent, so that calls that
//! are delayed between the two cannot reach the server in one burst. The bucket is
//! empty when a limit begins.

use std::collections::HashSet;
use std::time::Duration;

use crate::load::call_queue::CallTicket;
use crate::server_statement::StatedRate;

/// Time in which the stated rate fills the bucket.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Minimum calls a second. Only answers say that a limit has ended, so a server
/// that states zero still gets a call from time to time.
const RATE_MIN: f64 = 0.1;

/// Tolerance of a sum of tokens, for rounding errors.
const TOKENS_TOLERANCE: f64 = 1e-6;

/// Limit that one backend server states.
#[derive(Clone, Debug, Default)]
pub struct StatedLimit {
    /// Calls a second; `None` while the server states no limit.
    rate: Option<f64>,
    /// When the latest answer that stated a limit arrived.
    stated_at: Duration,
    /// Tokens at `filled_at`. Negative if the rate has fallen below what was
    /// granted before.
    tokens: f64,
    filled_at: Duration,
    /// Calls that are granted and not known to be sent.
    granted: HashSet<CallTicket>,
}

impl StatedLimit {
    /// Applies the statement in an answer that arrived at `now` to a request that
    /// was sent at `sent_at`.
    pub fn record(&mut self, now: Duration, sent_at: Duration, rate: StatedRate) {
        match rate {
            StatedRate::CallsPerSecond(rate) => {
                self.stated_at = now;
                self.set_rate(now, rate);
            }
            // An answer that was on its way when the limit was stated does not
            // end it.
            StatedRate::Unlimited if sent_at >= self.stated_at => self.end(),
            StatedRate::Unlimited | StatedRate::Unreadable => {}
        }
    }

    fn set_rate(&mut self, now: Duration, rate: f64) {
        let tokens = self.tokens(now);
        self.filled_at = now;
        let rate = rate.max(RATE_MIN);
        self.tokens = tokens.min(burst(rate));
        self.rate = Some(rate);
    }

    fn end(&mut self) {
        self.rate = None;
        self.tokens = 0.0;
        self.granted.clear();
    }

    /// Calls a second that the server takes; `None` if it states no limit.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Time until a call behind `ahead` others may be sent.
    pub fn wait(&self, now: Duration, ahead: usize) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let needed = (self.granted.len() + ahead + 1) as f64;
        let lacking = needed - self.tokens(now);
        if lacking <= TOKENS_TOLERANCE {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(lacking / rate)
    }

    /// Returns the calls that cannot be sent before they expire, if the others are
    /// sent in the order of `expiries`. A single call always may wait: only the answer
    /// to a call says that a limit has ended.
    pub fn untimely_calls(
        &self,
        now: Duration,
        expiries: &[(Duration, CallTicket)],
    ) -> Vec<CallTicket> {
        let mut untimely = Vec::new();
        for (at, (expiry, ticket)) in expiries.iter().enumerate() {
            if untimely.len() + 1 == expiries.len() {
                break;
            }
            let ahead = at - untimely.len();
            if now + self.wait(now, ahead) >= *expiry {
                untimely.push(*ticket);
            }
        }
        untimely
    }

    /// Reserves a token for a call that may be sent from now on.
    pub fn grant(&mut self, ticket: CallTicket) {
        if self.rate.is_some() {
            self.granted.insert(ticket);
        }
    }

    /// Records that a granted call was sent, or may have been sent, by `now`.
    pub fn record_sent(&mut self, now: Duration, ticket: CallTicket) {
        if !self.granted.remove(&ticket) {
            return;
        }
        self.tokens = self.tokens(now) - 1.0;
        self.filled_at = now;
    }

    fn tokens(&self, now: Duration) -> f64 {
        let Some(rate) = self.rate else {
            return 0.0;
        };
        let filled = now.saturating_sub(self.filled_at).as_secs_f64() * rate;
        (self.tokens + filled).min(burst(rate))
    }
}

/// Largest number of tokens in the bucket.
fn burst(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(1.0)
}
