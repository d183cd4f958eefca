//! Start-time fair queueing: whose turn it is by work already received.
//!
//! Load pattern: one customer sends a hundred times as many calls as the
//! others. In a single queue its calls would fill the queue, and all others
//! would wait behind them. Here each key has a finish tag, the work it has
//! received divided by its weight, and the backlogged key with the lowest start
//! tag is served next.
//!
//! A key without a backlog earns no credit: its start tag is never below the
//! virtual time, so that a customer that was idle cannot lock others out
//! afterwards. Tags at or below the virtual time have no effect and are
//! dropped, which bounds memory by the recently served keys.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Maximum number of tags held; beyond it all keys start equal again. Sixteen
/// times the keys that can be backlogged in the default queue of 64 calls.
const TAGS_MAX: usize = 1_024;

/// Finish tags of keys and the virtual time, in microseconds of work.
#[derive(Clone, Debug)]
pub struct FairTags<K> {
    virtual_time: u64,
    finish: HashMap<K, u64>,
}

impl<K> Default for FairTags<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            finish: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> FairTags<K> {
    /// Start tag of `key`'s next call.
    pub fn start<Q>(&self, key: &Q) -> u64
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        let finish = self.finish.get(key).copied().unwrap_or(0);
        finish.max(self.virtual_time)
    }

    /// Charges `key` for the work of a call that starts now.
    pub fn charge(&mut self, key: K, cost: Duration, weight: u64) {
        let start = self.start(&key);
        let work = (cost.as_micros() as u64).max(1);
        self.virtual_time = start;
        self.finish.insert(key, start + work.div_ceil(weight));
        if self.finish.len() > TAGS_MAX {
            self.prune();
        }
    }

    /// Number of tags held.
    pub fn len(&self) -> usize {
        self.finish.len()
    }

    /// True if no key has a tag.
    pub fn is_empty(&self) -> bool {
        self.finish.is_empty()
    }

    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.finish.retain(|_, finish| *finish > virtual_time);
        if self.finish.len() > TAGS_MAX / 2 {
            self.finish.clear();
        }
    }
}
