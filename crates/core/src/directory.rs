//! The directory of backend servers: who has announced itself and where.
//!
//! It churns far faster than the configuration and has no version numbers
//! of its own across instances. Each record carries the endpoint's own
//! incarnation and sequence, so that crossed and late updates lose wherever
//! they arrive, whatever way they took.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

pub use self::directory_digest::DirectoryDigest;

mod directory_digest;

/// One backend server, as the node beside it describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the instance that the backend server runs on.
    pub instance: Arc<str>,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Backend server version it runs.
    pub version: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Where its node listens for other nodes.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// What it takes at the moment.
    pub standing: EndpointStanding,
    /// Grows with every start of the node process.
    pub incarnation: u64,
    /// Grows with every change within an incarnation.
    pub sequence: u64,
}

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointStanding {
    /// It takes new work.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left; kept so that a late record cannot revive it.
    Gone,
}

impl EndpointRecord {
    /// Where this record stands among those of the same instance. At equal
    /// numbers the end of a lease wins over what the endpoint said last, and
    /// any later word of the endpoint wins over the end of its lease.
    pub fn order(&self) -> RecordOrder {
        RecordOrder {
            incarnation: self.incarnation,
            sequence: self.sequence,
            gone: self.standing == EndpointStanding::Gone,
        }
    }
}

/// Order among the records of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordOrder {
    incarnation: u64,
    sequence: u64,
    gone: bool,
}

/// Records of endpoints that have left, kept so that a late record cannot
/// revive them. At 1,500 replaced servers a day it is five days of them,
/// and 2 MB.
const TOMBSTONES_MAX: usize = 8_192;

/// Records by instance, with a local revision for each change.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    records: BTreeMap<Arc<str>, RevisedRecord>,
    by_revision: BTreeMap<u64, Arc<str>>,
    tombstones: BTreeSet<u64>,
    digest: DirectoryDigest,
    revision: u64,
}

#[derive(Clone, Debug)]
struct RevisedRecord {
    record: EndpointRecord,
    revision: u64,
}

impl EndpointDirectory {
    /// Number of the last change; local to this process.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// True where no record is held, not even of one that has left.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Endpoints that have not left.
    pub fn len(&self) -> usize {
        self.records.len() - self.tombstones.len()
    }

    /// Takes a record unless one as new or newer is held already; true
    /// where it changed something.
    pub fn merge(&mut self, record: EndpointRecord) -> bool {
        let held = self.records.get(&record.instance);
        // Guards against updates that cross in flight: an old `Serving`
        // arriving after `Draining` would send work to a leaving server.
        // The endpoint alone numbers its records, so the order is its own.
        if held.is_some_and(|held| held.record.order() >= record.order()) {
            return false;
        }
        let instance = Arc::clone(&record.instance);
        self.remove(&instance);
        self.revision += 1;
        let revision = self.revision;
        self.by_revision.insert(revision, Arc::clone(&instance));
        if record.standing == EndpointStanding::Gone {
            self.tombstones.insert(revision);
        } else {
            self.digest.add(&record);
        }
        let revised = RevisedRecord { record, revision };
        self.records.insert(instance, revised);
        self.drop_oldest_tombstone();
        true
    }

    /// Ends an endpoint whose lease has ended; true where it was there.
    pub fn end(&mut self, instance: &str) -> bool {
        let Some(held) = self.get(instance) else {
            return false;
        };
        let mut record = held.clone();
        record.standing = EndpointStanding::Gone;
        self.merge(record)
    }

    fn remove(&mut self, instance: &str) {
        let Some(held) = self.records.remove(instance) else {
            return;
        };
        self.by_revision.remove(&held.revision);
        if !self.tombstones.remove(&held.revision) {
            self.digest.remove(&held.record);
        }
    }

    fn drop_oldest_tombstone(&mut self) {
        if self.tombstones.len() <= TOMBSTONES_MAX {
            return;
        }
        let oldest = self.tombstones.first();
        let Some(instance) = oldest.and_then(|oldest| self.by_revision.get(oldest))
        else {
            return;
        };
        let instance = Arc::clone(instance);
        self.remove(&instance);
    }

    /// Digest of all endpoints that have not left.
    pub fn digest(&self) -> &DirectoryDigest {
        &self.digest
    }

    /// Every record in a part of the directory where `theirs` differs.
    pub fn differing(&self, theirs: &DirectoryDigest) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        for held in self.records.values() {
            if self.digest.differs(theirs, &held.record.instance) {
                changed.push(held.record.clone());
            }
        }
        changed
    }

    /// Every record changed after `revision`, oldest change first.
    pub fn since(&self, revision: u64) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        for instance in self.by_revision.range(revision + 1..).map(|(_, name)| name) {
            if let Some(held) = self.records.get(instance) {
                changed.push(held.record.clone());
            }
        }
        changed
    }

    /// The record of one instance.
    pub fn get(&self, instance: &str) -> Option<&EndpointRecord> {
        self.records.get(instance).map(|held| &held.record)
    }

    /// All records, by instance.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values().map(|held| &held.record)
    }
}
