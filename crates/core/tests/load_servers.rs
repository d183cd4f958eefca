//! The entry node's choice of server, ejection, retries and throttle.

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
use cowslip_core::load::customer_throttle::CustomerThrottle;
use cowslip_core::load::deadline_budget;
use cowslip_core::load::fair_tags::FairTags;
use cowslip_core::load::fleet_servers::FleetServers;
use cowslip_core::load::retry_advice;
use cowslip_core::load::retry_advice::CallerTime;
use cowslip_core::load::retry_budget::BudgetConfig;
use cowslip_core::load::retry_budget::RetryBudget;
use cowslip_core::load::server_pool::ServerCriteria;
use cowslip_core::load::server_pool::ServerPool;
use cowslip_core::load::server_pool::SlotSearch;
use cowslip_core::load::server_pool::TryOutcome;
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

fn criteria(tried: &[Arc<str>]) -> ServerCriteria<'_> {
    ServerCriteria {
        allowed: None,
        search: SlotSearch::ByScore,
        tried,
        idempotent: true,
    }
}

proptest! {
    // A call that failed at a server never goes there again, and it finds
    // every other server before it is refused.
    #[test]
    fn no_server_is_tried_twice(servers in 1..12_usize, seed in any::<u64>()) {
        let mut pool = pool(servers);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut tried: Vec<Arc<str>> = Vec::new();
        while let Some(server) = pool.choose(WARM, &criteria(&tried), &mut rng) {
            prop_assert!(!tried.contains(&server.instance));
            pool.end(WARM, &server.instance, TryOutcome::Full);
            tried.push(server.instance);
        }
        prop_assert_eq!(tried.len(), servers);
    }

    // Whatever servers do, no more than a third are ejected, and one of two;
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
            let server = server.expect("some server takes the call");
            let number: usize = server.instance["server-".len()..].parse().unwrap();
            let outcome = match failing[number] {
                true => TryOutcome::Failed,
                false => TryOutcome::Answered(1.0),
            };
            pool.end(now, &server.instance, outcome);
            let cap = if servers == 1 { 0 } else { (servers / 3).max(1) };
            prop_assert!(pool.ejected() <= cap);
        }
    }

    // After any records the pools hold just the serving instances, each in
    // the pool of its last version.
    #[test]
    fn pools_follow_the_directory(
        arrived in prop::collection::vec((0..5_usize, 1..9_u64), 0..60),
    ) {
        let mut servers = FleetServers::default();
        let mut naive: BTreeMap<usize, EndpointRecord> = BTreeMap::new();
        for (number, sequence) in arrived {
            let record = record(number, sequence);
            servers.put(WARM, record.clone(), number % 2 == 0);
            naive.insert(number, record);
        }
        for version in ["v0", "v1"] {
            let mut expected = BTreeSet::new();
            for record in naive.values() {
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

    // Retries are at most the saved ones, the floor over time, and the
    // stated share of first tries, whatever the order.
    #[test]
    fn retries_keep_to_the_budget(
        steps in prop::collection::vec((any::<bool>(), 0..100_u64), 0..500),
        percent in 0..=100_u64,
    ) {
        let mut budget = RetryBudget::default();
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut first, mut again, mut now) = (0_u64, 0_u64, Duration::ZERO);
        for (earn, wait) in steps {
            now += millis(wait);
            if earn {
                first += 1;
                budget.earn(now, BudgetConfig::of(percent, 0, 1));
            } else if budget.spend(&mut rng) {
                again += 1;
            }
        }
        let allowed = 10.0 + now.as_secs_f64() * 0.5 + first as f64 * percent as f64 / 100.0;
        prop_assert!(again as f64 <= allowed + 1e-6);
    }

    // Over the deepest chain planned for, each hop has less than the one
    // before it and the innermost still has two fifths.
    #[test]
    fn time_shrinks_over_each_hop(whole in 100..600_000_u64) {
        let mut left = millis(whole);
        for _ in 0..28 {
            let next = deadline_budget::for_next_hop(left);
            prop_assert!(next < left);
            left = next;
        }
        prop_assert!(left >= millis(whole * 2 / 5));
    }

    // Keys with work to do get work in proportion to their weights.
    #[test]
    fn work_follows_weights(weights in prop::collection::vec(1..20_u64, 2..6)) {
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

    // Customers come and go without end; what is held does not grow.
    #[test]
    fn tags_of_many_customers_are_bounded(count in 1..20_000_u32) {
        let mut tags = FairTags::default();
        for customer in 0..count {
            tags.charge(customer, millis(10), 1);
        }
        prop_assert!(tags.len() <= 1_024);
    }
}

// A server that broke is ejected. Once its time is up, one idempotent call
// at a time tries it; a buyer's contract acceptance does not.
#[test]
fn an_ejected_server_comes_back_by_trial() {
    let mut pool = pool(3);
    let mut rng = SmallRng::seed_from_u64(1);
    let broken: Arc<str> = "server-1".into();
    for _ in 0..5 {
        pool.end(WARM, "server-0", TryOutcome::Answered(1.0));
        pool.end(WARM, &broken, TryOutcome::Failed);
    }
    assert_eq!(pool.ejected(), 1);
    let others = ["server-0".into(), "server-2".into()];
    let back = WARM + millis(5_100);
    let acceptance = ServerCriteria {
        allowed: None,
        search: SlotSearch::ByScore,
        idempotent: false,
        ..criteria(&[])
    };
    for _ in 0..50 {
        let server = pool.choose(back, &acceptance, &mut rng);
        let server = server.expect("two servers are well");
        assert_ne!(server.instance, broken);
        pool.end(back, &server.instance, TryOutcome::Nothing);
    }
    let trial = pool.choose(back, &criteria(&others), &mut rng);
    assert_eq!(
        trial.map(|server| server.instance),
        Some(Arc::clone(&broken))
    );
    pool.end(back, &broken, TryOutcome::Answered(1.0));
    assert_eq!(pool.ejected(), 0);
}

// One customer sends 500 calls a second where 20 are taken; a hundred others
// send four and all are taken. Only the hot one is refused at the entry.
#[test]
fn the_throttle_finds_the_hot_customer() {
    let mut throttle = CustomerThrottle::new(3);
    let mut rng = SmallRng::seed_from_u64(3);
    let priority = CallPriority::Normal;
    let (mut hot_passed, mut small_refused) = (0, 0);
    for step in 0..5_000_u64 {
        let now = millis(step * 2);
        if throttle.admit(now, "hot", priority, &mut rng) {
            hot_passed += 1;
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
    assert!((400..900).contains(&hot_passed), "{hot_passed} went on");
}

// A status of 503 or 429 says "later". Without a time callers choose "now",
// and a refused load comes back whole at once.
#[test]
fn whoever_is_told_later_is_told_when() {
    let mut rng = SmallRng::seed_from_u64(1);
    for reason in RefusalReason::ALL {
        if !matches!(reason.status(), 429 | 503) {
            continue;
        }
        let after = retry_advice::retry_after(*reason, CallerTime::default(), &mut rng);
        assert!(after.is_some(), "{reason} gives no time");
    }
}

// Hundreds of callers are refused in one moment. Told the same second, they
// would be the next burst.
#[test]
fn refused_callers_come_back_spread_out() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut seconds: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let full = RefusalReason::QueueFull;
        let after = retry_advice::retry_after(full, CallerTime::default(), &mut rng);
        *seconds
            .entry(after.expect("worth it").as_secs())
            .or_default() += 1;
    }
    assert!(seconds.len() >= 4);
    assert!(seconds.values().all(|callers| *callers < 350));
    assert_eq!(
        retry_advice::retry_after(
            RefusalReason::NoRoute,
            CallerTime::default(),
            &mut rng
        ),
        None
    );
}

// A clerk's call is over in a second. Told to come back after one to five, it
// returns when nobody waits for its answer any more; and callers who do not say
// how long they wait are told as before.
#[test]
fn a_caller_is_told_a_time_that_it_has() {
    let mut rng = SmallRng::seed_from_u64(1);
    for left in [millis(200), millis(1_000), millis(4_000)] {
        let caller = CallerTime {
            left: Some(left),
            fractions: true,
        };
        let mut longest = Duration::ZERO;
        for _ in 0..200 {
            let full = RefusalReason::QueueFull;
            let after = retry_advice::retry_after(full, caller, &mut rng);
            longest = longest.max(after.expect("worth it"));
        }
        assert!(longest <= left / 3, "{longest:?} of {left:?}");
        assert!(longest >= left / 8, "all come back within {longest:?}");
    }
}

// All servers of a service turn half of the calls away, with slots free. Each
// of a caller's tries is taken with even chances, so that the next one soon is
// better than one when its answer is late.
#[test]
fn whoever_was_turned_away_at_random_comes_back_soon() {
    let mut rng = SmallRng::seed_from_u64(1);
    let caller = CallerTime {
        left: Some(millis(4_000)),
        fractions: true,
    };
    for _ in 0..200 {
        let refused = RefusalReason::ServerRefused;
        let after = retry_advice::retry_after(refused, caller, &mut rng);
        assert!(after.is_some_and(|after| after <= millis(120)), "{after:?}");
    }
}

// Seventy nodes are allowed 40 retries at once between them. Each saving up
// ten of its own, they would send 700 after the loss of one server.
#[test]
fn nodes_share_the_retries_that_the_fleet_allows() {
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

// A call whose first try may have run is refused in the second one. A status
// that promises "not run" would make its caller send it again, and a status
// that promises nothing would keep one from coming back that has not run.
#[test]
fn statuses_promise_what_is_true() {
    for reason in RefusalReason::ALL {
        for verdict in [CallVerdict::MayHaveRun, CallVerdict::Ran] {
            let status = reason.status_for(verdict);
            assert!(!matches!(status, 408 | 421 | 429 | 503), "{reason}");
        }
        let status = reason.status_for(CallVerdict::NotRun);
        assert!(!matches!(status, 502 | 504), "{reason}");
    }
}
