//! A follower's way from version to version.
//!
//! The rules, each of which holds whatever the sources do:
//!
//! - A version not above the one held is passed over, so nothing goes back.
//! - A document is whole and its digest right before it is offered; what is
//!   held is swapped in one step, and only after validation.
//! - A version once refused is not offered again, and changes nothing.
//! - A follower that starts with nothing takes a version only from a source
//!   that confirms it, or, when no source does for [`START_PATIENCE`], the
//!   highest among sources of [`START_DOMAINS`] failure domains, never below
//!   what any of them knows this follower to have applied.
//!
//! A running follower takes any higher version from any source: control
//! instances pass on only what was accepted, so higher is always newer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::config_delta::ConfigDelta;
use crate::config_history::ConfigNews;
use crate::control_state::ConfigSnapshot;
use crate::snapshot_chunks::ChunkAssembly;
use crate::source_proof::SourceProof;
use crate::version::ConfigVersion;

/// How long a starting follower insists on a confirmed answer. An election
/// takes a second or two and a restart of all control instances a few more;
/// beyond that a node without any configuration serves nobody.
pub const START_PATIENCE: Duration = Duration::from_secs(10);

/// Failure domains that must have answered before an unconfirmed version is
/// taken: one domain alone may be the far side of a partition.
pub const START_DOMAINS: usize = 2;

/// What the shell does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowStep {
    /// Ask for news again.
    Ask,
    /// This source cannot help; ask another one.
    AskElsewhere,
    /// Fetch this chunk.
    Fetch {
        /// Version of the snapshot.
        version: ConfigVersion,
        /// Number of the chunk.
        at: usize,
    },
    /// Validate this snapshot and put it in force in one step.
    Offer(ConfigSnapshot),
}

/// Counters of what a follower passed over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowCounts {
    /// Versions not above the one held.
    pub stale: u64,
    /// Deltas or chunks that did not fit or were damaged.
    pub damaged: u64,
    /// Versions refused by validation.
    pub refused: u64,
    /// Versions not taken at the start because nothing confirmed them.
    pub unconfirmed: u64,
}

/// A snapshot on its way, and the delta to apply on top of it.
#[derive(Clone, Debug)]
struct SnapshotFetch {
    assembly: ChunkAssembly,
    rest: Option<Arc<ConfigDelta>>,
    source: SourceProof,
}

/// What a starting follower has gathered from unconfirmed sources.
#[derive(Clone, Debug, Default)]
struct StartGather {
    domains: BTreeSet<Arc<str>>,
    best: ConfigSnapshot,
    floor: ConfigVersion,
}

/// State of one follower.
#[derive(Clone, Debug)]
pub struct VersionFollower {
    started_at: Duration,
    held: ConfigSnapshot,
    offered: Option<ConfigSnapshot>,
    refused: Option<ConfigVersion>,
    whole: bool,
    fetch: Option<SnapshotFetch>,
    gather: StartGather,
    counts: FollowCounts,
}

impl VersionFollower {
    /// A follower that starts with nothing.
    pub fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            held: ConfigSnapshot::default(),
            offered: None,
            refused: None,
            whole: false,
            fetch: None,
            gather: StartGather::default(),
            counts: FollowCounts::default(),
        }
    }

    /// Version in force here.
    pub fn held(&self) -> ConfigVersion {
        self.held.version
    }

    /// Version refused here last.
    pub fn refused(&self) -> Option<ConfigVersion> {
        self.refused
    }

    /// True where the next answer must not be a delta.
    pub fn needs_snapshot(&self) -> bool {
        self.whole
    }

    /// What was passed over so far.
    pub fn counts(&self) -> FollowCounts {
        self.counts
    }

    /// Takes a source's news. `acknowledged` is what the source knows this
    /// follower to have applied, also before its process started.
    pub fn news(
        &mut self,
        now: Duration,
        source: SourceProof,
        acknowledged: Option<ConfigVersion>,
        news: ConfigNews,
    ) -> FollowStep {
        let floor = acknowledged.unwrap_or_default();
        self.gather.floor = self.gather.floor.max(floor);
        match news {
            ConfigNews::Current => self.without_news(now, &source),
            ConfigNews::Delta(delta) => self.delta(now, &source, &delta),
            ConfigNews::Snapshot(header, rest) => {
                let target = rest.as_ref().map_or(header.version, |rest| rest.version);
                if !self.wants(target) {
                    return self.without_news(now, &source);
                }
                // The same header again, perhaps from another source: go on
                // with the chunks that are there.
                let resumed = self.fetch.take();
                let resumed = resumed.filter(|held| *held.assembly.header() == header);
                let assembly = match resumed {
                    Some(held) => Ok(held.assembly),
                    None => ChunkAssembly::new(header),
                };
                let Ok(assembly) = assembly else {
                    self.counts.damaged += 1;
                    return FollowStep::AskElsewhere;
                };
                self.fetch = Some(SnapshotFetch {
                    assembly,
                    rest,
                    source,
                });
                self.fetch_on(now)
            }
        }
    }

    /// Takes the chunk that was to be fetched; `None` where the source no
    /// longer has it.
    pub fn chunk(&mut self, now: Duration, chunk: Option<&[u8]>) -> FollowStep {
        let Some(fetch) = &mut self.fetch else {
            return FollowStep::Ask;
        };
        let Some(chunk) = chunk else {
            return FollowStep::Ask;
        };
        // Guards against a chunk damaged on its way: it is dropped and
        // fetched from elsewhere, and nothing built on it is ever used.
        if fetch.assembly.take(chunk).is_err() {
            self.counts.damaged += 1;
            return FollowStep::AskElsewhere;
        }
        self.fetch_on(now)
    }

    /// Tells what became of the offered snapshot: the version now in force
    /// and the one refused, as the holder of the configuration states them.
    pub fn record_outcome(
        &mut self,
        applied: ConfigVersion,
        refused: Option<ConfigVersion>,
    ) {
        let Some(offered) = self.offered.take() else {
            return;
        };
        if offered.version == applied {
            self.held = offered;
            return;
        }
        if refused == Some(offered.version) {
            self.counts.refused += 1;
            self.refused = refused;
        }
    }

    /// Takes over what is in force here by another way.
    pub fn adopt(&mut self, snapshot: ConfigSnapshot) {
        if snapshot.version > self.held.version {
            self.held = snapshot;
        }
    }

    fn wants(&mut self, version: ConfigVersion) -> bool {
        let starting = self.held.version == ConfigVersion::ZERO;
        if starting && version <= self.gather.best.version {
            return false;
        }
        // Guards against a source that is behind: taking its version would
        // undo an accepted change on this node.
        if version <= self.held.version {
            self.counts.stale += 1;
            return false;
        }
        self.refused != Some(version)
    }

    fn delta(
        &mut self,
        now: Duration,
        source: &SourceProof,
        delta: &ConfigDelta,
    ) -> FollowStep {
        if !self.wants(delta.version) {
            return self.without_news(now, source);
        }
        match delta.apply(&self.held) {
            Ok(snapshot) => self.complete(now, source, snapshot),
            Err(_) => self.damaged(),
        }
    }

    fn fetch_on(&mut self, now: Duration) -> FollowStep {
        let Some(fetch) = self.fetch.take() else {
            return FollowStep::Ask;
        };
        if let Some(at) = fetch.assembly.wanted() {
            let version = fetch.assembly.header().version;
            self.fetch = Some(fetch);
            return FollowStep::Fetch { version, at };
        }
        let Ok(mut snapshot) = fetch.assembly.finish() else {
            return self.damaged();
        };
        if let Some(rest) = &fetch.rest {
            let Ok(newest) = rest.apply(&snapshot) else {
                return self.damaged();
            };
            snapshot = newest;
        }
        self.complete(now, &fetch.source, snapshot)
    }

    /// Asks for the whole snapshot, and where that was damaged too, asks
    /// another source.
    fn damaged(&mut self) -> FollowStep {
        self.counts.damaged += 1;
        if self.whole {
            return FollowStep::AskElsewhere;
        }
        self.whole = true;
        FollowStep::Ask
    }

    fn complete(
        &mut self,
        now: Duration,
        source: &SourceProof,
        snapshot: ConfigSnapshot,
    ) -> FollowStep {
        self.whole = false;
        let running = self.held.version != ConfigVersion::ZERO;
        if running || source.confirmed {
            return self.offer(snapshot);
        }
        if snapshot.version > self.gather.best.version {
            self.gather.best = snapshot;
        }
        self.gather_on(now, source)
    }

    /// A source holds nothing that is wanted.
    fn without_news(&mut self, now: Duration, source: &SourceProof) -> FollowStep {
        let best = &self.gather.best;
        let starting = self.held.version == ConfigVersion::ZERO;
        if !starting || source.version == ConfigVersion::ZERO {
            return FollowStep::Ask;
        }
        if source.confirmed && best.version == source.version {
            let snapshot = best.clone();
            return self.offer(snapshot);
        }
        self.gather_on(now, source)
    }

    /// Decides whether a starting follower has heard enough.
    fn gather_on(&mut self, now: Duration, source: &SourceProof) -> FollowStep {
        let domain = Arc::clone(&source.failure_domain);
        self.gather.domains.insert(domain);
        let patient = now.saturating_sub(self.started_at) < START_PATIENCE;
        let alone = self.gather.domains.len() < START_DOMAINS;
        // Guards against starting on the far side of a silent partition:
        // the only sources there hold old versions, and a caller would be
        // routed by what operators replaced. One domain is not believed,
        // and nothing below what this node is known to have applied.
        if patient || alone || self.gather.best.version < self.gather.floor {
            self.counts.unconfirmed += 1;
            return FollowStep::AskElsewhere;
        }
        let snapshot = self.gather.best.clone();
        self.offer(snapshot)
    }

    fn offer(&mut self, snapshot: ConfigSnapshot) -> FollowStep {
        if self.refused == Some(snapshot.version) {
            return FollowStep::Ask;
        }
        self.offered = Some(snapshot.clone());
        FollowStep::Offer(snapshot)
    }
}
