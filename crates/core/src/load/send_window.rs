//! Counts the calls sent to one backend server in the last second.
//!
//! A call counts from the moment its slot is granted, because it may be sent at
//! any time from then on. Once it has been sent it counts for one more second.
//! Any window of one second therefore contains at most as many sends as the
//! count ever allowed, however long the calls take from their grant to the
//! server.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::load::call_queue::CallTicket;

/// Length of the window: a second, and a margin for the time between a look at the
/// clock and the send, before or after it.
pub const WINDOW: Duration = Duration::from_millis(1_020);

/// Largest number of sends that are held. Beyond it the oldest are forgotten;
/// no limit on a cold server comes near it.
const SENDS_MAX: usize = 4_096;

/// Calls that are granted but not sent, and the times of the sends in the last
/// second.
#[derive(Clone, Debug, Default)]
pub struct SendWindow {
    granted: HashSet<CallTicket>,
    sent_at: VecDeque<Duration>,
}

impl SendWindow {
    /// Counts a call that may be sent from now on.
    pub fn grant(&mut self, ticket: CallTicket) {
        self.granted.insert(ticket);
    }

    /// Records that a granted call was sent, or may have been sent, by `now`.
    pub fn record_sent(&mut self, now: Duration, ticket: CallTicket) {
        if !self.granted.remove(&ticket) {
            return;
        }
        self.forget_expired(now);
        if self.sent_at.len() == SENDS_MAX {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Calls that may be sent, or were sent in the second before `now`.
    pub fn count(&self, now: Duration) -> usize {
        let recent = self.sent_at.iter().filter(|at| !is_expired(now, **at));
        self.granted.len() + recent.count()
    }

    /// Time until a call behind `ahead` others may be sent if any second may
    /// contain `limit` sends.
    pub fn wait(&self, now: Duration, limit: usize, ahead: usize) -> Duration {
        let limit = limit.max(1);
        // Sends that must have left the window before this call is sent.
        let excess = (self.count(now) + ahead + 1).saturating_sub(limit);
        let Some(last) = excess.checked_sub(1) else {
            return Duration::ZERO;
        };
        let mut recent = self.sent_at.iter().filter(|at| !is_expired(now, **at));
        if let Some(sent_at) = recent.nth(last) {
            return (*sent_at + WINDOW).saturating_sub(now);
        }
        // The calls that are granted or ahead fill the window as well.
        WINDOW * (1 + last / limit) as u32
    }

    fn forget_expired(&mut self, now: Duration) {
        while self.sent_at.front().is_some_and(|at| is_expired(now, *at)) {
            self.sent_at.pop_front();
        }
    }
}

fn is_expired(now: Duration, sent_at: Duration) -> bool {
    now >= sent_at + WINDOW
}
