//! One move as the agreed log makes it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::rollout::rollout_change::MoveCounts;
use crate::rollout::rollout_change::StepWait;
use crate::rollout::rollout_change::TakeBackCause;
use crate::rollout::share_plan::QuietChoice;
use crate::rollout::share_plan::FULL_SHARE;
use crate::version::ConfigVersion;

/// One step of a move's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareStep {
    /// Version that made it.
    pub version: ConfigVersion,
    /// Wall clock of the change, milliseconds since 1970.
    pub at_ms: u64,
    /// Share of the new version from then on, in thousandths.
    pub share_per_mille: u16,
}

/// What a bad version may get in all: a elapsed_fraction of the service's calls over the
/// whole time of the move, and some more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExposureBound {
    /// Hundredths of all calls.
    pub percent: u64,
    /// Calls besides.
    pub calls: u64,
}

impl ExposureBound {
    /// Part of what is allowed that `new_calls` calls are, where the service has
    /// had `calls` in `elapsed_fraction` of the move's time.
    pub fn used_fraction(
        &self,
        new_calls: u64,
        calls: u64,
        elapsed_fraction: f64,
    ) -> f64 {
        let whole = calls as f64 / elapsed_fraction.max(f64::MIN_POSITIVE);
        let allowed = whole * self.percent as f64 / 100.0 + self.calls as f64;
        new_calls as f64 / allowed.max(1.0)
    }
}

/// How a move ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutEnd {
    /// The new version is in service alone.
    Finished {
        /// What held the move back longest.
        waited: Option<StepWait>,
    },
    /// The new version was withdrawn.
    TakenBack {
        /// Why.
        cause: TakeBackCause,
    },
}

/// One move of a service to a new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Version that started the move; names it.
    pub rollout: ConfigVersion,
    /// Service.
    pub service: Arc<str>,
    /// Version in service before.
    pub from: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// Why it is moved, if said.
    pub reason: String,
    /// What to do where too few calls come for evidence.
    pub if_quiet: QuietChoice,
    /// Calls of the new version wanted before each step.
    pub step_calls: u64,
    /// What a bad version may get in all, where that is bounded.
    #[serde(default)]
    pub exposure: Option<ExposureBound>,
    /// Wall clock of the start, milliseconds since 1970.
    pub started_ms: u64,
    /// Wall clock by which it must be done.
    pub due_ms: u64,
    /// Steps of the share, the first included.
    pub steps: Vec<ShareStep>,
    /// How it ended; `None` while it runs.
    pub end: Option<RolloutEnd>,
    /// Version and wall clock of the end.
    pub ended: Option<(ConfigVersion, u64)>,
    /// Calls until the end.
    pub counts: MoveCounts,
}

impl RolloutRecord {
    /// Share of the new version now, in thousandths.
    pub fn share(&self) -> u16 {
        match self.end {
            None => self.steps.last().map_or(0, |step| step.share_per_mille),
            Some(RolloutEnd::Finished { .. }) => FULL_SHARE,
            Some(RolloutEnd::TakenBack { .. }) => 0,
        }
    }

    /// The change that the record's state stands on.
    pub fn last_version(&self) -> ConfigVersion {
        let step = self.steps.last().map_or(self.rollout, |step| step.version);
        self.ended.map_or(step, |(version, _)| version)
    }
}
