//! Which version each node is known to have applied, beyond its process.
//!
//! A node has no disk. When its process dies and comes back while every
//! confirmed source is away, the control instances' memory is what keeps it
//! from starting below the version that it had applied.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::version::ConfigVersion;

/// Names remembered, the least recently heard dropped first. Three times
/// the fleet of 5,200, so that a week of 1,500 replaced servers a day does
/// not push out a node that still runs; about 2 MB.
const NAMES_MAX: usize = 16_384;

/// Highest version each node is known to have applied.
#[derive(Clone, Debug, Default)]
pub struct AppliedVersions {
    acks: HashMap<Arc<str>, HeldAck>,
    by_age: BTreeMap<u64, Arc<str>>,
    heard: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldAck {
    version: ConfigVersion,
    heard: u64,
}

impl AppliedVersions {
    /// A node has applied `version`; a lower one does not lower what is
    /// remembered.
    pub fn remember(&mut self, node: &Arc<str>, version: ConfigVersion) {
        let mut version = version;
        if let Some(held) = self.acks.get(node) {
            version = version.max(held.version);
            self.by_age.remove(&held.heard);
        }
        self.heard += 1;
        let heard = self.heard;
        self.by_age.insert(heard, Arc::clone(node));
        let ack = HeldAck { version, heard };
        self.acks.insert(Arc::clone(node), ack);
        if self.acks.len() <= NAMES_MAX {
            return;
        }
        if let Some((_, oldest)) = self.by_age.pop_first() {
            self.acks.remove(&oldest);
        }
    }

    /// What the node is known to have applied.
    pub fn recall(&self, node: &str) -> Option<ConfigVersion> {
        self.acks.get(node).map(|ack| ack.version)
    }

    /// Number of names remembered.
    pub fn len(&self) -> usize {
        self.acks.len()
    }

    /// True where nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.acks.is_empty()
    }
}
