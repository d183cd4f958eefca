//! What callers receive under the load patterns, with the modules and with
//! naive code in their place. `cargo bench -p cowslip-core --bench
//! load_patterns` prints the figures of both.

mod fake_fleet;
mod naive_side;
// The benchmark prints some figures that no test judges.
#[allow(dead_code)]
mod scenarios;

use cowslip_core::load::queue_order::QueueOrder;

use fake_fleet::Side;
use scenarios::figures;
use scenarios::millis;
use scenarios::of;
use scenarios::on;
use scenarios::EXPORT;
use scenarios::PRICES;
use scenarios::QUOTA;

const REFUSING: Side = Side::Naive(0);
const UNBOUNDED: Side = Side::Naive(usize::MAX);

// Two hundred buyers ask within 10 ms, thirteen for each slot. All could be
// answered within 150 ms; a gate without a queue turns some away because it
// refuses at once, and three tries later all gates are still full.
#[test]
fn a_burst_is_served_whole() {
    let with = figures(&scenarios::burst(Side::Real));
    assert_eq!(with.in_time, 1.0);
    assert!(with.p99 < millis(150));
    let without = figures(&scenarios::burst(REFUSING));
    assert!(without.in_time < 0.95);
}

// One customer sends four times what the service can do, through all entry
// nodes at once. The others send a quarter of what it can do and time out
// behind the hot one's calls, or lose to it at full gates.
#[test]
fn a_hot_customer_takes_nobodys_share() {
    let with = scenarios::hot_customer(Side::Real);
    let small = figures(of(&with, "small"));
    assert!(small.in_time > 0.999);
    assert!(small.p99 < millis(40));
    let hot = figures(of(&with, "hot"));
    assert!(hot.in_time > 0.15, "what others leave is the hot one's");
    assert!(hot.tries < 0.7, "most is refused without a hop");
    for side in [REFUSING, UNBOUNDED] {
        let without = scenarios::hot_customer(side);
        assert!(figures(of(&without, "small")).in_time < 0.5);
    }
}

// Growers check their quota at twice what the service can do while buyers
// read price sheets. Buyers time out behind growers; with plain priority
// growers would get nothing for as long as it lasts.
#[test]
fn buyers_go_first_and_growers_are_served() {
    let with = scenarios::priorities(Side::Real);
    let buyers = figures(on(&with, PRICES));
    assert!(buyers.in_time > 0.999);
    assert!(buyers.p99 < millis(40));
    let growers = figures(on(&with, QUOTA));
    assert!(
        growers.in_time > 0.33,
        "all that buyers leave: 1,100 of 3,000"
    );
    let without = scenarios::priorities(UNBOUNDED);
    assert!(figures(on(&without, PRICES)).in_time < 0.2);
}

// One server of six takes ten times as long. Calls sent there wait in its
// queue until their deadline although five others have free slots.
#[test]
fn a_slow_server_gets_less() {
    let with = figures(&scenarios::slow_server(Side::Real));
    assert!(with.in_time > 0.999);
    assert!(with.p99 < millis(60), "fewer than 1 in 100 go there");
    let without = figures(&scenarios::slow_server(UNBOUNDED));
    assert!(without.in_time < 0.98);
    assert!(without.p99 > millis(100));
}

// One server of six fails every call at once. It never has work outstanding,
// so it looks idle and gets more calls than the servers that work.
#[test]
fn a_server_that_fails_fast_does_not_look_idle() {
    let with = figures(&scenarios::fails_fast(Side::Real));
    assert!(with.in_time > 0.99);
    let without = figures(&scenarios::fails_fast(UNBOUNDED));
    assert!(without.in_time < 0.8);
}

// Something behind all servers is down for half a second, then everything
// works. Ejecting each server for its failures would leave nobody to serve.
#[test]
fn when_all_fail_nobody_is_ejected() {
    let with = figures(&scenarios::all_fail(Side::Real));
    assert!(with.in_time > 0.999);
    assert!(with.p99 < millis(20));
}

// Exports of 400 ms fill all slots, and price sheets of 10 ms wait behind
// them until their deadline.
#[test]
fn long_jobs_do_not_block_short_ones() {
    let with = scenarios::long_jobs(Side::Real);
    let short = figures(on(&with, PRICES));
    assert!(short.in_time > 0.999);
    assert!(short.p99 < millis(50));
    assert!(figures(on(&with, EXPORT)).in_time > 0.4);
    let without = scenarios::long_jobs(UNBOUNDED);
    assert!(figures(on(&without, PRICES)).in_time < 0.01);
}

// All callers come to nodes of one failure domain whose server can take two
// thirds of them; the other domains' servers are idle.
#[test]
fn a_full_failure_domain_widens() {
    let with = figures(&scenarios::hot_domain(Side::Real));
    assert_eq!(with.in_time, 1.0);
    assert!(with.p99 < millis(15));
}

// Callers send up to five times what the servers can do. In a queue without
// a bound every call waits until it is too late, and goodput goes to nothing
// with every slot busy.
#[test]
fn goodput_stays_level_up_to_five_times_the_capacity() {
    for times in [1.0, 2.0, 3.0, 5.0] {
        let with = figures(&scenarios::overload(Side::Real, times));
        let goodput = with.in_time * times;
        assert!(goodput > 0.98, "{goodput} of capacity at {times}");
        assert!(with.p99 < millis(120));
        assert!(with.refused_p99 < millis(60), "refusals are told soon");
        assert!(with.tries < 1.2, "no retry storm");
    }
    let without = figures(&scenarios::overload(UNBOUNDED, 3.0));
    assert!(without.in_time * 3.0 < 0.2);
    let without = figures(&scenarios::overload(REFUSING, 3.0));
    assert!(without.tries > 2.5);
}

// Servers announced four times the slots they can run. With all of them
// filled each job takes sixteen times as long, and nearly all time out.
#[test]
fn a_server_gets_no_more_at_once_than_it_can_run() {
    let with = figures(&scenarios::overstated_slots(Side::Real));
    assert!(with.in_time > 0.5, "of 0.667 that are possible");
    for side in [REFUSING, UNBOUNDED] {
        let without = figures(&scenarios::overstated_slots(side));
        assert!(without.in_time < 0.2);
    }
}

// Refused callers of a short storm ask again, up to five times. If they come
// back at once they keep the service full long after the storm: callers who
// come a second later are still not served at their first asking.
#[test]
fn a_storm_leaves_nothing_behind() {
    let with = figures(&scenarios::after_storm(Side::Real));
    assert_eq!(with.in_time, 1.0);
    assert!(with.p99 < millis(60));
    let without = figures(&scenarios::after_storm(UNBOUNDED));
    assert!(without.in_time < 0.7);
}

// A server comes (back) beside five busy ones, and every entry node sees one
// with nothing outstanding. All run to it, it is cold, and their calls fail.
#[test]
fn nobody_herds_onto_a_server_that_just_came() {
    let with = figures(&scenarios::cold_join(Side::Real));
    assert!(with.in_time > 0.98);
    let without = figures(&scenarios::cold_join(UNBOUNDED));
    assert!(without.in_time < with.in_time);
}

// One lot's page is read by everyone. Bound to one server by its key it
// would fill that server while five others idle.
#[test]
fn a_hot_key_spreads() {
    let begun = scenarios::hot_key(Side::Real);
    let most = begun.iter().max().copied().unwrap_or(0);
    let all: u32 = begun.iter().sum();
    assert!(f64::from(most) < 1.3 * f64::from(all) / begun.len() as f64);
}

// The order of the queue was chosen by these figures: oldest first answers
// as many in time as newest first, and no caller waits longer for less.
#[test]
fn oldest_first_loses_nothing_to_newest_first() {
    for (times, deadline) in [(1.2, 200), (3.0, 200), (3.0, 30)] {
        let oldest = scenarios::ordered(QueueOrder::OldestFirst, times, deadline);
        let newest = scenarios::ordered(QueueOrder::NewestFirst, times, deadline);
        let oldest = figures(&oldest);
        let newest = figures(&newest);
        assert!(oldest.in_time > newest.in_time - 0.005);
    }
}
