//! Metrics of the updates that a control instance serves to its followers.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use cowslip_core::update_source::SourceCounts;
use cowslip_wire::registered_metric;

/// Metrics of one update source, derived from the source's own counts.
#[derive(Clone)]
pub struct SourceMetrics {
    previous: SourceCounts,
    admitted: Counter,
    told_later: Counter,
    leases_ended: Counter,
    leases_frozen: Gauge,
}

impl SourceMetrics {
    /// Registers the metrics under `cowslip_source`, all at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix("cowslip_source");
        Self {
            previous: SourceCounts::default(),
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

    /// Updates the metrics from the current counts of the source.
    pub fn update(&mut self, counts: SourceCounts) {
        self.admitted
            .inc_by(counts.admitted - self.previous.admitted);
        self.told_later
            .inc_by(counts.told_later - self.previous.told_later);
        self.leases_ended
            .inc_by(counts.leases_ended - self.previous.leases_ended);
        self.leases_frozen.set(counts.leases_frozen as i64);
        self.previous = counts;
    }
}
