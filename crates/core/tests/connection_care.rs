//! Kept connections that went silent get no new work.

use std::net::SocketAddr;
use std::time::Duration;

use cowslip_core::connection_renewal::ConnectionRenewal;

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// A switch forgets every open connection to a server. The first call on one
// of them is lost; the next must not be given to another of them.
#[test]
fn one_silent_call_condemns_the_whole_set() {
    let mut care = ConnectionRenewal::default();
    let first = care.begin(at(0), server(1));
    let other = care.begin(at(0), server(2));
    care.report_silent(server(1), first);
    assert_ne!(care.begin(at(5), server(1)), first);
    assert_eq!(care.begin(at(5), server(2)), other);
}

// Many calls are lost on the same set; their reports come one after the
// other. Only the first may renew, or each would throw away connections that
// are new and sound.
#[test]
fn late_word_of_an_old_set_changes_nothing() {
    let mut care = ConnectionRenewal::default();
    let first = care.begin(at(0), server(1));
    care.report_silent(server(1), first);
    let second = care.begin(at(5), server(1));
    care.report_silent(server(1), first);
    assert_eq!(care.begin(at(9), server(1)), second);
}

// A server that is only slow makes every call look silent. It must not be
// loaded with new connections for each of them as well.
#[test]
fn a_slow_server_is_not_stormed_with_connections() {
    let mut care = ConnectionRenewal::default();
    let mut renewals = 0;
    let mut last = care.begin(at(0), server(1));
    for millis in (0..10_000).step_by(10) {
        let now = Duration::from_millis(millis);
        let generation = care.begin(now, server(1));
        renewals += u32::from(generation != last);
        last = generation;
        care.report_silent(server(1), generation);
    }
    assert!(renewals <= 10, "{renewals} renewals in ten seconds");
}

// Servers come and go by the thousand over the weeks that a node runs.
#[test]
fn unused_servers_are_forgotten() {
    let mut care = ConnectionRenewal::default();
    let first = care.begin(at(0), server(1));
    care.begin(at(50), server(2));
    assert_eq!(care.sweep(at(61)), vec![server(1)]);
    assert_ne!(care.begin(at(62), server(1)), first);
}
