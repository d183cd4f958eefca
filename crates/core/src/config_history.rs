//! What a source can tell a follower of the configuration, by the version
//! that the follower holds.
//!
//! Load pattern: thousands of followers, nearly all of them at the version
//! before the newest, a few further behind, and herds that hold nothing.
//! Without this module the source would encode the whole document for each
//! of them. Here every distinct answer is made once and shared: one delta
//! for each base that is asked from, one encoded snapshot for all others.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config_delta::ConfigDelta;
use crate::config_digest::ConfigDigest;
use crate::control_state::ConfigSnapshot;
use crate::document::FleetDocument;
use crate::follower_queue::FollowerState;
use crate::snapshot_chunks::ChunkedSnapshot;
use crate::snapshot_chunks::SnapshotHeader;
use crate::version::ConfigVersion;

/// Earlier documents kept as bases of deltas. At 13,000 changes a day it is
/// seven minutes, which covers a reconnect storm and a node's pause. Items
/// of documents share their strings, so one costs about 0.25 MB at the
/// two-year size, and all of them 16 MB of a control instance.
const BASES_KEPT: usize = 64;

/// Largest snapshot whose chunk goes along with the news that name it.
const ALONG_BYTES_MAX: u32 = 16 * 1024;

/// What a source tells of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The follower holds what the source holds, or something newer.
    Current,
    /// What changed since the follower's version.
    Delta(Arc<ConfigDelta>),
    /// Chunks to fetch, and a delta to apply on top before anything is
    /// used, where the encoded snapshot is not the newest version.
    Snapshot(SnapshotHeader, Option<Arc<ConfigDelta>>),
}

/// A delta already computed; none where the snapshot is to be sent.
type CachedDelta = Option<Arc<ConfigDelta>>;

/// The configuration in force and the way to it from earlier versions.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    current: ConfigSnapshot,
    digest: ConfigDigest,
    bases: BTreeMap<ConfigVersion, Arc<FleetDocument>>,
    deltas: BTreeMap<ConfigVersion, CachedDelta>,
    encoded: Option<ChunkedSnapshot>,
}

impl ConfigHistory {
    /// The configuration in force.
    pub fn current(&self) -> &ConfigSnapshot {
        &self.current
    }

    /// Puts a newer configuration in force; true where it was newer.
    pub fn publish(&mut self, snapshot: ConfigSnapshot) -> bool {
        if snapshot.version <= self.current.version {
            return false;
        }
        self.digest = ConfigDigest::of_document(&snapshot.document);
        let earlier = std::mem::replace(&mut self.current, snapshot);
        self.bases.insert(earlier.version, earlier.document);
        if self.bases.len() > BASES_KEPT {
            self.bases.pop_first();
        }
        self.deltas.clear();
        true
    }

    /// True where a follower at `place` has no news to come.
    pub fn is_current(&self, place: &FollowerState) -> bool {
        place.held.max(place.refused) >= self.current.version
    }

    /// True where the news for a follower at `place` are small.
    pub fn is_update_small(&self, place: &FollowerState) -> bool {
        let starting = place.held == ConfigVersion::ZERO;
        let delta = !place.whole && !starting && self.bases.contains_key(&place.held);
        delta || self.is_current(place)
    }

    /// News for a follower at `place`. One that refused the newest version
    /// waits for the next, instead of being sent the same again at once.
    pub fn update_for(&mut self, place: &FollowerState) -> ConfigUpdate {
        if self.is_current(place) {
            return ConfigUpdate::Current;
        }
        if !place.whole {
            if let Some(delta) = self.delta_from(place.held) {
                return ConfigUpdate::Delta(delta);
            }
        }
        let header = self.encoded().header().clone();
        let rest = self.delta_from(header.version);
        ConfigUpdate::Snapshot(header, rest)
    }

    /// Bytes of the whole configuration as followers get it; 0 before the
    /// first.
    pub fn snapshot_bytes(&mut self) -> u64 {
        if self.current.version == ConfigVersion::ZERO {
            return 0;
        }
        self.encoded().header().bytes.into()
    }

    /// Chunk `at` of the encoded snapshot of `version`; `None` where that
    /// is not the one kept, and the follower must ask for news again.
    pub fn chunk(&self, version: ConfigVersion, at: usize) -> Option<Bytes> {
        let encoded = self.encoded.as_ref()?;
        if encoded.header().version != version {
            return None;
        }
        encoded.chunk(at)
    }

    /// The first chunk of a snapshot that `news` names, where it is small
    /// enough to go along: one question less for each node of a herd.
    pub fn first_chunk(&self, news: &ConfigUpdate) -> Option<Bytes> {
        let ConfigUpdate::Snapshot(header, _) = news else {
            return None;
        };
        let small = header.bytes <= ALONG_BYTES_MAX;
        small.then(|| self.chunk(header.version, 0)).flatten()
    }

    /// The encoded snapshot: the one at hand as long as a delta leads on
    /// from it, so that quick changes neither encode again nor take away a
    /// snapshot from under the followers that are fetching it.
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

    fn delta_from(&mut self, held: ConfigVersion) -> CachedDelta {
        if held == self.current.version {
            return None;
        }
        if let Some(cached) = self.deltas.get(&held) {
            return cached.clone();
        }
        let base = ConfigSnapshot {
            version: held,
            document: Arc::clone(self.bases.get(&held)?),
        };
        let delta = ConfigDelta::between(&base, &self.current, self.digest);
        let delta = delta.filter(|delta| delta.is_preferred_to_snapshot(&self.current));
        let cached = delta.map(Arc::new);
        self.deltas.insert(held, cached.clone());
        cached
    }
}
