//! The long-poll request of a follower and the reply of its source.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config_history::ConfigUpdate;
use crate::control_roster::ControlRoster;
use crate::control_roster::ControlSeat;
use crate::directory_follower::DirectoryRequest;
use crate::directory_follower::DirectoryUpdate;
use crate::move_tracker::NodeReport;
use crate::source_proof::SourceProof;
use crate::version::ConfigVersion;

/// A long-poll request for updates. Nodes send it to control instances, and
/// control instances send it to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowCall {
    /// Name of the follower's instance.
    pub follower: Arc<str>,
    /// Version the follower holds.
    pub held: ConfigVersion,
    /// Version that it refused as invalid, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<ConfigVersion>,
    /// True if a delta could not be applied and a whole snapshot is needed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub whole: bool,
    /// True if this source gave the follower a retry time and the follower has
    /// waited for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub waited: bool,
    /// Request for directory updates.
    pub directory: DirectoryRequest,
    /// Longest wait for an update, in milliseconds.
    pub wait_ms: u64,
    /// Failure domain of a node that counts towards the progress of moves;
    /// `None` for other followers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node_domain: Option<Arc<str>>,
    /// The follower's own seat if it is a control instance that nodes may follow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlSeat>,
    /// True if the follower is a node that knows only the instances in its settings,
    /// and may be told the roster first.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub needs_roster: bool,
}

impl FollowCall {
    /// The node report contained in the request; `None` if the follower is
    /// not a node.
    pub fn report(&self) -> Option<NodeReport> {
        let failure_domain = self.node_domain.clone()?;
        Some(NodeReport {
            node: Arc::clone(&self.follower),
            failure_domain,
            applied: self.held,
            refused: self.refused,
        })
    }

    /// True if the follower holds no version yet.
    pub fn is_starting(&self) -> bool {
        self.held == ConfigVersion::ZERO
    }
}

/// A source's reply to a [`FollowCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowReply {
    /// Updates; empty if there were none within the wait.
    #[serde(rename = "News")]
    Update(Box<FollowAnswer>),
    /// Too many followers are reconnecting; retry after this many
    /// milliseconds.
    #[serde(rename = "Later")]
    RetryAfter(u64),
    /// The control instances to choose from, sent only to a follower that
    /// [needs the roster](FollowCall::needs_roster).
    Roster(ControlRoster),
}

/// Updates since the follower's last request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// The source and the freshness of its answer.
    pub source: SourceProof,
    /// Update of the configuration.
    pub config: ConfigUpdate,
    /// First chunk of the snapshot named in `config`, sent if it is small.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chunk: Option<Bytes>,
    /// Version that the source knows a starting follower to have applied
    /// before its restart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged: Option<ConfigVersion>,
    /// Update of the directory.
    pub directory: DirectoryUpdate,
}
