//! One node's counts of the services under a move, and its own verdict.
//!
//! A node does not wait for the leader: what its own calls show stops the
//! new version here, also with every control instance away.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::document::FleetDocument;
use crate::document::ServiceSpec;
use crate::rollout::evidence::EvidenceReport;
use crate::rollout::evidence::MeasuredTry;
use crate::rollout::evidence::RolloutEvidence;
use crate::rollout::evidence::RolloutTally;
use crate::rollout::evidence::RouteEvidence;
use crate::rollout::rollout_judge::BadnessCause;
use crate::rollout::rollout_judge::RolloutJudge;
use crate::rollout::rollout_judge::FALSE_ALARM_NODE;
use crate::version::ConfigVersion;

/// Pause between two looks at the counts. Seven looks decide against gross
/// badness, so a node stops within two seconds of seeing it.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// One try that ended.
#[derive(Clone, Debug)]
pub struct EndedTry {
    /// Service called.
    pub service: Arc<str>,
    /// Path of the route.
    pub route: Arc<str>,
    /// Version that the backend server runs.
    pub version: Arc<str>,
    /// What it came to.
    pub measured: MeasuredTry,
}

/// A version that this node has just stopped by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoppedVersion {
    /// Service.
    pub service: Arc<str>,
    /// The stopped version.
    pub version: Arc<str>,
    /// What it showed.
    pub cause: BadnessCause,
}

/// Counts and verdicts of one node.
#[derive(Debug, Default)]
pub struct NodeGuard {
    rollouts: BTreeMap<Arc<str>, GuardedRollout>,
    sequence: u64,
    evaluated_at: Duration,
}

#[derive(Debug)]
struct GuardedRollout {
    rollout: ConfigVersion,
    old: Arc<str>,
    new: Arc<str>,
    tally: RolloutTally,
    judge: RolloutJudge,
    stop: Option<BadnessCause>,
}

impl GuardedRollout {
    fn from_spec(spec: &ServiceSpec) -> Option<Self> {
        let candidate = spec.candidate.as_ref()?;
        Some(Self {
            rollout: candidate.rollout,
            old: Arc::clone(&spec.version),
            new: Arc::clone(&candidate.version),
            tally: RolloutTally::default(),
            judge: RolloutJudge::new(FALSE_ALARM_NODE),
            stop: None,
        })
    }

    fn evidence(&self) -> RolloutEvidence {
        let mut routes = Vec::new();
        for (route, tally) in &self.tally.routes {
            routes.push(RouteEvidence {
                route: Arc::clone(route),
                old: tally.old.report(),
                new: tally.new.report(),
            });
        }
        RolloutEvidence {
            rollout: self.rollout,
            routes,
            stop: self.stop.clone(),
        }
    }
}

impl NodeGuard {
    /// Takes the document in use after a swap: forgets moves that are over
    /// and begins to count for new ones.
    pub fn install(&mut self, document: &FleetDocument) {
        // Guards against a version that this node stopped coming back with
        // a late or repeated step of the same move, which shows as a share
        // above zero. Only the end of the move, or another move that the
        // operators started since, has another number.
        self.rollouts.retain(|service, held| {
            let spec = document.services.get(service);
            let candidate = spec.and_then(|spec| spec.candidate.as_ref());
            candidate.is_some_and(|candidate| {
                candidate.rollout == held.rollout && candidate.version == held.new
            })
        });
        for (service, spec) in &document.services {
            let Some(fresh) = GuardedRollout::from_spec(spec) else {
                continue;
            };
            self.rollouts.entry(Arc::clone(service)).or_insert(fresh);
        }
    }

    /// Whether tries of `service` are to be recorded.
    pub fn measures(&self, service: &str) -> bool {
        self.rollouts.contains_key(service)
    }

    /// Whether calls of `service` may go to `version`: false once this node
    /// has stopped it.
    pub fn admits(&self, service: &str, version: &str) -> bool {
        let held = self.rollouts.get(service);
        !held.is_some_and(|held| held.stop.is_some() && *held.new == *version)
    }

    /// Counts a try.
    pub fn record(&mut self, ended: &EndedTry) {
        let Some(held) = self.rollouts.get_mut(&ended.service) else {
            return;
        };
        let new = ended.version == held.new;
        if new || ended.version == held.old {
            held.tally.record(&ended.route, new, &ended.measured);
        }
    }

    /// Looks at the counts if it is time, and stops versions found bad.
    pub fn tick(&mut self, now: Duration) -> Vec<StoppedVersion> {
        let mut stopped = Vec::new();
        if now.saturating_sub(self.evaluated_at) < EVALUATION_INTERVAL {
            return stopped;
        }
        self.evaluated_at = now;
        for (service, held) in &mut self.rollouts {
            if held.stop.is_some() {
                continue;
            }
            let Some(cause) = held.judge.evaluate(&held.tally).cause else {
                continue;
            };
            held.stop = Some(cause.clone());
            stopped.push(StoppedVersion {
                service: Arc::clone(service),
                version: Arc::clone(&held.new),
                cause,
            });
        }
        stopped
    }

    /// All counts so far; `None` where no service is under a move.
    pub fn report(
        &mut self,
        node: &Arc<str>,
        incarnation: u64,
    ) -> Option<EvidenceReport> {
        if self.rollouts.is_empty() {
            return None;
        }
        self.sequence += 1;
        let mut rollouts = Vec::new();
        for held in self.rollouts.values() {
            rollouts.push(held.evidence());
        }
        Some(EvidenceReport {
            node: Arc::clone(node),
            incarnation,
            sequence: self.sequence,
            rollouts,
        })
    }
}
