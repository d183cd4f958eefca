//! Counters of what a node passed over while it followed.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use cowslip_core::version_follower::FollowCounts;
use cowslip_wire::registered_metric;

/// Counters of one follower, fed from its own counts.
#[derive(Clone)]
pub struct FollowMetrics {
    seen: FollowCounts,
    stale: Counter,
    damaged: Counter,
    refused: Counter,
    unconfirmed: Counter,
    failed: Counter,
    told_later: Counter,
}

impl FollowMetrics {
    /// Counters registered under `cowslip_follow`, all of them at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix("cowslip_follow");
        Self {
            seen: FollowCounts::default(),
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

    /// Takes over the counts of the follower.
    pub fn update(&mut self, counts: FollowCounts) {
        self.stale.inc_by(counts.stale - self.seen.stale);
        self.damaged.inc_by(counts.damaged - self.seen.damaged);
        self.refused.inc_by(counts.refused - self.seen.refused);
        self.unconfirmed
            .inc_by(counts.unconfirmed - self.seen.unconfirmed);
        self.seen = counts;
    }

    /// A question got no answer.
    pub fn fail(&self) {
        self.failed.inc();
    }

    /// A control instance said when to come back.
    pub fn wait(&self) {
        self.told_later.inc();
    }
}
