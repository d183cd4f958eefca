//! Judges one move by the counts of its old and new version on each route.
//!
//! A version may fail calls or be slow, from the start or later, on one route
//! or only under load, while the whole fleet may have a problem of its own.
//! Routes are judged separately, because a fault of a rarely used route would
//! be hidden by the calls of a busy one. The new version is compared with the
//! old one over the same period, because otherwise every fleet-wide problem
//! would take a sound version back.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::rollout::evidence::RolloutTally;
use crate::rollout::evidence::RouteTally;
use crate::rollout::evidence::VersionTally;
use crate::rollout::sequential_test::ChangePointTest;
use crate::rollout::sequential_test::EventCounts;
use crate::rollout::sequential_test::SequentialTest;
use crate::rollout::sequential_test::TestSample;
use crate::rollout::sequential_test::ERROR_ODDS_RATIOS;
use crate::rollout::sequential_test::FAILURE_ODDS_RATIOS;
use crate::rollout::sequential_test::LATENESS_ODDS_RATIOS;

/// Probability that the leader takes back a version that is no worse than the
/// old one, over a whole move.
pub const FALSE_ALARM_FLEET: f64 = 1e-3;

/// False alarm probability of one node over a whole move, so that 5,200 nodes
/// together stay within the leader's probability.
pub const FALSE_ALARM_NODE: f64 = FALSE_ALARM_FLEET / 5_200.0;

/// Tests per route; they share the false alarm probability.
const TESTS_PER_ROUTE: f64 = TestedEvent::ALL.len() as f64;

/// Route name that stands for all routes together. A version that is bad on
/// every route is detected in the sum after the fewest calls.
pub const ALL_ROUTES: &str = "*";

/// An answer is late if it takes longer than this quantile of the old version
/// times [`SLOW_MARGIN`].
const SLOW_QUANTILE: f64 = 0.9;

/// Tolerated slow-down, as a factor. Without it, a version of a service with
/// very even latencies would be taken back for being a few per cent slower. The
/// rarer late answers are in the old version, the more each one of the new version
/// says.
const SLOW_MARGIN: f64 = 1.6;

/// Tolerated slow-down of the new version beyond [`SLOW_MARGIN`] while its calls go to
/// a few servers, which may be slower than the old ones are on average.
const FEW_SERVERS_MARGIN: f64 = 1.6;

/// Share in thousandths from which the new version's calls go to at least half of its
/// servers.
const MANY_SERVERS_SHARE: u16 = 500;

/// Minimum number of the old version's latencies for a usable quantile.
const SLOW_CALLS_MIN: u64 = 100;

/// Kind of badness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BadSignal {
    /// The version fails calls.
    Failures,
    /// The version answers slowly.
    Slowness,
}

impl BadSignal {
    /// Text shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slow answers",
        }
    }
}

/// Evidence on which a version was found bad, counted since the start of the
/// move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadnessCause {
    /// Route on which the evidence was found.
    pub route: Arc<str>,
    /// Kind of badness.
    pub signal: BadSignal,
    /// Calls of the old version, and the failed or slow ones among them.
    pub old: EventCounts,
    /// Calls of the new version, and the failed or slow ones among them.
    pub new: EventCounts,
}

impl fmt::Display for BadnessCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} on {}: new version {} of {} calls, old version {} of {}",
            self.signal.as_str(),
            self.route,
            self.new.events,
            self.new.calls,
            self.old.events,
            self.old.calls
        )
    }
}

/// Result of one evaluation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JudgeResult {
    /// Set if the version is bad.
    pub cause: Option<BadnessCause>,
    /// Strongest evidence against the version, from 0 for none; 1 or more is a
    /// verdict.
    pub suspicion: f64,
    /// The strongest evidence, whether or not it is sufficient.
    pub strongest: Option<BadnessCause>,
    /// Inputs of the evaluation of all routes together.
    pub inputs: JudgeInputs,
}

/// Inputs of one evaluation of all routes together, for the log. Evidence is given
/// as a natural logarithm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JudgeInputs {
    /// Calls of both versions and the failed ones among them.
    pub failed: PairCounts,
    /// Timed calls of both versions and the late ones among them.
    pub late: PairCounts,
    /// Evidence from errors.
    pub error_evidence: f64,
    /// Evidence from all failures.
    pub failure_evidence: f64,
    /// Evidence from late answers.
    pub lateness_evidence: f64,
    /// Evidence that is sufficient for a verdict.
    pub limit: f64,
}

/// What a sequential test counts as an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestedEvent {
    /// The server answered with an error or broke the connection.
    Error,
    /// Any failure, timeouts among them.
    Failure,
    /// A failure, or an answer that took too long.
    LateAnswer,
}

impl TestedEvent {
    /// All events that are tested.
    const ALL: [Self; 3] = [Self::Error, Self::Failure, Self::LateAnswer];

    /// Kind of badness that the events show.
    fn signal(self) -> BadSignal {
        match self {
            Self::Error | Self::Failure => BadSignal::Failures,
            Self::LateAnswer => BadSignal::Slowness,
        }
    }

    fn counts(self, tally: &RouteTally, bound: &SlowBound) -> PairCounts {
        match self {
            Self::Error => errors(tally),
            Self::Failure => failures(tally),
            Self::LateAnswer => late_answers(tally, bound),
        }
    }
}

/// Creates the sequential test of an event.
pub type TestFactory = fn(TestedEvent) -> Box<dyn SequentialTest>;

/// The test used in production.
pub fn change_point_test(event: TestedEvent) -> Box<dyn SequentialTest> {
    let ratios = match event {
        TestedEvent::Error => ERROR_ODDS_RATIOS,
        TestedEvent::Failure => FAILURE_ODDS_RATIOS,
        TestedEvent::LateAnswer => LATENESS_ODDS_RATIOS,
    };
    Box::new(ChangePointTest::new(ratios))
}

/// Judges all routes of one move.
#[derive(Debug)]
pub struct RolloutJudge {
    false_alarm: f64,
    make_test: TestFactory,
    total: RouteJudge,
    routes: BTreeMap<Arc<str>, NumberedJudge>,
}

impl RolloutJudge {
    /// Creates a judge whose false alarm probability over the whole move is at
    /// most `false_alarm`.
    pub fn new(false_alarm: f64) -> Self {
        Self::with_test(false_alarm, change_point_test)
    }

    /// Creates a judge with another test, to compare tests.
    pub fn with_test(false_alarm: f64, make_test: TestFactory) -> Self {
        Self {
            false_alarm,
            make_test,
            total: RouteJudge::new(make_test),
            routes: BTreeMap::new(),
        }
    }

    /// Evaluates the current counts of the move, of whose calls the new version gets
    /// `share_per_mille`.
    pub fn evaluate(
        &mut self,
        tally: &RolloutTally,
        share_per_mille: u16,
    ) -> JudgeResult {
        let margin = if share_per_mille < MANY_SERVERS_SHARE {
            FEW_SERVERS_MARGIN
        } else {
            1.0
        };
        let mut result = JudgeResult::default();
        let all = &tally.total;
        let limit = evidence_limit(self.false_alarm * TOTAL_SHARE);
        let found = self.total.evaluate(all, margin);
        result.inputs = self.total.inputs(limit);
        result.consider(limit, found, || self.total.cause(ALL_ROUTES, found.0, all));
        for (route, counts) in &tally.routes {
            let number = self.routes.len() + 1;
            let judge = self.routes.entry(Arc::clone(route));
            let judge = judge.or_insert_with(|| NumberedJudge {
                number,
                judge: RouteJudge::new(self.make_test),
            });
            let limit = evidence_limit(self.false_alarm * judge.share());
            let judge = &mut judge.judge;
            let found = judge.evaluate(counts, margin);
            result.consider(limit, found, || judge.cause(route, found.0, counts));
        }
        result
    }
}

/// Share of the false alarm probability for all routes together. The routes share
/// the rest.
const TOTAL_SHARE: f64 = 0.5;

/// The judge of one route and its place in the order in which the routes got their
/// first calls.
#[derive(Debug)]
struct NumberedJudge {
    number: usize,
    judge: RouteJudge,
}

impl NumberedJudge {
    /// Share of the false alarm probability. The shares of any number of routes sum to
    /// less than the rest, so that routes which are added during a move do not raise
    /// the limit of those that have the calls.
    fn share(&self) -> f64 {
        let number = self.number as f64;
        (1.0 - TOTAL_SHARE) / (number * (number + 1.0))
    }
}

/// Evidence at which one of the tests of a route, or of all routes together, reaches
/// the verdict, as a natural logarithm.
fn evidence_limit(false_alarm: f64) -> f64 {
    (TESTS_PER_ROUTE / false_alarm).ln()
}

impl JudgeResult {
    fn consider(
        &mut self,
        limit: f64,
        (_, evidence): (TestedEvent, f64),
        cause: impl FnOnce() -> BadnessCause,
    ) {
        let suspicion = (evidence / limit).max(0.0);
        if suspicion <= self.suspicion {
            return;
        }
        self.suspicion = suspicion;
        let cause = cause();
        if suspicion >= 1.0 {
            self.cause = Some(cause.clone());
        }
        self.strongest = Some(cause);
    }
}

/// Calls and events of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PairCounts {
    /// Counts of the version in service.
    pub old: EventCounts,
    /// Counts of the version that the service moves to.
    pub new: EventCounts,
}

impl PairCounts {
    /// The larger of each count: a call that is pending no longer, because its caller
    /// left or its node is silent, was counted once.
    fn max(&self, other: &Self) -> Self {
        let larger = |one: EventCounts, other: EventCounts| EventCounts {
            calls: one.calls.max(other.calls),
            events: one.events.max(other.events),
        };
        Self {
            old: larger(self.old, other.old),
            new: larger(self.new, other.new),
        }
    }

    fn increase_to(&self, now: &Self) -> TestSample {
        TestSample {
            old: increase(self.old, now.old),
            new: increase(self.new, now.new),
        }
    }
}

/// Latencies above which answers count as late.
#[derive(Clone, Copy, Debug)]
struct SlowBound {
    old_us: u64,
    new_us: u64,
    /// Tolerated slow-down of the new version beyond that of the old one.
    margin: f64,
    /// Latencies of the old version that the bound is derived from.
    calls: u64,
}

impl Default for SlowBound {
    fn default() -> Self {
        Self {
            old_us: u64::MAX,
            new_us: u64::MAX,
            margin: 1.0,
            calls: 0,
        }
    }
}

impl SlowBound {
    fn is_known(&self) -> bool {
        self.calls >= SLOW_CALLS_MIN
    }

    /// Returns the bound for the old version's present latencies, if they have grown
    /// by a tenth since the last change or the margin is another one.
    fn updated(&self, counts: &RouteTally, margin: f64) -> Option<Self> {
        let calls = counts.old.latency.count();
        let is_current = calls <= self.calls + self.calls / 10;
        if is_current && margin == self.margin {
            return None;
        }
        let quantile = counts.old.latency.quantile_us(SLOW_QUANTILE) as f64;
        let old_us = quantile * SLOW_MARGIN;
        Some(Self {
            old_us: old_us as u64,
            new_us: (old_us * margin) as u64,
            margin,
            calls,
        })
    }
}

/// One test of one route.
#[derive(Debug)]
struct EventJudge {
    event: TestedEvent,
    test: Box<dyn SequentialTest>,
    seen: PairCounts,
    evidence: f64,
}

impl EventJudge {
    fn evaluate(&mut self, counts: &RouteTally, bound: &SlowBound) {
        if self.event == TestedEvent::LateAnswer && !bound.is_known() {
            return;
        }
        let now = self.event.counts(counts, bound);
        self.evidence = self.test.update(&self.seen.increase_to(&now));
        self.seen = self.seen.max(&now);
    }
}

#[derive(Debug)]
struct RouteJudge {
    tests: Vec<EventJudge>,
    bound: SlowBound,
}

impl RouteJudge {
    fn new(make_test: TestFactory) -> Self {
        let judge = |event| EventJudge {
            event,
            test: make_test(event),
            seen: PairCounts::default(),
            evidence: f64::NEG_INFINITY,
        };
        Self {
            tests: TestedEvent::ALL.map(judge).into(),
            bound: SlowBound::default(),
        }
    }

    /// Evaluates the counts; returns the strongest evidence and its event.
    fn evaluate(&mut self, counts: &RouteTally, margin: f64) -> (TestedEvent, f64) {
        if margin != self.bound.margin {
            self.update_bound(counts, margin);
        }
        let mut strongest = (TestedEvent::Error, f64::NEG_INFINITY);
        for judge in &mut self.tests {
            judge.evaluate(counts, &self.bound);
            if judge.evidence > strongest.1 {
                strongest = (judge.event, judge.evidence);
            }
        }
        self.update_bound(counts, margin);
        strongest
    }

    /// Updates the latency above which an answer is late. The bound applies only to
    /// later evaluations, so no evaluation's own calls can move it.
    fn update_bound(&mut self, counts: &RouteTally, margin: f64) {
        let Some(bound) = self.bound.updated(counts, margin) else {
            return;
        };
        self.bound = bound;
        for judge in &mut self.tests {
            if judge.event == TestedEvent::LateAnswer {
                judge.seen = late_answers(counts, &self.bound);
            }
        }
    }

    fn inputs(&self, limit: f64) -> JudgeInputs {
        let mut inputs = JudgeInputs {
            limit,
            ..JudgeInputs::default()
        };
        for judge in &self.tests {
            match judge.event {
                TestedEvent::Error => inputs.error_evidence = judge.evidence,
                TestedEvent::Failure => {
                    inputs.failed = judge.seen;
                    inputs.failure_evidence = judge.evidence;
                }
                TestedEvent::LateAnswer => {
                    inputs.late = judge.seen;
                    inputs.lateness_evidence = judge.evidence;
                }
            }
        }
        inputs
    }

    fn cause(
        &self,
        route: &str,
        event: TestedEvent,
        counts: &RouteTally,
    ) -> BadnessCause {
        let counts = event.counts(counts, &self.bound);
        BadnessCause {
            route: route.into(),
            signal: event.signal(),
            old: counts.old,
            new: counts.new,
        }
    }
}

fn errors(counts: &RouteTally) -> PairCounts {
    let erroneous = |tally: &VersionTally| EventCounts {
        calls: tally.calls - tally.timeouts,
        events: tally.failures - tally.timeouts,
    };
    PairCounts {
        old: erroneous(&counts.old),
        new: erroneous(&counts.new),
    }
}

fn failures(counts: &RouteTally) -> PairCounts {
    let failed = |tally: &VersionTally| EventCounts {
        calls: tally.calls,
        events: tally.failures,
    };
    PairCounts {
        old: failed(&counts.old),
        new: failed(&counts.new),
    }
}

/// Counts failures and answers above the bound, among these and all timed answers.
/// A try that has been pending for longer than the bound is late already.
fn late_answers(counts: &RouteTally, bound: &SlowBound) -> PairCounts {
    let late = |tally: &VersionTally, bound_us: u64| {
        let certain = tally.warm_failures + tally.pending.count_above(bound_us);
        EventCounts {
            calls: tally.latency.count() + certain,
            events: tally.latency.count_above(bound_us) + certain,
        }
    };
    PairCounts {
        old: late(&counts.old, bound.old_us),
        new: late(&counts.new, bound.new_us),
    }
}

fn increase(before: EventCounts, now: EventCounts) -> EventCounts {
    EventCounts {
        calls: now.calls.saturating_sub(before.calls),
        events: now.events.saturating_sub(before.events),
    }
}
