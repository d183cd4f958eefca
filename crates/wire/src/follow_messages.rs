//! Messages by which followers get the configuration and the directory of
//! backend servers, and by which nodes are reported.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use cowslip_core::report_aggregator::ReportBatch;
use cowslip_core::version::ConfigVersion;

use crate::messages::CallAccess;
use crate::messages::WireCall;

pub use cowslip_core::follow_exchange::FollowAnswer;
pub use cowslip_core::follow_exchange::FollowCall;
pub use cowslip_core::follow_exchange::FollowReply;

impl WireCall for FollowCall {
    const PATH: &'static str = "/system/follow";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = FollowReply;
}

/// Asks for a chunk of a snapshot that an answer announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkCall {
    /// Version of the snapshot.
    pub version: ConfigVersion,
    /// Number of the chunk.
    pub at: usize,
}

impl WireCall for ChunkCall {
    const PATH: &'static str = "/system/chunk";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ChunkAnswer;
}

/// A chunk, or none where the source keeps another snapshot by now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAnswer {
    /// The chunk's bytes.
    pub chunk: Option<Bytes>,
}

/// Tells of nodes and endpoints: from a node its own endpoint, from another
/// control instance what its followers reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCall {
    /// What is told.
    pub batch: ReportBatch,
}

impl WireCall for ReportCall {
    const PATH: &'static str = "/system/report";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ();
}
