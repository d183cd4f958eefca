//! Tests of distinguishing retries of refused calls from new calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::load::returning_callers::ReturningCallers;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

const TARGET: Duration = Duration::from_millis(600);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn router() -> EntryRouter {
    let spec = ServiceSpec {
        version: "v1".into(),
        ..ServiceSpec::default()
    };
    let route = RouteSpec {
        path: "/quota".into(),
        service: "contract".into(),
        target_ms: Some(TARGET.as_millis() as u64),
        ..RouteSpec::default()
    };
    let document = FleetDocument {
        services: BTreeMap::from([("contract".into(), spec)]),
        routes: vec![Arc::new(route)],
        ..FleetDocument::default()
    };
    let mut router = EntryRouter::new("voss".into(), 1);
    let swapped = router.swap(ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document),
    });
    assert_eq!(swapped, Ok(true));
    let record = EndpointRecord {
        instance: "contract-1".into(),
        service: "contract".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots: 9,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    };
    router.merge(Duration::ZERO, vec![record]);
    router
}

fn head(left: u64) -> CallHead<'static> {
    CallHead {
        host: "",
        path: "/quota/7",
        origin: CallOrigin::Outside,
        customer: "",
        idempotent: true,
        deadline: Some(millis(left)),
    }
}

// A service is short of servers and refuses a lookup. Its caller retries 400 ms
// later with a remaining time that a new call could have as well. If the retry
// were treated as new, it would wait for a slot in front of calls that can
// still be in time.
#[test]
fn a_retry_of_a_refused_call_keeps_its_age() {
    let mut router = router();
    let now = millis(20_000);
    let mut plan = router.plan(now, &head(2_500)).expect("a plan");
    let server = router.begin(now, &mut plan).expect("a server");
    let full = TryFailure {
        verdict: CallVerdict::NotRun,
        reason: RefusalReason::QueueTimeout,
    };
    let next = router.failed(now, &mut plan, &server, full);
    assert_eq!(next, NextStep::Refuse(RefusalReason::QueueTimeout));
    let later = now + millis(400);
    let returned = router.plan(later, &head(2_101)).expect("a plan");
    assert_eq!(returned.target_at, Some(now + TARGET));
    // Another call with nearly the same remaining time is new.
    let fresh = router.plan(later, &head(2_150)).expect("a plan");
    assert_eq!(fresh.target_at, Some(later + TARGET));
}

// A second refusal does not reset the age of a call either.
#[test]
fn a_call_refused_twice_is_still_recognized() {
    let mut callers = ReturningCallers::default();
    let route: Arc<str> = "/quota".into();
    callers.record_refusal(millis(0), &route, millis(0), millis(2_500));
    let first_sent_at = callers.take_first_sent_at(&route, millis(2_503));
    assert_eq!(first_sent_at, Some(millis(0)));
    callers.record_refusal(millis(700), &route, millis(0), millis(2_503));
    assert_eq!(
        callers.take_first_sent_at(&route, millis(2_501)),
        Some(millis(0))
    );
    assert_eq!(callers.take_first_sent_at(&route, millis(2_501)), None);
}

proptest! {
    // With many refused calls, the stored data are bounded and expire with the
    // deadlines, and a call with a different deadline is not taken for a retry.
    #[test]
    fn only_refused_calls_are_recognized(
        refused in prop::collection::vec(0..5_000_u64, 0..600),
        asked in prop::collection::vec(0..6_000_u64, 0..50),
    ) {
        let mut callers = ReturningCallers::default();
        let route: Arc<str> = "/quota".into();
        for until in &refused {
            callers.record_refusal(millis(0), &route, millis(0), millis(*until));
        }
        for until in asked {
            let known = callers.take_first_sent_at(&route, millis(until));
            let near = |end: &u64| end.abs_diff(until) <= 8;
            prop_assert!(known.is_none() || refused.iter().any(near));
        }
    }
}
