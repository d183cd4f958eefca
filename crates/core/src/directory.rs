//! The directory of backend servers: which have announced themselves, and
//! their addresses.
//!
//! The directory changes far more often than the configuration and has no
//! version number shared by the instances. Each record contains the incarnation
//! and sequence assigned by its endpoint, so reordered and delayed updates
//! are discarded wherever and by whatever path they arrive.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

pub use self::directory_digest::DirectoryDigest;

mod directory_digest;
pub(crate) mod record_batch;

/// One backend server, as described by the node that runs beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the instance that the backend server runs on.
    pub instance: Arc<str>,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Version of the backend server.
    pub version: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address at which its node listens for other nodes.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts work at the moment.
    pub standing: EndpointStanding,
    /// Increases with every start of the node process.
    pub incarnation: u64,
    /// Increases with every change within an incarnation.
    pub sequence: u64,
}

/// Whether an endpoint accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointStanding {
    /// It accepts new work.
    Serving,
    /// It finishes the work it has and accepts no more.
    Draining,
    /// It has left. The record stays as a tombstone, so that a late record
    /// cannot restore it.
    Gone,
}

impl EndpointRecord {
    /// Order of this record among those of the same instance. At equal
    /// incarnation and sequence the expiry of a lease supersedes the
    /// endpoint's last record, and any later record of the endpoint
    /// supersedes the expiry.
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

/// Largest number of tombstones, which keep a late record from restoring an
/// endpoint that has left. At 1,500 replaced servers a day they cover five
/// days and take 2 MB.
const TOMBSTONES_MAX: usize = 8_192;

/// Records by instance, each with the local revision of its last change.
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
    /// Revision of the last change; valid only in this process.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// True if no record is held, not even a tombstone.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of endpoints that have not left.
    pub fn len(&self) -> usize {
        self.records.len() - self.tombstones.len()
    }

    /// Stores a record unless an equal or newer one is held; true if the
    /// directory changed.
    pub fn merge(&mut self, record: EndpointRecord) -> bool {
        let held = self.records.get(&record.instance);
        // Updates can be reordered in transit: an old `Serving` that arrives
        // after `Draining` would send work to a server that is leaving. Only
        // the endpoint numbers its records, so their order is reliable.
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

    /// Marks an endpoint whose lease has expired as gone; true if that
    /// changed the directory.
    pub fn expire(&mut self, instance: &str) -> bool {
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

    /// Every record in the buckets whose digest differs from `theirs`.
    pub fn differing(&self, theirs: &DirectoryDigest) -> Vec<EndpointRecord> {
        let mut changed = Vec::new();
        for held in self.records.values() {
            if self.digest.differs(theirs, &held.record.instance) {
                changed.push(held.record.clone());
            }
        }
        changed
    }

    /// Names of the endpoints that have not left, in the buckets whose digest differs
    /// from `theirs`.
    pub fn live_in_differing<'a>(
        &'a self,
        theirs: &'a DirectoryDigest,
    ) -> impl Iterator<Item = Arc<str>> + 'a {
        let differing = self.records.values().filter(|held| {
            held.record.standing != EndpointStanding::Gone
                && self.digest.differs(theirs, &held.record.instance)
        });
        differing.map(|held| Arc::clone(&held.record.instance))
    }

    /// Every record that changed after `revision`, oldest change first.
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
