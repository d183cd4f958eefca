//! Counters of the backend server's runs and statements.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use cowslip_wire::registered_metric;

const SECONDS_PER_MINUTE: f64 = 60.0;

/// Counters of the backend server's runs, by how they ended, and of what it states.
#[derive(Clone, Default)]
pub struct GateMetrics {
    runs: Counter,
    crashes: Counter,
    cold_crashes: Counter,
    stated_limits: Counter,
    stated_per_minute: Gauge,
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
            stated_limits: registered_metric::counter(
                registry,
                "stated_limits",
                "Limits on calls a second that the backend server began to state",
            ),
            stated_per_minute: registered_metric::gauge(
                registry,
                "stated_per_minute",
                "Calls a minute that the backend server states, zero if it states none",
            ),
        }
    }

    /// Counts a run that begins.
    pub(crate) fn run_began(&self) {
        self.runs.inc();
    }

    /// Records the limit that the server states, in calls a second; `None` if it
    /// states none.
    pub(crate) fn set_stated_rate(&self, rate: Option<f64>) {
        let per_minute = rate.map_or(0, |rate| (rate * SECONDS_PER_MINUTE).ceil() as i64);
        if per_minute > 0 && self.stated_per_minute.get() == 0 {
            self.stated_limits.inc();
        }
        self.stated_per_minute.set(per_minute);
    }

    /// Counts a run that ended without notice; `cold` if the server was cold.
    pub(crate) fn crashed(&self, cold: bool) {
        self.crashes.inc();
        if cold {
            self.cold_crashes.inc();
        }
    }
}
