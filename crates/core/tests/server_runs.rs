//! Reports of a backend server's runs that arrive in any order.

use std::sync::Arc;

use proptest::prelude::*;

use cowslip_core::server_runs::ReportEffect;
use cowslip_core::server_runs::RunReport;
use cowslip_core::server_runs::ServerRuns;

fn report(run: &str, started_ms: u64, sequence: u64, leaving: bool) -> RunReport {
    RunReport {
        run: run.into(),
        started_ms,
        sequence,
        leaving,
    }
}

fn latest_name(runs: &ServerRuns) -> Option<Arc<str>> {
    runs.server_run().map(|run| run.name)
}

// A server crashes behind a network partition and its next run registers.
// Then a delayed report of the crashed run arrives. Guards against calls to a
// run that no longer exists, based on its slots and version.
#[test]
fn a_late_report_of_a_crashed_run_is_ignored() {
    let mut runs = ServerRuns::default();
    assert_eq!(
        runs.apply(report("i-1", 100, 1, false)),
        ReportEffect::Begins
    );
    assert_eq!(
        runs.apply(report("i-2", 200, 1, false)),
        ReportEffect::Begins
    );
    assert_eq!(
        runs.apply(report("i-1", 100, 9, false)),
        ReportEffect::Stale
    );
    assert_eq!(latest_name(&runs).as_deref(), Some("i-2"));
}

// A server reports that it is leaving, and an earlier report arrives after
// that. Guards against new calls to the server, which would be cut off when it
// ends. Its next run takes work again, even under the same name.
#[test]
fn a_leaving_run_takes_no_work_but_the_next_run_does() {
    let mut runs = ServerRuns::default();
    runs.apply(report("i-1", 100, 1, false));
    assert_eq!(
        runs.apply(report("i-1", 100, 3, true)),
        ReportEffect::Leaves
    );
    assert_eq!(
        runs.apply(report("i-1", 100, 2, false)),
        ReportEffect::Stale
    );
    assert_eq!(
        runs.apply(report("i-1", 100, 4, false)),
        ReportEffect::Leaves
    );
    assert_eq!(
        runs.apply(report("i-1", 300, 1, false)),
        ReportEffect::Begins
    );
}

// Some servers deregister without having reported that they are leaving. The
// deregistration of an earlier run must not end the present run of the same
// name.
#[test]
fn a_deregistration_ends_only_its_own_run() {
    let mut runs = ServerRuns::default();
    runs.apply(report("i-1", 300, 1, false));
    assert!(!runs.deregister("i-2", None));
    assert!(!runs.deregister("i-1", Some(100)));
    assert!(runs.deregister("i-1", Some(300)));
    assert_eq!(
        runs.apply(report("i-1", 300, 2, false)),
        ReportEffect::Leaves
    );
}

// A node that has just started discovers its server before the server reports.
// The report contains more, so it begins the run anew. A discovery never
// replaces a run that has reported.
#[test]
fn a_report_replaces_a_discovered_run() {
    let mut runs = ServerRuns::default();
    assert!(runs.discover(&"i-1".into()));
    assert_eq!(
        runs.apply(report("i-1", 100, 7, false)),
        ReportEffect::Begins
    );
    assert!(!runs.discover(&"i-0".into()));
    assert_eq!(latest_name(&runs).as_deref(), Some("i-1"));
}

proptest! {
    // In any order of reports, a run that has reported that it is leaving never
    // takes work again.
    #[test]
    fn no_order_of_reports_makes_a_leaving_run_take_work(
        mut sequences in prop::collection::vec(1..50_u64, 1..20),
        leaves_at in 0..20_usize,
    ) {
        let mut runs = ServerRuns::default();
        let leaves_at = leaves_at.min(sequences.len() - 1);
        sequences.dedup();
        let mut left = false;
        for (at, sequence) in sequences.iter().enumerate() {
            let leaving = at == leaves_at;
            left |= leaving;
            let effect = runs.apply(report("i-1", 1, *sequence, leaving));
            let takes_work =
                matches!(effect, ReportEffect::Begins | ReportEffect::Continues);
            prop_assert!(!(left && takes_work));
        }
    }
}

// A node that has just started discovers its server by the health page, which
// does not contain the start time. The server deregisters before its first
// report, and a delayed report arrives afterwards. Guards against calls to the
// server, until it ends, although its deregistration was acknowledged.
#[test]
fn a_discovered_run_leaves_when_it_is_deregistered() {
    for started_ms in [None, Some(100)] {
        let mut runs = ServerRuns::default();
        assert!(runs.discover(&"i-1".into()));
        assert!(runs.deregister("i-1", started_ms), "{started_ms:?}");
        let late = runs.apply(report("i-1", 100, 1, false));
        assert_eq!(late, ReportEffect::Leaves, "{started_ms:?}");
        let next = runs.apply(report("i-1", 300, 1, false));
        assert_eq!(next, ReportEffect::Begins, "{started_ms:?}");
    }
}

// A node receives a deregistration as its first message after its start. Then
// neither the health page nor a delayed report may begin the run.
#[test]
fn a_deregistration_before_any_report_counts() {
    let mut runs = ServerRuns::default();
    runs.deregister("i-1", Some(100));
    assert!(!runs.discover(&"i-1".into()));
    assert_eq!(
        runs.apply(report("i-1", 100, 1, false)),
        ReportEffect::Leaves
    );
    assert_eq!(
        runs.apply(report("i-2", 200, 1, false)),
        ReportEffect::Begins
    );
}
