//! Counters of what a control instance does for its followers.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use cowslip_core::update_source::SourceCounts;
use cowslip_wire::registered_metric;

/// Counters of one source, fed from its own counts.
#[derive(Clone)]
pub struct SourceMetrics {
    seen: SourceCounts,
    admitted: Counter,
    told_later: Counter,
    leases_ended: Counter,
    leases_frozen: Gauge,
}

impl SourceMetrics {
    /// Counters registered under `cowslip_source`, all of them at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix("cowslip_source");
        Self {
            seen: SourceCounts::default(),
            admitted: registered_metric::counter(
                registry,
                "admitted",
                "First questions of followers that were taken",
            ),
            told_later: registered_metric::counter(
                registry,
                "told_later",
                "First questions of followers told when to come back",
            ),
            leases_ended: registered_metric::counter(
                registry,
                "leases_ended",
                "Endpoints removed because nobody renewed their lease",
            ),
            leases_frozen: registered_metric::gauge(
                registry,
                "leases_frozen",
                "Ended leases that are held because too many ended at once",
            ),
        }
    }

    /// Takes over the counts of the source.
    pub fn update(&mut self, counts: SourceCounts) {
        self.admitted.inc_by(counts.admitted - self.seen.admitted);
        self.told_later
            .inc_by(counts.told_later - self.seen.told_later);
        self.leases_ended
            .inc_by(counts.leases_ended - self.seen.leases_ended);
        self.leases_frozen.set(counts.leases_frozen as i64);
        self.seen = counts;
    }
}
