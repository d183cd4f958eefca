//! Adaptive throttling of customers at the entry node.
//!
//! Load pattern: one customer sends many times its share through many entry
//! nodes. The servers' gates share capacity fairly, but each refusal there
//! costs a hop and, with retries, several. Every answer shows this node what
//! the servers accepted from the customer. If they accept less than half of
//! what it sends, the excess is refused here with the probability that keeps
//! the forwarded calls at twice the accepted ones. The customer's share thus
//! holds across all entry nodes without extra messages. The servers still
//! receive more than they accept, so that they decide and not this estimate.
//!
//! Counts are kept in a sketch of fixed size with two rows of cells selected by
//! hash; the cell with the lower refusal probability counts. Memory does not
//! depend on the number of customers, and a small customer is affected by hot
//! ones only if it shares both of its cells with them. The throttle exists only
//! while calls are being refused.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::document::CallPriority;
use crate::load::decayed_count::DecayedCount;

/// Cells in each row. With ten hot customers at once, a small one shares both
/// cells with them with a probability of (10/512)², 1 in 2,600.
const CELLS: usize = 512;
const ROWS: usize = 2;

/// Half-life of the counts; short, so that a burst is forgotten soon after it
/// ends.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Calls that are forwarded, as a multiple of those accepted.
const FORWARD_FACTOR: f64 = 2.0;

/// Calls within about one half-life that are never refused here: a customer
/// that sends only a few calls does not cause overload.
const FREE_CALLS: f64 = 5.0;

/// Maximum refusal probability, so that servers always get some calls to answer
/// and the counts stay current.
const REFUSED_MAX: f64 = 0.9;

#[derive(Clone, Copy, Debug, Default)]
struct SketchCell {
    sent: DecayedCount,
    accepted: DecayedCount,
}

/// Calls sent by customers and accepted by servers, for one service.
#[derive(Clone, Debug)]
pub struct CustomerThrottle {
    seed: u64,
    cells: Vec<SketchCell>,
}

impl CustomerThrottle {
    /// Creates an empty sketch. `seed` differs between nodes, so that two
    /// customers that share cells at one node do not share them at another.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            cells: vec![SketchCell::default(); CELLS * ROWS],
        }
    }

    /// Counts an incoming call; returns false if it is refused.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &str,
        priority: CallPriority,
        rng: &mut SmallRng,
    ) -> bool {
        let cell_indexes = self.cell_indexes(customer, priority);
        for index in cell_indexes {
            self.cells[index].sent.add(now, HALF_LIFE, 1.0);
        }
        let probability = cell_indexes.map(|index| self.refusal_probability(now, index));
        let probability = probability.into_iter().fold(REFUSED_MAX, f64::min);
        rng.random::<f64>() >= probability
    }

    /// Counts a call that a server accepted.
    pub fn accepted(&mut self, now: Duration, customer: &str, priority: CallPriority) {
        for index in self.cell_indexes(customer, priority) {
            self.cells[index].accepted.add(now, HALF_LIFE, 1.0);
        }
    }

    fn refusal_probability(&self, now: Duration, index: usize) -> f64 {
        let sent = self.cells[index].sent.get(now, HALF_LIFE);
        let accepted = self.cells[index].accepted.get(now, HALF_LIFE);
        let excess = sent - FORWARD_FACTOR * accepted - FREE_CALLS;
        (excess / (sent + 1.0)).max(0.0)
    }

    fn cell_indexes(&self, customer: &str, priority: CallPriority) -> [usize; ROWS] {
        let mut cell_indexes = [0; ROWS];
        for (row, cell_index) in cell_indexes.iter_mut().enumerate() {
            let mut hasher = DefaultHasher::new();
            (self.seed, row, customer, priority).hash(&mut hasher);
            *cell_index = row * CELLS + hasher.finish() as usize % CELLS;
        }
        cell_indexes
    }
}
