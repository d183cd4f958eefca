//! The leader's sum of what nodes report, each count once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::rollout::evidence::EvidenceReport;
use crate::rollout::evidence::RolloutEvidence;
use crate::rollout::evidence::RolloutTally;
use crate::rollout::rollout_judge::BadnessCause;
use crate::version::ConfigVersion;

/// A node that stopped the new version by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStop {
    /// The node.
    pub node: Arc<str>,
    /// What it saw.
    pub cause: BadnessCause,
}

/// Sums of all nodes' counts, by move.
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
    /// Takes a report, entry at `now`. True where it was news.
    pub fn record_report(&mut self, now: Duration, report: EvidenceReport) -> bool {
        let order = (report.incarnation, report.sequence);
        let mut before = None;
        if let Some(held) = self.nodes.get(&report.node) {
            // Guards against late, repeated and crossed reports, which would
            // count calls twice or take counts back: a node's own numbers
            // order its reports, and the newest holds all that was before.
            if (held.report.incarnation, held.report.sequence) >= order {
                return false;
            }
            if held.report.incarnation == report.incarnation {
                before = Some(&held.report);
            }
        }
        for evidence in &report.rollouts {
            let held = before.and_then(|report| find_rollout(report, evidence.rollout));
            let total = self.totals.entry(evidence.rollout).or_default();
            add_increase(total, held, evidence);
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

    /// The sum for a move; `None` before the first report of it.
    pub fn total(&self, rollout: ConfigVersion) -> Option<&RolloutTally> {
        self.totals.get(&rollout)
    }

    /// The first node entry of that stopped this move's version by itself.
    pub fn stop(&self, rollout: ConfigVersion) -> Option<&NodeStop> {
        self.stops.get(&rollout)
    }

    /// When `node` was last entry of, if ever.
    pub fn last_report_at(&self, node: &str) -> Option<Duration> {
        self.nodes.get(node).map(|entry| entry.received_at)
    }

    /// Forgets moves that are over and nodes not entry of since `before`.
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
    let mut held = report.rollouts.iter();
    held.find(|evidence| evidence.rollout == rollout)
}

fn add_increase(
    total: &mut RolloutTally,
    before: Option<&RolloutEvidence>,
    now: &RolloutEvidence,
) {
    for route in &now.routes {
        let mut held = before.into_iter().flat_map(|evidence| &evidence.routes);
        total.add_increase(held.find(|held| held.route == route.route), route);
    }
}
