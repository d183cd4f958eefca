//! Typed messages between processes; each names its path and its answer.

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

/// Which key a message needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAccess {
    /// The operators' key.
    Operator,
    /// The key that the system's own processes share.
    System,
}

/// A message that is sent as a post and answered in its response.
pub trait WireCall: Serialize + DeserializeOwned {
    /// Path of the post.
    const PATH: &'static str;
    /// Key it needs.
    const ACCESS: CallAccess;
    /// What comes back.
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
    Here(T),
    /// This instance does not lead; ask there, if known.
    Elsewhere(Option<SocketAddr>),
    /// Whether the change was accepted is not known: ask again with the
    /// same request identifier.
    Unknown,
}

/// An operator's change. Resending it is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeCall {
    /// The change, named by its request identifier.
    pub entry: ChangeEntry,
}
wire_call!(
    ChangeCall,
    Operator,
    "/operator/change",
    LeaderAnswer<ChangeOutcome>
);

/// Asks for the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowCall {}
wire_call!(
    ShowCall,
    Operator,
    "/operator/show",
    LeaderAnswer<ConfigSnapshot>
);

/// Asks how moves stand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovesCall {
    /// Only the move that made this version; all that are kept otherwise.
    pub version: Option<ConfigVersion>,
}
wire_call!(
    MovesCall,
    Operator,
    "/operator/moves",
    LeaderAnswer<Vec<MoveLine>>
);

/// One move as operators read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveLine {
    /// Version it made.
    pub version: ConfigVersion,
    /// What it changed.
    pub summary: String,
    /// Leader's wall clock at acceptance, milliseconds since 1970.
    pub at_ms: u64,
    /// How far it has come.
    pub progress: MoveProgress,
    /// Time from acceptance until done, in milliseconds, once done.
    pub done_after_ms: Option<u64>,
}

/// Asks for the fleet as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusCall {}
wire_call!(
    StatusCall,
    Operator,
    "/operator/status",
    LeaderAnswer<FleetStatus>
);

/// The fleet as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Instance that answers.
    pub instance: Arc<str>,
    /// Version in force.
    pub version: ConfigVersion,
    /// Live nodes.
    pub nodes: Vec<NodeLine>,
}

/// One live node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLine {
    /// Its last report.
    pub report: NodeReport,
    /// Age of that report, in milliseconds.
    pub age_ms: u64,
}

/// Asks for the directory of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsCall {}
wire_call!(
    EndpointsCall,
    Operator,
    "/operator/endpoints",
    LeaderAnswer<Vec<EndpointRecord>>
);
