//! Metrics of the agreement: answers to changes, log position and leadership.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use cowslip_core::agreement::ChangeAnswer;
use cowslip_core::agreement::LogSize;
use cowslip_core::agreement::MemberAnswer;
use cowslip_core::agreement::MemberRefusal;
use cowslip_core::change::ChangeOutcome;
use cowslip_wire::registered_metric;

const ACCEPTED: &str = "accepted";
const CONFLICT: &str = "conflict";
const INVALID: &str = "invalid";
const NOT_LEADING: &str = "not-leading";
const UNKNOWN: &str = "unknown";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabel {
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Metrics of this instance's agreement member.
#[derive(Clone, Debug, Default)]
pub struct AgreementMetrics {
    changes: Family<AnswerLabel, Counter>,
    member_refusals: Family<ReasonLabel, Counter>,
    term: Gauge,
    commit: Gauge,
    leading: Gauge,
    log_entries: Gauge,
    log_bytes: Gauge,
    log_held_bytes: Gauge,
    barred: Gauge,
}

impl AgreementMetrics {
    /// Registers the metrics under `cowslip_agreement`. Every answer and
    /// reason is exported from the start, at zero.
    pub fn new(registry: &mut Registry) -> Self {
        let registry = registry.sub_registry_with_prefix("cowslip_agreement");
        let metrics = Self {
            term: registered_metric::gauge(registry, "term", "Highest term seen"),
            commit: registered_metric::gauge(registry, "commit", "Last committed index"),
            leading: registered_metric::gauge(registry, "leading", "1 where it leads"),
            log_entries: registered_metric::gauge(
                registry,
                "log_entries",
                "Log entries after the last snapshot, and those kept before it",
            ),
            log_bytes: registered_metric::gauge(
                registry,
                "log_bytes",
                "Encoded size of the log entries",
            ),
            log_held_bytes: registered_metric::gauge(
                registry,
                "log_held_bytes",
                "Encoded size of the log entries held in memory",
            ),
            barred: registered_metric::gauge(
                registry,
                "barred",
                "1 where the data folder was found rolled back",
            ),
            ..Self::default()
        };
        registry.register(
            "changes",
            "Answers to operators' changes",
            metrics.changes.clone(),
        );
        registry.register(
            "member_refused",
            "Changes of members refused, by reason",
            metrics.member_refusals.clone(),
        );
        for answer in [ACCEPTED, CONFLICT, INVALID, NOT_LEADING, UNKNOWN] {
            drop(metrics.changes.get_or_create(&AnswerLabel { answer }));
        }
        for refusal in MemberRefusal::ALL {
            let reason = refusal.as_str();
            drop(
                metrics
                    .member_refusals
                    .get_or_create(&ReasonLabel { reason }),
            );
        }
        metrics
    }

    /// Counts the answer to an operator's change.
    pub fn record_change(&self, answer: &ChangeAnswer<ChangeOutcome>) {
        let answer = match answer {
            ChangeAnswer::Decided(ChangeOutcome::Accepted { .. }) => ACCEPTED,
            ChangeAnswer::Decided(ChangeOutcome::Conflict { .. }) => CONFLICT,
            ChangeAnswer::Decided(ChangeOutcome::Invalid { .. }) => INVALID,
            ChangeAnswer::NotLeading => NOT_LEADING,
            ChangeAnswer::Unknown => UNKNOWN,
        };
        self.changes.get_or_create(&AnswerLabel { answer }).inc();
    }

    /// Counts the answer to a member change if it was refused.
    pub fn record_member_answer(&self, answer: &ChangeAnswer<MemberAnswer>) {
        let ChangeAnswer::Decided(MemberAnswer::Refused(refusal)) = answer else {
            return;
        };
        let reason = refusal.as_str();
        self.member_refusals
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Sets the term, the commit index and whether this instance leads.
    pub fn set_position(&self, term: u64, commit: u64, leading: bool) {
        self.term.set(term as i64);
        self.commit.set(commit as i64);
        self.leading.set(i64::from(leading));
    }

    /// Sets the number and size of the log entries.
    pub fn set_log_size(&self, size: LogSize) {
        self.log_entries.set(size.entries as i64);
        self.log_bytes.set(size.bytes as i64);
        self.log_held_bytes.set(size.held_bytes as i64);
    }

    /// Records that the data folder was found rolled back.
    pub fn set_barred(&self) {
        self.barred.set(1);
    }
}
