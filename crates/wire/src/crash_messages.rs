//! Messages about crashes of backend servers.

use serde::Deserialize;
use serde::Serialize;

use cowslip_core::crash_tally::CrashReport;

use crate::messages::CallAccess;
use crate::messages::WireCall;

/// Recent crashes at one or more nodes. Repeated, delayed or reordered delivery is
/// harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCall {
    /// The latest report of each node, or what the leader has learned lately.
    pub reports: Vec<CrashReport>,
    /// Whether the leader tells the other control instances what it knows.
    #[serde(default)]
    pub shared: bool,
}

impl WireCall for CrashCall {
    const PATH: &'static str = "/system/crashes";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ();
}
