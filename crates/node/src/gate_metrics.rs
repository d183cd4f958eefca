//! Counters of the backend server's runs.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

use cowslip_wire::registered_metric;

/// Counters of the backend server's runs, by how they ended.
#[derive(Clone, Default)]
pub struct GateMetrics {
    runs: Counter,
    crashes: Counter,
    cold_crashes: Counter,
}

impl GateMetrics {
    /// Registers the counters under `cowslip_backend`, all at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix("cowslip_backend");
        Self {
            runs: registered_metric::counter(
                registry,
                "runs",
                "Runs of the backend server that began",
            ),
            crashes: registered_metric::counter(
                registry,
                "crashes",
                "Runs of the backend server that ended without notice",
            ),
            cold_crashes: registered_metric::counter(
                registry,
                "cold_crashes",
                "Runs that ended without notice while the backend server was cold",
            ),
        }
    }

    /// Counts a run that begins.
    pub(crate) fn run_began(&self) {
        self.runs.inc();
    }

    /// Counts a run that ended without notice; `cold` if the server was cold.
    pub(crate) fn crashed(&self, cold: bool) {
        self.crashes.inc();
        if cold {
            self.cold_crashes.inc();
        }
    }
}
