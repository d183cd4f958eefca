//! The agreed roster of control instances and the followers that choose by it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_roster::ControlPlanner;
use cowslip_core::control_roster::ControlRoster;
use cowslip_core::control_roster::ControlSeat;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::control_state::ControlState;
use cowslip_core::document::FleetDocument;
use cowslip_core::source_ring::SourceRing;
use cowslip_core::version::ConfigVersion;

const DOMAINS: usize = 5;

fn domain(number: usize) -> Arc<str> {
    format!("domain-{}", number % DOMAINS).into()
}

fn seat(number: usize) -> ControlSeat {
    ControlSeat {
        instance: format!("control-{number:02}").into(),
        failure_domain: domain(number),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16)),
    }
}

fn seats(count: usize) -> Vec<ControlSeat> {
    (0..count).map(seat).collect()
}

fn roster(count: usize) -> ControlRoster {
    ControlRoster {
        seats: seats(count),
    }
}

/// Rings of `count` nodes whose settings name the first three instances.
fn rings(count: usize) -> Vec<SourceRing> {
    let settings: Vec<SocketAddr> = seats(3).iter().map(|seat| seat.address).collect();
    let mut rings = Vec::new();
    for number in 0..count {
        let seed = number as u64 * 7_919;
        rings.push(SourceRing::new(domain(number), &settings, seed));
    }
    rings
}

fn followers_by_source(rings: &[SourceRing]) -> BTreeMap<SocketAddr, usize> {
    let mut counts = BTreeMap::new();
    for ring in rings {
        *counts.entry(ring.current()).or_default() += 1;
    }
    counts
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// Guards against a fleet whose three configured instances serve every node: the
// busiest instance must have little more than its part of the nodes at any size.
#[test]
fn the_busiest_instance_serves_its_part_of_any_number_of_nodes() {
    for (nodes, instances) in [(100, 5), (1_000, 10), (5_000, 15), (10_000, 30)] {
        let mut rings = rings(nodes);
        for ring in &mut rings {
            ring.learn(Duration::ZERO, &roster(instances));
        }
        let counts = followers_by_source(&rings);
        let busiest = counts.values().max().copied().unwrap_or_default();
        let mean = nodes / instances;
        assert_eq!(counts.len(), instances);
        assert!(
            busiest <= mean * 3 / 2,
            "{busiest} of {nodes} at one instance"
        );
    }
}

// Guards against nodes that follow across failure domains although their own has an
// instance: each version and each record would cross for each of them.
#[test]
fn every_node_follows_an_instance_of_its_own_domain() {
    for (number, ring) in rings(500).iter_mut().enumerate() {
        ring.learn(Duration::ZERO, &roster(10));
        let followed = seats(10)
            .into_iter()
            .find(|seat| seat.address == ring.current());
        let followed = followed.expect("a seat of the roster");
        assert_eq!(followed.failure_domain, domain(number));
    }
}

// Guards against followers of a lost instance that all turn to the same next one.
#[test]
fn followers_of_a_lost_instance_spread_over_the_others() {
    let mut rings = rings(1_500);
    for ring in &mut rings {
        ring.learn(Duration::ZERO, &roster(15));
        // All three instances of this domain are lost.
        while ring.current().port() % DOMAINS as u16 == 7_000 % DOMAINS as u16 {
            ring.failed(secs(1));
        }
    }
    let counts = followers_by_source(&rings);
    assert_eq!(counts.len(), 12);
    let busiest = counts.values().max().copied().unwrap_or_default();
    assert!(busiest <= 1_500 / 12 * 3 / 2, "{busiest} at one instance");
}

// Guards against a node that stays without a source because its roster names only
// instances that are gone: it keeps asking those of its settings too.
#[test]
fn a_roster_without_reachable_instances_leaves_those_of_the_settings() {
    let settings = seat(2).address;
    let mut ring = SourceRing::new(domain(0), &[settings], 1);
    ring.learn(
        Duration::ZERO,
        &ControlRoster {
            seats: vec![seat(5)],
        },
    );
    assert_eq!(ring.current(), seat(5).address);
    ring.failed(secs(1));
    assert_eq!(ring.current(), settings);
    ring.failed(secs(2));
    assert_eq!(ring.current(), seat(5).address);
}

// Guards against a node that asks the same few sources in turn, all of them cut off,
// before it has asked each of the others.
#[test]
fn every_source_is_asked_once_before_any_is_asked_again() {
    let mut ring = SourceRing::new(domain(0), &[seat(0).address], 5);
    ring.learn(Duration::ZERO, &roster(10));
    let mut asked = Vec::new();
    while !ring.is_exhausted(secs(1)) {
        asked.push(ring.current());
        ring.failed(secs(1));
    }
    asked.sort();
    let all: Vec<SocketAddr> = seats(10).iter().map(|seat| seat.address).collect();
    assert_eq!(asked, all);
    assert!(!ring.is_exhausted(secs(7)));
}

// Guards against followers that all switch when one instance joins: only those that
// it gains may switch.
#[test]
fn an_instance_that_joins_moves_only_the_followers_that_it_gains() {
    let mut rings = rings(1_000);
    let mut switched = 0;
    for ring in &mut rings {
        ring.learn(Duration::ZERO, &roster(9));
        if ring.learn(secs(1), &roster(10)) {
            assert_eq!(ring.current(), seat(9).address);
            switched += 1;
        }
    }
    assert!(switched > 50 && switched < 150, "{switched} switched");
}

/// Rosters that a plan proposes at the seconds given, with the instances live then.
fn proposed(
    planner: &mut ControlPlanner,
    current: &ControlRoster,
    live: &[ControlSeat],
    at: impl Iterator<Item = u64>,
) -> Vec<ControlRoster> {
    let mut proposed = Vec::new();
    for second in at {
        proposed.extend(planner.plan(secs(second), current, live));
    }
    proposed
}

// Guards against a version for each instance of a fleet that starts.
#[test]
fn instances_that_start_together_get_their_seats_in_one_version() {
    let mut planner = ControlPlanner::default();
    let mut proposals = Vec::new();
    for step in 0..20 {
        let now = Duration::from_millis(step * 100);
        let live = seats((step as usize + 1).min(10));
        proposals.extend(planner.plan(now, &ControlRoster::default(), &live));
    }
    let first = proposals.first().expect("a roster is proposed");
    assert_eq!(*first, roster(10));
}

// Guards against a partition that takes the seats of the other side away, so that
// nodes there are told to leave the instances they can reach.
#[test]
fn instances_that_are_cut_off_keep_their_seats() {
    let mut planner = ControlPlanner::default();
    let live = &seats(10)[..6];
    assert_eq!(proposed(&mut planner, &roster(10), live, 0..500), []);
}

// Guards against a roster that keeps the addresses of replaced instances for ever.
#[test]
fn an_instance_that_stays_away_loses_its_seat() {
    let mut planner = ControlPlanner::default();
    let live = &seats(10)[1..];
    let proposals = proposed(&mut planner, &roster(10), live, 0..700);
    let last = proposals.last().expect("a roster is proposed");
    assert_eq!(last.seats, live);
}

// Guards against a roster that grows without bound while instances are replaced at
// new addresses again and again.
#[test]
fn replaced_instances_do_not_fill_the_roster() {
    let mut planner = ControlPlanner::default();
    let mut current = roster(10);
    for round in 0..200 {
        let live: Vec<ControlSeat> = (round..round + 10).map(seat).collect();
        for second in 0..2 {
            let now = secs(round as u64 * 2 + second);
            if let Some(planned) = planner.plan(now, &current, &live) {
                current = planned;
            }
        }
    }
    assert!(current.seats.len() <= 64, "{} seats", current.seats.len());
    assert!(current.seats.contains(&seat(208)));
}

// Guards against a wildcard address in the roster, at which no node finds anybody.
#[test]
fn an_instance_that_listens_on_any_address_gets_no_seat() {
    let mut planner = ControlPlanner::default();
    let mut unreachable = seat(1);
    unreachable.address = ([0, 0, 0, 0], 7_001).into();
    let live = [seat(0), unreachable];
    let proposals = proposed(&mut planner, &ControlRoster::default(), &live, 0..3);
    assert_eq!(proposals.first(), Some(&roster(1)));
}

fn entry(id: &str, change: ConfigChange) -> ChangeEntry {
    ChangeEntry {
        request_id: id.into(),
        expected: None,
        at_ms: 0,
        change,
    }
}

// Guards against an operator's document that empties the roster: every node would
// return to the instances of its settings.
#[test]
fn an_applied_document_keeps_the_roster() {
    let mut state = ControlState::default();
    let set = entry("roster", ConfigChange::SetControls(roster(10)));
    let at = ConfigVersion::new(1, 1);
    assert_eq!(
        state.apply(at, &set),
        ChangeOutcome::Accepted { version: at }
    );
    let apply = entry("apply", ConfigChange::Apply(FleetDocument::default()));
    state.apply(ConfigVersion::new(1, 2), &apply);
    assert_eq!(state.snapshot().document.controls, roster(10));
}

// Guards against a change of the roster that sends the whole document to each node.
#[test]
fn a_changed_roster_is_a_delta() {
    let snapshot = |index: u64, controls: ControlRoster| ConfigSnapshot {
        version: ConfigVersion::new(1, index),
        document: Arc::new(FleetDocument {
            controls,
            ..FleetDocument::default()
        }),
    };
    let (base, target) = (snapshot(1, roster(9)), snapshot(2, roster(10)));
    let digest = ConfigDigest::of_document(&target.document);
    let delta = ConfigDelta::between(&base, &target, digest).expect("a delta");
    assert_eq!(delta.apply(&base), Ok(target));
}
