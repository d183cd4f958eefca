//! What must hold, whatever the faults, by what was seen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::fault_plan::CONTROLS;
use crate::sightings::Outcome;
use crate::sightings::SentCall;
use crate::sightings::Sightings;

/// Time within which an accepted change is in force at every node that can
/// hear of it.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Share of the work answered at the end, when all faults are over.
const RECOVERED_SHARE: f64 = 0.9;

/// The end of a run by which recovery is judged.
pub const LAST_PART: Duration = Duration::from_secs(3);

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenPromise {
    /// Which.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// Every promise that did not hold in a run that ended at `end`.
pub fn broken(sightings: &Sightings, end: Duration) -> Vec<BrokenPromise> {
    let mut list = BrokenList::default();
    check_answers(sightings, &mut list);
    check_runs(sightings, &mut list);
    check_routes_stay(sightings, &mut list);
    check_in_force(sightings, &mut list);
    check_kept(sightings, &mut list);
    check_voters(sightings, &mut list);
    check_stops(sightings, &mut list);
    check_drains(sightings, &mut list);
    check_recovery(sightings, end, &mut list);
    list.0
}

#[derive(Default)]
struct BrokenList(Vec<BrokenPromise>);

impl BrokenList {
    fn push(&mut self, promise: &'static str, seen: String) {
        self.0.push(BrokenPromise { promise, seen });
    }
}

/// The successors of lost control instances vote at the end.
fn check_voters(sightings: &Sightings, list: &mut BrokenList) {
    let Some(voters) = sightings.live_voters else {
        return;
    };
    if voters < CONTROLS {
        let seen = format!("{voters} of {CONTROLS} voters run at the end");
        list.push("lost control instances are made good", seen);
    }
}

fn check_answers(sightings: &Sightings, list: &mut BrokenList) {
    for call in &sightings.calls {
        if call.outcome == Outcome::Answered(false) {
            list.push("answers are the caller's own", told(call));
        }
    }
}

/// A request that may run once ran once at most, and one that was said not
/// to have run did not.
fn check_runs(sightings: &Sightings, list: &mut BrokenList) {
    for call in &sightings.calls {
        let runs = sightings.begun.get(&call.id).map_or(0, Vec::len);
        if call.once && runs > 1 {
            list.push("at most once", format!("{} ran {runs} times", told(call)));
        }
        let Outcome::Refused { verdict, .. } = &call.outcome else {
            continue;
        };
        if verdict == "not-run" && runs > 0 {
            list.push("not run is true", told(call));
        }
    }
}

/// Routes are only added, so a node that has served one never refuses it for
/// want of a route again, until it starts anew.
fn check_routes_stay(sightings: &Sightings, list: &mut BrokenList) {
    let mut probes: Vec<&SentCall> = probes(sightings).collect();
    probes.sort_by_key(|call| call.sent);
    for refused in probes.iter().filter(|call| is_unknown_route(call)) {
        let route = refused.probe;
        let served = probes.iter().find(|call| {
            call.node == refused.node
                && call.probe >= route
                && call.ended < refused.sent
                && matches!(call.outcome, Outcome::Answered(_))
                && !restarted(sightings, call.node, call.sent, refused.ended)
        });
        if let Some(served) = served {
            let seen = format!("{} after {}", told(refused), told(served));
            list.push("no version goes back", seen);
        }
    }
}

fn check_in_force(sightings: &Sightings, list: &mut BrokenList) {
    for refused in probes(sightings).filter(|call| is_unknown_route(call)) {
        for accepted in &sightings.accepted {
            let due = accepted.at + IN_FORCE;
            if refused.probe != Some(accepted.route) || refused.sent < due {
                continue;
            }
            let from = accepted.at.min(refused.sent.saturating_sub(IN_FORCE));
            if !troubled(sightings, refused.node, from, refused.ended) {
                let seen = format!("{}, accepted at {:?}", told(refused), accepted.at);
                list.push("accepted changes are in force", seen);
            }
        }
    }
}

fn check_kept(sightings: &Sightings, list: &mut BrokenList) {
    let held: BTreeSet<u64> = sightings.read_back.iter().copied().collect();
    for accepted in &sightings.accepted {
        if !held.contains(&accepted.route) {
            let seen = format!("route {}, at {:?}", accepted.route, accepted.at);
            list.push("accepted changes are kept", seen);
        }
    }
}

/// A planned stop ends by itself and cuts nothing that was under way.
fn check_stops(sightings: &Sightings, list: &mut BrokenList) {
    for own in &sightings.own_ends {
        list.push("no process ends by itself", own.clone());
    }
    for stop in &sightings.stops {
        if !stop.clean {
            list.push("a planned stop ends in time and well", format!("{stop:?}"));
        }
        for call in &sightings.calls {
            let under_way = call.node == stop.node
                && call.sent < stop.asked
                && call.ended >= stop.asked;
            let cut = matches!(call.outcome, Outcome::Cut | Outcome::NoAnswer);
            let excused = troubled_anywhere(sightings, call.sent, call.ended);
            if under_way && cut && !excused {
                list.push("a planned stop cuts nothing", told(call));
            }
        }
    }
}

fn check_drains(sightings: &Sightings, list: &mut BrokenList) {
    for (node, id, at) in &sightings.after_drain {
        let seen = format!("request {id} at server {node}, {at:?}");
        list.push("nothing reaches a server that has left", seen);
    }
}

fn check_recovery(sightings: &Sightings, end: Duration, list: &mut BrokenList) {
    let from = end.saturating_sub(LAST_PART);
    let mut asked = 0;
    let mut answered = 0;
    let mut refusals: BTreeMap<String, u32> = BTreeMap::new();
    for call in &sightings.calls {
        if call.probe.is_some() || call.sent < from {
            continue;
        }
        asked += 1;
        if matches!(call.outcome, Outcome::Answered(_)) {
            answered += 1;
        } else {
            let outcome = format!("{:?}", call.outcome);
            *refusals.entry(outcome).or_default() += 1;
        }
    }
    if f64::from(answered) < f64::from(asked) * RECOVERED_SHARE || asked == 0 {
        let seen = format!("{answered} of {asked} at the end; {refusals:?}");
        list.push("the fleet recovers", seen);
    }
}

fn probes(sightings: &Sightings) -> impl Iterator<Item = &SentCall> {
    sightings.calls.iter().filter(|call| call.probe.is_some())
}

fn is_unknown_route(call: &SentCall) -> bool {
    matches!(&call.outcome, Outcome::Refused { reason, .. } if reason == "no-route")
}

fn restarted(
    sightings: &Sightings,
    node: usize,
    from: Duration,
    until: Duration,
) -> bool {
    let mut starts = sightings.starts.iter();
    starts.any(|(at, start)| *at == node && *start >= from && *start <= until)
}

fn troubled(sightings: &Sightings, node: usize, from: Duration, until: Duration) -> bool {
    let mut troubles = sightings.troubles.iter();
    troubles.any(|trouble| {
        let here = trouble.node.is_none_or(|at| at == node);
        here && trouble.from <= until && trouble.until >= from
    })
}

fn troubled_anywhere(sightings: &Sightings, from: Duration, until: Duration) -> bool {
    let mut troubles = sightings.troubles.iter();
    troubles.any(|trouble| trouble.from <= until && trouble.until >= from)
}

fn told(call: &SentCall) -> String {
    format!(
        "request {} at node {}, {:?} to {:?}: {:?}",
        call.id, call.node, call.sent, call.ended, call.outcome
    )
}
