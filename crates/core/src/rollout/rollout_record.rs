//! Replicated record of one move.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::rollout::rollout_change::MoveCounts;
use crate::rollout::rollout_change::StepWait;
use crate::rollout::rollout_change::TakeBackCause;
use crate::rollout::share_plan::QuietChoice;
use crate::rollout::share_plan::FULL_SHARE;
use crate::version::ConfigVersion;

/// One step of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareStep {
    /// Configuration version that made the step.
    pub version: ConfigVersion,
    /// Wall clock of the step, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Share of the new version from this step on, in thousandths.
    pub share_per_mille: u16,
}

/// Maximum number of calls that a bad version may get: a percentage of the
/// service's calls over the whole time window of the move, plus a constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposureBound {
    /// Percentage of all calls.
    pub percent: u64,
    /// Additional calls.
    pub calls: u64,
}

impl ExposureBound {
    /// Used fraction of the bound after `new_calls` calls of the new version,
    /// if the service has had `calls` calls in `elapsed_fraction` of the move's
    /// time.
    pub fn used_fraction(
        &self,
        new_calls: u64,
        calls: u64,
        elapsed_fraction: f64,
    ) -> f64 {
        let expected_calls = calls as f64 / elapsed_fraction.max(f64::MIN_POSITIVE);
        let allowed = expected_calls * self.percent as f64 / 100.0 + self.calls as f64;
        new_calls as f64 / allowed.max(1.0)
    }
}

/// How a move ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutEnd {
    /// The new version is in service alone.
    Finished {
        /// What delayed the move longest, if anything.
        waited: Option<StepWait>,
    },
    /// The new version was withdrawn.
    TakenBack {
        /// Why the move was taken back.
        cause: TakeBackCause,
    },
}

/// One move of a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Configuration version that started the move; identifies it.
    pub rollout: ConfigVersion,
    /// Service under the move.
    pub service: Arc<str>,
    /// The old version, in service before the move.
    pub from: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// Reason for the move; may be empty.
    pub reason: String,
    /// What to do if there are too few calls for evidence.
    pub if_quiet: QuietChoice,
    /// Calls of the new version required before each step.
    pub step_calls: u64,
    /// Exposure bound of a bad version; `None` if there is no bound.
    #[serde(default)]
    pub exposure: Option<ExposureBound>,
    /// Wall clock of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Wall clock of the deadline, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// Steps so far, including the first share.
    pub steps: Vec<ShareStep>,
    /// How the move ended; `None` while it is running.
    pub end: Option<RolloutEnd>,
    /// Configuration version and wall clock of the end, in milliseconds since
    /// the Unix epoch.
    pub ended: Option<(ConfigVersion, u64)>,
    /// Calls until the end.
    pub counts: MoveCounts,
}

impl RolloutRecord {
    /// Current share of the new version, in thousandths.
    pub fn share(&self) -> u16 {
        match self.end {
            None => self.steps.last().map_or(0, |step| step.share_per_mille),
            Some(RolloutEnd::Finished { .. }) => FULL_SHARE,
            Some(RolloutEnd::TakenBack { .. }) => 0,
        }
    }

    /// Configuration version of the last change to the move.
    pub fn last_version(&self) -> ConfigVersion {
        let step = self.steps.last().map_or(self.rollout, |step| step.version);
        self.ended.map_or(step, |(version, _)| version)
    }
}
