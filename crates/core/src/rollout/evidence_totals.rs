//! The leader's totals over the reports of all nodes. Each try counts once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::rollout::evidence::EvidenceReport;
use crate::rollout::evidence::RolloutEvidence;
use crate::rollout::evidence::RolloutTally;
use crate::rollout::rollout_judge::BadnessCause;
use crate::version::ConfigVersion;

/// Age of a report above which its unfinished tries are ignored.
const PENDING_AGE_MAX: Duration = Duration::from_millis(1_500);

/// A node that stopped the new version on its own evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStop {
    /// Name of the node's instance.
    pub node: Arc<str>,
    /// Evidence on which it stopped the version.
    pub cause: BadnessCause,
}

/// Counts of all nodes, summed by move.
#[derive(Debug, Default)]
pub struct EvidenceTotals {
    nodes: BTreeMap<Arc<str>, ReportingNode>,
    totals: BTreeMap<ConfigVersion, RolloutTally>,
    stops: BTreeMap<ConfigVersion, NodeStop>,
}

#[derive(Debug)]
struct ReportingNode {
    report: EvidenceReport,
    received_at: Duration,
}

impl EvidenceTotals {
    /// Adds a report received at `now`. Returns false for a stale or duplicate
    /// report, which is ignored.
    pub fn record_report(&mut self, now: Duration, report: EvidenceReport) -> bool {
        let order = (report.incarnation, report.sequence);
        let mut before = None;
        if let Some(previous) = self.nodes.get(&report.node) {
            // Late, duplicate and reordered reports would count calls twice or
            // lower the counts. The node's own incarnation and sequence numbers
            // order its reports, and the newest report contains all earlier
            // counts.
            if (previous.report.incarnation, previous.report.sequence) >= order {
                return false;
            }
            if previous.report.incarnation == report.incarnation {
                before = Some(&previous.report);
            }
        }
        for evidence in &report.rollouts {
            let previous =
                before.and_then(|report| find_rollout(report, evidence.rollout));
            let total = self.totals.entry(evidence.rollout).or_default();
            add_increase(total, previous, evidence);
            if let Some(cause) = &evidence.stop {
                let stop = NodeStop {
                    node: Arc::clone(&report.node),
                    cause: cause.clone(),
                };
                self.stops.entry(evidence.rollout).or_insert(stop);
            }
        }
        let node = Arc::clone(&report.node);
        let received_at = now;
        self.nodes.insert(
            node,
            ReportingNode {
                report,
                received_at,
            },
        );
        true
    }

    /// Updates the tries that have not ended yet, from the nodes that have reported
    /// lately. Those of other nodes may have ended long ago.
    pub fn refresh_pending(&mut self, now: Duration) {
        for total in self.totals.values_mut() {
            total.clear_pending();
        }
        for node in self.nodes.values() {
            if now.saturating_sub(node.received_at) > PENDING_AGE_MAX {
                continue;
            }
            for evidence in &node.report.rollouts {
                let Some(total) = self.totals.get_mut(&evidence.rollout) else {
                    continue;
                };
                for route in &evidence.routes {
                    total.add_pending(route);
                }
            }
        }
    }

    /// Total counts of a move; `None` before the first report about it.
    pub fn total(&self, rollout: ConfigVersion) -> Option<&RolloutTally> {
        self.totals.get(&rollout)
    }

    /// The first node reported to have stopped this move's new version on its
    /// own evidence.
    pub fn stop(&self, rollout: ConfigVersion) -> Option<&NodeStop> {
        self.stops.get(&rollout)
    }

    /// Time at which the last report of `node` was received; `None` if there is
    /// none.
    pub fn last_report_at(&self, node: &str) -> Option<Duration> {
        self.nodes.get(node).map(|entry| entry.received_at)
    }

    /// Removes moves that are no longer `running`, and nodes without a report
    /// since `before` that report no running move.
    pub fn retain(&mut self, before: Duration, running: impl Fn(ConfigVersion) -> bool) {
        self.totals.retain(|rollout, _| running(*rollout));
        self.stops.retain(|rollout, _| running(*rollout));
        self.nodes.retain(|_, entry| {
            let rollouts = &mut entry.report.rollouts;
            rollouts.retain(|evidence| running(evidence.rollout));
            entry.received_at >= before || !rollouts.is_empty()
        });
    }
}

fn find_rollout(
    report: &EvidenceReport,
    rollout: ConfigVersion,
) -> Option<&RolloutEvidence> {
    let mut previous = report.rollouts.iter();
    previous.find(|evidence| evidence.rollout == rollout)
}

fn add_increase(
    total: &mut RolloutTally,
    before: Option<&RolloutEvidence>,
    now: &RolloutEvidence,
) {
    for route in &now.routes {
        let mut previous = before.into_iter().flat_map(|evidence| &evidence.routes);
        total.add_increase(
            previous.find(|previous| previous.route == route.route),
            route,
        );
    }
}
