//! Messages between nodes about claims of non-idempotent calls.

use serde::Deserialize;
use serde::Serialize;

use cowslip_core::claim::ClaimReply;
use cowslip_core::claim::ClaimRequest;

use crate::messages::CallAccess;
use crate::messages::WireCall;

/// A claiming node's request to one claim holder. Resending it is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCall {
    /// The request to prepare or accept a claim.
    pub request: ClaimRequest,
}

impl WireCall for ClaimCall {
    const PATH: &'static str = "/system/claim";
    const ACCESS: CallAccess = CallAccess::System;
    type Answer = ClaimReply;
}
