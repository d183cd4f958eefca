//! Call counters of a node, with one for each refusal and retry reason.

use std::collections::HashMap;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use cowslip_core::refusal::RefusalReason;
use cowslip_core::refusal::RetryReason;
use cowslip_wire::registered_metric;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

/// Counters of the calls on one side of a node.
#[derive(Clone, Default)]
pub struct CallMetrics {
    answered: Counter,
    refused: HashMap<RefusalReason, Counter>,
    retried: HashMap<RetryReason, Counter>,
}

impl CallMetrics {
    /// Registers the counters of a side, `entry` or `server`. All reasons are
    /// exported from the start, with value zero.
    pub fn new(registry: &mut Registry, side: &str) -> Self {
        let refusals = Family::<ReasonLabel, Counter>::default();
        let retries = Family::<ReasonLabel, Counter>::default();
        let registry = registry.sub_registry_with_prefix(format!("cowslip_{side}"));
        let answered = registered_metric::counter(
            registry,
            "answered",
            "Calls that a backend server answered",
        );
        registry.register("refused", "Calls not served, by reason", refusals.clone());
        registry.register("retried", "Further tries, by reason", retries.clone());
        let mut refused = HashMap::new();
        for reason in RefusalReason::ALL {
            let label = ReasonLabel {
                reason: reason.to_string(),
            };
            refused.insert(*reason, refusals.get_or_create(&label).clone());
        }
        let mut retried = HashMap::new();
        for reason in RetryReason::ALL {
            let label = ReasonLabel {
                reason: reason.to_string(),
            };
            retried.insert(*reason, retries.get_or_create(&label).clone());
        }
        Self {
            answered,
            refused,
            retried,
        }
    }

    /// Counts a call that a backend server answered.
    pub fn answered(&self) {
        self.answered.inc();
    }

    /// Counts a refused call.
    pub fn refused(&self, reason: RefusalReason) {
        if let Some(counter) = self.refused.get(&reason) {
            counter.inc();
        }
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        if let Some(counter) = self.retried.get(&reason) {
            counter.inc();
        }
    }
}
