//! How many further tries one entry node spends on one service.
//!
//! Load pattern: a service is full or down and every call is tried up to its
//! limit, so that the load triples just when it cannot be borne and stays
//! after the cause is gone. Each first try earns a part of a retry; a retry
//! costs one. A floor over time lets rare calls be tried again.
//!
//! Only one layer repeats work: a call that a backend server makes itself is
//! tried again only where nothing has run, and the outer call sees the
//! backend server's own answer, which is never tried again. So tries do not
//! multiply over a chain of calls.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::load::repeat_share::RepeatShare;

/// Retries saved up at most by one node, and held at the start, where the
/// fleet sets no sum of its own: a loss of one server touches about its
/// slots' worth of calls.
const SAVED_MAX: f64 = 10.0;

/// Retries earned each second whatever the load, for services called rarely;
/// none where the fleet sets a sum, which nodes would exceed together.
const PER_SECOND: f64 = 0.5;

/// What a node may earn and save.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Part of a retry that one first try earns.
    per_try: f64,
    /// Retries earned each second.
    per_second: f64,
    /// Retries saved up at most.
    saved_max: f64,
}

impl BudgetConfig {
    /// Terms of a node among `nodes` whose fleet allows `percent` retries a
    /// hundred first tries and `burst` more at once; 0 sets no such sum.
    ///
    /// Guards against nodes that each save up what is meant for all: after a
    /// calm minute 70 of them together would send ten times the sum at once.
    pub fn of(percent: u64, burst: u64, nodes: usize) -> Self {
        let per_try = percent as f64 / 100.0;
        if burst == 0 {
            return Self {
                per_try,
                per_second: PER_SECOND,
                saved_max: SAVED_MAX,
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

/// Retries left for one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    saved: Option<f64>,
    /// Whether this node may never save up a whole retry.
    staked: bool,
    at: Duration,
}

impl RetryBudget {
    /// A first try earns its part of a retry.
    pub fn earn(&mut self, now: Duration, terms: BudgetConfig) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.staked = terms.saved_max < 1.0;
        let saved = self.saved.unwrap_or(terms.saved_max);
        let earned = terms.per_try + passed * terms.per_second;
        self.saved = Some((saved + earned).min(terms.saved_max));
    }

    /// A call came in that may repeat work of an earlier one. It is served
    /// whatever is left; retries wait until it has been earned.
    pub fn charge(&mut self, repeats: RepeatShare) {
        let saved = self.saved.unwrap_or(SAVED_MAX);
        self.saved = Some(saved - repeats.expected());
    }

    /// Spends one retry; false where none is left.
    ///
    /// A node that can save up less than one stakes it for a whole one. Guards
    /// against many nodes with such shares: rounded up they exceed the sum
    /// together, rounded down none could ever retry.
    pub fn spend(&mut self, rng: &mut SmallRng) -> bool {
        let saved = self.saved.unwrap_or(SAVED_MAX);
        if saved >= 1.0 {
            self.saved = Some(saved - 1.0);
            return true;
        }
        if saved <= 0.0 || !self.staked {
            return false;
        }
        self.saved = Some(0.0);
        rng.random_bool(saved)
    }
}
