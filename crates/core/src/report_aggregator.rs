//! Gathers what a source's own followers report, for the leader.
//!
//! Load pattern: after each change every node reports its new version
//! within a second, and between changes every node tells every few seconds
//! that it lives. Passed on one by one, the leader of 5,200 nodes would take
//! thousands of messages a second, and an unreachable leader would let them
//! pile up. Here a node is held once, however often it reports; what goes
//! up is grouped by version, once per [`REPORT_INTERVAL`] and only what changed,
//! and every [`NodePresence::refresh`] the names of all live followers, which also
//! mends whatever was lost or crossed on the way.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::directory::EndpointDirectory;
use crate::directory::EndpointRecord;
use crate::move_tracker::NodeReport;
use crate::node_presence::NodePresence;
use crate::version::ConfigVersion;

/// Least time between two batches; 20 batches a second from each of 17
/// instances are 340 small messages at the leader while a version spreads.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Followers held; as many as connections are served at once.
const FOLLOWERS_MAX: usize = 4_096;

/// Nodes that stand alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportGroup {
    /// Their failure domain.
    pub failure_domain: Arc<str>,
    /// Version they route by.
    pub applied: ConfigVersion,
    /// Version they refused as invalid, if they did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<ConfigVersion>,
    /// Their names.
    pub nodes: Vec<Arc<str>>,
}

/// What goes up at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// Nodes, grouped.
    pub groups: Vec<ReportGroup>,
    /// Records of endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointRecord>,
}

impl ReportBatch {
    /// True where there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.endpoints.is_empty()
    }

    /// The reports of all nodes, one by one.
    pub fn reports(&self) -> impl Iterator<Item = NodeReport> + '_ {
        self.groups.iter().flat_map(|group| {
            group.nodes.iter().map(|node| NodeReport {
                node: Arc::clone(node),
                failure_domain: Arc::clone(&group.failure_domain),
                applied: group.applied,
                refused: group.refused,
            })
        })
    }
}

#[derive(Clone, Debug)]
struct HeardFollower {
    report: NodeReport,
    heard_at: Duration,
}

/// Followers of one source, and what the leader has not been told yet.
#[derive(Clone, Debug, Default)]
pub struct ReportAggregator {
    followers: BTreeMap<Arc<str>, HeardFollower>,
    changed: BTreeSet<Arc<str>>,
    records: BTreeMap<Arc<str>, EndpointRecord>,
    refresh_at: Duration,
    presence: NodePresence,
}

impl ReportAggregator {
    /// Sets how long followers are named.
    pub fn keep(&mut self, presence: NodePresence) {
        self.presence = presence;
    }

    /// A follower reported itself at `now`.
    pub fn hear(&mut self, now: Duration, report: &NodeReport) {
        let held = self.followers.get(&report.node);
        if held.is_none() && self.followers.len() >= FOLLOWERS_MAX {
            return;
        }
        if held.is_none_or(|held| held.report != *report) {
            self.changed.insert(Arc::clone(&report.node));
        }
        let heard = HeardFollower {
            report: report.clone(),
            heard_at: now,
        };
        self.followers.insert(Arc::clone(&report.node), heard);
    }

    /// A record of an endpoint is to go up; of one endpoint only the newest.
    pub fn record(&mut self, record: EndpointRecord) {
        let held = self.records.get(&record.instance);
        if held.is_some_and(|held| held.order() >= record.order()) {
            return;
        }
        self.records.insert(Arc::clone(&record.instance), record);
    }

    /// The next batch; empty where nothing is to be told.
    pub fn take(&mut self, now: Duration) -> ReportBatch {
        let refresh = now >= self.refresh_at;
        if refresh {
            self.refresh_at = now + self.presence.refresh();
            let named_for = self.presence.named_for();
            self.followers
                .retain(|_, held| now.saturating_sub(held.heard_at) <= named_for);
        }
        let mut groups: BTreeMap<GroupKey, Vec<Arc<str>>> = BTreeMap::new();
        let changed = std::mem::take(&mut self.changed);
        for (node, held) in &self.followers {
            if !refresh && !changed.contains(node) {
                continue;
            }
            let names = groups.entry(GroupKey::of(&held.report)).or_default();
            names.push(Arc::clone(node));
        }
        ReportBatch {
            groups: groups.into_iter().map(GroupKey::group).collect(),
            endpoints: std::mem::take(&mut self.records).into_values().collect(),
        }
    }

    /// The leader has changed: all followers go up again, and the records
    /// of their endpoints.
    pub fn resend(&mut self, directory: &EndpointDirectory) {
        self.refresh_at = Duration::ZERO;
        let mut records = Vec::new();
        for node in self.followers.keys() {
            records.extend(directory.get(node).cloned());
        }
        for record in records {
            self.record(record);
        }
    }

    /// A batch did not arrive: its records go up again, and its nodes with
    /// the refresh that is now due.
    pub fn put_back(&mut self, batch: ReportBatch) {
        self.refresh_at = Duration::ZERO;
        for record in batch.endpoints {
            self.record(record);
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    failure_domain: Arc<str>,
    applied: ConfigVersion,
    refused: Option<ConfigVersion>,
}

impl GroupKey {
    fn of(report: &NodeReport) -> Self {
        Self {
            failure_domain: Arc::clone(&report.failure_domain),
            applied: report.applied,
            refused: report.refused,
        }
    }

    fn group((key, nodes): (Self, Vec<Arc<str>>)) -> ReportGroup {
        ReportGroup {
            failure_domain: key.failure_domain,
            applied: key.applied,
            refused: key.refused,
            nodes,
        }
    }
}
