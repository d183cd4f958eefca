//! A node stops a bad version on its own evidence, and nothing but the end of
//! the move undoes the stop.

use std::sync::Arc;
use std::time::Duration;

use cowslip_core::call_try::ServerTry;
use cowslip_core::directory::EndpointDirectory;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::CandidateShare;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::rollout::evidence::MeasuredTry;
use cowslip_core::rollout::evidence::TryOutcome;
use cowslip_core::rollout::last_server::is_last_old_server;
use cowslip_core::rollout::node_guard::EndedTry;
use cowslip_core::rollout::node_guard::NodeGuard;
use cowslip_core::rollout::node_guard::TryNumber;
use cowslip_core::rollout::node_guard::EVALUATION_INTERVAL;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

fn document(version: &str, candidate: Option<(&str, u16, u64)>) -> FleetDocument {
    let candidate = candidate.map(|(version, share_per_mille, index)| CandidateShare {
        version: version.into(),
        share_per_mille,
        rollout: ConfigVersion::new(1, index),
    });
    let spec = ServiceSpec {
        version: version.into(),
        candidate,
        ..ServiceSpec::default()
    };
    let mut document = FleetDocument::default();
    document.services.insert("ledger".into(), spec);
    document
}

fn ended(version: &str, outcome: TryOutcome) -> EndedTry {
    EndedTry {
        service: "ledger".into(),
        route: "/sales".into(),
        version: version.into(),
        measured: MeasuredTry {
            took: Duration::from_millis(8),
            outcome,
            warm: true,
        },
    }
}

fn begin(guard: &mut NodeGuard, version: &str) -> Option<TryNumber> {
    let server = ServerTry {
        instance: format!("{version}-1").into(),
        address: ([127, 0, 0, 1], 1).into(),
        version: version.into(),
        wait_max: None,
    };
    guard.begin(Duration::ZERO, &"ledger".into(), &"/sales".into(), &server)
}

/// Creates a guard for move 5 of `ledger` to v2. Before each of the evaluations
/// it records ten tries of each version; those of the new version have
/// `outcome`.
fn guard_after(evaluations: u32, outcome: TryOutcome) -> NodeGuard {
    let mut guard = NodeGuard::default();
    guard.install(&document("v1", Some(("v2", 500, 5))));
    for evaluation in 1..=evaluations {
        for _ in 0..10 {
            guard.record(&ended("v1", TryOutcome::Answered));
            guard.record(&ended("v2", outcome));
        }
        guard.tick(EVALUATION_INTERVAL * evaluation);
    }
    guard
}

// Guards against readmitting a stopped version: the leader, which has not
// received the stop, advances the same move, and the reconnected node gets the
// step. The version must stay stopped until the move is over.
#[test]
fn later_steps_do_not_admit_a_stopped_version() {
    let mut guard = guard_after(20, TryOutcome::Failed);
    assert!(!guard.admits("ledger", "v2"));
    assert!(guard.admits("ledger", "v1"));
    for share in [640, 900, 1_000] {
        guard.install(&document("v1", Some(("v2", share, 5))));
        assert!(!guard.admits("ledger", "v2"));
    }
    guard.install(&document("v1", None));
    assert_eq!(begin(&mut guard, "v2"), None);
    guard.install(&document("v1", Some(("v2", 5, 9))));
    assert!(guard.admits("ledger", "v2"), "a later move is judged anew");
}

// Bad requests of callers, limits of the platform and unreachable servers say
// nothing about a version. A sound version must not be stopped for them.
#[test]
fn outcomes_not_caused_by_the_version_do_not_count() {
    assert_eq!(TryOutcome::from_status(404), TryOutcome::Answered);
    assert_eq!(TryOutcome::from_status(429), TryOutcome::Answered);
    assert_eq!(TryOutcome::from_status(500), TryOutcome::Failed);
    let refused = TryFailure {
        verdict: CallVerdict::NotRun,
        reason: RefusalReason::QueueFull,
    };
    assert_eq!(TryOutcome::from_failure(&refused), TryOutcome::NotRun);
    let broken = TryFailure {
        verdict: CallVerdict::MayHaveRun,
        reason: RefusalReason::ConnectionBroken,
    };
    assert_eq!(TryOutcome::from_failure(&broken), TryOutcome::Failed);
    let guard = guard_after(200, TryOutcome::NotRun);
    assert!(guard.admits("ledger", "v2"));
    let guard = guard_after(200, TryOutcome::Answered);
    assert!(guard.admits("ledger", "v2"));
}

// Guards against a version whose answers never come: its tries in progress must show
// before they end, and a timeout counts unless its server has said that it is cold.
#[test]
fn tries_in_progress_are_reported_once_their_server_is_warm() {
    let node: Arc<str> = "node-1".into();
    let mut guard = NodeGuard::default();
    guard.install(&document("v1", Some(("v2", 500, 5))));
    let pending = |guard: &mut NodeGuard| {
        let report = guard.report(Duration::from_secs(2), &node, 7);
        let report = report.expect("a move in progress");
        let routes = &report.rollouts[0].routes;
        let new = routes.first().map(|route| route.new.pending.clone());
        new.map_or(0, |pending| pending.count_above(1_000_000))
    };
    let first = begin(&mut guard, "v2").expect("a move in progress");
    let second = begin(&mut guard, "v2").expect("a move in progress");
    assert!(guard.end(first, None), "nothing says that it is cold");
    assert_eq!(pending(&mut guard), 0);
    let third = begin(&mut guard, "v2").expect("a move in progress");
    assert!(!guard.end(third, Some(false)));
    let cold = begin(&mut guard, "v2").expect("a move in progress");
    assert!(
        !guard.end(cold, None),
        "its server has said that it is cold"
    );
    let warm = begin(&mut guard, "v2").expect("a move in progress");
    assert!(guard.end(warm, Some(true)));
    assert_eq!(pending(&mut guard), 1);
    assert!(guard.end(second, None));
    assert_eq!(pending(&mut guard), 0);
}

// Each report of a node repeats its stop, so that a single report that arrives
// is sufficient, and repeats the same cumulative counts.
#[test]
fn every_report_repeats_a_stop() {
    let mut guard = guard_after(20, TryOutcome::Failed);
    let node: Arc<str> = "node-1".into();
    let first = guard
        .report(Duration::ZERO, &node, 7)
        .expect("a move in progress");
    let second = guard
        .report(Duration::ZERO, &node, 7)
        .expect("a move in progress");
    assert!(first.sequence < second.sequence);
    assert!(first.rollouts[0].stop.is_some());
    assert_eq!(first.rollouts, second.rollouts);
    guard.install(&document("v1", None));
    assert_eq!(guard.report(Duration::ZERO, &node, 7), None);
}

fn server(instance: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        instance: instance.into(),
        service: "ledger".into(),
        version: version.into(),
        failure_domain: "co-central-1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: 5,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    }
}

// Guards against draining the last old server during a move: calls must
// have a server to return to if the new version is found bad.
#[test]
fn the_last_old_server_stays_during_a_move() {
    let mut directory = EndpointDirectory::default();
    for record in [
        server("old-1", "v1"),
        server("old-2", "v1"),
        server("new-1", "v2"),
    ] {
        directory.merge(record);
    }
    let moving = document("v1", Some(("v2", 900, 5)));
    assert!(!is_last_old_server(&moving, &directory, "old-1"));
    let mut drained = server("old-2", "v1");
    drained.standing = EndpointStanding::Draining;
    drained.sequence = 2;
    directory.merge(drained);
    assert!(is_last_old_server(&moving, &directory, "old-1"));
    assert!(!is_last_old_server(&moving, &directory, "new-1"));
    assert!(!is_last_old_server(
        &document("v1", None),
        &directory,
        "old-1"
    ));
    assert!(!is_last_old_server(
        &document("v2", None),
        &directory,
        "old-1"
    ));
}
