//! Followers: which versions a node accepts, from which sources, and when.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::config_history::ConfigHistory;
use cowslip_core::config_history::ConfigUpdate;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;
use cowslip_core::follower_queue::FollowerState;
use cowslip_core::source_proof::SourceFreshness;
use cowslip_core::source_proof::SourceProof;
use cowslip_core::source_proof::FRESH_FOR;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;
use cowslip_core::version_follower::FollowStep;
use cowslip_core::version_follower::VersionFollower;
use cowslip_core::version_follower::START_TIMEOUT;

fn at(index: u64) -> ConfigVersion {
    ConfigVersion::new(1, index)
}

fn snapshot(index: u64) -> ConfigSnapshot {
    let mut document = FleetDocument::default();
    document.defaults.set(TuningKey::DeadlineMs, index);
    ConfigSnapshot {
        version: at(index),
        document: Arc::new(document),
    }
}

/// The history of a source that has received every version up to `index`.
fn source(index: u64) -> ConfigHistory {
    let mut history = ConfigHistory::default();
    for index in 1..=index {
        history.publish(snapshot(index));
    }
    history
}

fn proof(domain: &str, index: u64, confirmed: bool) -> SourceProof {
    SourceProof {
        instance: format!("control-{domain}").into(),
        failure_domain: domain.into(),
        version: at(index),
        fresh_ms: u64::from(confirmed) * 1_000,
        confirmed,
    }
}

fn update_for(history: &mut ConfigHistory, follower: &VersionFollower) -> ConfigUpdate {
    history.update_for(&FollowerState {
        held: follower.held(),
        refused: follower.refused().unwrap_or_default(),
        whole: follower.needs_snapshot(),
        revision: 0,
        reads_batches: false,
    })
}

/// Processes the answer of a source in `domain` that holds version `index`,
/// and applies the snapshot if one is offered.
fn ask(
    follower: &mut VersionFollower,
    now: Duration,
    domain: &str,
    index: u64,
    confirmed: bool,
    acknowledged: Option<ConfigVersion>,
) -> FollowStep {
    let mut history = source(index);
    let update = update_for(&mut history, follower);
    let proof = proof(domain, index, confirmed);
    let mut step = follower.handle_update(now, proof, acknowledged, update);
    while let FollowStep::Fetch { version, at } = step {
        let chunk = history.chunk(version, at);
        step = follower.chunk(now, chunk.as_deref());
    }
    if let FollowStep::Offer(snapshot) = &step {
        follower.record_outcome(snapshot.version, None);
    }
    step
}

/// A time at which unconfirmed versions may be accepted.
const LATE: Duration = START_TIMEOUT;

// Guards against a rollback on the wrong side of an undetected partition. A
// node that had applied version 5 restarts without memory, and the only
// instance it reaches still holds version 3. The node waits, however long,
// and accepts version 5 from a confirmed source.
#[test]
fn an_isolated_instance_does_not_roll_a_node_back() {
    let mut follower = VersionFollower::new(Duration::ZERO);
    for seconds in [0, 5, 20, 3_600] {
        let now = Duration::from_secs(seconds);
        let step = ask(&mut follower, now, "voss", 3, false, None);
        assert_eq!(step, FollowStep::AskElsewhere);
    }
    assert_eq!(follower.held(), ConfigVersion::ZERO);
    ask(&mut follower, LATE, "sogn", 5, true, None);
    assert_eq!(follower.held(), at(5));
    ask(&mut follower, LATE, "voss", 3, false, None);
    assert_eq!(follower.held(), at(5));
}

// Guards against a starting node that turns from source to source without ever getting a
// version: while servers come and go each of them answers at once with what it knows of
// these, and needs a moment more to confirm its version.
#[test]
fn a_starting_node_asks_a_source_in_touch_with_the_leader_again() {
    let mut follower = VersionFollower::new(Duration::ZERO);
    let now = Duration::from_millis(100);
    let mut history = source(3);
    let mut answer = |follower: &mut VersionFollower, domain: &str, confirmed: bool| {
        let update = update_for(&mut history, follower);
        let in_touch = SourceProof {
            fresh_ms: 1_000,
            ..proof(domain, 3, confirmed)
        };
        let mut step = follower.handle_update(now, in_touch, None, update);
        while let FollowStep::Fetch { version, at } = step {
            step = follower.chunk(now, history.chunk(version, at).as_deref());
        }
        step
    };
    assert_eq!(answer(&mut follower, "voss", false), FollowStep::Ask);
    assert_eq!(answer(&mut follower, "voss", false), FollowStep::Ask);
    let offered = FollowStep::Offer(snapshot(3));
    assert_eq!(answer(&mut follower, "voss", true), offered);

    // A source that never confirms is left, and the next one gets as many answers.
    let mut follower = VersionFollower::new(Duration::ZERO);
    let asks =
        |follower: &mut VersionFollower,
         domain: &str,
         answer: &mut dyn FnMut(&mut VersionFollower, &str, bool) -> FollowStep| {
            let mut asks = 1;
            while answer(follower, domain, false) == FollowStep::Ask {
                asks += 1;
                assert!(asks < 10, "{domain} is never left");
            }
            asks
        };
    let first = asks(&mut follower, "voss", &mut answer);
    assert_eq!(asks(&mut follower, "sogn", &mut answer), first);
}

// Guards against nodes that serve no caller because all voting instances are
// down when they restart. After the timeout the highest version of two failure
// domains is accepted.
#[test]
fn without_a_confirmed_source_the_highest_of_two_domains_is_accepted() {
    let mut follower = VersionFollower::new(Duration::ZERO);
    let early = Duration::from_secs(1);
    ask(&mut follower, early, "voss", 4, false, None);
    ask(&mut follower, early, "sogn", 3, false, None);
    assert_eq!(follower.held(), ConfigVersion::ZERO);
    ask(&mut follower, LATE, "sogn", 3, false, None);
    assert_eq!(follower.held(), at(4));
}

// Guards against a rollback when a source knows that this node had applied a
// higher version than the sources hold. The node stays without a configuration
// until a source holds version 6 or higher.
#[test]
fn a_node_never_starts_below_the_version_it_had_applied() {
    let mut follower = VersionFollower::new(Duration::ZERO);
    ask(&mut follower, LATE, "voss", 4, false, Some(at(6)));
    ask(&mut follower, LATE, "sogn", 5, false, None);
    assert_eq!(follower.held(), ConfigVersion::ZERO);
    ask(&mut follower, LATE, "hardanger", 6, false, None);
    assert_eq!(follower.held(), at(6));
}

// Guards against a version that fails the node's validation and still changes
// its configuration or is offered again. The next version is applied on top of
// the one in force.
#[test]
fn a_refused_version_changes_nothing_and_is_not_offered_again() {
    let mut history = source(2);
    let mut follower = VersionFollower::new(Duration::ZERO);
    ask(&mut follower, LATE, "voss", 1, true, None);
    let first = update_for(&mut history, &follower);
    let step = follower.handle_update(LATE, proof("voss", 2, true), None, first);
    assert_eq!(step, FollowStep::Offer(snapshot(2)));
    follower.record_outcome(at(1), Some(at(2)));
    assert_eq!(follower.held(), at(1));
    assert_eq!(follower.counts().refused, 1);
    assert_eq!(update_for(&mut history, &follower), ConfigUpdate::Current);
    ask(&mut follower, LATE, "voss", 3, true, None);
    assert_eq!(follower.held(), at(3));
}

// Guards against applying a reordered answer, whose delta is based on a version
// that is no longer held. The follower keeps its version and asks for a whole
// snapshot.
#[test]
fn a_delta_on_another_version_is_dropped() {
    let mut history = source(3);
    let mut follower = VersionFollower::new(Duration::ZERO);
    ask(&mut follower, LATE, "voss", 1, true, None);
    let late = update_for(&mut history, &follower);
    ask(&mut follower, LATE, "voss", 2, true, None);
    let step = follower.handle_update(LATE, proof("voss", 3, true), None, late);
    assert_eq!(step, FollowStep::Ask);
    assert_eq!(follower.held(), at(2));
    assert!(follower.needs_snapshot());
    ask(&mut follower, LATE, "voss", 3, true, None);
    assert_eq!(follower.held(), at(3));
}

// Guards against an isolated instance that counts as fresh because a delayed
// answer of the old leader arrives. Freshness counts from the time the request
// was sent.
#[test]
fn a_delayed_answer_does_not_prove_freshness() {
    let mut freshness = SourceFreshness::default();
    let sent_at = Duration::from_secs(100);
    freshness.record_proof(sent_at, &proof("voss", 9, true));
    assert!(freshness.fresh_for(sent_at + FRESH_FOR).is_zero());
    assert!(!freshness.fresh_for(sent_at).is_zero());
    assert!(freshness.confirms(sent_at));
    assert!(!freshness.confirms(sent_at + Duration::from_millis(1)));
}

proptest! {
    // Guards against rollbacks: with any sequence of sources, confirmed or not,
    // and any validation results, the version of a node never decreases, and
    // the node never starts below the version it is known to have applied.
    #[test]
    fn versions_never_decrease(
        asked in prop::collection::vec(
            (0..40_u64, 0..3_u8, 1..12_u64, any::<bool>(), any::<bool>()),
            1..40,
        ),
        acknowledged in 1..6_u64,
    ) {
        let mut follower = VersionFollower::new(Duration::ZERO);
        let mut floor = ConfigVersion::ZERO;
        for (seconds, domain, index, confirmed, valid) in asked {
            let now = Duration::from_secs(seconds);
            // A confirmed source holds every version that a node has applied.
            let index = if confirmed { index.max(acknowledged) } else { index };
            let domain = format!("domain-{domain}");
            let mut history = source(index);
            let update = update_for(&mut history, &follower);
            let proof = proof(&domain, index, confirmed);
            let known = Some(at(acknowledged));
            let before = follower.held();
            if let FollowStep::Offer(offered) = follower.handle_update(now, proof, known, update) {
                prop_assert!(offered.version > before);
                let refused = (!valid).then_some(offered.version);
                let applied = if valid { offered.version } else { before };
                follower.record_outcome(applied, refused);
            }
            prop_assert!(follower.held() >= floor);
            let started = follower.held() > ConfigVersion::ZERO;
            prop_assert!(!started || follower.held() >= at(acknowledged));
            floor = follower.held();
        }
    }
}
