//! Tracks which configuration version each node has applied, and so whether a
//! change has reached all live nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::node_presence::NodePresence;
use crate::version::ConfigVersion;

/// Maximum number of node names held: three times the fleet of 5,200 nodes,
/// about 4 MB. The bound protects the memory from a faulty sender that keeps
/// inventing names.
const NODES_MAX: usize = 16_384;

/// Maximum number of pending and of done versions kept: the length of the
/// change history.
const VERSIONS_MAX: usize = 1_000;

/// Status that a node sends with every request for updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node's instance.
    pub node: Arc<str>,
    /// Failure domain of the node.
    pub failure_domain: Arc<str>,
    /// Configuration version that the node routes by.
    pub applied: ConfigVersion,
    /// Configuration version that the node refused as invalid, if any.
    pub refused: Option<ConfigVersion>,
}

/// State of a change as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MoveState {
    /// Some live node has not applied it yet.
    InProgress,
    /// Every live node has applied it, or a later version.
    Done,
    /// Withdrawn; a later version reverts it.
    TakenBack,
}

impl MoveState {
    /// Text shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InProgress => "in progress",
            Self::Done => "done",
            Self::TakenBack => "taken back",
        }
    }
}

/// How many live nodes have applied a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveProgress {
    /// Current state of the change.
    pub state: MoveState,
    /// Live nodes that have applied it or a later version.
    pub nodes_applied: u32,
    /// Number of live nodes.
    pub nodes_live: u32,
    /// Live nodes that refused it.
    pub nodes_refused: u32,
}

/// Last report of each node, and the versions not yet applied everywhere.
///
/// With 5,200 nodes the leader receives some thousand reports per second while
/// a version spreads. Iterating over all nodes for each pending version on
/// every report would use up the leader's CPU time. The tracker therefore
/// maintains the number of nodes per version and reads only those counts: a
/// report costs a few tree operations, however many versions are pending.
#[derive(Clone, Debug, Default)]
pub struct MoveTracker {
    nodes: BTreeMap<Arc<str>, ReceivedReport>,
    by_age: BTreeSet<(Duration, Arc<str>)>,
    applied: VersionCounts,
    refused: VersionCounts,
    pending: BTreeMap<ConfigVersion, Duration>,
    done: BTreeMap<ConfigVersion, DoneMove>,
    overflow: u64,
    presence: NodePresence,
}

/// Progress of a version at the time it was done.
#[derive(Clone, Copy, Debug)]
struct DoneMove {
    after: Duration,
    progress: MoveProgress,
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: NodeReport,
    received_at: Duration,
}

/// Number of nodes at each version.
#[derive(Clone, Debug, Default)]
struct VersionCounts(BTreeMap<ConfigVersion, u32>);

impl VersionCounts {
    fn add(&mut self, version: ConfigVersion) {
        *self.0.entry(version).or_default() += 1;
    }

    fn remove(&mut self, version: ConfigVersion) {
        let Some(count) = self.0.get_mut(&version) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(&version);
        }
    }

    /// Nodes at exactly `version`.
    fn at(&self, version: ConfigVersion) -> u32 {
        self.0.get(&version).copied().unwrap_or(0)
    }

    /// Nodes below `version`.
    fn below(&self, version: ConfigVersion) -> u32 {
        self.0.range(..version).map(|(_, count)| count).sum()
    }

    fn lowest(&self) -> Option<ConfigVersion> {
        self.0.first_key_value().map(|(version, _)| *version)
    }
}

impl MoveTracker {
    /// Records a node's report, received at `received_at`. A late report does
    /// not lower the version that the node is known to have applied.
    pub fn record_report(&mut self, received_at: Duration, mut report: NodeReport) {
        if let Some(previous) = self.remove_node(&report.node) {
            report.applied = report.applied.max(previous.report.applied);
        } else if self.nodes.len() >= NODES_MAX {
            self.overflow += 1;
            return;
        }
        let node = Arc::clone(&report.node);
        self.by_age.insert((received_at, Arc::clone(&node)));
        self.applied.add(report.applied);
        if let Some(refused) = report.refused {
            self.refused.add(refused);
        }
        self.nodes.insert(
            node,
            ReceivedReport {
                report,
                received_at,
            },
        );
    }

    /// Sets how long a node counts as live after its last report.
    pub fn set_presence(&mut self, presence: NodePresence) {
        self.presence = presence;
    }

    /// Removes the nodes whose last report has expired at `now`.
    pub fn expire(&mut self, now: Duration) {
        while let Some((received_at, node)) = self.by_age.first() {
            if now.saturating_sub(*received_at) <= self.presence.live_for {
                return;
            }
            let node = Arc::clone(node);
            self.remove_node(&node);
        }
    }

    fn remove_node(&mut self, node: &Arc<str>) -> Option<ReceivedReport> {
        let previous = self.nodes.remove(node)?;
        self.by_age
            .remove(&(previous.received_at, Arc::clone(node)));
        self.applied.remove(previous.report.applied);
        if let Some(refused) = previous.report.refused {
            self.refused.remove(refused);
        }
        Some(previous)
    }

    /// Reports of the live nodes, with their age at `now`.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (Duration, &NodeReport)> {
        self.nodes.values().map(move |received| {
            (now.saturating_sub(received.received_at), &received.report)
        })
    }

    /// Number of reports dropped because the limit of node names was reached.
    pub fn overflow(&self) -> u64 {
        self.overflow
    }

    /// Starts tracking `version`, accepted at `now`, until all live nodes have
    /// applied it.
    pub fn await_version(&mut self, now: Duration, version: ConfigVersion) {
        self.pending.insert(version, now);
        if self.pending.len() > VERSIONS_MAX {
            self.pending.pop_first();
        }
    }

    /// Removes expired nodes and marks every pending version that all live
    /// nodes have applied as done.
    pub fn mark_done(&mut self, now: Duration) {
        self.expire(now);
        let Some(lowest) = self.applied.lowest() else {
            return;
        };
        while let Some((version, accepted_at)) = self.pending.first_key_value() {
            if *version > lowest {
                return;
            }
            let (version, accepted_at) = (*version, *accepted_at);
            let after = now.saturating_sub(accepted_at);
            let progress = self.progress(version);
            self.pending.remove(&version);
            self.done.insert(version, DoneMove { after, progress });
            if self.done.len() > VERSIONS_MAX {
                self.done.pop_first();
            }
        }
    }

    /// Time from acceptance until done; `None` if the version is not done.
    pub fn done_after(&self, version: ConfigVersion) -> Option<Duration> {
        self.done.get(&version).map(|done| done.after)
    }

    /// Progress of `version`. A done version keeps the progress it had when it
    /// was done.
    pub fn progress(&self, version: ConfigVersion) -> MoveProgress {
        if let Some(done) = self.done.get(&version) {
            return done.progress;
        }
        let nodes_live = self.nodes.len() as u32;
        let nodes_applied = nodes_live - self.applied.below(version);
        let everywhere = nodes_live > 0 && nodes_applied == nodes_live;
        MoveProgress {
            state: if everywhere {
                MoveState::Done
            } else {
                MoveState::InProgress
            },
            nodes_applied,
            nodes_live,
            nodes_refused: self.refused.at(version),
        }
    }
}
