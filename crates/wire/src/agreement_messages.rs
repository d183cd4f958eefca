//! Consensus messages between control instances, and operator messages that
//! list and change the consensus members.

use serde::Deserialize;
use serde::Serialize;

use cowslip_core::agreement::MemberAnswer;
use cowslip_core::agreement::MemberChange;
use cowslip_core::agreement::MemberLine;
use cowslip_core::agreement::MemberMessage;

use crate::messages::wire_call;
use crate::messages::CallAccess;
use crate::messages::LeaderAnswer;
use crate::messages::WireCall;

/// A batch of consensus messages; responses to them are sent in later batches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreeCall {
    /// The messages in sending order.
    pub messages: Vec<MemberMessage>,
}
wire_call!(AgreeCall, System, "/system/agree", ());

/// An operator's membership change. Resending it is harmless: a change that is
/// already made is refused with a reason that says so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCall {
    /// The member to add or remove.
    pub change: MemberChange,
}
wire_call!(
    MemberCall,
    Operator,
    "/operator/member",
    LeaderAnswer<MemberAnswer>
);

/// Requests the list of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersCall {}
wire_call!(
    MembersCall,
    Operator,
    "/operator/members",
    LeaderAnswer<Vec<MemberLine>>
);
