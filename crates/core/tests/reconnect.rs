//! Mass reconnection: admission control, backoff, the choice of a source, and
//! the announcement of endpoints after a restart.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::endpoint_announcer::EndpointAnnouncer;
use cowslip_core::reconnect_admission::ReconnectAdmission;
use cowslip_core::reconnect_admission::ReconnectCost;
use cowslip_core::reconnect_backoff::ReconnectBackoff;
use cowslip_core::source_ring::SourceRing;

/// The times at which `count` followers are admitted that come at once and
/// retry at the times given to them.
fn admission_times(count: usize, cost: ReconnectCost) -> Vec<Duration> {
    let mut admission = ReconnectAdmission::default();
    let mut arrivals: Vec<(Duration, bool)> = vec![(Duration::ZERO, false); count];
    let mut admitted = Vec::new();
    while !arrivals.is_empty() {
        arrivals.sort();
        let mut later = Vec::new();
        for (now, waited) in arrivals {
            match admission.admit(now, &"node".into(), cost, waited) {
                Ok(()) => admitted.push(now),
                Err(after) => later.push((now + after, true)),
            }
        }
        arrivals = later;
    }
    admitted
}

// Guards against an instance that is overloaded when a failure domain comes
// back and a thousand nodes send requests at the same moment. All are admitted
// within a few seconds, and never more than the rate and the burst in a second.
#[test]
fn a_mass_reconnection_is_admitted_at_the_rate() {
    let admitted = admission_times(1_000, ReconnectCost::Light);
    assert_eq!(admitted.len(), 1_000);
    let last = *admitted.last().expect("a thousand");
    assert!(last >= Duration::from_millis(1_500) && last <= Duration::from_secs(3));
    for window in 0..30 {
        let from = Duration::from_millis(window * 100);
        let until = from + Duration::from_secs(1);
        let within = admitted.iter().filter(|at| **at >= from && **at < until);
        assert!(
            within.count() <= 700,
            "more than the rate and the burst in a second"
        );
    }
}

// Guards against reconnecting nodes that wait behind starting ones, which need
// a full copy and are admitted more slowly.
#[test]
fn starting_nodes_do_not_delay_reconnecting_ones() {
    let mut admission = ReconnectAdmission::default();
    let now = Duration::from_secs(1);
    let mut deferred = 0;
    for number in 0..500 {
        let name = format!("node-{number}").into();
        let heavy = admission.admit(now, &name, ReconnectCost::Heavy(1_000_000), false);
        deferred += usize::from(heavy.is_err());
    }
    assert!(deferred > 400);
    let light = admission.admit(now, &"node".into(), ReconnectCost::Light, false);
    assert_eq!(light, Ok(()));
}

// Guards against nodes that retry in step while a source is down. The waits of
// each node grow up to a bound and differ from those of the other nodes.
#[test]
fn backoff_waits_grow_and_differ_between_nodes() {
    let mut sums = Vec::new();
    for seed in 0..50 {
        let mut backoff = ReconnectBackoff::new(seed);
        let waits: Vec<Duration> = (0..20).map(|_| backoff.next_wait()).collect();
        assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(10)));
        assert!(waits[0] <= Duration::from_millis(200));
        sums.push(waits.iter().sum::<Duration>());
        backoff.reset();
        assert!(backoff.next_wait() <= Duration::from_millis(200));
        let wait = backoff.retry_after(Duration::from_secs(2));
        assert!(wait >= Duration::from_secs(2));
    }
    sums.dedup();
    assert_eq!(sums.len(), 50);
}

// Guards against starting nodes whose backoff has grown after a power failure
// in which they start two seconds before the sources. A node cannot serve
// callers until it has sent another request.
#[test]
fn a_starting_node_retries_soon_after_its_sources_are_up() {
    let longest = Duration::from_millis(200);
    let up_at = Duration::from_secs(2);
    for seed in 0..200 {
        let bound = Duration::from_secs(1);
        let mut backoff = ReconnectBackoff::new(seed).bounded(bound);
        let mut now = Duration::ZERO;
        let mut requests = 0;
        while now < up_at {
            now += backoff.next_starting_wait(longest);
            requests += 1;
        }
        assert!(now <= up_at + longest, "{:?} late", now - up_at);
        assert!(requests < 60, "{requests} requests in two seconds");
    }
}

// Guards against a first wait that is longer than the bound set for a small fleet.
#[test]
fn no_wait_exceeds_its_bound() {
    let bound = Duration::from_millis(50);
    for seed in 0..200 {
        let mut backoff = ReconnectBackoff::new(seed).bounded(bound);
        for _ in 0..2 {
            let wait = backoff.next_wait();
            assert!(wait <= bound, "seed {seed}: {wait:?}");
        }
        backoff.reset();
        assert!(backoff.next_wait() <= bound, "seed {seed}, after a reset");
    }
}

// Guards against a node that stays with a dead source, or with a remote one
// when the local one is back. The node switches to another source at once and
// returns to the source in its own failure domain later.
#[test]
fn sources_in_the_same_failure_domain_are_preferred() {
    let addresses: Vec<SocketAddr> = (1..=3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let domains: Vec<Arc<str>> = vec!["hardanger".into(), "sogn".into(), "voss".into()];
    let mut ring = SourceRing::new("voss".into(), &addresses, 0);
    let mut requests = 0;
    let mut now = Duration::ZERO;
    while ring.current() != addresses[2] {
        let domain = &domains[usize::from(ring.current().port()) - 1];
        ring.answered(now, domain);
        requests += 1;
        assert!(requests < 3);
    }
    assert!(!ring.answered(now, &domains[2]));
    ring.failed(now);
    assert_ne!(ring.current(), addresses[2]);
    let away = domains[usize::from(ring.current().port()) - 1].clone();
    assert!(!ring.answered(now, &away));
    now += Duration::from_secs(121);
    assert!(ring.answered(now, &away));
    assert_eq!(ring.current(), addresses[2]);
}

fn record(standing: EndpointStanding) -> EndpointRecord {
    EndpointRecord {
        instance: "server-1".into(),
        service: "contract".into(),
        version: "v1".into(),
        failure_domain: "voss".into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        slots: 10,
        standing,
        incarnation: 0,
        sequence: 0,
    }
}

// Guards against a server that stays drained because the clock was set back
// before its node restarted, so that the new records are older than the old
// drain. The node sees the old record in the directory and announces a newer
// one.
#[test]
fn a_clock_that_was_set_back_does_not_hide_a_node() {
    let mut old = EndpointAnnouncer::new(5_000);
    let drained = old.announce(record(EndpointStanding::Draining));
    let mut new = EndpointAnnouncer::new(4_000);
    let serving = new.announce(record(EndpointStanding::Serving));
    assert!(serving.order() < drained.order());
    let again = new.reconcile(&drained).expect("a newer record");
    assert!(again.order() > drained.order());
    assert_eq!(again.standing, EndpointStanding::Serving);
    assert_eq!(new.reconcile(&again), None);
}

// Guards against a live server that stays gone after its lease expired while
// its node was unreachable. The node sees the tombstone in the directory and
// announces a record that supersedes it.
#[test]
fn a_node_whose_lease_expired_announces_itself_again() {
    let mut node = EndpointAnnouncer::new(1);
    let mut gone = node.announce(record(EndpointStanding::Serving));
    let serving = gone.clone();
    gone.standing = EndpointStanding::Gone;
    assert!(gone.order() > serving.order());
    let again = node.reconcile(&gone).expect("a newer record");
    assert!(again.order() > gone.order());
    assert_eq!(again.standing, EndpointStanding::Serving);
}

// Guards against a dead server that stays listed because its node, which died
// with it, restarted alone and renews the lease under the same name. The node
// must withdraw the old record.
#[test]
fn a_server_that_did_not_restart_is_withdrawn() {
    let mut old = EndpointAnnouncer::new(1);
    let serving = old.announce(record(EndpointStanding::Serving));
    let mut new = EndpointAnnouncer::new(2);
    let gone = new.reconcile(&serving).expect("a withdrawal");
    assert_eq!(gone.standing, EndpointStanding::Gone);
    assert!(gone.order() > serving.order());
    let returned = new.announce(record(EndpointStanding::Serving));
    assert!(returned.order() > gone.order());
}
