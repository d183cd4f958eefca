//! Renewal of pooled connections after calls without any answer.

use std::net::SocketAddr;
use std::time::Duration;

use cowslip_core::connection_renewal::ConnectionRenewal;

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// Guards against losing one call per pooled connection after a switch drops the
// state of all connections to a server.
#[test]
fn one_silent_call_retires_the_whole_generation() {
    let mut renewal = ConnectionRenewal::default();
    let first = renewal.begin(at(0), server(1));
    let other = renewal.begin(at(0), server(2));
    renewal.report_silent(server(1), first);
    assert_ne!(renewal.begin(at(5), server(1)), first);
    assert_eq!(renewal.begin(at(5), server(2)), other);
}

// Guards against discarding new, working connections: many calls are lost on
// one generation and are reported one after the other, but only the first
// report may cause a renewal.
#[test]
fn reports_of_an_old_generation_are_ignored() {
    let mut renewal = ConnectionRenewal::default();
    let first = renewal.begin(at(0), server(1));
    renewal.report_silent(server(1), first);
    let second = renewal.begin(at(5), server(1));
    renewal.report_silent(server(1), first);
    assert_eq!(renewal.begin(at(9), server(1)), second);
}

// Guards against loading a slow server further with a new set of connections
// for each call that times out without an answer.
#[test]
fn slow_server_gets_few_renewals() {
    let mut renewal = ConnectionRenewal::default();
    let mut renewals = 0;
    let mut last = renewal.begin(at(0), server(1));
    for millis in (0..10_000).step_by(10) {
        let now = Duration::from_millis(millis);
        let generation = renewal.begin(now, server(1));
        renewals += u32::from(generation != last);
        last = generation;
        renewal.report_silent(server(1), generation);
    }
    assert!(renewals <= 10, "{renewals} renewals in ten seconds");
}

// Guards against unbounded growth: thousands of servers come and go over the
// weeks that a node runs.
#[test]
fn unused_servers_are_forgotten() {
    let mut renewal = ConnectionRenewal::default();
    let first = renewal.begin(at(0), server(1));
    renewal.begin(at(50), server(2));
    assert_eq!(renewal.sweep(at(61)), vec![server(1)]);
    assert_ne!(renewal.begin(at(62), server(1)), first);
}
