//! Configuration updates that a source sends, depending on the version that
//! the follower holds.
//!
//! Load pattern: thousands of followers. Nearly all hold the version before the
//! newest and a few an older one, but after an outage many start at once and
//! hold none. Encoding the whole document for each of them would be too slow, so
//! each distinct answer is computed once and shared: one delta for each base
//! that followers hold, and one encoded snapshot for all others.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config_delta::ConfigDelta;
use crate::config_digest::ConfigDigest;
use crate::control_state::ConfigSnapshot;
use crate::document::FleetDocument;
use crate::document::RouteSpec;
use crate::encoded_size;
use crate::follower_queue::FollowerState;
use crate::snapshot_chunks::ChunkedSnapshot;
use crate::snapshot_chunks::SnapshotHeader;
use crate::version::ConfigVersion;

/// Maximum number of earlier documents kept as bases of deltas. At 13,000
/// changes a day they cover seven minutes, enough for a reconnect storm or a
/// node's pause.
const BASES_MAX: usize = 64;

/// Maximum size of what these documents do not share with later ones, in bytes as it
/// is encoded. At the size expected in two years all of them take less, unless
/// changes replace most of the document; then followers get snapshots anyway.
const BASES_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Largest snapshot, in bytes, whose chunk is sent along with its header.
const INLINE_BYTES_MAX: u32 = 16 * 1024;

/// Configuration update from a source to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The follower holds or has refused the source's version or a newer one.
    Current,
    /// Delta from the follower's version.
    Delta(Arc<ConfigDelta>),
    /// Snapshot to fetch in chunks. If it is not the newest version, a delta to
    /// the newest comes with it, to be applied before the document is used.
    Snapshot(SnapshotHeader, Option<Arc<ConfigDelta>>),
}

/// A computed delta; `None` if a snapshot is to be sent instead.
type CachedDelta = Option<Arc<ConfigDelta>>;

/// An earlier document.
#[derive(Debug)]
struct BaseDocument {
    document: Arc<FleetDocument>,
    /// Encoded size in bytes of what it does not share with the next version.
    bytes: usize,
}

/// The configuration in force and the deltas to it from earlier versions.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    current: ConfigSnapshot,
    digest: ConfigDigest,
    bases: BTreeMap<ConfigVersion, BaseDocument>,
    /// Sum of the sizes of all bases.
    base_bytes: usize,
    deltas: BTreeMap<ConfigVersion, CachedDelta>,
    encoded: Option<ChunkedSnapshot>,
}

impl ConfigHistory {
    /// The configuration in force.
    pub fn current(&self) -> &ConfigSnapshot {
        &self.current
    }

    /// Puts a newer configuration in force. Returns false, without effect, if it
    /// is not newer.
    pub fn publish(&mut self, snapshot: ConfigSnapshot) -> bool {
        if snapshot.version <= self.current.version {
            return false;
        }
        self.digest = ConfigDigest::of_document(&snapshot.document);
        let earlier = std::mem::replace(&mut self.current, snapshot);
        self.keep_base(earlier);
        self.deltas.clear();
        true
    }

    /// Keeps an earlier version as a base, and drops the oldest ones that are too many
    /// or too large.
    fn keep_base(&mut self, earlier: ConfigSnapshot) {
        let document = earlier.document;
        let bytes = unshared_bytes(&document, &self.current.document);
        self.base_bytes += bytes;
        let base = BaseDocument { document, bytes };
        self.bases.insert(earlier.version, base);
        while self.bases.len() > BASES_MAX || self.base_bytes > BASES_BYTES_MAX {
            let Some((_, dropped)) = self.bases.pop_first() else {
                return;
            };
            self.base_bytes -= dropped.bytes;
        }
    }

    /// True if there is no update for `follower`.
    pub fn is_current(&self, follower: &FollowerState) -> bool {
        follower.held.max(follower.refused) >= self.current.version
    }

    /// True if the update for `follower` is small: a delta or nothing.
    pub fn is_update_small(&self, follower: &FollowerState) -> bool {
        let starting = follower.held == ConfigVersion::ZERO;
        let delta =
            !follower.whole && !starting && self.bases.contains_key(&follower.held);
        delta || self.is_current(follower)
    }

    /// Returns the update for `follower`. A follower that refused the newest
    /// version waits for the next one and is not sent the same one again.
    pub fn update_for(&mut self, follower: &FollowerState) -> ConfigUpdate {
        if self.is_current(follower) {
            return ConfigUpdate::Current;
        }
        if !follower.whole {
            if let Some(delta) = self.delta_from(follower.held) {
                return ConfigUpdate::Delta(delta);
            }
        }
        let header = self.encoded().header().clone();
        let delta = self.delta_from(header.version);
        ConfigUpdate::Snapshot(header, delta)
    }

    /// Length in bytes of the snapshot that followers fetch; 0 before the first
    /// version.
    pub fn snapshot_bytes(&mut self) -> u64 {
        if self.current.version == ConfigVersion::ZERO {
            return 0;
        }
        self.encoded().header().bytes.into()
    }

    /// Returns chunk `at` of the encoded snapshot of `version`. If another
    /// snapshot is kept, returns `None`, and the follower must request an update
    /// again.
    pub fn chunk(&self, version: ConfigVersion, at: usize) -> Option<Bytes> {
        let encoded = self.encoded.as_ref()?;
        if encoded.header().version != version {
            return None;
        }
        encoded.chunk(at)
    }

    /// Returns the first chunk of the snapshot in `update` if it is small enough
    /// to be sent along. This saves a request of each node when many start at
    /// once.
    pub fn first_chunk(&self, update: &ConfigUpdate) -> Option<Bytes> {
        let ConfigUpdate::Snapshot(header, _) = update else {
            return None;
        };
        let small = header.bytes <= INLINE_BYTES_MAX;
        small.then(|| self.chunk(header.version, 0)).flatten()
    }

    /// Returns the encoded snapshot. The existing one is kept as long as there
    /// is a delta from it to the newest version, so that changes in quick
    /// succession neither encode the document again nor replace a snapshot while
    /// followers fetch it.
    fn encoded(&mut self) -> &ChunkedSnapshot {
        let usable = match self.encoded.as_ref().map(|kept| kept.header().version) {
            Some(version) if version == self.current.version => true,
            Some(version) => self.delta_from(version).is_some(),
            None => false,
        };
        if !usable {
            self.encoded = None;
        }
        let (current, digest) = (&self.current, self.digest);
        self.encoded
            .get_or_insert_with(|| ChunkedSnapshot::new(current, digest))
    }

    /// Returns the delta from version `held` to the current one; `None` if a
    /// snapshot is to be sent instead or `held` is current.
    fn delta_from(&mut self, held: ConfigVersion) -> CachedDelta {
        if held == self.current.version {
            return None;
        }
        if let Some(cached) = self.deltas.get(&held) {
            return cached.clone();
        }
        let base = ConfigSnapshot {
            version: held,
            document: Arc::clone(&self.bases.get(&held)?.document),
        };
        let delta = ConfigDelta::between(&base, &self.current, self.digest);
        let delta = delta.filter(|delta| delta.is_preferred_to_snapshot(&self.current));
        let cached = delta.map(Arc::new);
        self.deltas.insert(held, cached.clone());
        cached
    }
}

/// Encoded size in bytes of what `document` does not share with `next`. Routes that are
/// the same in both are shared; other parts are copied with each version.
fn unshared_bytes(document: &FleetDocument, next: &FleetDocument) -> usize {
    let shared: HashSet<_> = next.routes.iter().map(Arc::as_ptr).collect();
    let mut bytes = encoded_size::of(&document.services)
        + encoded_size::of(&document.exceptions)
        + encoded_size::of(&document.quarantines);
    for route in &document.routes {
        bytes += size_of::<Arc<RouteSpec>>();
        if !shared.contains(&Arc::as_ptr(route)) {
            bytes += encoded_size::of(route);
        }
    }
    bytes
}
