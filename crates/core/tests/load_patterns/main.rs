//! Results of callers under the load patterns, with the entry router and the
//! server gate of this crate and with naive replacements. `cargo bench -p
//! cowslip-core --bench load_patterns` prints the figures of both.

mod fake_fleet;
mod naive_policy;
// The benchmark prints some figures that no test checks.
#[allow(dead_code)]
mod scenarios;

use cowslip_core::load::queue_order::QueueOrder;

use fake_fleet::PolicyKind;
use scenarios::by_customer;
use scenarios::by_route;
use scenarios::millis;
use scenarios::summarize;
use scenarios::EXPORT;
use scenarios::PRICES;
use scenarios::QUOTA;

const NAIVE_WITHOUT_QUEUE: PolicyKind = PolicyKind::Naive(0);
const NAIVE_UNBOUNDED_QUEUE: PolicyKind = PolicyKind::Naive(usize::MAX);

// Two hundred calls arrive within 10 ms, thirteen for each slot. All can be
// answered within 150 ms. A gate without a queue refuses at once when it is
// full, and some calls fail because all gates are still full three tries later.
#[test]
fn a_burst_is_answered_completely() {
    let with = summarize(&scenarios::burst(PolicyKind::Real));
    assert_eq!(with.in_time, 1.0);
    assert!(with.p99 < millis(150));
    let without = summarize(&scenarios::burst(NAIVE_WITHOUT_QUEUE));
    assert!(without.in_time < 0.95);
}

// One customer sends four times the capacity of the service through all entry
// nodes at once. Guards against the other customers, who send a quarter of the
// capacity, timing out in the queue behind its calls or being refused at gates
// that its calls fill.
#[test]
fn a_hot_customer_does_not_starve_others() {
    let with = scenarios::hot_customer(PolicyKind::Real);
    let small = summarize(by_customer(&with, "small"));
    assert!(small.in_time > 0.999);
    assert!(small.p99 < millis(40));
    let hot = summarize(by_customer(&with, "hot"));
    assert!(
        hot.in_time > 0.15,
        "the hot customer gets the remaining capacity"
    );
    assert!(hot.tries < 0.7, "most calls are refused by the entry node");
    for policy in [NAIVE_WITHOUT_QUEUE, NAIVE_UNBOUNDED_QUEUE] {
        let without = scenarios::hot_customer(policy);
        assert!(summarize(by_customer(&without, "small")).in_time < 0.5);
    }
}

// Growers check their quota at twice the capacity of the service while buyers
// read price sheets. Guards against buyers timing out behind growers, and
// against growers getting nothing, as they would with strict priority.
#[test]
fn high_priority_is_served_first_without_starving_low_priority() {
    let with = scenarios::priorities(PolicyKind::Real);
    let buyers = summarize(by_route(&with, PRICES));
    assert!(buyers.in_time > 0.999);
    assert!(buyers.p99 < millis(40));
    let growers = summarize(by_route(&with, QUOTA));
    assert!(
        growers.in_time > 0.33,
        "growers get the capacity that buyers leave: 1,100 of 3,000"
    );
    let without = scenarios::priorities(NAIVE_UNBOUNDED_QUEUE);
    assert!(summarize(by_route(&without, PRICES)).in_time < 0.2);
}

// One of six servers takes ten times as long as the others. Guards against
// calls waiting in its queue until their deadline while five other servers have
// free slots.
#[test]
fn a_slow_server_gets_fewer_calls() {
    let with = summarize(&scenarios::slow_server(PolicyKind::Real));
    assert!(with.in_time > 0.999);
    assert!(
        with.p99 < millis(60),
        "fewer than 1 in 100 calls go to the slow server"
    );
    let without = summarize(&scenarios::slow_server(NAIVE_UNBOUNDED_QUEUE));
    assert!(without.in_time < 0.98);
    assert!(without.p99 > millis(100));
}

// One of six servers fails every call at once. Guards against sending it more
// calls than the healthy servers because it never has calls outstanding and so
// looks idle.
#[test]
fn a_server_that_fails_fast_does_not_attract_calls() {
    let with = summarize(&scenarios::fails_fast(PolicyKind::Real));
    assert!(with.in_time > 0.99);
    let without = summarize(&scenarios::fails_fast(NAIVE_UNBOUNDED_QUEUE));
    assert!(without.in_time < 0.8);
}

// A dependency of all servers is down for half a second and then recovers.
// Guards against ejecting every server for its failures, which would leave none
// to answer calls.
#[test]
fn no_server_is_ejected_when_all_fail() {
    let with = summarize(&scenarios::all_fail(PolicyKind::Real));
    assert!(with.in_time > 0.999);
    assert!(with.p99 < millis(20));
}

// Guards against jobs of 10 ms waiting until their deadline behind jobs of
// 400 ms that fill all slots.
#[test]
fn long_jobs_do_not_block_short_ones() {
    let with = scenarios::long_jobs(PolicyKind::Real);
    let short = summarize(by_route(&with, PRICES));
    assert!(short.in_time > 0.999);
    assert!(short.p99 < millis(50));
    assert!(summarize(by_route(&with, EXPORT)).in_time > 0.4);
    let without = scenarios::long_jobs(NAIVE_UNBOUNDED_QUEUE);
    assert!(summarize(by_route(&without, PRICES)).in_time < 0.01);
}

// All calls enter through one failure domain, whose server has capacity for two
// thirds of them, while the servers of the other domains are idle. Guards
// against refusing calls instead of sending them to the other domains.
#[test]
fn calls_overflow_from_a_full_failure_domain() {
    let with = summarize(&scenarios::hot_domain(PolicyKind::Real));
    assert_eq!(with.in_time, 1.0);
    assert!(with.p99 < millis(15));
}

// Callers send up to five times the capacity of the servers. In an unbounded
// queue every call waits until its deadline has passed, and goodput drops to
// nothing although every slot is busy.
#[test]
fn goodput_does_not_drop_up_to_five_times_the_capacity() {
    for times in [1.0, 2.0, 3.0, 5.0] {
        let with = summarize(&scenarios::overload(PolicyKind::Real, times));
        let goodput = with.in_time * times;
        assert!(goodput > 0.98, "{goodput} of capacity at {times}");
        assert!(with.p99 < millis(120));
        assert!(with.refused_p99 < millis(60), "calls are refused early");
        assert!(with.tries < 1.2, "no retry storm");
    }
    let without = summarize(&scenarios::overload(NAIVE_UNBOUNDED_QUEUE, 3.0));
    assert!(without.in_time * 3.0 < 0.2);
    let without = summarize(&scenarios::overload(NAIVE_WITHOUT_QUEUE, 3.0));
    assert!(without.tries > 2.5);
}

// Servers announce four times as many slots as they can run jobs at once. With
// all slots filled each job takes sixteen times as long and nearly all time
// out.
#[test]
fn a_server_with_overstated_slots_is_not_overloaded() {
    let with = summarize(&scenarios::overstated_slots(PolicyKind::Real));
    assert!(with.in_time > 0.5, "at most 0.667 is possible");
    for policy in [NAIVE_WITHOUT_QUEUE, NAIVE_UNBOUNDED_QUEUE] {
        let without = summarize(&scenarios::overstated_slots(policy));
        assert!(without.in_time < 0.2);
    }
}

// Callers that are refused during a short overload resend up to five times. If
// they resend at once, they keep the service full long after the overload:
// calls made a second later are still refused on the first send.
#[test]
fn the_service_recovers_after_a_short_overload() {
    let with = summarize(&scenarios::after_storm(PolicyKind::Real));
    assert_eq!(with.in_time, 1.0);
    assert!(with.p99 < millis(60));
    let without = summarize(&scenarios::after_storm(NAIVE_UNBOUNDED_QUEUE));
    assert!(without.in_time < 0.7);
}

// A cold server joins, or rejoins, five busy ones. Guards against every entry
// node sending its calls to the new server because none is outstanding there,
// so that the calls fail.
#[test]
fn a_cold_server_is_not_flooded_when_it_joins() {
    let with = summarize(&scenarios::cold_join(PolicyKind::Real));
    assert!(with.in_time > 0.98);
    let without = summarize(&scenarios::cold_join(NAIVE_UNBOUNDED_QUEUE));
    assert!(without.in_time < with.in_time);
}

// Everyone reads the page of one lot. Guards against routing by key to a single
// server, which would fill that server while five others are idle.
#[test]
fn a_hot_key_is_spread_over_all_servers() {
    let started_calls = scenarios::hot_key(PolicyKind::Real);
    let most = started_calls.iter().max().copied().unwrap_or(0);
    let all: u32 = started_calls.iter().sum();
    assert!(f64::from(most) < 1.3 * f64::from(all) / started_calls.len() as f64);
}

// The queue serves the oldest call first because that answers as many calls in
// time as newest first, and no caller waits longer for a worse result.
#[test]
fn oldest_first_answers_as_many_in_time_as_newest_first() {
    for (times, deadline) in [(1.2, 200), (3.0, 200), (3.0, 30)] {
        let oldest =
            scenarios::with_queue_order(QueueOrder::OldestFirst, times, deadline);
        let newest =
            scenarios::with_queue_order(QueueOrder::NewestFirst, times, deadline);
        let oldest = summarize(&oldest);
        let newest = summarize(&newest);
        assert!(oldest.in_time > newest.in_time - 0.005);
    }
}
