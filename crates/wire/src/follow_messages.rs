//! Messages with which followers fetch the configuration and the directory of
//! backend servers, and with which nodes and endpoints are reported.

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

/// Requests one chunk of a snapshot that a [`FollowAnswer`] announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkCall {
    /// Version of the snapshot.
    pub version: ConfigVersion,
    /// Index of the chunk.
    pub at: usize,
}

impl WireCall for ChunkCall {
    const PATH: &'static str = "/system/chunk";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ChunkAnswer;
}

/// A chunk, or `None` if the source no longer holds that snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkAnswer {
    /// The chunk's bytes.
    pub chunk: Option<Bytes>,
}

/// Reports nodes and endpoints: a node reports its own endpoint, and a control
/// instance reports what its followers sent to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCall {
    /// The reported nodes and endpoints.
    pub batch: ReportBatch,
}

impl WireCall for ReportCall {
    const PATH: &'static str = "/system/report";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ();
}
