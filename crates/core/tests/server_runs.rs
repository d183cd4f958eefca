//! Reports of a backend server's runs that arrive in any order.

use std::sync::Arc;

use proptest::prelude::*;

use cowslip_core::server_run::ServerRun;
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

/// Time by the wall clock at which a health check finds the server.
const FOUND_MS: u64 = 200;

fn run(name: &str, started_ms: Option<u64>) -> ServerRun {
    ServerRun {
        name: name.into(),
        started_ms,
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
        ReportEffect::Replaces
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
    assert!(!runs.deregister(&run("i-2", None), FOUND_MS));
    assert!(!runs.deregister(&run("i-1", Some(100)), FOUND_MS));
    assert!(runs.deregister(&run("i-1", Some(300)), FOUND_MS));
    assert_eq!(
        runs.apply(report("i-1", 300, 2, false)),
        ReportEffect::Leaves
    );
}

// Guards against a crash that never was: the run that a health check found sends its
// first report.
#[test]
fn the_first_report_of_a_found_run_confirms_it() {
    let mut runs = ServerRuns::default();
    assert!(runs.discover(&"i-1".into(), FOUND_MS));
    assert_eq!(
        runs.apply(report("i-1", 100, 7, false)),
        ReportEffect::Confirms
    );
    assert_eq!(
        runs.apply(report("i-1", 100, 8, false)),
        ReportEffect::Continues
    );
    assert!(!runs.discover(&"i-0".into(), FOUND_MS));
    let run = runs.server_run().expect("a run");
    assert_eq!((&*run.name, run.started_ms), ("i-1", Some(100)));
}

// Guards against a crash that is missed: the run that a health check found ends, and the
// next one reports, under the same or another name.
#[test]
fn a_run_that_started_after_the_found_one_replaces_it() {
    for next in ["i-1", "i-2"] {
        let mut runs = ServerRuns::default();
        assert!(runs.discover(&"i-1".into(), FOUND_MS));
        let effect = runs.apply(report(next, FOUND_MS + 1, 1, false));
        assert_eq!(effect, ReportEffect::Replaces, "{next}");
    }
}

// Guards against calls to a run that has ended, and against the crash of one that goes
// on: a late report arrives before the first report of the run that was found.
#[test]
fn a_late_report_of_another_run_does_not_replace_a_found_one() {
    let mut runs = ServerRuns::default();
    assert!(runs.discover(&"i-2".into(), FOUND_MS));
    assert_eq!(
        runs.apply(report("i-1", 100, 9, false)),
        ReportEffect::Stale
    );
    assert_eq!(
        runs.apply(report("i-2", 150, 1, false)),
        ReportEffect::Confirms
    );
    assert_eq!(
        runs.apply(report("i-1", 100, 10, false)),
        ReportEffect::Stale
    );
}

// Guards against a server that is never used because its health page and its reports
// name it differently.
#[test]
fn a_run_that_reports_again_takes_the_place_of_a_found_one() {
    let mut runs = ServerRuns::default();
    assert!(runs.discover(&"page-name".into(), FOUND_MS));
    assert_eq!(
        runs.apply(report("i-1", 100, 1, false)),
        ReportEffect::Stale
    );
    assert_eq!(
        runs.apply(report("i-1", 100, 2, false)),
        ReportEffect::Begins
    );
    assert_eq!(
        runs.apply(report("i-1", 100, 3, true)),
        ReportEffect::Leaves
    );
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
        assert!(runs.discover(&"i-1".into(), FOUND_MS));
        let left = runs.deregister(&run("i-1", started_ms), FOUND_MS);
        assert!(left, "{started_ms:?}");
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
    runs.deregister(&run("i-1", Some(100)), FOUND_MS);
    assert!(!runs.discover(&"i-1".into(), FOUND_MS));
    assert_eq!(
        runs.apply(report("i-1", 100, 1, false)),
        ReportEffect::Leaves
    );
    assert_eq!(
        runs.apply(report("i-2", 200, 1, false)),
        ReportEffect::Begins
    );
}

// Guards against a server that is brought back although its departure was acknowledged:
// all its reports were delayed, and the node knew another run.
#[test]
fn a_deregistration_of_a_run_that_is_not_known_counts() {
    let mut runs = ServerRuns::default();
    runs.apply(report("i-1", 100, 1, false));
    assert!(!runs.deregister(&run("i-2", Some(300)), 400));
    assert_eq!(
        runs.apply(report("i-2", 300, 1, false)),
        ReportEffect::Leaves
    );
}
