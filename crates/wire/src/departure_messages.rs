//! Messages about runs of backend servers that have departed.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use cowslip_core::departure::Departure;

use crate::messages::wire_call;
use crate::messages::CallAccess;
use crate::messages::LeaderAnswer;
use crate::messages::WireCall;

/// Keeps a departure; answered once it is kept by a majority of the voters. Resending it
/// is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartCall {
    /// The departure.
    pub departure: Departure,
}
wire_call!(DepartCall, System, "/system/depart", LeaderAnswer<()>);

/// Requests the departures of the servers beside some nodes. An instance that does not
/// lead asks the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeparturesCall {
    /// Instance names of the nodes.
    pub nodes: Vec<Arc<str>>,
    /// Whether an instance that does not lead asks, for its nodes.
    #[serde(default)]
    pub forwarded: bool,
}
wire_call!(
    DeparturesCall,
    System,
    "/system/departures",
    LeaderAnswer<Vec<Departure>>
);
