//! Digests for comparing two directories.
//!
//! A node that switches to another source holds nearly the same directory as
//! the new source, and many nodes switch at once after a source has died. A
//! full transfer would take about 800 KB for each at the size planned for
//! two years ahead. A single digest shows whether the directories differ,
//! and one digest for each of [`BUCKETS`] buckets shows where.

use serde::Deserialize;
use serde::Serialize;

use crate::config_digest::ConfigDigest;

use super::EndpointRecord;

/// Number of hash buckets. At 5,200 endpoints each bucket holds 81 of them,
/// about 12 KB, and all digests together take 0.6 KB.
const BUCKETS: usize = 64;

/// One digest for each bucket: the wrapping sum of the digests of its records,
/// so an update needs to hash only the record that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryDigest(Vec<u64>);

impl Default for DirectoryDigest {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl DirectoryDigest {
    /// Digest of the whole directory; 0 if it is empty.
    pub fn whole(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, bucket| sum.wrapping_add(*bucket))
    }

    /// True if `theirs` differs in the bucket of `instance`.
    pub(super) fn differs(&self, theirs: &Self, instance: &str) -> bool {
        let bucket = bucket(instance);
        self.0.get(bucket) != theirs.0.get(bucket)
    }

    pub(super) fn add(&mut self, record: &EndpointRecord) {
        let bucket_digest = &mut self.0[bucket(&record.instance)];
        *bucket_digest = bucket_digest.wrapping_add(digest(record));
    }

    pub(super) fn remove(&mut self, record: &EndpointRecord) {
        let bucket_digest = &mut self.0[bucket(&record.instance)];
        *bucket_digest = bucket_digest.wrapping_sub(digest(record));
    }
}

fn bucket(instance: &str) -> usize {
    let digest = ConfigDigest::of_bytes(instance.as_bytes());
    (digest.short() % BUCKETS as u64) as usize
}

fn digest(record: &EndpointRecord) -> u64 {
    // Encoding into memory cannot fail.
    let encoded = rmp_serde::to_vec_named(record).unwrap_or_default();
    ConfigDigest::of_bytes(&encoded).short()
}
