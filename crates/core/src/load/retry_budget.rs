//! How many retries one entry node may spend on one service.
//!
//! Load pattern: a service is full or down, and every call is tried up to its
//! limit, so that the load triples when the service has the least capacity for
//! it, and stays high after the cause has ended. Each first try earns a
//! fraction of a retry, and a retry costs one. A minimum rate lets rare calls
//! be retried as well.
//!
//! A fleet that sets a burst bounds the retries of all its nodes together: in any
//! [`BURST_TIME`] they are at most the burst, and the earned fraction of the first
//! tries in it. A part of a node's share of the burst can be saved, the rest is earned
//! over that time, and a process starts with none, so that restarts add nothing:
//!
//! ```text
//! for each node: saved before, at most part * burst / nodes
//!                + earned over time, (1 - part) * burst / nodes
//! ```
//!
//! The part is a half. In a large fleet half a share is less than what a few first tries
//! earn, and what they earn beyond it is lost, so there the part is larger.
//!
//! The bound needs each node to count at least as many nodes as there are. It counts
//! those that the agreed configuration names and the most that it has known.
//!
//! Only one layer retries: a call that a backend server makes is retried only
//! if nothing has run, and the outer call gets the backend server's own answer,
//! which is never retried. Tries therefore do not multiply along a chain of
//! calls.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::load::repeat_probability::RepeatProbability;

/// Time in which the nodes together may spend the fleet's burst.
pub const BURST_TIME: Duration = Duration::from_secs(10);

/// Smallest part of a node's share of the burst that it can save.
const SAVED_PART_MIN: f64 = 0.5;

/// Largest such part. The rest is earned over time, so that a rarely called service has
/// retries again after a failure.
const SAVED_PART_MAX: f64 = 0.9;

/// Number of first tries whose earnings a node can save, if its share allows it: those
/// between two failures of a service that fails every fourth call.
const SAVED_TRIES: f64 = 4.0;

/// Maximum number of retries that one node saves, and its initial balance, if
/// the fleet sets no burst: losing a server affects about as many calls as it
/// has slots.
const DEFAULT_SAVED_MAX: f64 = 10.0;

/// Retries earned each second regardless of load, for rarely called services, if the
/// fleet sets no burst.
const DEFAULT_PER_SECOND: f64 = 0.5;

/// How much a node may earn and save.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Fraction of a retry that one first try earns.
    per_try: f64,
    /// Retries earned each second.
    per_second: f64,
    /// Maximum number of retries saved.
    saved_max: f64,
    /// Retries saved when the process starts.
    initial: f64,
}

impl BudgetConfig {
    /// Config of one of `nodes` nodes in a fleet that allows `percent` retries
    /// for a hundred first tries and `burst` more within [`BURST_TIME`]; a `burst` of 0
    /// sets no limit for the fleet.
    ///
    /// Guards against every node saving up the burst meant for all: after a
    /// calm minute, 70 nodes together would send ten times the burst at once.
    pub fn of(percent: u64, burst: u64, nodes: usize) -> Self {
        let per_try = percent as f64 / 100.0;
        if burst == 0 {
            return Self {
                per_try,
                per_second: DEFAULT_PER_SECOND,
                saved_max: DEFAULT_SAVED_MAX,
                initial: DEFAULT_SAVED_MAX,
            };
        }
        let share = burst as f64 / nodes.max(1) as f64;
        let saved_max =
            (per_try * SAVED_TRIES).clamp(share * SAVED_PART_MIN, share * SAVED_PART_MAX);
        Self {
            per_try,
            per_second: (share - saved_max) / BURST_TIME.as_secs_f64(),
            saved_max,
            initial: 0.0,
        }
    }
}

/// What is left of a node's retry budget for one service, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryCredit {
    /// Retries saved; below zero after charges for incoming repeats.
    pub saved: f64,
    /// Maximum number of retries saved.
    pub saved_max: f64,
}

/// Retries left for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    saved: Option<f64>,
    saved_max: f64,
    at: Duration,
}

impl RetryBudget {
    /// Earns a first try's fraction of a retry.
    pub fn earn(&mut self, now: Duration, config: BudgetConfig) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.saved_max = config.saved_max;
        let saved = self.saved.unwrap_or(config.initial);
        let earned = config.per_try + passed * config.per_second;
        self.saved = Some((saved + earned).min(config.saved_max));
    }

    /// Charges for an incoming call that may repeat earlier work. The call is
    /// served whatever the balance; retries wait until it has been earned back.
    pub fn charge(&mut self, repeats: RepeatProbability) {
        let saved = self.saved.unwrap_or_default();
        self.saved = Some(saved - repeats.expected());
    }

    /// What is left.
    pub fn credit(&self) -> RetryCredit {
        RetryCredit {
            saved: self.saved.unwrap_or_default(),
            saved_max: self.saved_max,
        }
    }

    /// Spends one retry; returns false if none is left.
    ///
    /// A node that can save only a fraction of a retry spends it for a whole
    /// retry with that probability. With many such nodes, rounding up would
    /// exceed the fleet's limit together, and rounding down would allow no
    /// retry at all.
    pub fn spend(&mut self, rng: &mut SmallRng) -> bool {
        let saved = self.saved.unwrap_or_default();
        if saved >= 1.0 {
            self.saved = Some(saved - 1.0);
            return true;
        }
        let is_fractional = self.saved_max < 1.0;
        if saved <= 0.0 || !is_fractional {
            return false;
        }
        self.saved = Some(0.0);
        rng.random_bool(saved)
    }
}
