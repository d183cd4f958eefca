//! Checks that nodes respect what backend servers state in their answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::observations::Observations;
use crate::observations::ServerArrival;
use crate::observations::StatementKind;
use crate::observations::StatementSpan;

/// Span in which calls are counted against a stated limit.
const SPAN: Duration = Duration::from_secs(4);

/// Allowed calls in a span, as a multiple of the stated ones, and beyond that.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time after the first statement of a limit from which spans are checked.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Time after an entry node has passed on a limit from which its calls count.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Time after an entry node has passed on that a server is leaving from which its
/// callers' requests must not reach that server.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// When and through which entry node callers sent a request.
#[derive(Clone, Copy, Debug)]
struct CallStart {
    node: usize,
    sent: Duration,
}

/// The observations, arranged by what the checks look for.
struct StatementRecords<'a> {
    observations: &'a Observations,
    call_starts: BTreeMap<Arc<str>, CallStart>,
    /// When each node passed on an answer with a statement, by index of its span.
    passed_on: BTreeMap<usize, Vec<CallStart>>,
}

/// Returns descriptions of spans in which a server got more calls than it stated.
pub fn exceeded_limits(observations: &Observations) -> Vec<String> {
    let records = StatementRecords::new(observations);
    let mut faults = Vec::new();
    for (index, span) in observations.statements.iter().enumerate() {
        let StatementKind::CallsPerSecond(rate) = span.kind else {
            continue;
        };
        let mut counted = Vec::new();
        for arrival in records.arrivals_in(span) {
            if records.is_informed(index, arrival) {
                counted.push(arrival.at);
            }
        }
        let allowed = rate * SPAN.as_secs_f64() * OVERAGE + SLACK;
        let most = most_in_a_span(&counted, span.from + LIMIT_GRACE);
        if most as f64 > allowed {
            faults.push(format!(
                "server {} states {rate} calls a second from {:?}: {most} in {SPAN:?}, {allowed:.1} allowed",
                span.server, span.from
            ));
        }
    }
    faults
}

/// Returns descriptions of calls that reached a leaving server.
pub fn calls_to_leaving_servers(observations: &Observations) -> Vec<String> {
    let records = StatementRecords::new(observations);
    let mut faults = Vec::new();
    for (index, span) in observations.statements.iter().enumerate() {
        if span.kind != StatementKind::Leaving {
            continue;
        }
        for arrival in records.arrivals_in(span) {
            if records.must_not_arrive(index, arrival) {
                faults.push(format!(
                    "request {} at server {}, which is leaving since {:?}, at {:?}",
                    arrival.id, arrival.server, span.from, arrival.at
                ));
            }
        }
    }
    faults
}

/// Returns the largest number of arrivals in a span that ends after `from`.
fn most_in_a_span(arrivals: &[Duration], from: Duration) -> usize {
    let mut most = 0;
    for (last, end) in arrivals.iter().enumerate() {
        if *end < from {
            continue;
        }
        let earlier = arrivals[..=last].iter().rev();
        most = most.max(earlier.take_while(|at| **at + SPAN > *end).count());
    }
    most
}

impl<'a> StatementRecords<'a> {
    fn new(observations: &'a Observations) -> Self {
        let mut call_starts = BTreeMap::new();
        let mut passed_on: BTreeMap<usize, Vec<CallStart>> = BTreeMap::new();
        for call in &observations.calls {
            let start = CallStart {
                node: call.node,
                sent: call.sent,
            };
            call_starts.insert(Arc::clone(&call.id), start);
            for index in &call.statements {
                passed_on.entry(*index).or_default().push(CallStart {
                    node: call.node,
                    sent: call.ended,
                });
            }
        }
        Self {
            observations,
            call_starts,
            passed_on,
        }
    }

    /// Arrivals at the server of `span`, in its time.
    fn arrivals_in(
        &self,
        span: &'a StatementSpan,
    ) -> impl Iterator<Item = &'a ServerArrival> {
        let arrivals = self.observations.arrivals.iter();
        arrivals.filter(move |arrival| {
            arrival.server == span.server
                && arrival.at >= span.from
                && span.until.is_none_or(|until| arrival.at < until)
        })
    }

    /// Whether the entry node of a request had passed on the statement long enough
    /// before the request arrived.
    fn is_informed(&self, index: usize, arrival: &ServerArrival) -> bool {
        let Some(start) = self.call_starts.get(&arrival.id) else {
            return false;
        };
        let informed = self.informed_at(index, start.node, arrival.at);
        informed.is_some_and(|at| arrival.at >= at + NOTICE_TIME)
    }

    /// Whether the entry node of a request had passed on the statement long enough
    /// before the caller sent the request.
    fn must_not_arrive(&self, index: usize, arrival: &ServerArrival) -> bool {
        let Some(start) = self.call_starts.get(&arrival.id) else {
            return false;
        };
        let informed = self.informed_at(index, start.node, arrival.at);
        informed.is_some_and(|at| start.sent > at + DRAIN_TIME)
    }

    /// When `node` first passed on the statement without having been restarted or
    /// paused until `until`.
    fn informed_at(
        &self,
        index: usize,
        node: usize,
        until: Duration,
    ) -> Option<Duration> {
        let passed_on = self.passed_on.get(&index)?.iter();
        let times = passed_on.filter(|passed| passed.node == node);
        times
            .map(|passed| passed.sent)
            .filter(|at| *at <= until && !self.is_excused(node, *at, until))
            .min()
    }

    fn is_excused(&self, node: usize, from: Duration, until: Duration) -> bool {
        let mut starts = self.observations.starts.iter();
        let mut pauses = self.observations.pauses.iter();
        starts.any(|(index, at)| *index == node && *at >= from && *at <= until)
            || pauses.any(|pause| {
                pause.node == node && pause.from <= until && pause.until >= from
            })
    }
}
