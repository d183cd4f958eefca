//! Reports of a backend server's runs, in whatever order they arrive.

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

// A server crashes behind a partition and its next run registers. A report
// of the crashed run, held up until then, arrives last. Taken at its word,
// calls would go to a run that is gone, with its slots and its version.
#[test]
fn a_late_report_of_a_crashed_run_changes_nothing() {
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
    assert_eq!(runs.run().map(|run| &**run), Some("i-2"));
}

// A server says that it leaves, and an earlier report arrives after that.
// Calls sent to it then would be cut when it ends. Its next run, under the
// same name, takes work again.
#[test]
fn a_leaving_run_is_not_revived_but_its_next_start_is() {
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

// Some servers say goodbye without having said that they leave. A goodbye
// of an earlier start under the same name must not end the present one.
#[test]
fn a_goodbye_ends_its_own_run_alone() {
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

// A node that has just started finds its server before the server reports.
// The report says more, so it begins the run anew, and never the other way.
#[test]
fn a_found_run_gives_way_to_its_report() {
    let mut runs = ServerRuns::default();
    assert!(runs.discover(&"i-1".into()));
    assert_eq!(
        runs.apply(report("i-1", 100, 7, false)),
        ReportEffect::Begins
    );
    assert!(!runs.discover(&"i-0".into()));
    assert_eq!(runs.run().map(|run| &**run), Some("i-1"));
}

proptest! {
    // Whatever the order: once a run has left, no report of it takes work.
    #[test]
    fn no_order_of_reports_revives_a_run(
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
            let works = matches!(effect, ReportEffect::Begins | ReportEffect::Continues);
            prop_assert!(!(left && works));
        }
    }
}

// A node that has just started finds its server by its health page, which
// does not tell when it began. The server says goodbye before its first
// report, and one that was held up arrives after. Goodbye was acknowledged,
// and calls were sent to it for as long as it lived.
#[test]
fn a_run_that_was_found_leaves_with_its_goodbye() {
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

// A goodbye is the first that a node hears after its start. The server is
// not begun by its health page then, nor by a report that was held up.
#[test]
fn a_goodbye_before_anything_else_counts() {
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
