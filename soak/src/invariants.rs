//! Checks the observations of a run against the invariants that must hold
//! despite all faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::fault_plan::CONTROLS;
use crate::observations::CallOutcome;
use crate::observations::Observations;
use crate::observations::SentCall;
use crate::propagation_checks;
use crate::propagation_checks::is_unknown_route;
use crate::retry_checks;
use crate::statement_checks;

/// Minimum share of the probes of routes accepted long enough before that must be
/// judged.
const JUDGED_SHARE_MIN: f64 = 0.2;

/// Crashes under a request after which it must be refused, the time until it is, and
/// the number of later crashes that are tolerated.
const CRASHES_MIN: usize = 3;
const QUARANTINE_MAX: Duration = Duration::from_secs(3);
const LATER_CRASHES_MAX: usize = 3;

/// Time within which an accepted evacuation must be in force.
const EVACUATION_MAX: Duration = Duration::from_secs(5);

/// Minimum share of the requests to the work path that must be answered at the
/// end, when all faults are over.
const RECOVERED_SHARE: f64 = 0.9;

/// Period at the end of a run in which recovery is measured.
pub const RECOVERY_WINDOW: Duration = Duration::from_secs(3);

/// An invariant that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvariantViolation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Observation that violates it.
    pub details: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.details)
    }
}

/// Returns all violations in a run that ended at `end`.
pub fn violations(observations: &Observations, end: Duration) -> Vec<InvariantViolation> {
    let mut violations = ViolationList::default();
    check_answers(observations, &mut violations);
    check_executions(observations, &mut violations);
    check_no_rollback(observations, &mut violations);
    check_propagation(observations, &mut violations);
    check_judged_share(observations, &mut violations);
    check_repeats(observations, &mut violations);
    check_durability(observations, &mut violations);
    check_voters(observations, &mut violations);
    check_stops(observations, &mut violations);
    check_drains(observations, &mut violations);
    check_statements(observations, &mut violations);
    check_evacuations(observations, &mut violations);
    check_crashes(observations, &mut violations);
    check_recovery(observations, end, &mut violations);
    violations.0
}

#[derive(Default)]
struct ViolationList(Vec<InvariantViolation>);

impl ViolationList {
    fn push(&mut self, invariant: &'static str, details: String) {
        self.0.push(InvariantViolation { invariant, details });
    }
}

/// Checks that the successors of lost control instances are voters at the end.
fn check_voters(observations: &Observations, violations: &mut ViolationList) {
    let Some(voters) = observations.live_voters else {
        return;
    };
    if voters < CONTROLS {
        let details = format!("{voters} of {CONTROLS} voters run at the end");
        violations.push("lost control instances are replaced by voters", details);
    }
}

fn check_answers(observations: &Observations, violations: &mut ViolationList) {
    for call in &observations.calls {
        if call.outcome == CallOutcome::Answered(false) {
            violations.push("an answer belongs to its request", describe(call));
        }
    }
}

/// Checks that no request that may run at most once ran twice, and that no
/// request whose answer says that it did not run did run.
fn check_executions(observations: &Observations, violations: &mut ViolationList) {
    for call in &observations.calls {
        let execution_count = observations.executions.get(&call.id).map_or(0, Vec::len);
        if call.at_most_once && execution_count > 1 {
            violations.push(
                "a request runs at most once",
                format!("{} ran {execution_count} times", describe(call)),
            );
        }
        let CallOutcome::Refused { verdict, .. } = &call.outcome else {
            continue;
        };
        if verdict == "not-run" && execution_count > 0 {
            violations.push("a request answered as not run did not run", describe(call));
        }
    }
}

/// Checks that no node returns to an older configuration. As routes are only
/// added, a node that has served a route must not answer that it is unknown,
/// unless the node was restarted.
fn check_no_rollback(observations: &Observations, violations: &mut ViolationList) {
    let mut probes: Vec<&SentCall> = probes(observations).collect();
    probes.sort_by_key(|call| call.sent);
    for refused in probes.iter().filter(|call| is_unknown_route(call)) {
        let route = refused.probe;
        let served = probes.iter().find(|call| {
            call.node == refused.node
                && call.probe >= route
                && call.ended < refused.sent
                && matches!(call.outcome, CallOutcome::Answered(_))
                && !restarted(observations, call.node, call.sent, refused.ended)
        });
        if let Some(served) = served {
            let details = format!("{} after {}", describe(refused), describe(served));
            violations.push("no node returns to an older configuration", details);
        }
    }
}

fn check_propagation(observations: &Observations, violations: &mut ViolationList) {
    for (refused, accepted) in propagation_checks::overdue(observations) {
        let details = format!("{}, accepted at {:?}", describe(refused), accepted.at);
        violations.push("accepted changes come into force", details);
    }
}

/// Checks that enough of a run is judged at all: a schedule whose faults excuse
/// everything proves nothing.
fn check_judged_share(observations: &Observations, violations: &mut ViolationList) {
    let judged = propagation_checks::judged_share(observations);
    if judged.share() < JUDGED_SHARE_MIN {
        let details = format!("{} of {} probes", judged.judged, judged.sent);
        violations.push("enough probes are judged", details);
    }
}

fn check_repeats(observations: &Observations, violations: &mut ViolationList) {
    let Some(peak) = retry_checks::repeat_peak(observations) else {
        return;
    };
    if peak.is_exceeded() {
        violations.push("repeats stay within the fleet's limit", format!("{peak:?}"));
    }
}

fn check_durability(observations: &Observations, violations: &mut ViolationList) {
    let final_routes: BTreeSet<u64> = observations.final_routes.iter().copied().collect();
    for accepted in &observations.accepted {
        if !final_routes.contains(&accepted.route) {
            let details = format!("route {}, at {:?}", accepted.route, accepted.at);
            violations.push("accepted changes are durable", details);
        }
    }
}

/// Checks that processes exit only when asked to, and that planned stops succeed
/// without interrupting requests in flight.
fn check_stops(observations: &Observations, violations: &mut ViolationList) {
    for exit in &observations.unexpected_exits {
        violations.push("no process exits unexpectedly", exit.clone());
    }
    for stop in &observations.stops {
        if !stop.clean {
            violations.push("a planned stop succeeds in time", format!("{stop:?}"));
        }
        for call in &observations.calls {
            let in_flight = call.node == stop.node
                && call.sent < stop.requested
                && call.ended >= stop.requested;
            let interrupted =
                matches!(call.outcome, CallOutcome::Cut | CallOutcome::NoAnswer);
            let excused = is_any_disrupted(observations, call.sent, call.ended);
            if in_flight && interrupted && !excused {
                violations.push("a planned stop interrupts no request", describe(call));
            }
        }
    }
}

fn check_drains(observations: &Observations, violations: &mut ViolationList) {
    for (node, id, at) in &observations.after_drain {
        let details = format!("request {id} at server {node}, {at:?}");
        violations.push("a drained server receives no requests", details);
    }
}

fn check_statements(observations: &Observations, violations: &mut ViolationList) {
    for details in statement_checks::exceeded_limits(observations) {
        violations.push("a server gets no more calls than it states", details);
    }
    for details in statement_checks::calls_to_leaving_servers(observations) {
        violations.push("a leaving server gets no new calls", details);
    }
}

/// Checks that servers of an evacuated failure domain get no calls.
fn check_evacuations(observations: &Observations, violations: &mut ViolationList) {
    for span in &observations.evacuations {
        for arrival in &observations.arrivals {
            let evacuated = arrival.server % CONTROLS == span.domain
                && arrival.at > span.from + EVACUATION_MAX
                && span.until.is_none_or(|until| arrival.at < until);
            if evacuated {
                let details = format!(
                    "request {} at server {}, {:?}, domain evacuated at {:?}",
                    arrival.id, arrival.server, arrival.at, span.from
                );
                violations.push("an evacuated server gets no calls", details);
            }
        }
    }
}

/// Checks that a request under which servers crash is refused after the third crash.
/// Crashes beside a disrupted node do not count: it may report them late, and may not
/// have learned what it must refuse.
fn check_crashes(observations: &Observations, violations: &mut ViolationList) {
    for (request, crashes) in &observations.crashes {
        let mut reported = crashes.iter().filter(|crash| {
            let known_at = crash.at + QUARANTINE_MAX;
            !is_disrupted(observations, crash.server, crash.at, known_at)
        });
        let Some(third) = reported.nth(CRASHES_MIN - 1) else {
            continue;
        };
        let due = third.at + QUARANTINE_MAX;
        let later = crashes.iter().filter(|crash| {
            let must_know_by = crash.at.saturating_sub(QUARANTINE_MAX);
            crash.at > due
                && !is_disrupted(observations, crash.server, must_know_by, crash.at)
        });
        let later = later.count();
        if later > LATER_CRASHES_MAX {
            let details = format!("request {request}: {later} more, {crashes:?}");
            violations.push("a request that crashes servers is refused", details);
        }
    }
}

fn check_recovery(
    observations: &Observations,
    end: Duration,
    violations: &mut ViolationList,
) {
    let from = end.saturating_sub(RECOVERY_WINDOW);
    let mut sent = 0;
    let mut answered = 0;
    let mut refusals: BTreeMap<String, u32> = BTreeMap::new();
    for call in &observations.calls {
        if call.probe.is_some() || call.sent < from {
            continue;
        }
        sent += 1;
        if matches!(call.outcome, CallOutcome::Answered(_)) {
            answered += 1;
        } else {
            let outcome = format!("{:?}", call.outcome);
            *refusals.entry(outcome).or_default() += 1;
        }
    }
    if f64::from(answered) < f64::from(sent) * RECOVERED_SHARE || sent == 0 {
        let details = format!("{answered} of {sent} at the end; {refusals:?}");
        violations.push("the fleet recovers", details);
    }
}

fn probes(observations: &Observations) -> impl Iterator<Item = &SentCall> {
    observations
        .calls
        .iter()
        .filter(|call| call.probe.is_some())
}

fn restarted(
    observations: &Observations,
    node: usize,
    from: Duration,
    until: Duration,
) -> bool {
    let mut starts = observations.starts.iter();
    starts.any(|(index, start)| *index == node && *start >= from && *start <= until)
}

fn is_disrupted(
    observations: &Observations,
    node: usize,
    from: Duration,
    until: Duration,
) -> bool {
    let mut disruptions = observations.disruptions.iter();
    disruptions.any(|disruption| {
        let affected = disruption.node.is_none_or(|index| index == node);
        affected && disruption.from <= until && disruption.until >= from
    })
}

fn is_any_disrupted(
    observations: &Observations,
    from: Duration,
    until: Duration,
) -> bool {
    let mut disruptions = observations.disruptions.iter();
    disruptions.any(|disruption| disruption.from <= until && disruption.until >= from)
}

fn describe(call: &SentCall) -> String {
    format!(
        "request {} at node {}, {:?} to {:?}: {:?}",
        call.id, call.node, call.sent, call.ended, call.outcome
    )
}
