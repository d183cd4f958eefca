//! Tests of an entry node's server selection, ejection, retries and throttling.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::CallPriority;
use cowslip_core::document::EvacuationTable;
use cowslip_core::load::customer_throttle::CustomerThrottle;
use cowslip_core::load::deadline_budget;
use cowslip_core::load::fair_tags::FairTags;
use cowslip_core::load::fleet_servers::FleetServers;
use cowslip_core::load::retry_budget::BudgetConfig;
use cowslip_core::load::retry_budget::RetryBudget;
use cowslip_core::load::retry_delay;
use cowslip_core::load::retry_delay::CallerTime;
use cowslip_core::load::server_pool::ServerCriteria;
use cowslip_core::load::server_pool::ServerOutcome;
use cowslip_core::load::server_pool::ServerPool;
use cowslip_core::load::server_pool::SlotSearch;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;

const WARM: Duration = Duration::from_secs(60);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn record(number: usize, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        instance: format!("server-{number}").into(),
        service: "contract".into(),
        version: format!("v{}", sequence % 2).into(),
        failure_domain: "voss".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots: 10,
        standing: match sequence % 3 {
            0 => EndpointStanding::Draining,
            _ => EndpointStanding::Serving,
        },
        incarnation: 1,
        sequence,
    }
}

fn pool(servers: usize) -> ServerPool {
    let mut pool = ServerPool::default();
    for number in 0..servers {
        pool.put(Duration::ZERO, record(number, 1), number % 3 == 0);
    }
    pool
}

static NO_EVACUATIONS: EvacuationTable = EvacuationTable::new();

fn criteria(tried: &[Arc<str>]) -> ServerCriteria<'_> {
    ServerCriteria {
        allowed: None,
        evacuations: &NO_EVACUATIONS,
        search: SlotSearch::ByScore,
        tried,
        idempotent: true,
    }
}

proptest! {
    // A call is never sent again to a server that failed it, and every other
    // server is tried before the call is refused.
    #[test]
    fn no_server_is_tried_twice(servers in 1..12_usize, seed in any::<u64>()) {
        let mut pool = pool(servers);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut tried: Vec<Arc<str>> = Vec::new();
        while let Some(server) = pool.choose(WARM, &criteria(&tried), &mut rng) {
            prop_assert!(!tried.contains(&server.instance));
            pool.end(WARM, &server.instance, ServerOutcome::Full);
            tried.push(server.instance);
        }
        prop_assert_eq!(tried.len(), servers);
    }

    // Whatever the servers do, at most a third are ejected, one of two, and
    // never the only one. Calls always find a server.
    #[test]
    fn ejection_is_capped(
        servers in 1..10_usize,
        failing in prop::collection::vec(any::<bool>(), 10),
        seed in any::<u64>(),
    ) {
        let mut pool = pool(servers);
        let mut rng = SmallRng::seed_from_u64(seed);
        for step in 0..400 {
            let now = WARM + millis(step * 20);
            let server = pool.choose(now, &criteria(&[]), &mut rng);
            let server = server.expect("some server accepts the call");
            let number: usize = server.instance["server-".len()..].parse().unwrap();
            let outcome = match failing[number] {
                true => ServerOutcome::Failed,
                false => ServerOutcome::Answered(1.0),
            };
            pool.end(now, &server.instance, outcome);
            let cap = if servers == 1 { 0 } else { (servers / 3).max(1) };
            prop_assert!(pool.ejected() <= cap);
        }
    }

    // After any sequence of records, the pools hold exactly the serving
    // instances, each in the pool of its latest version.
    #[test]
    fn pools_match_the_directory(
        arrived in prop::collection::vec((0..5_usize, 1..9_u64), 0..60),
    ) {
        let mut servers = FleetServers::default();
        let mut latest: BTreeMap<usize, EndpointRecord> = BTreeMap::new();
        for (number, sequence) in arrived {
            let record = record(number, sequence);
            servers.put(WARM, record.clone(), number % 2 == 0);
            latest.insert(number, record);
        }
        for version in ["v0", "v1"] {
            let mut expected = BTreeSet::new();
            for record in latest.values() {
                let serving = record.standing == EndpointStanding::Serving;
                if serving && &*record.version == version {
                    expected.insert(Arc::clone(&record.instance));
                }
            }
            let mut found: Vec<Arc<str>> = Vec::new();
            let mut rng = SmallRng::seed_from_u64(1);
            while let Some(pool) = servers.pool("contract", version) {
                let Some(server) = pool.choose(WARM, &criteria(&found), &mut rng) else {
                    break;
                };
                found.push(server.instance);
            }
            let found: BTreeSet<Arc<str>> = found.into_iter().collect();
            prop_assert_eq!(found, expected);
        }
    }

    // Retries never exceed the initial balance, the minimum rate over time and
    // the configured share of first tries, in whatever order they occur.
    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0..100_u64), 0..500),
        percent in 0..=100_u64,
    ) {
        let mut budget = RetryBudget::default();
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut first, mut retried, mut now) = (0_u64, 0_u64, Duration::ZERO);
        for (earn, wait) in steps {
            now += millis(wait);
            if earn {
                first += 1;
                budget.earn(now, BudgetConfig::of(percent, 0, 1));
            } else if budget.spend(&mut rng) {
                retried += 1;
            }
        }
        let allowed = 10.0 + now.as_secs_f64() * 0.5 + first as f64 * percent as f64 / 100.0;
        prop_assert!(retried as f64 <= allowed + 1e-6);
    }

    // Along the deepest chain planned for, each hop gets less time than the one
    // before it, and the innermost still gets two fifths.
    #[test]
    fn remaining_time_decreases_with_each_hop(whole in 100..600_000_u64) {
        let mut left = millis(whole);
        for _ in 0..28 {
            let next = deadline_budget::for_next_hop(left);
            prop_assert!(next < left);
            left = next;
        }
        prop_assert!(left >= millis(whole * 2 / 5));
    }

    // Backlogged keys receive work in proportion to their weights.
    #[test]
    fn work_is_proportional_to_weights(weights in prop::collection::vec(1..20_u64, 2..6)) {
        let mut tags = FairTags::default();
        let mut turns = vec![0_u64; weights.len()];
        let rounds = 100 * weights.iter().sum::<u64>();
        for _ in 0..rounds {
            let next = (0..weights.len()).min_by_key(|key| tags.start(key));
            let next = next.expect("there are keys");
            tags.charge(next, millis(10), weights[next]);
            turns[next] += 1;
        }
        for (key, weight) in weights.iter().enumerate() {
            let share = 100 * weight;
            prop_assert!(turns[key].abs_diff(share) <= share / 20 + 2);
        }
    }

    // Memory does not grow with the number of customers that come and go.
    #[test]
    fn tags_of_many_customers_are_bounded(count in 1..20_000_u32) {
        let mut tags = FairTags::default();
        for customer in 0..count {
            tags.charge(customer, millis(10), 1);
        }
        prop_assert!(tags.len() <= 1_024);
    }
}

// A failing server is ejected. After its ejection time one idempotent call at a
// time tries it; a buyer's contract acceptance, which is not idempotent, does
// not.
#[test]
fn an_ejected_server_returns_after_a_successful_trial() {
    let mut pool = pool(3);
    let mut rng = SmallRng::seed_from_u64(1);
    let broken: Arc<str> = "server-1".into();
    for _ in 0..5 {
        pool.end(WARM, "server-0", ServerOutcome::Answered(1.0));
        pool.end(WARM, &broken, ServerOutcome::Failed);
    }
    assert_eq!(pool.ejected(), 1);
    let others = ["server-0".into(), "server-2".into()];
    let trial_at = WARM + millis(5_100);
    let acceptance = ServerCriteria {
        allowed: None,
        search: SlotSearch::ByScore,
        idempotent: false,
        ..criteria(&[])
    };
    for _ in 0..50 {
        let server = pool.choose(trial_at, &acceptance, &mut rng);
        let server = server.expect("two servers are healthy");
        assert_ne!(server.instance, broken);
        pool.end(trial_at, &server.instance, ServerOutcome::Unknown);
    }
    let trial = pool.choose(trial_at, &criteria(&others), &mut rng);
    assert_eq!(
        trial.map(|server| server.instance),
        Some(Arc::clone(&broken))
    );
    pool.end(trial_at, &broken, ServerOutcome::Answered(1.0));
    assert_eq!(pool.ejected(), 0);
}

// One customer sends 500 calls a second of which 20 are accepted; a hundred
// others send four each, all accepted. Only the hot customer is refused at the
// entry node.
#[test]
fn the_throttle_refuses_only_the_hot_customer() {
    let mut throttle = CustomerThrottle::new(3);
    let mut rng = SmallRng::seed_from_u64(3);
    let priority = CallPriority::Normal;
    let (mut hot_forwarded, mut small_refused) = (0, 0);
    for step in 0..5_000_u64 {
        let now = millis(step * 2);
        if throttle.admit(now, "hot", priority, &mut rng) {
            hot_forwarded += 1;
        }
        if step % 25 == 0 {
            throttle.accepted(now, "hot", priority);
        }
        let small = format!("small-{}", step % 100);
        if step % 5 < 4 {
            small_refused += u32::from(!throttle.admit(now, &small, priority, &mut rng));
            throttle.accepted(now, &small, priority);
        }
    }
    assert_eq!(small_refused, 0);
    assert!(
        (400..900).contains(&hot_forwarded),
        "{hot_forwarded} were forwarded"
    );
}

// A status of 429 or 503 asks the caller to retry later. Without a retry time
// callers retry at once, and all of the refused load returns together.
#[test]
fn retry_later_statuses_have_a_retry_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    for reason in RefusalReason::ALL {
        if !matches!(reason.status(), 429 | 503) {
            continue;
        }
        let after = retry_delay::retry_after(*reason, CallerTime::default(), &mut rng);
        assert!(after.is_some(), "{reason} has no retry time");
    }
}

// Guards against refusing hundreds of callers with the same retry time, which
// would make them the next burst.
#[test]
fn retry_times_are_spread_out() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut seconds: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let full = RefusalReason::QueueFull;
        let after = retry_delay::retry_after(full, CallerTime::default(), &mut rng);
        *seconds
            .entry(after.expect("a retry time is given").as_secs())
            .or_default() += 1;
    }
    assert!(seconds.len() >= 4);
    assert!(seconds.values().all(|callers| *callers < 350));
    assert_eq!(
        retry_delay::retry_after(RefusalReason::NoRoute, CallerTime::default(), &mut rng),
        None
    );
}

// A caller whose deadline is one second away would retry too late if it were
// given a retry time of one to five seconds. The delay is a part of the
// caller's remaining time.
#[test]
fn retry_time_is_within_the_remaining_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    for left in [millis(200), millis(1_000), millis(4_000)] {
        let caller = CallerTime {
            left: Some(left),
            fractions: true,
        };
        let mut longest = Duration::ZERO;
        for _ in 0..200 {
            let full = RefusalReason::QueueFull;
            let after = retry_delay::retry_after(full, caller, &mut rng);
            longest = longest.max(after.expect("a retry time is given"));
        }
        assert!(longest <= left / 3, "{longest:?} of {left:?}");
        assert!(longest >= left / 8, "all retry within {longest:?}");
    }
}

// All servers of a service shed half of the calls although slots are free. Each
// try of a call is then accepted with even probability, so an early retry is
// better than one when the answer would be late.
#[test]
fn shed_calls_are_retried_soon() {
    let mut rng = SmallRng::seed_from_u64(1);
    let caller = CallerTime {
        left: Some(millis(4_000)),
        fractions: true,
    };
    for _ in 0..200 {
        let refused = RefusalReason::ServerRefused;
        let after = retry_delay::retry_after(refused, caller, &mut rng);
        assert!(after.is_some_and(|after| after <= millis(120)), "{after:?}");
    }
}

// Guards against each node saving up retries of its own: with ten each, seventy
// nodes would send 700 after the loss of one server where the fleet allows 40.
#[test]
fn nodes_share_the_retry_burst_of_the_fleet() {
    let nodes = 20;
    let mut spent = 0;
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..nodes {
        let mut budget = RetryBudget::default();
        for step in 0..10 {
            let terms = BudgetConfig::of(15, 40, nodes);
            budget.earn(millis(step * 1_000), terms);
        }
        while budget.spend(&mut rng) {
            spent += 1;
        }
    }
    assert!((20..=40).contains(&spent), "{spent}");
}

// A call whose first try may have run is refused on its second. A status that
// means "not run" would make the caller send it again, and a status that means
// nothing would keep a caller from retrying a call that has not run.
#[test]
fn statuses_match_the_verdict() {
    for reason in RefusalReason::ALL {
        for verdict in [CallVerdict::MayHaveRun, CallVerdict::Ran] {
            let status = reason.status_for(verdict);
            assert!(!matches!(status, 408 | 421 | 429 | 503), "{reason}");
        }
        let status = reason.status_for(CallVerdict::NotRun);
        assert!(!matches!(status, 502 | 504), "{reason}");
    }
}
