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
use crate::rollout::sequential_test::FAILURE_ODDS_RATIOS;
use crate::rollout::sequential_test::SLOWNESS_ODDS_RATIOS;

/// Probability that the leader takes back a version that is no worse than the
/// old one, over a whole move.
pub const FALSE_ALARM_FLEET: f64 = 1e-3;

/// False alarm probability of one node over a whole move, so that 5,200 nodes
/// together stay within the leader's probability.
pub const FALSE_ALARM_NODE: f64 = FALSE_ALARM_FLEET / 5_200.0;

/// Tests per route; they share the false alarm probability.
const TESTS_PER_ROUTE: f64 = 2.0;

/// Route name that stands for all routes together. A version that is bad on
/// every route is detected in the sum after the fewest calls.
pub const ALL_ROUTES: &str = "*";

/// A call is slow if it takes longer than this quantile of the old version
/// times [`SLOW_MARGIN`]. A version that takes half as long again then has four
/// times as many slow calls, and one a tenth slower less than twice as many,
/// which no test counts as bad.
const SLOW_QUANTILE: f64 = 0.9;

/// Tolerated slow-down, as a factor. Without it, a version of a service with
/// very even latencies would be taken back for being a few per cent slower.
const SLOW_MARGIN: f64 = 1.25;

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

/// Inputs of one evaluation of all routes together, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JudgeInputs {
    /// Calls of both versions and the failed ones among them.
    pub failed: PairCounts,
    /// Timed answers of both versions and the slow ones among them.
    pub slow: PairCounts,
    /// Evidence from failures, as a natural logarithm.
    pub failure_evidence: f64,
    /// Evidence from slow answers, as a natural logarithm.
    pub slowness_evidence: f64,
    /// Evidence that is sufficient for a verdict.
    pub limit: f64,
}

/// Creates the sequential test for a signal.
pub type TestFactory = fn(BadSignal) -> Box<dyn SequentialTest>;

/// The test used in production.
pub fn change_point_test(signal: BadSignal) -> Box<dyn SequentialTest> {
    let ratios = match signal {
        BadSignal::Failures => FAILURE_ODDS_RATIOS,
        BadSignal::Slowness => SLOWNESS_ODDS_RATIOS,
    };
    Box::new(ChangePointTest::new(ratios))
}

/// Judges all routes of one move.
#[derive(Debug)]
pub struct RolloutJudge {
    false_alarm: f64,
    make_test: TestFactory,
    total: RouteJudge,
    routes: BTreeMap<Arc<str>, RouteJudge>,
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

    /// Evaluates the current cumulative counts of the move.
    pub fn evaluate(&mut self, tally: &RolloutTally) -> JudgeResult {
        let tests = TESTS_PER_ROUTE * (tally.routes.len() + 1) as f64;
        let limit = (tests / self.false_alarm).ln();
        let all = &tally.total;
        let mut result = JudgeResult::default();
        let found = self.total.evaluate(all);
        result.inputs = self.total.inputs(limit);
        result.consider(limit, found, || self.total.cause(ALL_ROUTES, found.0, all));
        for (route, counts) in &tally.routes {
            let judge = self.routes.entry(Arc::clone(route));
            let judge = judge.or_insert_with(|| RouteJudge::new(self.make_test));
            let found = judge.evaluate(counts);
            result.consider(limit, found, || judge.cause(route, found.0, counts));
        }
        result
    }
}

impl JudgeResult {
    fn consider(
        &mut self,
        limit: f64,
        (_, evidence): (BadSignal, f64),
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
    fn calls(&self) -> u64 {
        self.old.calls + self.new.calls
    }

    fn increase_to(&self, now: &Self) -> TestSample {
        TestSample {
            old: increase(self.old, now.old),
            new: increase(self.new, now.new),
        }
    }
}

#[derive(Debug)]
struct RouteJudge {
    failures: Box<dyn SequentialTest>,
    slowness: Box<dyn SequentialTest>,
    failed: PairCounts,
    slow: PairCounts,
    bound_us: u64,
    bound_calls: u64,
    evidence: [f64; 2],
    strongest: (BadSignal, f64),
}

impl RouteJudge {
    fn new(make_test: TestFactory) -> Self {
        Self {
            failures: make_test(BadSignal::Failures),
            slowness: make_test(BadSignal::Slowness),
            failed: PairCounts::default(),
            slow: PairCounts::default(),
            bound_us: u64::MAX,
            bound_calls: 0,
            evidence: [f64::NEG_INFINITY; 2],
            strongest: (BadSignal::Failures, f64::NEG_INFINITY),
        }
    }

    fn inputs(&self, limit: f64) -> JudgeInputs {
        let [failure_evidence, slowness_evidence] = self.evidence;
        JudgeInputs {
            failed: self.failed,
            slow: self.slow,
            failure_evidence,
            slowness_evidence,
            limit,
        }
    }

    fn evaluate(&mut self, counts: &RouteTally) -> (BadSignal, f64) {
        let failed = failures(counts);
        if failed.calls() == self.failed.calls() {
            return self.strongest;
        }
        let failure_evidence = self.failures.update(&self.failed.increase_to(&failed));
        self.failed = failed;
        let mut slowness_evidence = f64::NEG_INFINITY;
        if self.bound_calls >= SLOW_CALLS_MIN {
            let slow = slowness(counts, self.bound_us);
            slowness_evidence = self.slowness.update(&self.slow.increase_to(&slow));
            self.slow = slow;
        }
        self.update_slow_bound(counts);
        self.evidence = [failure_evidence, slowness_evidence];
        self.strongest = if slowness_evidence > failure_evidence {
            (BadSignal::Slowness, slowness_evidence)
        } else {
            (BadSignal::Failures, failure_evidence)
        };
        self.strongest
    }

    /// Updates the latency above which a call is slow. The bound applies only
    /// to later evaluations, so no evaluation's own calls can move it. It is
    /// updated each time the old version's calls have grown by a tenth.
    fn update_slow_bound(&mut self, counts: &RouteTally) {
        let calls = counts.old.latency.count();
        if calls <= self.bound_calls + self.bound_calls / 10 {
            return;
        }
        self.bound_calls = calls;
        let quantile = counts.old.latency.quantile_us(SLOW_QUANTILE);
        self.bound_us = (quantile as f64 * SLOW_MARGIN) as u64;
        self.slow = slowness(counts, self.bound_us);
    }

    fn cause(&self, route: &str, signal: BadSignal, counts: &RouteTally) -> BadnessCause {
        let counts = match signal {
            BadSignal::Failures => failures(counts),
            BadSignal::Slowness => slowness(counts, self.bound_us),
        };
        BadnessCause {
            route: route.into(),
            signal,
            old: counts.old,
            new: counts.new,
        }
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

fn slowness(counts: &RouteTally, bound_us: u64) -> PairCounts {
    let slow = |tally: &VersionTally| EventCounts {
        calls: tally.latency.count(),
        events: tally.latency.count_above(bound_us),
    };
    PairCounts {
        old: slow(&counts.old),
        new: slow(&counts.new),
    }
}

fn increase(before: EventCounts, now: EventCounts) -> EventCounts {
    EventCounts {
        calls: now.calls.saturating_sub(before.calls),
        events: now.events.saturating_sub(before.events),
    }
}
