//! The state machine by which a follower moves from one configuration
//! version to the next.
//!
//! These rules hold whatever the sources send:
//!
//! - A version that is not higher than the one held is ignored, so the
//!   follower never rolls back.
//! - A document is offered only once it is complete and its digest matches;
//!   the version held is replaced atomically, and only after validation.
//! - A version that validation refused changes nothing and is not offered
//!   again.
//! - A follower that starts without a configuration accepts a version only
//!   from a source that confirms it. If no source does so for
//!   [`START_TIMEOUT`], it accepts the highest version among sources of
//!   [`START_DOMAINS_MIN`] failure domains, but none lower than what any
//!   source knows this follower to have applied.
//!
//! A running follower accepts any higher version from any source: control
//! instances distribute only accepted versions, so higher is always newer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::config_delta::ConfigDelta;
use crate::config_history::ConfigUpdate;
use crate::control_state::ConfigSnapshot;
use crate::snapshot_chunks::ChunkAssembly;
use crate::source_proof::SourceProof;
use crate::version::ConfigVersion;

/// How long a starting follower requires a confirmed answer. An election
/// takes one or two seconds and a restart of all control instances a few
/// more; a longer timeout would only keep a node without a configuration
/// from serving.
pub const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Failure domains that must have answered before an unconfirmed version is
/// accepted: a single domain may be on the wrong side of a partition.
pub const START_DOMAINS_MIN: usize = 2;

/// Unconfirmed answers in a row after which a starting follower leaves a source that is
/// in touch with the leader: two about the directory, and two that waited in vain for
/// the leader's next answer.
const UNCONFIRMED_MAX: u32 = 4;

/// What the caller of the state machine must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowStep {
    /// Ask the source in use for updates again.
    Ask,
    /// Ask another source; this one has nothing that can be used.
    AskElsewhere,
    /// Fetch this chunk.
    Fetch {
        /// Version of the snapshot.
        version: ConfigVersion,
        /// Number of the chunk.
        at: usize,
    },
    /// Validate this snapshot and put it in force atomically.
    Offer(ConfigSnapshot),
}

/// Counters of versions that a follower did not accept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowCounts {
    /// Versions not higher than the one held.
    pub stale: u64,
    /// Deltas with another base version, and damaged deltas, headers and
    /// chunks.
    pub damaged: u64,
    /// Versions refused by validation.
    pub refused: u64,
    /// Unconfirmed answers that a starting follower did not accept.
    pub unconfirmed: u64,
}

/// A snapshot being fetched, and the delta to apply on top of it.
#[derive(Clone, Debug)]
struct SnapshotFetch {
    assembly: ChunkAssembly,
    delta: Option<Arc<ConfigDelta>>,
    source: SourceProof,
}

/// What a starting follower has received from unconfirmed sources: the
/// failure domains that answered, the highest version, and the lowest
/// version that may be accepted.
#[derive(Clone, Debug, Default)]
struct StartCandidates {
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
    needs_snapshot: bool,
    fetch: Option<SnapshotFetch>,
    candidates: StartCandidates,
    /// Source of the last unconfirmed answer, and how many it gave in a row.
    unconfirmed: Option<(Arc<str>, u32)>,
    counts: FollowCounts,
}

impl VersionFollower {
    /// Creates a follower that holds no version.
    pub fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            held: ConfigSnapshot::default(),
            offered: None,
            refused: None,
            needs_snapshot: false,
            fetch: None,
            candidates: StartCandidates::default(),
            unconfirmed: None,
            counts: FollowCounts::default(),
        }
    }

    /// Version in force at this follower.
    pub fn held(&self) -> ConfigVersion {
        self.held.version
    }

    /// Version that validation refused last.
    pub fn refused(&self) -> Option<ConfigVersion> {
        self.refused
    }

    /// True if the next answer must be a whole snapshot, not a delta.
    pub fn needs_snapshot(&self) -> bool {
        self.needs_snapshot
    }

    /// Counters so far.
    pub fn counts(&self) -> FollowCounts {
        self.counts
    }

    /// Processes an update from a source. `acknowledged` is the highest
    /// version that the source knows this follower to have applied, including
    /// before a restart of its process.
    pub fn handle_update(
        &mut self,
        now: Duration,
        source: SourceProof,
        acknowledged: Option<ConfigVersion>,
        update: ConfigUpdate,
    ) -> FollowStep {
        let floor = acknowledged.unwrap_or_default();
        self.candidates.floor = self.candidates.floor.max(floor);
        match update {
            ConfigUpdate::Current => self.handle_no_update(now, &source),
            ConfigUpdate::Delta(delta) => self.delta(now, &source, &delta),
            ConfigUpdate::Snapshot(header, delta) => {
                let target = delta.as_ref().map_or(header.version, |delta| delta.version);
                if !self.accepts(target) {
                    return self.handle_no_update(now, &source);
                }
                // If the header is the same, perhaps from another source,
                // the chunks already received are kept.
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
                    delta,
                    source,
                });
                self.continue_fetch(now)
            }
        }
    }

    /// Processes the chunk requested by [`FollowStep::Fetch`]; `None` if the
    /// source no longer has it.
    pub fn chunk(&mut self, now: Duration, chunk: Option<&[u8]>) -> FollowStep {
        let Some(fetch) = &mut self.fetch else {
            return FollowStep::Ask;
        };
        let Some(chunk) = chunk else {
            return FollowStep::Ask;
        };
        // A chunk damaged in transit is dropped and fetched from another
        // source; no snapshot is ever built from it.
        if fetch.assembly.take(chunk).is_err() {
            self.counts.damaged += 1;
            return FollowStep::AskElsewhere;
        }
        self.continue_fetch(now)
    }

    /// Records the outcome of the offered snapshot: the version now in force
    /// and the version refused, as reported by the component that validates
    /// and applies configurations.
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

    /// Adopts a snapshot that was put in force without this state machine,
    /// if it is newer.
    pub fn adopt(&mut self, snapshot: ConfigSnapshot) {
        if snapshot.version > self.held.version {
            self.held = snapshot;
        }
    }

    fn accepts(&mut self, version: ConfigVersion) -> bool {
        let starting = self.held.version == ConfigVersion::ZERO;
        if starting && version <= self.candidates.best.version {
            return false;
        }
        // The source is behind: accepting its version would undo an accepted
        // change on this node.
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
        if !self.accepts(delta.version) {
            return self.handle_no_update(now, source);
        }
        match delta.apply(&self.held) {
            Ok(snapshot) => self.complete(now, source, snapshot),
            Err(_) => self.damaged(),
        }
    }

    fn continue_fetch(&mut self, now: Duration) -> FollowStep {
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
        if let Some(delta) = &fetch.delta {
            let Ok(newest) = delta.apply(&snapshot) else {
                return self.damaged();
            };
            snapshot = newest;
        }
        self.complete(now, &fetch.source, snapshot)
    }

    /// Requests a whole snapshot in place of a damaged delta or snapshot; if
    /// that is damaged too, asks another source.
    fn damaged(&mut self) -> FollowStep {
        self.counts.damaged += 1;
        if self.needs_snapshot {
            return FollowStep::AskElsewhere;
        }
        self.needs_snapshot = true;
        FollowStep::Ask
    }

    fn complete(
        &mut self,
        now: Duration,
        source: &SourceProof,
        snapshot: ConfigSnapshot,
    ) -> FollowStep {
        self.needs_snapshot = false;
        let running = self.held.version != ConfigVersion::ZERO;
        if running || source.confirmed {
            return self.offer(snapshot);
        }
        if snapshot.version > self.candidates.best.version {
            self.candidates.best = snapshot;
        }
        self.consider_unconfirmed(now, source)
    }

    /// Handles an answer without a version that this follower can use.
    fn handle_no_update(&mut self, now: Duration, source: &SourceProof) -> FollowStep {
        let best = &self.candidates.best;
        let starting = self.held.version == ConfigVersion::ZERO;
        if !starting || source.version == ConfigVersion::ZERO {
            return FollowStep::Ask;
        }
        if source.confirmed && best.version == source.version {
            let snapshot = best.clone();
            return self.offer(snapshot);
        }
        self.consider_unconfirmed(now, source)
    }

    /// Decides whether a starting follower accepts the highest unconfirmed
    /// version received so far.
    fn consider_unconfirmed(
        &mut self,
        now: Duration,
        source: &SourceProof,
    ) -> FollowStep {
        let domain = Arc::clone(&source.failure_domain);
        self.candidates.domains.insert(domain);
        let early = now.saturating_sub(self.started_at) < START_TIMEOUT;
        let few_domains = self.candidates.domains.len() < START_DOMAINS_MIN;
        // On the wrong side of an undetected partition all reachable sources
        // hold old versions, and callers would be routed by a configuration
        // that operators have replaced. So the answers of a single domain
        // are not sufficient, and no version is accepted that is lower than
        // what this node is known to have applied.
        if early || few_domains || self.candidates.best.version < self.candidates.floor {
            self.counts.unconfirmed += 1;
            return self.ask_after_unconfirmed(source);
        }
        let snapshot = self.candidates.best.clone();
        self.offer(snapshot)
    }

    /// Asks a source that is in touch with the leader again: it answers at once with
    /// directory records, and confirms its version with the leader's next answer.
    fn ask_after_unconfirmed(&mut self, source: &SourceProof) -> FollowStep {
        let previous = self.unconfirmed.take();
        let answers = match previous {
            Some((instance, answers)) if instance == source.instance => answers + 1,
            _ => 1,
        };
        if source.fresh_ms == 0 || answers >= UNCONFIRMED_MAX {
            return FollowStep::AskElsewhere;
        }
        self.unconfirmed = Some((Arc::clone(&source.instance), answers));
        FollowStep::Ask
    }

    fn offer(&mut self, snapshot: ConfigSnapshot) -> FollowStep {
        if self.refused == Some(snapshot.version) {
            return FollowStep::Ask;
        }
        self.offered = Some(snapshot.clone());
        FollowStep::Offer(snapshot)
    }
}
