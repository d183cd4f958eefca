//! Typed messages between processes, each with its path, key and answer type.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::move_tracker::MoveProgress;
use cowslip_core::move_tracker::NodeReport;
use cowslip_core::version::ConfigVersion;

/// The key that a message requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAccess {
    /// The operators' key.
    Operator,
    /// The key shared by the system's own processes.
    System,
}

/// A message that is sent as a POST request and answered in its response.
pub trait WireCall: Serialize + DeserializeOwned {
    /// Path of the POST request.
    const PATH: &'static str;
    /// Key that the message requires.
    const ACCESS: CallAccess;
    /// Type of the answer.
    type Answer: Serialize + DeserializeOwned;
}

macro_rules! wire_call {
    ($call:ty, $access:ident, $path:literal, $answer:ty) => {
        impl WireCall for $call {
            const PATH: &'static str = $path;
            const ACCESS: CallAccess = CallAccess::$access;
            type Answer = $answer;
        }
    };
}

pub(crate) use wire_call;

/// An answer that only the leader can give.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderAnswer<T> {
    /// The leader's answer.
    #[serde(rename = "Here")]
    Answered(T),
    /// This instance is not the leader; the leader's address, if known.
    #[serde(rename = "Elsewhere")]
    NotLeader(Option<SocketAddr>),
    /// It is unknown whether the change was accepted: retry with the same
    /// request ID.
    Unknown,
}

impl<T> LeaderAnswer<T> {
    /// Returns the leader's answer.
    ///
    /// # Errors
    ///
    /// Returns what to answer instead if there is none.
    pub fn answered<U>(self) -> Result<T, LeaderAnswer<U>> {
        match self {
            Self::Answered(answer) => Ok(answer),
            Self::NotLeader(leader) => Err(LeaderAnswer::NotLeader(leader)),
            Self::Unknown => Err(LeaderAnswer::Unknown),
        }
    }
}

/// An operator's configuration change. Resending it is harmless, as the
/// request ID marks duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCall {
    /// The change with its request ID.
    pub entry: ChangeEntry,
}
wire_call!(
    ChangeCall,
    Operator,
    "/operator/change",
    LeaderAnswer<ChangeOutcome>
);

/// Requests the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowCall {}
wire_call!(
    ShowCall,
    Operator,
    "/operator/show",
    LeaderAnswer<ConfigSnapshot>
);

/// Requests the progress of moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovesCall {
    /// Return only the move that created this version; `None` for all moves
    /// that are still kept.
    pub version: Option<ConfigVersion>,
}
wire_call!(
    MovesCall,
    Operator,
    "/operator/moves",
    LeaderAnswer<Vec<MoveLine>>
);

/// One move, as listed for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveLine {
    /// Configuration version that the move created.
    pub version: ConfigVersion,
    /// Summary of the change.
    pub summary: String,
    /// Time of acceptance by the leader's wall clock, in milliseconds since
    /// 1970.
    pub at_ms: u64,
    /// Progress across the nodes.
    pub progress: MoveProgress,
    /// Time from acceptance until the move was done, in milliseconds; `None`
    /// until then.
    pub done_after_ms: Option<u64>,
}

/// Requests the state of the fleet as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusCall {}
wire_call!(
    StatusCall,
    Operator,
    "/operator/status",
    LeaderAnswer<FleetStatus>
);

/// State of the fleet as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Control instance that answers.
    pub instance: Arc<str>,
    /// Configuration version in force.
    pub version: ConfigVersion,
    /// Live nodes.
    pub nodes: Vec<NodeLine>,
}

/// One live node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLine {
    /// The node's latest report.
    pub report: NodeReport,
    /// Age of that report, in milliseconds.
    pub age_ms: u64,
}

/// Requests the directory of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsCall {}
wire_call!(
    EndpointsCall,
    Operator,
    "/operator/endpoints",
    LeaderAnswer<Vec<EndpointRecord>>
);
