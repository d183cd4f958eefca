//! Aggregates the reports of a source's own followers for the leader.
//!
//! After each change every node reports its new version within a second, and
//! between changes every node reports every few seconds that it is alive. If
//! each report were forwarded, the leader of 5,200 nodes would receive
//! thousands of messages a second, and reports would pile up while the leader
//! is unreachable. So only the latest report of each node is kept. Once per
//! [`REPORT_INTERVAL`] the changed ones are sent, grouped by version, and once
//! per [`NodePresence::refresh`] those of all live followers, which also makes
//! up for messages that were lost or reordered.

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

/// Shortest time between two batches. Each of 17 instances sends at most 20
/// batches a second, so the leader receives at most 340 small messages a second
/// while a version is being distributed.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of followers kept, equal to the number of connections that
/// are served at once.
const FOLLOWERS_MAX: usize = 4_096;

/// Nodes of one failure domain that report the same versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportGroup {
    /// Their failure domain.
    pub failure_domain: Arc<str>,
    /// Version that they route by.
    pub applied: ConfigVersion,
    /// Version that they refused as invalid, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<ConfigVersion>,
    /// Names of the nodes.
    pub nodes: Vec<Arc<str>>,
}

/// Reports sent to the leader in one message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// Reports of nodes, grouped.
    pub groups: Vec<ReportGroup>,
    /// Records of endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<EndpointRecord>,
}

impl ReportBatch {
    /// True if there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.endpoints.is_empty()
    }

    /// The individual reports of all nodes.
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
struct ReportedFollower {
    report: NodeReport,
    reported_at: Duration,
}

/// Followers of one source, and the changes not reported to the leader yet.
#[derive(Clone, Debug, Default)]
pub struct ReportAggregator {
    followers: BTreeMap<Arc<str>, ReportedFollower>,
    changed: BTreeSet<Arc<str>>,
    records: BTreeMap<Arc<str>, EndpointRecord>,
    refresh_at: Duration,
    presence: NodePresence,
}

impl ReportAggregator {
    /// Sets how long, and how often, followers are reported.
    pub fn set_presence(&mut self, presence: NodePresence) {
        self.presence = presence;
    }

    /// Records a follower's report at `now`. A new follower is ignored if
    /// `FOLLOWERS_MAX` are kept.
    pub fn record_report(&mut self, now: Duration, report: &NodeReport) {
        let held = self.followers.get(&report.node);
        if held.is_none() && self.followers.len() >= FOLLOWERS_MAX {
            return;
        }
        if held.is_none_or(|held| held.report != *report) {
            self.changed.insert(Arc::clone(&report.node));
        }
        let reported = ReportedFollower {
            report: report.clone(),
            reported_at: now,
        };
        self.followers.insert(Arc::clone(&report.node), reported);
    }

    /// Queues an endpoint record for the leader; only the newest record of an
    /// endpoint is kept.
    pub fn record_endpoint(&mut self, record: EndpointRecord) {
        let held = self.records.get(&record.instance);
        if held.is_some_and(|held| held.order() >= record.order()) {
            return;
        }
        self.records.insert(Arc::clone(&record.instance), record);
    }

    /// Takes the next batch; empty if there is nothing to report.
    pub fn take(&mut self, now: Duration) -> ReportBatch {
        let refresh = now >= self.refresh_at;
        if refresh {
            self.refresh_at = now + self.presence.refresh();
            let reported_for = self.presence.reported_for();
            self.followers
                .retain(|_, held| now.saturating_sub(held.reported_at) <= reported_for);
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

    /// Queues the reports of all followers and the records of their endpoints
    /// again, after a change of leader.
    pub fn resend(&mut self, directory: &EndpointDirectory) {
        self.refresh_at = Duration::ZERO;
        let mut records = Vec::new();
        for node in self.followers.keys() {
            records.extend(directory.get(node).cloned());
        }
        for record in records {
            self.record_endpoint(record);
        }
    }

    /// Queues a batch that did not arrive: its records are sent again, and its
    /// nodes are reported by a refresh that is due at once.
    pub fn requeue_reports(&mut self, batch: ReportBatch) {
        self.refresh_at = Duration::ZERO;
        for record in batch.endpoints {
            self.record_endpoint(record);
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
