//! Which control instances followers may ask, as the leader sees them.
//!
//! Load pattern: a fleet of hundreds of nodes whose settings name three
//! control instances. All of them ask those three, whose processors are full
//! after each restart while the other instances idle. The leader hears from
//! every instance that is up, since each follows it; it tells all followers
//! who they are, and each turns to one nearby.

use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::source_proof::FRESH_FOR;

/// An instance that answers followers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SourcePlace {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// Instances heard of, and the list that is told.
#[derive(Clone, Debug, Default)]
pub struct SourceList {
    heard: BTreeMap<SourcePlace, Duration>,
    told: Arc<[SourcePlace]>,
    digest: u64,
}

impl SourceList {
    /// An instance followed this one, the leader, at `now`.
    pub fn hear(&mut self, now: Duration, place: SourcePlace) {
        self.heard.insert(place, now);
    }

    /// Drops instances that are silent for longer than they stay fresh, and
    /// names `own`. True where the list is another one now.
    pub fn settle(&mut self, now: Duration, own: &SourcePlace) -> bool {
        self.heard
            .retain(|_, at| now.saturating_sub(*at) <= FRESH_FOR);
        let mut places: Vec<SourcePlace> = self.heard.keys().cloned().collect();
        if !places.contains(own) {
            places.push(own.clone());
        }
        places.sort();
        self.install(places)
    }

    /// Takes a list over; true where it is another one.
    pub fn install(&mut self, places: Vec<SourcePlace>) -> bool {
        let digest = digest_of(&places);
        let changed = digest != self.digest;
        self.digest = digest;
        self.told = places.into();
        changed
    }

    /// Digest of the list; 0 before the first.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The list, for a follower that holds the one of `digest`; none where
    /// that is the same or there is none yet.
    pub fn news(&self, digest: u64) -> Option<Vec<SourcePlace>> {
        if self.told.is_empty() || digest == self.digest {
            return None;
        }
        Some(self.told.to_vec())
    }
}

/// Digest of a list, the same in all processes of one program.
pub fn digest_of(places: &[SourcePlace]) -> u64 {
    if places.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    places.hash(&mut hasher);
    hasher.finish()
}
