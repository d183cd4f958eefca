//! Retry rules of the entry router.

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
use cowslip_core::document::WeightedService;
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
    router_with_split(servers, Vec::new())
}

fn router_with_split(servers: u16, split: Vec<WeightedService>) -> EntryRouter {
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
        split,
        ..RouteSpec::default()
    };
    let mut services = BTreeMap::from([("documents".into(), spec.clone())]);
    for part in &route.split {
        services.insert(Arc::clone(&part.service), spec.clone());
    }
    let document = FleetDocument {
        services,
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

/// Tries one call until it is refused; `run` gives the failure of each try.
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

/// Counts the runs at the innermost server of a chain in which the connection to
/// every server breaks.
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

// Guards against retries that multiply along a chain of 28 services: if every
// layer tried a broken call three times, the innermost server would get 3^28
// calls. Only the outermost layer may repeat it.
#[test]
fn tries_do_not_multiply_over_a_chain() {
    assert_eq!(innermost_runs(28, CallOrigin::Outside), 3);
}

// Guards against running a non-idempotent call twice: the connection breaks
// after the request was sent, so a sale may already have been invoiced.
#[test]
fn call_that_may_have_run_is_not_repeated() {
    let mut runs = 0;
    let sale = head(CallOrigin::Outside, false);
    let reason = run_call(&mut router(6), &sale, || {
        runs += 1;
        BROKEN
    });
    assert_eq!((runs, reason), (1, RefusalReason::ConnectionBroken));
}

// Guards against giving up a non-idempotent call that has not run: after a
// refusal by a full queue it is retried at another server.
#[test]
fn call_that_did_not_run_is_retried_at_another_server() {
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
    // The reason is the servers' refusal, not that no server is left.
    let left = router.begin(NOW, &mut plan);
    assert_eq!(left.err(), Some(RefusalReason::QueueFull));
}

// Guards against a refusal with "retry-budget", which implies that nothing has
// run: the connection of the first try broke, the second try met a full queue,
// and the budget is exhausted.
#[test]
fn exhausted_budget_does_not_hide_that_a_call_may_have_run() {
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
    panic!("the retry budget was never exhausted between two tries");
}

// Guards against retries that triple the load on a service that is already full:
// after the first few, retries are limited to a fifth of the calls.
#[test]
fn retries_to_a_full_service_stay_within_the_budget() {
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

// Guards against self-sustaining overload: if the customer limit refused a call
// that a server makes for a running request, the work already done for that
// request would be lost and its caller would retry all of it.
#[test]
fn calls_for_running_requests_are_exempt_from_the_customer_limit() {
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

// Guards against weights whose sum exceeds 32 bits, which the check of a document
// allows: calls would all go to one service, or none be routed.
#[test]
fn a_split_with_the_largest_weights_is_kept() {
    let part = |service: &str| WeightedService {
        service: service.into(),
        weight: u32::MAX,
    };
    let mut router = router_with_split(3, vec![part("documents"), part("archive")]);
    let mut documents = 0;
    for _ in 0..400 {
        let head = CallHead {
            host: "",
            path: "/lots",
            origin: CallOrigin::Outside,
            customer: "clerk",
            idempotent: true,
            deadline: None,
        };
        let plan = router.plan(NOW, &head).expect("there is a route");
        documents += u32::from(*plan.service == *"documents");
    }
    assert!((140..260).contains(&documents), "{documents} of 400");
}
