//! Counters of the updates that a node skipped and the polls that failed.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use cowslip_core::version_follower::FollowCounts;
use cowslip_wire::registered_metric;

/// Counters of a follower, derived from the follower's own counts.
#[derive(Clone)]
pub struct FollowMetrics {
    previous: FollowCounts,
    stale: Counter,
    damaged: Counter,
    refused: Counter,
    unconfirmed: Counter,
    failed: Counter,
    told_later: Counter,
}

impl FollowMetrics {
    /// Registers the counters under `cowslip_follow`, all at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix("cowslip_follow");
        Self {
            previous: FollowCounts::default(),
            stale: registered_metric::counter(
                registry,
                "stale",
                "Versions passed over because they were not above the one held",
            ),
            damaged: registered_metric::counter(
                registry,
                "damaged",
                "Deltas or chunks that did not fit or were damaged",
            ),
            refused: registered_metric::counter(
                registry,
                "refused",
                "Versions refused by validation",
            ),
            unconfirmed: registered_metric::counter(
                registry,
                "unconfirmed",
                "Versions not taken at the start because nothing confirmed them",
            ),
            failed: registered_metric::counter(
                registry,
                "failed",
                "Questions to control instances that got no answer",
            ),
            told_later: registered_metric::counter(
                registry,
                "told_later",
                "Questions that were told when to come back",
            ),
        }
    }

    /// Adds what the follower counted since the last update.
    pub fn update(&mut self, counts: FollowCounts) {
        self.stale.inc_by(counts.stale - self.previous.stale);
        self.damaged.inc_by(counts.damaged - self.previous.damaged);
        self.refused.inc_by(counts.refused - self.previous.refused);
        self.unconfirmed
            .inc_by(counts.unconfirmed - self.previous.unconfirmed);
        self.previous = counts;
    }

    /// Counts a poll that got no answer.
    pub fn count_failure(&self) {
        self.failed.inc();
    }

    /// Counts a poll whose answer asked for a later retry.
    pub fn count_later(&self) {
        self.told_later.inc();
    }
}
