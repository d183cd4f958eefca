//! Messages about moves of backend server versions: nodes' counts on their
//! way to the leader, and moves as operators read them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use cowslip_core::move_tracker::MoveProgress;
use cowslip_core::move_tracker::MoveState;
use cowslip_core::rollout::evidence::EvidenceReport;
use cowslip_core::rollout::rollout_change::MoveCounts;
use cowslip_core::rollout::rollout_change::StepWait;
use cowslip_core::rollout::rollout_driver::CoursePoint;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_core::version::ConfigVersion;

use crate::messages::CallAccess;
use crate::messages::LeaderAnswer;
use crate::messages::WireCall;

/// Counts of one or more nodes, each cumulative. Sending them again, late
/// or crossed is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCall {
    /// The newest report of each node.
    pub reports: Vec<EvidenceReport>,
}

impl WireCall for EvidenceCall {
    const PATH: &'static str = "/system/evidence";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ();
}

/// Asks for moves of backend server versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsCall {
    /// Only the move with this number.
    pub rollout: Option<ConfigVersion>,
    /// Only moves of this service.
    pub service: Option<Arc<str>>,
    /// With their course, for a plot.
    pub course: bool,
}

impl WireCall for RolloutsCall {
    const PATH: &'static str = "/operator/rollouts";
    const ACCESS: CallAccess = CallAccess::Operator;
    type Answer = LeaderAnswer<Vec<RolloutLine>>;
}

/// One move as operators read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutLine {
    /// The move as it stands in the agreed log.
    pub record: RolloutRecord,
    /// State, with the nodes taken into account.
    pub state: MoveState,
    /// Nodes that have applied the move's last change.
    pub nodes: MoveProgress,
    /// Calls so far, or until the end.
    pub counts: MoveCounts,
    /// What keeps it from its next step, if anything does.
    pub wait: Option<StepWait>,
    /// Time from the start until done on all live nodes, in milliseconds,
    /// or until taken back.
    pub ended_after_ms: Option<u64>,
    /// Its course, where asked for and known to this leader.
    pub course: Vec<CoursePoint>,
}
