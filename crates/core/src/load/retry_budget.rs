//! How many retries one entry node may spend on one service.
//!
//! Load pattern: a service is full or down, and every call is tried up to its
//! limit, so that the load triples when the service has the least capacity for
//! it, and stays high after the cause has ended. Each first try earns a
//! fraction of a retry, and a retry costs one. A minimum rate lets rare calls
//! be retried as well.
//!
//! Only one layer retries: a call that a backend server makes is retried only
//! if nothing has run, and the outer call gets the backend server's own answer,
//! which is never retried. Tries therefore do not multiply along a chain of
//! calls.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::load::repeat_probability::RepeatProbability;

/// Maximum number of retries that one node saves, and its initial balance, if
/// the fleet sets no burst: losing a server affects about as many calls as it
/// has slots.
const DEFAULT_SAVED_MAX: f64 = 10.0;

/// Retries earned each second regardless of load, for rarely called services.
/// None are earned this way if the fleet sets a burst, because the nodes
/// together would exceed it.
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
}

impl BudgetConfig {
    /// Config of one of `nodes` nodes in a fleet that allows `percent` retries
    /// for a hundred first tries and `burst` more at once; a `burst` of 0 sets
    /// no limit for the fleet.
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
            };
        }
        let share = burst as f64 / nodes.max(1) as f64;
        Self {
            per_try,
            per_second: 0.0,
            saved_max: share,
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
    /// Whether this node can never save up a whole retry.
    fractional: bool,
    saved_max: f64,
    at: Duration,
}

impl RetryBudget {
    /// Earns a first try's fraction of a retry.
    pub fn earn(&mut self, now: Duration, config: BudgetConfig) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.fractional = config.saved_max < 1.0;
        self.saved_max = config.saved_max;
        let saved = self.saved.unwrap_or(config.saved_max);
        let earned = config.per_try + passed * config.per_second;
        self.saved = Some((saved + earned).min(config.saved_max));
    }

    /// Charges for an incoming call that may repeat earlier work. The call is
    /// served whatever the balance; retries wait until it has been earned back.
    pub fn charge(&mut self, repeats: RepeatProbability) {
        let saved = self.saved.unwrap_or(DEFAULT_SAVED_MAX);
        self.saved = Some(saved - repeats.expected());
    }

    /// What is left.
    pub fn credit(&self) -> RetryCredit {
        RetryCredit {
            saved: self.saved.unwrap_or(DEFAULT_SAVED_MAX),
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
        let saved = self.saved.unwrap_or(DEFAULT_SAVED_MAX);
        if saved >= 1.0 {
            self.saved = Some(saved - 1.0);
            return true;
        }
        if saved <= 0.0 || !self.fractional {
            return false;
        }
        self.saved = Some(0.0);
        rng.random_bool(saved)
    }
}
