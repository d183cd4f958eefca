//! Checks that accepted changes come into force in time.

use std::time::Duration;

use crate::observations::AcceptedRoute;
use crate::observations::CallOutcome;
use crate::observations::Observations;
use crate::observations::SentCall;

/// Time after the acceptance of a change from which it must be in force.
const PROPAGATION_MAX: Duration = Duration::from_secs(2);

/// Time after the end of a fault from which changes must be in force.
const CALM_TIME: Duration = Duration::from_secs(3);

/// How many of the requests for routes that were accepted long enough before could be
/// judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JudgedShare {
    /// Requests sent [`PROPAGATION_MAX`] or more after the acceptance of their route.
    pub sent: usize,
    /// Those among them that no fault excuses.
    pub judged: usize,
}

impl JudgedShare {
    /// The share of the requests that could be judged; 1 if there was none.
    pub fn share(&self) -> f64 {
        if self.sent == 0 {
            return 1.0;
        }
        self.judged as f64 / self.sent as f64
    }
}

/// Returns how many requests for the operator's routes could be judged.
pub fn judged_share(observations: &Observations) -> JudgedShare {
    let mut share = JudgedShare::default();
    for (call, _) in due_probes(observations) {
        share.sent += 1;
        if is_judged(observations, call) {
            share.judged += 1;
        }
    }
    share
}

/// Returns the refused requests for routes that had to be in force.
pub fn overdue(observations: &Observations) -> Vec<(&SentCall, AcceptedRoute)> {
    let mut overdue = Vec::new();
    for (call, accepted) in due_probes(observations) {
        if is_unknown_route(call) && is_judged(observations, call) {
            overdue.push((call, accepted));
        }
    }
    overdue
}

/// Returns the longest time for which a request was still refused for an accepted
/// route, counted from the acceptance and from the end of the last fault.
pub fn longest_delay(observations: &Observations) -> Duration {
    let mut longest = Duration::ZERO;
    for call in &observations.calls {
        if !is_unknown_route(call) {
            continue;
        }
        let Some(accepted) = accepted_route(observations, call) else {
            continue;
        };
        let since = calm_since(observations, call).max(accepted.at);
        longest = longest.max(call.sent.saturating_sub(since));
    }
    longest
}

/// Returns the end of the last fault before the request; the time at which it was
/// sent if one was in progress.
fn calm_since(observations: &Observations, call: &SentCall) -> Duration {
    let fault_spans = observations.fault_spans.iter();
    let before =
        fault_spans.filter(|span| span.affects(call.node) && span.from <= call.sent);
    let ends = before.map(|span| span.until.min(call.sent));
    ends.max().unwrap_or_default()
}

/// Returns true if the call was refused because its route is not known.
pub fn is_unknown_route(call: &SentCall) -> bool {
    matches!(&call.outcome, CallOutcome::Refused { reason, .. } if reason == "no-route")
}

/// Requests sent long enough after the acceptance of their route.
fn due_probes(
    observations: &Observations,
) -> impl Iterator<Item = (&SentCall, AcceptedRoute)> {
    observations.calls.iter().filter_map(|call| {
        let accepted = accepted_route(observations, call)?;
        (call.sent >= accepted.at + PROPAGATION_MAX).then_some((call, accepted))
    })
}

/// Returns the operator's route that the request was for, if it was accepted.
fn accepted_route(observations: &Observations, call: &SentCall) -> Option<AcceptedRoute> {
    let mut accepted = observations.accepted.iter();
    accepted
        .find(|accepted| Some(accepted.route) == call.probe)
        .copied()
}

/// Returns true if nothing affected the control instances or the request's node from
/// [`CALM_TIME`] before the request was sent until it ended.
fn is_judged(observations: &Observations, call: &SentCall) -> bool {
    observations.fault_spans.iter().all(|span| {
        let over = call.sent >= span.until + CALM_TIME;
        !span.affects(call.node) || over || call.ended < span.from
    })
}
