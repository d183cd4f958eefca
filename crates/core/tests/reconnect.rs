//! Herds that come back: admission, waits and the choice of a source.

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

/// Lets `herd` followers come at once and come back when told; the times at
/// which each was taken.
fn herd(herd: usize, cost: ReconnectCost) -> Vec<Duration> {
    let mut admission = ReconnectAdmission::default();
    let mut coming: Vec<(Duration, bool)> = vec![(Duration::ZERO, false); herd];
    let mut taken = Vec::new();
    while !coming.is_empty() {
        coming.sort();
        let mut later = Vec::new();
        for (now, waited) in coming {
            match admission.admit(now, &"node".into(), cost, waited) {
                Ok(()) => taken.push(now),
                Err(after) => later.push((now + after, true)),
            }
        }
        coming = later;
    }
    taken
}

// A failure domain comes back and a thousand nodes ask one instance in the
// same moment. They are taken at the stated rate, every one of them, none
// is told more than a few times, and the instance is never overrun.
#[test]
fn a_herd_is_taken_at_the_rate() {
    let taken = herd(1_000, ReconnectCost::Light);
    assert_eq!(taken.len(), 1_000);
    let last = *taken.last().expect("a thousand");
    assert!(last >= Duration::from_millis(1_500) && last <= Duration::from_secs(3));
    for window in 0..30 {
        let from = Duration::from_millis(window * 100);
        let until = from + Duration::from_secs(1);
        let within = taken.iter().filter(|at| **at >= from && **at < until);
        assert!(
            within.count() <= 700,
            "more than rate and burst in a second"
        );
    }
}

// Starting nodes want everything, so they are taken more slowly; one that
// only reconnects does not wait behind them.
#[test]
fn starting_nodes_do_not_hold_up_the_others() {
    let mut admission = ReconnectAdmission::default();
    let now = Duration::from_secs(1);
    let mut told = 0;
    for number in 0..500 {
        let name = format!("node-{number}").into();
        let heavy = admission.admit(now, &name, ReconnectCost::Heavy(1_000_000), false);
        told += usize::from(heavy.is_err());
    }
    assert!(told > 400);
    let light = admission.admit(now, &"node".into(), ReconnectCost::Light, false);
    assert_eq!(light, Ok(()));
}

// A source stays away. Each node's waits grow to their bound and differ
// from the others', so that the herd does not come back in step.
#[test]
fn waits_grow_and_differ() {
    let mut sums = Vec::new();
    for seed in 0..50 {
        let mut backoff = ReconnectBackoff::new(seed);
        let waits: Vec<Duration> = (0..20).map(|_| backoff.next_wait()).collect();
        assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(10)));
        assert!(waits[0] <= Duration::from_millis(200));
        sums.push(waits.iter().sum::<Duration>());
        backoff.reset();
        assert!(backoff.next_wait() <= Duration::from_millis(200));
        let told = backoff.retry_after(Duration::from_secs(2));
        assert!(told >= Duration::from_secs(2));
    }
    sums.dedup();
    assert_eq!(sums.len(), 50);
}

// Power fails for all instances, and nodes are up two seconds before the
// sources are. Callers of a node get nothing until it has asked again, so that
// must not take longer because it has failed often.
#[test]
fn a_starting_node_asks_soon_after_its_sources_are_up() {
    let longest = Duration::from_millis(200);
    let up_at = Duration::from_secs(2);
    for seed in 0..200 {
        let bound = Duration::from_secs(1);
        let mut backoff = ReconnectBackoff::new(seed).bounded(bound);
        let mut now = Duration::ZERO;
        let mut asked = 0;
        while now < up_at {
            now += backoff.next_starting_wait(longest);
            asked += 1;
        }
        assert!(now <= up_at + longest, "{:?} late", now - up_at);
        assert!(asked < 60, "{asked} questions in two seconds");
    }
}

// The nearest control instance dies. The node turns to others at once, and
// goes back to the near one later, when it answers again.
#[test]
fn near_sources_come_first() {
    let addresses: Vec<SocketAddr> = (1..=3)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    let domains: Vec<Arc<str>> = vec!["hardanger".into(), "sogn".into(), "voss".into()];
    let mut ring = SourceRing::new("voss".into(), &addresses, 0);
    let mut asked = 0;
    let mut now = Duration::ZERO;
    while ring.current() != addresses[2] {
        let domain = &domains[usize::from(ring.current().port()) - 1];
        ring.answered(now, domain);
        asked += 1;
        assert!(asked < 3);
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

// A server was drained, its node restarted, and the instance's clock went
// back in between. What the new process says has a lower number than the
// old drain, and callers would never come again; the node sees the old
// record in the directory and goes above it.
#[test]
fn a_clock_that_went_back_does_not_silence_a_node() {
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

// A lease ended while the node could not be heard. The node finds itself
// gone in the directory and says that it serves; the late tombstone loses.
#[test]
fn a_node_taken_for_dead_comes_back() {
    let mut node = EndpointAnnouncer::new(1);
    let mut gone = node.announce(record(EndpointStanding::Serving));
    let said = gone.clone();
    gone.standing = EndpointStanding::Gone;
    assert!(gone.order() > said.order());
    let again = node.reconcile(&gone).expect("a newer record");
    assert!(again.order() > gone.order());
    assert_eq!(again.standing, EndpointStanding::Serving);
}

// Server and node die together, and only the node comes back. It renews the
// lease under the same name, so it must take the old record back itself.
#[test]
fn a_server_that_did_not_come_back_is_withdrawn() {
    let mut old = EndpointAnnouncer::new(1);
    let serving = old.announce(record(EndpointStanding::Serving));
    let mut new = EndpointAnnouncer::new(2);
    let gone = new.reconcile(&serving).expect("a withdrawal");
    assert_eq!(gone.standing, EndpointStanding::Gone);
    assert!(gone.order() > serving.order());
    let back = new.announce(record(EndpointStanding::Serving));
    assert!(back.order() > gone.order());
}
