//! Fraction of a service's calls that a version on trial gets at one entry
//! node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::CandidateShare;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RepeatRule;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::tuning::TuningKey;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

const SHARE_PER_MILLE: u16 = 32;
const CALLS: u32 = 20_000;

const FULL: TryFailure = TryFailure {
    verdict: CallVerdict::NotRun,
    reason: RefusalReason::NoFreeSlot,
};

const BROKEN: TryFailure = TryFailure {
    verdict: CallVerdict::MayHaveRun,
    reason: RefusalReason::ConnectionBroken,
};

fn record(number: u16, version: &str) -> EndpointRecord {
    EndpointRecord {
        instance: format!("records-{version}-{number}").into(),
        service: "records".into(),
        version: version.into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
        slots: 6,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    }
}

/// Creates a router with four servers of each version and a move at its first
/// share.
fn router() -> EntryRouter {
    let spec = ServiceSpec {
        version: "v1".into(),
        candidate: Some(CandidateShare {
            rollout: ConfigVersion::new(1, 1),
            version: "v2".into(),
            share_per_mille: SHARE_PER_MILLE,
        }),
        ..ServiceSpec::default()
    };
    let route = RouteSpec {
        path: "/lookup".into(),
        service: "records".into(),
        repeat: Some(RepeatRule::Idempotent),
        ..RouteSpec::default()
    };
    let mut document = FleetDocument {
        services: BTreeMap::from([("records".into(), spec)]),
        routes: vec![Arc::new(route)],
        ..FleetDocument::default()
    };
    document.defaults.set(TuningKey::SlotProbes, 3);
    let mut router = EntryRouter::new("voss".into(), 1);
    let swapped = router.swap(ConfigSnapshot {
        version: ConfigVersion::new(1, 2),
        document: Arc::new(document),
    });
    assert_eq!(swapped, Ok(true));
    let records = (0..8).map(|number| {
        let version = if number < 4 { "v1" } else { "v2" };
        record(number, version)
    });
    router.merge(Duration::ZERO, records.collect());
    router
}

/// Fraction of the calls that reach a server of the new version if every
/// try at a server of the old one ends in `failure`.
fn part_of_new(failure: TryFailure) -> f64 {
    let mut router = router();
    let mut new = 0;
    for number in 0..CALLS {
        let mut now = Duration::from_millis(20_000 + u64::from(number) * 10);
        let head = CallHead {
            host: "",
            path: "/lookup/7",
            origin: CallOrigin::Outside,
            customer: "",
            idempotent: true,
            deadline: Some(Duration::from_secs(2)),
        };
        let mut plan = router.plan(now, &head).expect("a plan");
        for tried in 0..4 {
            let server = router.begin(now, &mut plan).expect("a server");
            if &*server.version == "v2" {
                new += 1;
            }
            if &*server.version == "v2" || tried == 3 {
                router.abandoned(now, &server.instance);
                break;
            }
            now += Duration::from_millis(1);
            let next = router.failed(now, &mut plan, &server, failure);
            if matches!(next, NextStep::Refuse(_)) {
                break;
            }
        }
    }
    f64::from(new) / f64::from(CALLS)
}

// Guards against drawing the version anew for each server that a call is
// offered to. While the servers of the old version are full, a bad version on
// trial got three times its share that way.
#[test]
fn calls_that_probe_for_a_free_slot_keep_their_version() {
    let part = part_of_new(FULL);
    let allowed = f64::from(SHARE_PER_MILLE) / 1_000.0 * 1.2;
    assert!(part <= allowed, "{part:.3} of {allowed:.3}");
}

// Guards against retries that prefer the version on trial while the servers of
// the old version break connections.
#[test]
fn retried_calls_keep_their_version() {
    let part = part_of_new(BROKEN);
    let allowed = f64::from(SHARE_PER_MILLE) / 1_000.0 * 1.2;
    assert!(part <= allowed, "{part:.3} of {allowed:.3}");
}
