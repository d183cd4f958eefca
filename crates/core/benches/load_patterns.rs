//! Results of callers under the load patterns, with the entry router and the
//! server gate of this crate, and with naive replacements that refuse calls
//! when full or queue them without a bound.

#[path = "../tests/load_patterns/fake_fleet.rs"]
#[allow(dead_code)]
mod fake_fleet;
#[path = "../tests/load_patterns/naive_policy.rs"]
mod naive_policy;
#[path = "../tests/load_patterns/scenarios.rs"]
#[allow(dead_code)]
mod scenarios;

use std::time::Duration;

use cowslip_core::load::queue_order::QueueOrder;

use crate::fake_fleet::CallerResult;
use crate::fake_fleet::PolicyKind;
use crate::scenarios::summarize;

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn show<'a>(name: &str, received: impl IntoIterator<Item = &'a CallerResult>) {
    let summary = summarize(received);
    println!(
        "{name:22} {:7} {:8.3} {:8.1} {:8.1} {:12.1} {:6.2}",
        summary.offered,
        summary.in_time,
        ms(summary.p50),
        ms(summary.p99),
        ms(summary.refused_p99),
        summary.tries
    );
}

fn patterns(policy: PolicyKind) {
    show("burst", &scenarios::burst(policy));
    let hot = scenarios::hot_customer(policy);
    show(
        "hot: small customers",
        scenarios::by_customer(&hot, "small"),
    );
    show("hot: the hot customer", scenarios::by_customer(&hot, "hot"));
    let mixed = scenarios::priorities(policy);
    show(
        "priority: high",
        scenarios::by_route(&mixed, scenarios::PRICES),
    );
    show(
        "priority: low",
        scenarios::by_route(&mixed, scenarios::QUOTA),
    );
    show("slow server", &scenarios::slow_server(policy));
    show("server fails fast", &scenarios::fails_fast(policy));
    show("after all failed", &scenarios::all_fail(policy));
    let jobs = scenarios::long_jobs(policy);
    show("short jobs", scenarios::by_route(&jobs, scenarios::PRICES));
    show("long jobs", scenarios::by_route(&jobs, scenarios::EXPORT));
    show("hot failure domain", &scenarios::hot_domain(policy));
    for times in [1.0, 2.0, 3.0, 5.0] {
        let name = format!("overload {times}");
        show(&name, &scenarios::overload(policy, times));
    }
    show("overstated slots", &scenarios::overstated_slots(policy));
    show("after a storm", &scenarios::after_storm(policy));
    show("a cold server joins", &scenarios::cold_join(policy));
    println!(
        "hot key, calls started by server: {:?}",
        scenarios::hot_key(policy)
    );
}

fn orders(times: f64, deadline: u64) {
    for order in [QueueOrder::OldestFirst, QueueOrder::NewestFirst] {
        let name = format!("{order:?} {times} {deadline}");
        show(&name, &scenarios::with_queue_order(order, times, deadline));
    }
}

fn main() {
    println!(
        "{:22} offered  in time  p50 ms   p99 ms  refused p99  tries",
        ""
    );
    let policies = [
        ("this crate", PolicyKind::Real),
        ("naive, refuses when full", PolicyKind::Naive(0)),
        ("naive, unbounded queue", PolicyKind::Naive(usize::MAX)),
    ];
    for (name, policy) in policies {
        println!("-- {name}");
        patterns(policy);
    }
    println!("-- queue order, by load and deadline in ms");
    for (times, deadline) in [(1.0, 200), (1.2, 200), (3.0, 200), (3.0, 50), (3.0, 30)] {
        orders(times, deadline);
    }
}
