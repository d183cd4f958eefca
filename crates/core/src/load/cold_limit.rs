//! Limits the calls that a cold backend server gets in any second.
//!
//! Load pattern: all servers of a service restart, and the calls that were
//! refused in the meantime return together with the new ones. A server that has
//! just started is slow and crashes if it gets many more calls than it
//! tolerates. It then starts again, is cold again and gets the same calls again:
//! a crash loop that lasts as long as the load. Limiting the calls in flight
//! does not prevent it, because a server that answers briefly gets many calls a
//! second through few slots.
//!
//! The server's own node applies the limit, since every call to the server
//! passes it. The node counts calls in a sliding second; see [`SendWindow`]. A
//! node that has just started does not know what its predecessor sent and takes
//! the whole limit as spent for one second, unless the server started after it.
//!
//! A server that crashed while it was cold gets half as many calls in its next
//! run, and so on until it becomes warm.

use std::time::Duration;

use crate::document::ColdStartSpec;
use crate::load::call_queue::CallTicket;
use crate::load::cold_period::ColdPeriod;
use crate::load::send_window::SendWindow;
use crate::load::send_window::WINDOW;

const SECONDS_PER_MINUTE: u64 = 60;

/// Largest number of halvings. With the usual limits one call a second is left
/// after four.
const HALVINGS_MAX: u32 = 5;

/// What the configuration says about cold servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRule {
    /// Largest number of calls that a cold server gets in any second.
    pub calls_per_second: u32,
    /// How long a server is cold after its start.
    pub cold_time: Duration,
}

impl ColdRule {
    /// Rule for servers that behave as `cold_start` says. They get `percent` of
    /// the calls that they tolerate, and `burst` more.
    pub fn of(cold_start: ColdStartSpec, percent: u64, burst: u64) -> Self {
        let scaled = cold_start.calls_per_minute.saturating_mul(percent);
        let calls = (scaled / (SECONDS_PER_MINUTE * 100)).saturating_add(burst);
        Self {
            calls_per_second: u32::try_from(calls).unwrap_or(u32::MAX).max(1),
            cold_time: Duration::from_millis(cold_start.time_ms),
        }
    }
}

/// Limit on the calls to one backend server while it is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdLimit {
    rule: Option<ColdRule>,
    period: ColdPeriod,
    window: SendWindow,
    /// Crashes in a row while the server was cold.
    crashes: u32,
    /// True from a crash until the next run.
    crashed: bool,
    /// True if no earlier process of this node has sent the server anything.
    sends_known: bool,
}

impl ColdLimit {
    /// Sets the rule of the configuration in force; `None` for a service whose
    /// cold servers are not limited.
    pub fn configure(&mut self, rule: Option<ColdRule>) {
        self.rule = rule;
    }

    /// Whether cold servers of this service are limited.
    pub fn has_rule(&self) -> bool {
        self.rule.is_some()
    }

    /// Records that the server has started after this node, so that no earlier
    /// process of the node has sent it anything.
    pub fn record_later_start(&mut self) {
        self.sends_known = true;
    }

    /// Assumes that the server has just become cold, whatever was reported.
    pub fn assume_cold(&mut self, now: Duration) {
        self.period.assume(now);
    }

    /// Applies the first report of a run, with its remaining cold time if it
    /// contains one.
    pub fn begin_run(&mut self, now: Duration, remaining: Option<Duration>) {
        if !self.crashed {
            self.crashes = 0;
        }
        self.crashed = false;
        self.period.begin_run(now, remaining);
    }

    /// Applies the remaining cold time from a later report of the run.
    pub fn report(&mut self, now: Duration, remaining: Duration) {
        self.period.report(now, remaining);
    }

    /// Records that the server's process ended without notice.
    pub fn record_crash(&mut self, now: Duration) {
        self.crashed = true;
        if self.is_cold(now) {
            self.crashes = (self.crashes + 1).min(HALVINGS_MAX);
        } else {
            self.crashes = 0;
        }
    }

    /// Crashes in a row while the server was cold.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// True if the limit applies at `now`.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.limit(now).is_some()
    }

    /// When the limit ends; `None` if none applies.
    pub fn warm_at(&self, now: Duration) -> Option<Duration> {
        let warm_at = self.period.warm_at(self.rule?.cold_time);
        (now < warm_at).then_some(warm_at)
    }

    /// Calls that the server may get in any second; `None` if it is warm.
    pub fn limit(&self, now: Duration) -> Option<usize> {
        self.warm_at(now)?;
        let calls = self.rule?.calls_per_second >> self.crashes;
        Some(calls.max(1) as usize)
    }

    /// Whether another call may be sent at `now`.
    pub fn admits(&self, now: Duration) -> bool {
        self.wait(now, 0).is_zero()
    }

    /// Time until a call behind `ahead` others may be sent.
    pub fn wait(&self, now: Duration, ahead: usize) -> Duration {
        let Some(limit) = self.limit(now) else {
            return Duration::ZERO;
        };
        let unknown = if self.sends_known {
            Duration::ZERO
        } else {
            WINDOW.saturating_sub(now)
        };
        let wait = self.window.wait(now, limit, ahead).max(unknown);
        self.warm_at(now)
            .map_or(wait, |warm_at| wait.min(warm_at - now))
    }

    /// Counts a call that may be sent from now on.
    pub fn grant(&mut self, ticket: CallTicket) {
        self.window.grant(ticket);
    }

    /// Records that a granted call was sent, or may have been sent, by `now`.
    pub fn record_sent(&mut self, now: Duration, ticket: CallTicket) {
        self.window.record_sent(now, ticket);
    }
}
