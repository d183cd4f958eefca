//! Refuses at the entry node what the servers would refuse anyway.
//!
//! Load pattern: one customer sends many times what it gets, through many
//! entry nodes. The servers' gates share out fairly, but each refusal there
//! costs a hop and, with retries, several. Every answer tells this node what
//! the servers took from the customer; where they take less than half of
//! what it sends, the rest is refused here with the chance that keeps what
//! goes on at twice what is taken. So the share of a customer holds over all
//! entry nodes without a message of its own, and the servers still see more
//! than they take, so that they, not this guess, decide.
//!
//! Counts lie in a sketch of fixed size, two rows of cells found by hash;
//! the less used cell counts. Any number of customers costs the same memory,
//! and a small customer suffers for a hot one only where both of its cells
//! are shared with hot ones. It exists only while calls are being refused.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::document::CallPriority;
use crate::load::decayed_count::DecayedCount;

/// Cells in each row. With ten hot customers at once a small one shares both
/// cells with them at a chance of (10/512)², 1 in 2,600.
const CELLS: usize = 512;
const ROWS: usize = 2;

/// Half-life of the counts; short, so that a burst is forgotten with it.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// What goes on, in multiples of what is taken.
const PASS_FACTOR: f64 = 2.0;

/// Calls within the half-life that are never refused here: a customer that
/// sends a few calls is no cause of overload.
const GRACE: f64 = 5.0;

/// Refused share at most, so that there is always news from the servers.
const REFUSED_MAX: f64 = 0.9;

#[derive(Clone, Copy, Debug, Default)]
struct CustomerCell {
    sent: DecayedCount,
    taken: DecayedCount,
}

/// What customers sent and servers took, for one service.
#[derive(Clone, Debug)]
pub struct CustomerThrottle {
    seed: u64,
    cells: Vec<CustomerCell>,
}

impl CustomerThrottle {
    /// An empty sketch; `seed` differs between nodes, so that two customers
    /// that share cells at one do not at another.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            cells: vec![CustomerCell::default(); CELLS * ROWS],
        }
    }

    /// Counts a call that came in; false where it is refused here.
    pub fn admit(
        &mut self,
        now: Duration,
        customer: &str,
        priority: CallPriority,
        rng: &mut SmallRng,
    ) -> bool {
        let places = self.places(customer, priority);
        for at in places {
            self.cells[at].sent.add(now, HALF_LIFE, 1.0);
        }
        let chance = places.map(|at| self.refused_share(now, at));
        let chance = chance.into_iter().fold(REFUSED_MAX, f64::min);
        rng.random::<f64>() >= chance
    }

    /// A server took a call.
    pub fn accepted(&mut self, now: Duration, customer: &str, priority: CallPriority) {
        for at in self.places(customer, priority) {
            self.cells[at].taken.add(now, HALF_LIFE, 1.0);
        }
    }

    fn refused_share(&self, now: Duration, at: usize) -> f64 {
        let sent = self.cells[at].sent.get(now, HALF_LIFE);
        let taken = self.cells[at].taken.get(now, HALF_LIFE);
        let above = sent - PASS_FACTOR * taken - GRACE;
        (above / (sent + 1.0)).max(0.0)
    }

    fn places(&self, customer: &str, priority: CallPriority) -> [usize; ROWS] {
        let mut places = [0; ROWS];
        for (row, place) in places.iter_mut().enumerate() {
            let mut hasher = DefaultHasher::new();
            (self.seed, row, customer, priority).hash(&mut hasher);
            *place = row * CELLS + hasher.finish() as usize % CELLS;
        }
        places
    }
}
