//! Counts and local verdicts of one node for services under a move.
//!
//! A node does not wait for the leader: evidence from its own calls stops the
//! new version locally, even while no control instance is reachable.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::call_try::ServerTry;
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

/// Interval between two evaluations of the counts. A grossly bad version is
/// detected after seven evaluations, so a node stops it within two seconds.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);

/// A finished try of a call.
#[derive(Clone, Debug)]
pub struct EndedTry {
    /// Service called.
    pub service: Arc<str>,
    /// Path of the route.
    pub route: Arc<str>,
    /// Version of the backend server that was called.
    pub version: Arc<str>,
    /// Outcome and duration of the try.
    pub measured: MeasuredTry,
}

/// A version that this node has just stopped on its own evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoppedVersion {
    /// Service that is under a move.
    pub service: Arc<str>,
    /// The stopped version.
    pub version: Arc<str>,
    /// Evidence against the version.
    pub cause: BadnessCause,
}

/// Number of a try in progress, unique in the process.
pub type TryNumber = u64;

/// Longest time for which a try counts as unfinished.
const PENDING_MAX: Duration = Duration::from_secs(60);

/// Counts and verdicts of one node, by service.
#[derive(Debug, Default)]
pub struct NodeGuard {
    rollouts: BTreeMap<Arc<str>, GuardedRollout>,
    sequence: u64,
    evaluated_at: Duration,
    pending: BTreeMap<TryNumber, PendingTry>,
    last_number: TryNumber,
    /// Whether the last answer of each instance came from a warm server.
    warm_servers: BTreeMap<Arc<str>, bool>,
}

/// A try that has not ended yet.
#[derive(Debug)]
struct PendingTry {
    began_at: Duration,
    service: Arc<str>,
    route: Arc<str>,
    version: Arc<str>,
    instance: Arc<str>,
}

#[derive(Debug)]
struct GuardedRollout {
    rollout: ConfigVersion,
    old: Arc<str>,
    new: Arc<str>,
    share_per_mille: u16,
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
            share_per_mille: candidate.share_per_mille,
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
    /// Applies a new document: drops moves that are over and starts counting
    /// for new ones.
    pub fn install(&mut self, document: &FleetDocument) {
        // A late or repeated step of the same move, which shows as a share
        // above zero, must not readmit a version that this node stopped. Only
        // the end of the move, or another move started later, has a different
        // rollout version.
        self.rollouts.retain(|service, guarded| {
            let spec = document.services.get(service);
            let candidate = spec.and_then(|spec| spec.candidate.as_ref());
            candidate.is_some_and(|candidate| {
                candidate.rollout == guarded.rollout && candidate.version == guarded.new
            })
        });
        for (service, spec) in &document.services {
            let Some(fresh) = GuardedRollout::from_spec(spec) else {
                continue;
            };
            let share_per_mille = fresh.share_per_mille;
            let guarded = self.rollouts.entry(Arc::clone(service)).or_insert(fresh);
            guarded.share_per_mille = share_per_mille;
        }
        if self.rollouts.is_empty() {
            self.pending.clear();
            self.warm_servers.clear();
        }
    }

    /// Records that a try begins at `server`. Returns its number if the service is
    /// under a move, so that the try must be recorded when it ends.
    pub fn begin(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        route: &Arc<str>,
        server: &ServerTry,
    ) -> Option<TryNumber> {
        if !self.rollouts.contains_key(service) {
            return None;
        }
        self.last_number += 1;
        let pending = PendingTry {
            began_at: now,
            service: Arc::clone(service),
            route: Arc::clone(route),
            version: Arc::clone(&server.version),
            instance: Arc::clone(&server.instance),
        };
        self.pending.insert(self.last_number, pending);
        Some(self.last_number)
    }

    /// Records that a try has ended. `warm` tells whether its server is past its cold
    /// start, if an answer says so. Returns whether the server counts as warm: without
    /// an answer it does unless its last one said otherwise, because a version that
    /// never answers must not go unnoticed.
    pub fn end(&mut self, number: TryNumber, warm: Option<bool>) -> bool {
        let Some(ended) = self.pending.remove(&number) else {
            return warm.unwrap_or(true);
        };
        match warm {
            Some(warm) => {
                self.warm_servers.insert(ended.instance, warm);
                warm
            }
            None => self.warm_servers.get(&ended.instance) != Some(&false),
        }
    }

    /// Updates the tries that have not ended yet. Those at cold servers are left out,
    /// as their latencies are.
    fn refresh_pending(&mut self, now: Duration) {
        self.pending
            .retain(|_, pending| now.saturating_sub(pending.began_at) < PENDING_MAX);
        for guarded in self.rollouts.values_mut() {
            guarded.tally.clear_pending();
        }
        for pending in self.pending.values() {
            let Some(guarded) = self.rollouts.get_mut(&pending.service) else {
                continue;
            };
            let new = pending.version == guarded.new;
            let warm = self.warm_servers.get(&pending.instance) == Some(&true);
            if !warm || !(new || pending.version == guarded.old) {
                continue;
            }
            let age = now.saturating_sub(pending.began_at);
            guarded.tally.record_pending(&pending.route, new, age);
        }
    }

    /// Returns whether calls of `service` may be sent to `version`: false once
    /// this node has stopped it.
    pub fn admits(&self, service: &str, version: &str) -> bool {
        let guarded = self.rollouts.get(service);
        !guarded.is_some_and(|guarded| guarded.stop.is_some() && *guarded.new == *version)
    }

    /// Counts one try, if it belongs to a service under a move.
    pub fn record(&mut self, ended: &EndedTry) {
        let Some(guarded) = self.rollouts.get_mut(&ended.service) else {
            return;
        };
        let new = ended.version == guarded.new;
        if new || ended.version == guarded.old {
            guarded.tally.record(&ended.route, new, &ended.measured);
        }
    }

    /// Evaluates the counts if the interval has passed. Returns the versions
    /// that are newly stopped.
    pub fn tick(&mut self, now: Duration) -> Vec<StoppedVersion> {
        let mut stopped = Vec::new();
        if now.saturating_sub(self.evaluated_at) < EVALUATION_INTERVAL {
            return stopped;
        }
        self.evaluated_at = now;
        self.refresh_pending(now);
        for (service, guarded) in &mut self.rollouts {
            if guarded.stop.is_some() {
                continue;
            }
            let share_per_mille = guarded.share_per_mille;
            let result = guarded.judge.evaluate(&guarded.tally, share_per_mille);
            let Some(cause) = result.cause else {
                continue;
            };
            guarded.stop = Some(cause.clone());
            stopped.push(StoppedVersion {
                service: Arc::clone(service),
                version: Arc::clone(&guarded.new),
                cause,
            });
        }
        stopped
    }

    /// Returns all counts so far; `None` if no service is under a move.
    pub fn report(
        &mut self,
        now: Duration,
        node: &Arc<str>,
        incarnation: u64,
    ) -> Option<EvidenceReport> {
        if self.rollouts.is_empty() {
            return None;
        }
        self.refresh_pending(now);
        self.sequence += 1;
        let mut rollouts = Vec::new();
        for guarded in self.rollouts.values() {
            rollouts.push(guarded.evidence());
        }
        Some(EvidenceReport {
            node: Arc::clone(node),
            incarnation,
            sequence: self.sequence,
            rollouts,
        })
    }
}
