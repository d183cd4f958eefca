//! The version that each node is known to have applied, kept across restarts
//! of the node's process.
//!
//! A node has no disk. If its process restarts while no source can confirm
//! its answer, this record in the control instances keeps the node from
//! starting with a version lower than the one it had applied.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::version::ConfigVersion;

/// Largest number of nodes kept; the node that reported least recently is
/// evicted first. Three times the fleet of 5,200, so that a week in which 1,500
/// servers a day are replaced does not evict a node that still runs; about 2
/// MB.
const NODES_MAX: usize = 16_384;

/// Highest version each node is known to have applied.
#[derive(Clone, Debug, Default)]
pub struct AppliedVersions {
    acks: HashMap<Arc<str>, HeldAck>,
    by_age: BTreeMap<u64, Arc<str>>,
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldAck {
    version: ConfigVersion,
    sequence: u64,
}

impl AppliedVersions {
    /// Records that a node has applied `version`. The highest version is
    /// kept.
    pub fn record(&mut self, node: &Arc<str>, version: ConfigVersion) {
        let mut version = version;
        if let Some(held) = self.acks.get(node) {
            version = version.max(held.version);
            self.by_age.remove(&held.sequence);
        }
        self.sequence += 1;
        let sequence = self.sequence;
        self.by_age.insert(sequence, Arc::clone(node));
        let ack = HeldAck { version, sequence };
        self.acks.insert(Arc::clone(node), ack);
        if self.acks.len() <= NODES_MAX {
            return;
        }
        if let Some((_, oldest)) = self.by_age.pop_first() {
            self.acks.remove(&oldest);
        }
    }

    /// Highest version that the node is known to have applied.
    pub fn get(&self, node: &str) -> Option<ConfigVersion> {
        self.acks.get(node).map(|ack| ack.version)
    }

    /// Number of nodes kept.
    pub fn len(&self) -> usize {
        self.acks.len()
    }

    /// True if no node is kept.
    pub fn is_empty(&self) -> bool {
        self.acks.is_empty()
    }
}
