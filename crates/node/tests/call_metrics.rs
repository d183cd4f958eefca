//! Refusal and retry reasons: their counters, texts and documentation.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use cowslip_core::refusal::RefusalReason;
use cowslip_core::refusal::RetryReason;
use cowslip_node::call_metrics::CallMetrics;

fn text(registry: &Registry) -> String {
    let mut text = String::new();
    encode(&mut text, registry).expect("metrics can be encoded");
    text
}

// Guards against a reason without a counter, whose refusals or retries operators
// would never see. Each counter starts at zero and reads 1 after one count.
#[test]
fn every_reason_is_counted() {
    let mut registry = Registry::default();
    let metrics = CallMetrics::new(&mut registry, "entry");
    for reason in RefusalReason::ALL {
        let line = format!("cowslip_entry_refused_total{{reason=\"{reason}\"}}");
        assert!(text(&registry).contains(&format!("{line} 0")), "{line}");
        metrics.refused(*reason);
        assert!(text(&registry).contains(&format!("{line} 1")), "{line}");
    }
    for reason in RetryReason::ALL {
        let line = format!("cowslip_entry_retried_total{{reason=\"{reason}\"}}");
        assert!(text(&registry).contains(&format!("{line} 0")), "{line}");
        metrics.retried(*reason);
        assert!(text(&registry).contains(&format!("{line} 1")), "{line}");
    }
}

// Guards against a reason that other nodes cannot parse from its header.
#[test]
fn reasons_parse_from_their_own_text() {
    for reason in RefusalReason::ALL {
        assert_eq!(RefusalReason::parse(reason.as_str()), Some(*reason));
        assert!(reason.status() >= 400);
    }
    for reason in RetryReason::ALL {
        assert_eq!(RetryReason::parse(reason.as_str()), Some(*reason));
    }
}

// Guards against a reason that callers or operators see but that the operators'
// documentation does not explain.
#[test]
fn every_reason_is_documented_for_operators() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = root.join("docs/operators/refusals.md");
    let page = std::fs::read_to_string(page).expect("the page can be read");
    for reason in RefusalReason::ALL {
        assert!(page.contains(&format!("`{reason}`")), "refusal {reason}");
    }
    for reason in RetryReason::ALL {
        assert!(page.contains(&format!("`{reason}`")), "retry {reason}");
    }
}
