//! What nodes count of a service under a move, and how they report it.
//!
//! Counts are cumulative since the node's start, so a report that is lost
//! is made good by the next, and one that comes twice adds nothing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call_try::TryFailure;
use crate::rollout::latency_sketch::LatencySketch;
use crate::rollout::latency_sketch::SketchBuckets;
use crate::rollout::rollout_judge::BadnessCause;
use crate::verdict::CallVerdict;
use crate::version::ConfigVersion;

/// Routes counted apart for one service on one node. A service has about
/// ten; calls on further routes are counted under the last.
const ROUTES_MAX: usize = 32;

/// First status that is held against a backend server.
const SERVER_FAULT_STATUS: u16 = 500;

/// How a try ended, as far as the version is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// The backend server answered, be it that the caller was at fault.
    Answered,
    /// The backend server failed the call: it answered with a fault of its
    /// own, broke the connection or gave no answer in time.
    Failed,
    /// Nothing ran, so nothing is known of the version: our own limits, a
    /// drain, a quarantined request, an instance that cannot be reached.
    NotRun,
    /// Its caller abandoned before any answer. It may have run, and tells nothing
    /// of the version.
    Abandoned,
}

impl TryOutcome {
    /// The end of a try that a backend server answered with `status`.
    pub fn from_status(status: u16) -> Self {
        if status >= SERVER_FAULT_STATUS {
            return Self::Failed;
        }
        Self::Answered
    }

    /// The end of a try that got no total answer.
    pub fn from_failure(failure: &TryFailure) -> Self {
        match failure.verdict {
            CallVerdict::NotRun => Self::NotRun,
            CallVerdict::MayHaveRun | CallVerdict::Ran => Self::Failed,
        }
    }
}

/// What one try came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasuredTry {
    /// Time from sending the request until the answer, or the failure.
    pub took: Duration,
    /// How it ended.
    pub end: TryOutcome,
    /// True where its node says that the server is past its cold start.
    /// Latencies of cold servers do not count: by them every new version
    /// would be a slow one.
    pub warm: bool,
}

/// Counts of one version on one route.
#[derive(Clone, Debug, Default)]
pub struct VersionTally {
    /// Tries that ran.
    pub calls: u64,
    /// Those that failed by the backend server's fault.
    pub failures: u64,
    /// Tries, besides, whose callers abandoned before any answer.
    pub abandoned: u64,
    /// Time that all of them took together, in microseconds.
    pub busy_us: u64,
    /// Latencies of answered tries at servers past their cold start.
    pub latency: LatencySketch,
}

/// A tally as it travels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyReport {
    /// Tries that ran.
    #[serde(rename = "c")]
    pub calls: u64,
    /// Those that failed.
    #[serde(rename = "f")]
    pub failures: u64,
    /// Those whose callers abandoned, besides.
    #[serde(rename = "g", default)]
    pub abandoned: u64,
    /// Time they took together, in microseconds.
    #[serde(rename = "b")]
    pub busy_us: u64,
    /// Bands of the latency sketch.
    #[serde(rename = "l")]
    pub latency: SketchBuckets,
}

impl VersionTally {
    /// Counts one try.
    pub fn record(&mut self, ended: &MeasuredTry) {
        match ended.end {
            TryOutcome::NotRun => return,
            TryOutcome::Abandoned => {
                self.abandoned += 1;
                return;
            }
            TryOutcome::Answered | TryOutcome::Failed => {}
        }
        self.calls += 1;
        self.busy_us += ended.took.as_micros() as u64;
        if ended.end == TryOutcome::Failed {
            self.failures += 1;
        } else if ended.warm {
            self.latency.record(ended.took);
        }
    }

    /// The tally as it travels.
    pub fn report(&self) -> TallyReport {
        TallyReport {
            calls: self.calls,
            failures: self.failures,
            abandoned: self.abandoned,
            busy_us: self.busy_us,
            latency: self.latency.buckets(),
        }
    }

    /// Adds what `now` holds beyond `before`, two readings of one reporter.
    pub fn add_increase(&mut self, before: &TallyReport, now: &TallyReport) {
        self.calls += now.calls.saturating_sub(before.calls);
        self.failures += now.failures.saturating_sub(before.failures);
        self.abandoned += now.abandoned.saturating_sub(before.abandoned);
        self.busy_us += now.busy_us.saturating_sub(before.busy_us);
        self.latency.add_increase(&before.latency, &now.latency);
    }
}

/// Counts of the old and the new version on one route, over the same time.
#[derive(Clone, Debug, Default)]
pub struct RouteTally {
    /// The version in service.
    pub old: VersionTally,
    /// The version that is taking over.
    pub new: VersionTally,
}

/// Counts of one move, by route and over all routes.
#[derive(Clone, Debug, Default)]
pub struct RolloutTally {
    /// Counts by the route's path.
    pub routes: BTreeMap<Arc<str>, RouteTally>,
    /// Counts of all routes together.
    pub total: RouteTally,
}

impl RolloutTally {
    /// Counts one try of the new version, or of the old one.
    pub fn record(&mut self, route: &Arc<str>, new: bool, ended: &MeasuredTry) {
        for tally in [route_tally(&mut self.routes, route), &mut self.total] {
            let version = if new { &mut tally.new } else { &mut tally.old };
            version.record(ended);
        }
    }

    /// Adds what `now` holds beyond `before`, two readings of one reporter.
    pub fn add_increase(&mut self, before: Option<&RouteEvidence>, now: &RouteEvidence) {
        let nothing = TallyReport::default();
        let old = before.map_or(&nothing, |before| &before.old);
        let new = before.map_or(&nothing, |before| &before.new);
        for tally in [route_tally(&mut self.routes, &now.route), &mut self.total] {
            tally.old.add_increase(old, &now.old);
            tally.new.add_increase(new, &now.new);
        }
    }

    /// Tries of the new version that tell something of it: failed ones, and
    /// answered ones at servers past their cold start.
    pub fn informative_calls(&self) -> u64 {
        self.total.new.failures + self.total.new.latency.count()
    }

    /// Tries that the new version got, those included whose callers abandoned.
    pub fn new_calls(&self) -> u64 {
        self.total.new.calls + self.total.new.abandoned
    }

    /// Tries that both versions got, those included whose callers abandoned.
    pub fn calls(&self) -> u64 {
        self.total.old.calls + self.total.old.abandoned + self.new_calls()
    }

    /// Time that tries of both versions took together, in microseconds.
    pub fn busy_us(&self) -> u64 {
        self.total.old.busy_us + self.total.new.busy_us
    }
}

/// The counts of `route`, or of the last one where there are too many.
fn route_tally<'a>(
    routes: &'a mut BTreeMap<Arc<str>, RouteTally>,
    route: &Arc<str>,
) -> &'a mut RouteTally {
    let full = routes.len() >= ROUTES_MAX && !routes.contains_key(route);
    let last = routes.keys().next_back();
    let key = Arc::clone(last.filter(|_| full).unwrap_or(route));
    routes.entry(key).or_default()
}

/// One route's counts as they travel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route's path.
    #[serde(rename = "r")]
    pub route: Arc<str>,
    /// The version in service.
    #[serde(rename = "o")]
    pub old: TallyReport,
    /// The version that is taking over.
    #[serde(rename = "n")]
    pub new: TallyReport,
}

/// One node's counts of one move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// Version that started the move; names it.
    pub rollout: ConfigVersion,
    /// Counts by route.
    pub routes: Vec<RouteEvidence>,
    /// Why this node stopped the new version by itself, if it did.
    pub stop: Option<BadnessCause>,
}

/// All that one node has counted since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Name of the node's instance.
    pub node: Arc<str>,
    /// Grows with every start of the node process.
    pub incarnation: u64,
    /// Grows with every report of an incarnation.
    pub sequence: u64,
    /// Moves that the node knows of.
    pub rollouts: Vec<RolloutEvidence>,
}
