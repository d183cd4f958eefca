//! The entry router's rules for further tries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::CallPriority;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::refusal::RetryReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

const NOW: Duration = Duration::from_secs(60);

const BROKEN: TryFailure = TryFailure {
    verdict: CallVerdict::MayHaveRun,
    reason: RefusalReason::ConnectionBroken,
};

const FULL: TryFailure = TryFailure {
    verdict: CallVerdict::NotRun,
    reason: RefusalReason::QueueFull,
};

fn router(servers: u16) -> EntryRouter {
    let spec = ServiceSpec {
        version: "v1".into(),
        candidate: None,
        ..ServiceSpec::default()
    };
    let route = RouteSpec {
        path: "/lots".into(),
        service: "documents".into(),
        priority: CallPriority::Normal,
        internal: false,
        ..RouteSpec::default()
    };
    let document = FleetDocument {
        services: BTreeMap::from([("documents".into(), spec)]),
        routes: vec![Arc::new(route)],
        ..FleetDocument::default()
    };
    let mut router = EntryRouter::new("voss".into(), 1);
    let swapped = router.swap(ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document),
    });
    assert_eq!(swapped, Ok(true));
    let records = (0..servers).map(|number| EndpointRecord {
        instance: format!("documents-{number}").into(),
        service: "documents".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
        slots: 5,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    });
    router.merge(Duration::ZERO, records.collect());
    router
}

fn head(origin: CallOrigin, idempotent: bool) -> CallHead<'static> {
    CallHead {
        host: "",
        path: "/lots/7",
        origin,
        customer: "co-operative-7",
        idempotent,
        deadline: None,
    }
}

/// Tries one call until it is given up; each try ends as `run` says.
fn run_call(
    router: &mut EntryRouter,
    head: &CallHead<'_>,
    mut run: impl FnMut() -> TryFailure,
) -> RefusalReason {
    let mut plan = router.plan(NOW, head).expect("there is a route");
    loop {
        let server = match router.begin(NOW, &mut plan) {
            Ok(server) => server,
            Err(reason) => return reason,
        };
        let failure = run();
        match router.failed(NOW, &mut plan, &server, failure) {
            NextStep::Retry(_) => {}
            NextStep::Refuse(reason) => return reason,
        }
    }
}

/// Runs at the innermost server of a chain whose servers all break off.
fn innermost_runs(depth: u32, origin: CallOrigin) -> u32 {
    if depth == 0 {
        return 1;
    }
    let mut runs = 0;
    run_call(&mut router(6), &head(origin, true), || {
        runs += innermost_runs(depth - 1, CallOrigin::Backend);
        BROKEN
    });
    runs
}

// A lookup goes 28 services deep and the innermost server breaks off, and so
// do all above it. If each layer tried three times, the innermost would get
// 3 to the 28th calls; only the outermost repeats.
#[test]
fn tries_do_not_multiply_over_a_chain() {
    assert_eq!(innermost_runs(28, CallOrigin::Outside), 3);
}

// A batch sale's connection breaks after it was sent. It may have run, and a
// second run would invoice the honey twice.
#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut runs = 0;
    let sale = head(CallOrigin::Outside, false);
    let reason = run_call(&mut router(6), &sale, || {
        runs += 1;
        BROKEN
    });
    assert_eq!((runs, reason), (1, RefusalReason::ConnectionBroken));
}

// A refusal by a full queue ran nowhere: also a sale goes to another server.
#[test]
fn a_call_that_did_not_run_goes_elsewhere() {
    let mut router = router(2);
    let sale = head(CallOrigin::Outside, false);
    let mut plan = router.plan(NOW, &sale).expect("there is a route");
    let first = router.begin(NOW, &mut plan).expect("there are servers");
    let next = router.failed(NOW, &mut plan, &first, FULL);
    assert_eq!(next, NextStep::Retry(RetryReason::QueueFull));
    let second = router.begin(NOW, &mut plan).expect("one is left");
    assert_ne!(first.instance, second.instance);
    let next = router.failed(NOW, &mut plan, &second, FULL);
    assert_eq!(next, NextStep::Retry(RetryReason::QueueFull));
    // The reason is what the servers said, not that none is left.
    let left = router.begin(NOW, &mut plan);
    assert_eq!(left.err(), Some(RefusalReason::QueueFull));
}

// The budget is spent, and a lookup breaks off, is tried again, and meets a
// full queue. "retry-budget" would read as if it had run nowhere.
#[test]
fn a_spent_budget_does_not_hide_that_it_may_have_run() {
    let mut router = router(6);
    let lookup = head(CallOrigin::Outside, true);
    for _ in 0..30 {
        let mut plan = router.plan(NOW, &lookup).expect("there is a route");
        let server = router.begin(NOW, &mut plan).expect("there are six");
        let next = router.failed(NOW, &mut plan, &server, BROKEN);
        if next != NextStep::Retry(RetryReason::ConnectionBroken) {
            continue;
        }
        let server = router.begin(NOW, &mut plan).expect("there are six");
        match router.failed(NOW, &mut plan, &server, FULL) {
            NextStep::Retry(_) => continue,
            NextStep::Refuse(reason) => {
                assert_eq!(plan.verdict, CallVerdict::MayHaveRun);
                assert_eq!(reason, RefusalReason::QueueFull);
                return;
            }
        }
    }
    panic!("the budget never ran out between two tries");
}

// The whole service is full. Three tries for each call would triple the load
// on it just then; after the first few the budget of a fifth holds.
#[test]
fn retries_of_a_full_service_keep_to_the_budget() {
    let mut router = router(6);
    let mut tries = 0;
    let mut out_of_budget = 0;
    for _ in 0..500 {
        let call = head(CallOrigin::Outside, true);
        let Ok(mut plan) = router.plan(NOW, &call) else {
            continue;
        };
        loop {
            let server = router.begin(NOW, &mut plan).expect("there are six");
            tries += 1;
            match router.failed(NOW, &mut plan, &server, FULL) {
                NextStep::Retry(_) => continue,
                NextStep::Refuse(RefusalReason::RetryBudget) => out_of_budget += 1,
                NextStep::Refuse(_) => {}
            }
            break;
        }
    }
    assert!(tries <= 500 * 6 / 5 + 10, "{tries} tries of 500 calls");
    assert!(out_of_budget > 0);
}

// A service is overloaded, and the servers of another one call it while they
// run requests. Refused at the entry with the callers' own, such a call takes
// the work of a whole request with it, which its caller then asks for again:
// the more is refused, the more there is to do.
#[test]
fn calls_for_requests_under_way_are_not_refused_for_their_customer() {
    let mut router = router(1);
    let mut refused = [0, 0];
    for _ in 0..400 {
        for (at, origin) in [CallOrigin::Outside, CallOrigin::Backend]
            .into_iter()
            .enumerate()
        {
            let head = head(origin, true);
            let mut plan = match router.plan(NOW, &head) {
                Ok(plan) => plan,
                Err(reason) => {
                    assert_eq!(reason, RefusalReason::CustomerLimit);
                    refused[at] += 1;
                    continue;
                }
            };
            let Ok(server) = router.begin(NOW, &mut plan) else {
                continue;
            };
            let full = TryFailure {
                verdict: CallVerdict::NotRun,
                reason: RefusalReason::QueueFull,
            };
            router.failed(NOW, &mut plan, &server, full);
        }
    }
    assert!(refused[0] > 200, "{refused:?}");
    assert_eq!(refused[1], 0);
}
