//! What a follower asks of a source and what the source answers.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config_history::ConfigNews;
use crate::directory_follower::DirectoryAsk;
use crate::directory_follower::DirectoryUpdate;
use crate::move_tracker::NodeReport;
use crate::source_proof::SourceProof;
use crate::version::ConfigVersion;

/// Asks for news, and waits for it a while. Sent by nodes to control
/// instances and by control instances to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowCall {
    /// Name of the follower's instance.
    pub follower: Arc<str>,
    /// Version the follower holds.
    pub held: ConfigVersion,
    /// Version it refused as invalid, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<ConfigVersion>,
    /// True where a delta has failed and the whole snapshot is needed.
    #[serde(default, skip_serializing_if = "is_false")]
    pub whole: bool,
    /// True where this source said when to come back, and it is then.
    #[serde(default, skip_serializing_if = "is_false")]
    pub waited: bool,
    /// What it says of its directory.
    pub directory: DirectoryAsk,
    /// Longest wait for news, in milliseconds.
    pub wait_ms: u64,
    /// Its failure domain, where it is a node whose moves are counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub node_domain: Option<Arc<str>>,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl FollowCall {
    /// The report of itself that a node's question amounts to.
    pub fn report(&self) -> Option<NodeReport> {
        let failure_domain = self.node_domain.clone()?;
        Some(NodeReport {
            node: Arc::clone(&self.follower),
            failure_domain,
            applied: self.held,
            refused: self.refused,
        })
    }

    /// True where the follower holds no version yet.
    pub fn is_starting(&self) -> bool {
        self.held == ConfigVersion::ZERO
    }
}

/// What comes back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FollowReply {
    /// News, or none within the wait.
    News(Box<FollowAnswer>),
    /// Too many come at once; come back after this many milliseconds.
    Later(u64),
}

/// News since the follower's last question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowAnswer {
    /// Who answers, and how fresh that is.
    pub source: SourceProof,
    /// News of the configuration.
    pub config: ConfigNews,
    /// The first chunk of a snapshot that is named there, where it is small.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chunk: Option<Bytes>,
    /// What the source knows a starting follower to have applied before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged: Option<ConfigVersion>,
    /// News of the directory.
    pub directory: DirectoryUpdate,
}
