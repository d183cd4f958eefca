//! Fleet state that the leader considers besides the counts: servers of both
//! versions, and nodes that do not report.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;
use crate::move_tracker::NodeReport;
use crate::rollout::evidence_totals::EvidenceTotals;
use crate::rollout::rollout_record::RolloutRecord;

/// A server counts with half its slots for this long after it was first seen:
/// while it is cold, its calls take longer and occupy their slots longer.
const COLD_TIME: Duration = Duration::from_secs(10);

/// A live node whose last report is older than this counts as silent. Nodes
/// report every second, so four consecutive reports are missing.
const REPORT_AGE_MAX: Duration = Duration::from_secs(4);

/// State of the fleet during one evaluation of a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Slots of the old version's serving servers.
    pub old_slots: u32,
    /// Slots of the new version's serving servers; cold servers count half.
    pub new_slots: u32,
    /// Live nodes.
    pub nodes: u32,
    /// Live nodes whose reports are missing.
    pub nodes_silent: u32,
    /// Live nodes that have not applied the move's last step.
    pub nodes_behind: u32,
}

/// Remembers when each server, identified by instance and incarnation, was
/// first seen.
#[derive(Debug, Default)]
pub struct FleetMonitor {
    first_seen: BTreeMap<Arc<str>, (u64, Duration)>,
}

impl FleetMonitor {
    /// Records the servers known at `now`.
    pub fn record_servers<'a>(
        &mut self,
        now: Duration,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) {
        for record in records {
            let instance = Arc::clone(&record.instance);
            let first_seen = self.first_seen.entry(instance);
            let first_seen = first_seen.or_insert((record.incarnation, now));
            if first_seen.0 != record.incarnation {
                *first_seen = (record.incarnation, now);
            }
        }
    }

    /// Returns the state of the fleet for one move at `now`.
    pub fn snapshot<'a>(
        &self,
        now: Duration,
        rollout: &RolloutRecord,
        records: impl Iterator<Item = &'a EndpointRecord>,
        nodes: &[NodeReport],
        totals: &EvidenceTotals,
    ) -> FleetSnapshot {
        let mut snapshot = FleetSnapshot::default();
        for record in records {
            let serving = record.standing == EndpointStanding::Serving;
            if !serving || record.service != rollout.service {
                continue;
            }
            if record.version == rollout.from {
                snapshot.old_slots += record.slots;
            } else if record.version == rollout.to {
                snapshot.new_slots += self.warm_slots(now, record);
            }
        }
        let last = rollout.last_version();
        for node in nodes {
            snapshot.nodes += 1;
            if node.applied < last {
                snapshot.nodes_behind += 1;
            }
            let received_at = totals.last_report_at(&node.node);
            let age = received_at.map(|received_at| now.saturating_sub(received_at));
            if age.is_none_or(|age| age > REPORT_AGE_MAX) {
                snapshot.nodes_silent += 1;
            }
        }
        snapshot
    }

    fn warm_slots(&self, now: Duration, record: &EndpointRecord) -> u32 {
        let first_seen = self.first_seen.get(&record.instance);
        let age = first_seen.map_or(Duration::ZERO, |(_, at)| now.saturating_sub(*at));
        if age < COLD_TIME {
            return record.slots / 2;
        }
        record.slots
    }
}
