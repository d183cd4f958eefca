//! The checks of the soak, on sightings that break each promise.

use std::time::Duration;

use cowslip_soak::promises;
use cowslip_soak::sightings::AcceptedRoute;
use cowslip_soak::sightings::Outcome;
use cowslip_soak::sightings::PlannedStop;
use cowslip_soak::sightings::SentCall;
use cowslip_soak::sightings::Sightings;
use cowslip_soak::sightings::TroubledTime;

const END: Duration = Duration::from_secs(60);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn call(id: &str, sent: u64, probe: Option<u64>, outcome: Outcome) -> SentCall {
    SentCall {
        id: id.into(),
        node: 1,
        once: true,
        probe,
        sent: secs(sent),
        ended: secs(sent + 1),
        outcome,
    }
}

fn refused(reason: &str) -> Outcome {
    Outcome::Refused {
        status: 503,
        verdict: "not-run".to_owned(),
        reason: reason.to_owned(),
    }
}

/// Promises broken by these calls; a good one at the end shows recovery.
fn broken(
    calls: Vec<SentCall>,
    adjust: impl FnOnce(&mut Sightings),
) -> Vec<&'static str> {
    let mut sightings = Sightings {
        calls,
        ..Sightings::default()
    };
    let last = call("last", 58, None, Outcome::Answered(true));
    sightings.calls.push(last);
    adjust(&mut sightings);
    let broken = promises::broken(&sightings, END);
    broken.into_iter().map(|broken| broken.promise).collect()
}

#[test]
fn each_broken_promise_is_found() {
    let nothing = |_: &mut Sightings| {};
    let good = call("a", 1, None, Outcome::Answered(true));
    assert!(broken(vec![good.clone()], nothing).is_empty());

    let foreign = call("a", 1, None, Outcome::Answered(false));
    assert_eq!(
        broken(vec![foreign], nothing),
        ["answers are the caller's own"]
    );

    let twice = |sightings: &mut Sightings| {
        sightings.begun.insert("a".into(), vec![secs(1), secs(2)]);
    };
    assert_eq!(broken(vec![good], twice), ["at most once"]);

    let untrue = |sightings: &mut Sightings| {
        sightings.begun.insert("a".into(), vec![secs(1)]);
    };
    let said = call("a", 1, None, refused("queue-full"));
    assert_eq!(broken(vec![said], untrue), ["not run is true"]);

    let lost = |sightings: &mut Sightings| {
        sightings.accepted.push(AcceptedRoute {
            route: 4,
            at: secs(1),
        });
    };
    assert_eq!(broken(vec![], lost), ["accepted changes are kept"]);

    let failing = call("b", 59, None, Outcome::NoConnection);
    assert_eq!(broken(vec![failing], nothing), ["the fleet recovers"]);

    let ended = |sightings: &mut Sightings| sightings.own_ends.push("node-1".into());
    assert_eq!(broken(vec![], ended), ["no process ends by itself"]);

    let late = |sightings: &mut Sightings| {
        sightings.after_drain.push((1, "a".into(), secs(5)));
    };
    let promise = ["nothing reaches a server that has left"];
    assert_eq!(broken(vec![], late), promise);
}

#[test]
fn a_control_instance_that_never_votes_is_found() {
    let voters =
        |live: usize| move |sightings: &mut Sightings| sightings.live_voters = Some(live);
    let promise = ["lost control instances are made good"];
    assert_eq!(broken(vec![], voters(2)), promise);
    assert!(broken(vec![], voters(3)).is_empty());
}

#[test]
fn a_version_that_goes_back_is_found_until_the_node_starts_anew() {
    let served = call("a", 1, Some(3), Outcome::Answered(true));
    let gone = call("b", 5, Some(2), refused("no-route"));
    let calls = vec![served, gone];
    let nothing = |_: &mut Sightings| {};
    assert_eq!(broken(calls.clone(), nothing), ["no version goes back"]);
    let restarted = |sightings: &mut Sightings| sightings.starts.push((1, secs(3)));
    assert!(broken(calls, restarted).is_empty());
}

#[test]
fn a_change_not_in_force_is_found_unless_the_node_was_troubled() {
    let accept = |sightings: &mut Sightings| {
        sightings.accepted.push(AcceptedRoute {
            route: 4,
            at: secs(10),
        });
        sightings.read_back.push(4);
    };
    let early = call("a", 12, Some(4), refused("no-route"));
    assert!(broken(vec![early], accept).is_empty());
    let late = call("a", 14, Some(4), refused("no-route"));
    let promise = ["accepted changes are in force"];
    assert_eq!(broken(vec![late.clone()], accept), promise);
    let troubled = |sightings: &mut Sightings| {
        accept(sightings);
        let (from, until) = (secs(8), secs(11));
        let node = Some(1);
        sightings.troubles.push(TroubledTime { node, from, until });
    };
    assert!(broken(vec![late], troubled).is_empty());
}

#[test]
fn a_planned_stop_that_cuts_is_found() {
    let stop = |clean: bool| {
        move |sightings: &mut Sightings| {
            sightings.stops.push(PlannedStop {
                node: 1,
                asked: secs(10),
                ended: secs(12),
                clean,
            });
        }
    };
    let mut cut = call("a", 9, None, Outcome::Cut);
    cut.ended = secs(11);
    assert_eq!(
        broken(vec![cut], stop(true)),
        ["a planned stop cuts nothing"]
    );
    let promise = ["a planned stop ends in time and well"];
    assert_eq!(broken(vec![], stop(false)), promise);
}
