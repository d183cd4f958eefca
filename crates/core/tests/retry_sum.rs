//! Tests of the repeats that a service gets from all nodes together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_core::claim::HolderSeat;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RepeatRule;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::load::retry_budget::BudgetConfig;
use cowslip_core::load::retry_budget::RetryBudget;
use cowslip_core::load::retry_budget::BURST_TIME;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::tuning::TuningKey;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

/// Retries that the fleet allows for a hundred calls, and at once.
const PERCENT: u64 = 15;
const BURST: u64 = 42;

/// Calls per second of the outer service, and simulated seconds: one window of
/// the sum.
const PER_SECOND: u64 = 140;
const SECONDS: u64 = 10;

/// Calls that a restarted node gets until its next start.
const CALLS_AFTER_START: u32 = 4;

const FAILED: TryFailure = TryFailure {
    verdict: CallVerdict::Ran,
    reason: RefusalReason::ServerFailed,
};

const SHED: TryFailure = TryFailure {
    verdict: CallVerdict::NotRun,
    reason: RefusalReason::ServerRefused,
};

fn record(service: &str, number: usize) -> EndpointRecord {
    EndpointRecord {
        instance: format!("{service}-{number}").into(),
        service: service.into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots: 9,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    }
}

/// An entry node of a fleet of `nodes` with two services.
fn router(nodes: usize, seed: u64) -> EntryRouter {
    router_knowing(nodes, nodes, seed)
}

/// An entry node whose directory lists only `known` of the fleet's `nodes`.
fn router_knowing(nodes: usize, known: usize, seed: u64) -> EntryRouter {
    let mut document = FleetDocument::default();
    for number in 0..nodes {
        document.holders.seats.push(HolderSeat {
            instance: format!("node-{number}").into(),
            failure_domain: "voss".into(),
        });
    }
    document.defaults.set(TuningKey::RetryPercent, PERCENT);
    document.defaults.set(TuningKey::RetryBurst, BURST);
    for name in ["contract", "records"] {
        let spec = ServiceSpec {
            version: "v1".into(),
            ..ServiceSpec::default()
        };
        document.services.insert(name.into(), spec);
        let route = RouteSpec {
            path: format!("/{name}").into(),
            service: name.into(),
            repeat: Some(RepeatRule::Idempotent),
            ..RouteSpec::default()
        };
        document.routes.push(route.into());
    }
    let mut router = EntryRouter::new("voss".into(), seed);
    let swapped = router.swap(ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: document.into(),
    });
    assert_eq!(swapped, Ok(true));
    let outer = known * 2 / 3;
    let mut records = Vec::new();
    for number in 0..known {
        let service = if number < outer {
            "contract"
        } else {
            "records"
        };
        records.push(record(service, number));
    }
    router.merge(Duration::ZERO, records);
    router
}

struct ServiceCounts {
    calls: u64,
    repeats: u64,
}

/// Runs one call with all its tries; `try_failure` returns how a try fails, if
/// it does.
fn run_call(
    router: &mut EntryRouter,
    now: Duration,
    head: &CallHead<'_>,
    repeats: RepeatProbability,
    counts: &mut ServiceCounts,
    mut try_failure: impl FnMut(Arc<str>, RepeatProbability) -> Option<TryFailure>,
) {
    let mut plan = router.plan(now, head).expect("there is a route");
    router.charge_repeats(&mut plan, repeats);
    counts.calls += 1;
    loop {
        let Ok(server) = router.begin(now, &mut plan) else {
            return;
        };
        counts.repeats += u64::from(plan.repeats == RepeatProbability::REPEAT);
        let Some(failure) = try_failure(Arc::clone(&server.instance), plan.repeats)
        else {
            return router.abandoned(now, &server.instance);
        };
        match router.failed(now, &mut plan, &server, failure) {
            NextStep::Retry(_) => {}
            NextStep::Refuse(_) => return,
        }
    }
}

fn head(path: &str, origin: CallOrigin) -> CallHead<'_> {
    CallHead {
        host: "",
        path,
        origin,
        customer: "grower",
        idempotent: true,
        deadline: None,
    }
}

/// Repeats and calls at the inner service, if 7 of 20 runs of the outer service
/// fail after calling it and a third of the inner service's own tries are shed.
fn inner_repeats(nodes: usize) -> ServiceCounts {
    let mut rng = SmallRng::seed_from_u64(nodes as u64);
    let mut routers: Vec<EntryRouter> = Vec::new();
    for seed in 0..nodes {
        routers.push(router(nodes, seed as u64));
    }
    let mut outer = ServiceCounts {
        calls: 0,
        repeats: 0,
    };
    let mut inner = ServiceCounts {
        calls: 0,
        repeats: 0,
    };
    for number in 0..PER_SECOND * SECONDS {
        let now = Duration::from_secs(1) * number as u32 / PER_SECOND as u32;
        let mut runs = Vec::new();
        let entry = rng.random_range(0..nodes);
        let outside = head("/contract", CallOrigin::Outside);
        run_call(
            &mut routers[entry],
            now,
            &outside,
            RepeatProbability::FIRST,
            &mut outer,
            |server, repeats| {
                runs.push((server, repeats));
                rng.random_bool(0.35).then_some(FAILED)
            },
        );
        for (server, repeats) in runs {
            let node: usize = server
                .rsplit_once('-')
                .and_then(|(_, number)| number.parse().ok())
                .expect("names end in a number");
            let own = head("/records", CallOrigin::Backend);
            run_call(
                &mut routers[node],
                now,
                &own,
                repeats,
                &mut inner,
                |_, _| rng.random_bool(0.33).then_some(SHED),
            );
        }
    }
    inner
}

// A server of the contract service fails a third of its calls, and one of the
// records service sheds load. Each retried contract call repeats its call to
// the records service, where further retries are added. Without a common budget
// the sum exceeds what the fleet allows for the records service.
#[test]
fn repeats_of_an_outer_call_count_at_the_inner_service() {
    for nodes in [6, 9, 60, 300] {
        let inner = inner_repeats(nodes);
        let allowed = inner.calls * 20 / 100 + 56;
        assert!(
            inner.repeats <= allowed,
            "{nodes} nodes: {} repeats for {} calls, {allowed} allowed",
            inner.repeats,
            inner.calls
        );
    }
}

/// Calls and repeats of a window in which each node starts `starts` times, knows
/// `known` of the others and gets a few calls after each start, which all fail.
fn restarting_fleet(nodes: usize, known: usize, starts: u64) -> ServiceCounts {
    let mut counts = ServiceCounts {
        calls: 0,
        repeats: 0,
    };
    for node in 0..nodes {
        for start in 0..starts {
            let mut router = router_knowing(nodes, known, node as u64 * starts + start);
            for call in 0..CALLS_AFTER_START {
                let now = Duration::from_secs(SECONDS) * call / CALLS_AFTER_START;
                run_call(
                    &mut router,
                    now / starts as u32,
                    &head("/contract", CallOrigin::Outside),
                    RepeatProbability::FIRST,
                    &mut counts,
                    |_, _| Some(FAILED),
                );
            }
        }
    }
    counts
}

// Guards against a burst of retries for each start of a process, and against nodes
// that know few others and take the whole burst for themselves.
#[test]
fn restarts_and_unknown_nodes_add_no_retries() {
    let fleets = [
        (9, 9, 1),
        (9, 9, 6),
        (9, 3, 1),
        (9, 3, 6),
        (60, 60, 3),
        (60, 6, 3),
    ];
    for (nodes, known, starts) in fleets {
        let counts = restarting_fleet(nodes, known, starts);
        let allowed = counts.calls * PERCENT / 100 + BURST;
        assert!(
            counts.repeats <= allowed,
            "{nodes} nodes, {known} known, {starts} starts: {} repeats for {} calls, {allowed} allowed",
            counts.repeats,
            counts.calls
        );
    }
}

// A fleet of 300 nodes loses a server. If each node held at least one whole retry, 300
// would be sent where 40 are allowed; if it held none, no call could be retried. A node
// that has just started holds none yet, since each restart would add to the sum.
#[test]
fn nodes_together_earn_the_fleet_burst_and_start_with_none_of_it() {
    for nodes in [1, 6, 60, 300, 1_000] {
        let mut rng = SmallRng::seed_from_u64(nodes as u64);
        let terms = BudgetConfig::of(0, 40, nodes);
        let (mut at_start, mut spent) = (0, 0);
        for _ in 0..nodes {
            let mut budget = RetryBudget::default();
            budget.earn(Duration::ZERO, terms);
            at_start += u64::from(budget.spend(&mut rng));
            for tenth in 0..100 {
                budget.earn(BURST_TIME + BURST_TIME / 100 * tenth, terms);
                spent += u64::from(budget.spend(&mut rng));
            }
        }
        assert_eq!(at_start, 0, "{nodes} nodes");
        assert!((20..=53).contains(&spent), "{nodes} nodes: {spent}");
    }
}

/// Calls and repeats of a fleet of `nodes` with a few calls a second each, while all
/// servers of a service shed half of their calls for most of a window.
fn shedding_service(nodes: usize, burst: u64) -> ServiceCounts {
    let config = BudgetConfig::of(PERCENT, burst, nodes);
    let mut rng = SmallRng::seed_from_u64(nodes as u64);
    let mut counts = ServiceCounts {
        calls: 0,
        repeats: 0,
    };
    let interval = Duration::from_millis(450);
    for _ in 0..nodes {
        let mut budget = RetryBudget::default();
        for call in 0..60 {
            budget.earn(interval * call, config);
        }
        for call in 60..79 {
            budget.earn(interval * call, config);
            counts.calls += 1;
            while rng.random_bool(0.55) && budget.spend(&mut rng) {
                counts.repeats += 1;
            }
        }
    }
    counts
}

// Guards against a share of the burst that shrinks with the fleet until what the first
// tries earn does not fit into it, so that calls are refused with allowance left.
#[test]
fn a_fleet_that_doubles_still_uses_its_retry_allowance() {
    for (nodes, used_percent) in [(500, 80), (1_000, 80), (2_000, 70)] {
        let counts = shedding_service(nodes, 780);
        let allowed = counts.calls * PERCENT / 100 + 780;
        assert!(
            counts.repeats <= allowed && counts.repeats * 100 >= allowed * used_percent,
            "{nodes} nodes: {} repeats, {allowed} allowed",
            counts.repeats
        );
    }
}
