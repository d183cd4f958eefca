//! Followers: what a node may take, from whom, and when.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::config_history::ConfigHistory;
use cowslip_core::config_history::ConfigNews;
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

/// A source that has seen every version up to `index`.
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

fn news(history: &mut ConfigHistory, follower: &VersionFollower) -> ConfigNews {
    history.news(&FollowerState {
        held: follower.held(),
        refused: follower.refused().unwrap_or_default(),
        whole: follower.needs_snapshot(),
        revision: 0,
    })
}

/// Asks a source that is confirmed or not and applies what it offers.
fn ask(
    follower: &mut VersionFollower,
    now: Duration,
    domain: &str,
    index: u64,
    confirmed: bool,
    acknowledged: Option<ConfigVersion>,
) -> FollowStep {
    let mut history = source(index);
    let news = news(&mut history, follower);
    let proof = proof(domain, index, confirmed);
    let mut step = follower.news(now, proof, acknowledged, news);
    while let FollowStep::Fetch { version, at } = step {
        let chunk = history.chunk(version, at);
        step = follower.chunk(now, chunk.as_deref());
    }
    if let FollowStep::Offer(snapshot) = &step {
        follower.record_outcome(snapshot.version, None);
    }
    step
}

const LATE: Duration = START_TIMEOUT;

// A region is cut off without a word. A node that had applied version 5
// restarts there with no memory, and the only instance it reaches still
// holds version 3. Taking it would route callers by what operators have
// replaced; the node waits, however long, and takes 5 from a confirmed one.
#[test]
fn a_far_side_instance_does_not_roll_a_node_back() {
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

// All voting instances are down and a herd of nodes restarts. After the
// patience, the highest version of two failure domains is taken, so that
// callers are served at all.
#[test]
fn with_the_source_away_the_highest_of_two_domains_is_taken() {
    let mut follower = VersionFollower::new(Duration::ZERO);
    let early = Duration::from_secs(1);
    ask(&mut follower, early, "voss", 4, false, None);
    ask(&mut follower, early, "sogn", 3, false, None);
    assert_eq!(follower.held(), ConfigVersion::ZERO);
    ask(&mut follower, LATE, "sogn", 3, false, None);
    assert_eq!(follower.held(), at(4));
}

// The same, but one of the two remembers that this node had applied 6. The
// node stays without a configuration until somebody holds 6 or more.
#[test]
fn never_below_what_the_node_is_known_to_have_applied() {
    let mut follower = VersionFollower::new(Duration::ZERO);
    ask(&mut follower, LATE, "voss", 4, false, Some(at(6)));
    ask(&mut follower, LATE, "sogn", 5, false, None);
    assert_eq!(follower.held(), ConfigVersion::ZERO);
    ask(&mut follower, LATE, "hardanger", 6, false, None);
    assert_eq!(follower.held(), at(6));
}

// A version does not pass the node's own validation. It must change nothing
// there, must not be offered again, and the next version is taken from the
// one in force.
#[test]
fn a_refused_version_changes_nothing_and_is_left_behind() {
    let mut history = source(2);
    let mut follower = VersionFollower::new(Duration::ZERO);
    ask(&mut follower, LATE, "voss", 1, true, None);
    let first = news(&mut history, &follower);
    let step = follower.news(LATE, proof("voss", 2, true), None, first);
    assert_eq!(step, FollowStep::Offer(snapshot(2)));
    follower.record_outcome(at(1), Some(at(2)));
    assert_eq!(follower.held(), at(1));
    assert_eq!(follower.counts().refused, 1);
    assert_eq!(news(&mut history, &follower), ConfigNews::Current);
    ask(&mut follower, LATE, "voss", 3, true, None);
    assert_eq!(follower.held(), at(3));
}

// An answer crosses another one and its delta starts from a version that is
// no longer held. The follower keeps what it has and asks for the whole.
#[test]
fn a_crossed_delta_is_dropped() {
    let mut history = source(3);
    let mut follower = VersionFollower::new(Duration::ZERO);
    ask(&mut follower, LATE, "voss", 1, true, None);
    let late = news(&mut history, &follower);
    ask(&mut follower, LATE, "voss", 2, true, None);
    let step = follower.news(LATE, proof("voss", 3, true), None, late);
    assert_eq!(step, FollowStep::Ask);
    assert_eq!(follower.held(), at(2));
    assert!(follower.needs_snapshot());
    ask(&mut follower, LATE, "voss", 3, true, None);
    assert_eq!(follower.held(), at(3));
}

// An instance is cut off silently, and an answer of the old leader arrives
// after the network held it back for long. It proves nothing about now.
#[test]
fn an_answer_held_back_proves_nothing() {
    let mut freshness = SourceFreshness::default();
    let sent_at = Duration::from_secs(100);
    freshness.record_proof(sent_at, &proof("voss", 9, true));
    assert!(freshness.fresh_for(sent_at + FRESH_FOR).is_zero());
    assert!(!freshness.fresh_for(sent_at).is_zero());
    assert!(freshness.confirms(sent_at));
    assert!(!freshness.confirms(sent_at + Duration::from_millis(1)));
}

proptest! {
    // Whatever sources a node asks, in any order, confirmed or not, with
    // any validation result: its version never goes back, and it never
    // starts below what it was told that it had applied.
    #[test]
    fn versions_only_go_up(
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
            // A confirmed source holds all that any node has applied.
            let index = if confirmed { index.max(acknowledged) } else { index };
            let domain = format!("domain-{domain}");
            let mut history = source(index);
            let news = news(&mut history, &follower);
            let proof = proof(&domain, index, confirmed);
            let known = Some(at(acknowledged));
            let before = follower.held();
            if let FollowStep::Offer(offered) = follower.news(now, proof, known, news) {
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
