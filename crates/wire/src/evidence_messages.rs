//! Messages about moves of backend server versions: call counts that nodes
//! report to the leader, and moves as listed for operators.

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

/// Cumulative call counts of one or more nodes. Repeated, delayed or reordered
/// delivery is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCall {
    /// The latest report of each node.
    pub reports: Vec<EvidenceReport>,
}

impl WireCall for EvidenceCall {
    const PATH: &'static str = "/system/evidence";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ();
}

/// Requests the moves of backend server versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsCall {
    /// Return only the move with this number.
    pub rollout: Option<ConfigVersion>,
    /// Return only moves of this service.
    pub service: Option<Arc<str>>,
    /// Include the course of each move over time, for a plot.
    pub course: bool,
}

impl WireCall for RolloutsCall {
    const PATH: &'static str = "/operator/rollouts";
    const ACCESS: CallAccess = CallAccess::Operator;
    type Answer = LeaderAnswer<Vec<RolloutLine>>;
}

/// One move of a backend server version, as listed for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutLine {
    /// The move as recorded in the replicated log.
    pub record: RolloutRecord,
    /// State of the move, considering which nodes have applied it.
    pub state: MoveState,
    /// Progress of the move's latest change across the nodes.
    pub nodes: MoveProgress,
    /// Call counts so far, or until the move ended.
    pub counts: MoveCounts,
    /// Condition that holds back the next step, if any.
    pub wait: Option<StepWait>,
    /// Time from the start until the move was done on all live nodes or was
    /// taken back, in milliseconds.
    pub ended_after_ms: Option<u64>,
    /// Course of the move over time, if requested and known to this leader.
    pub course: Vec<CoursePoint>,
}
