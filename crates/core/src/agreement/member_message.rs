//! Messages between members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::contact_book::PeerContact;
use crate::agreement::folder_watermarks::FolderWatermark;
use crate::agreement::folder_watermarks::ProcessStart;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::version::ConfigVersion;

/// A message, with the sender's identity and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// Instance name of the sender.
    pub from: Arc<str>,
    /// Address at which the sender listens.
    pub address: SocketAddr,
    /// Id of the sender's data folder.
    pub folder: u64,
    /// The sender's process start.
    pub start: ProcessStart,
    /// Last log index that the sender has synced.
    pub synced: u64,
    /// The sender's term, synced.
    pub term: u64,
    /// Instance name of the receiver.
    pub to: Arc<str>,
    /// Id of the receiver's data folder; `None` for any.
    pub to_folder: Option<u64>,
    /// Type and contents of the message.
    pub body: MessageBody,
}

/// Name and address of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderContact {
    /// Instance name of the leader.
    pub instance: Arc<str>,
    /// Address at which the leader listens.
    pub address: SocketAddr,
}

/// Type and contents of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is not a member, or receives no messages from a leader.
    Hello {
        /// True if the sender has never held an entry.
        fresh: bool,
    },
    /// Answer to a hello.
    HelloAnswer {
        /// The leader, if known.
        leader: Option<LeaderContact>,
        /// Milliseconds since the answering instance, or the one that it learned
        /// this from, last received a message from the leader.
        #[serde(default)]
        leader_age_ms: u64,
        /// True if the answering instance has never held an entry.
        fresh: bool,
        /// Process start of the instance that sent the hello.
        greeted: ProcessStart,
        /// Members known to the answering instance or, if it knows none, its
        /// other contacts.
        #[serde(default)]
        contacts: Vec<PeerContact>,
    },
    /// Asks whether the receiver would vote for the sender in the next term.
    PreVote {
        /// Version of the sender's last entry.
        last: ConfigVersion,
    },
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// The term in question.
        next_term: u64,
        /// True if the voter would vote for the receiver of this answer.
        granted: bool,
        /// The answering voter is in the term of the pre-vote's sender, and can
        /// no longer lead that term or an earlier one.
        #[serde(default)]
        idle: bool,
    },
    /// Requests a vote for the sender in its term.
    Vote {
        /// Version of the sender's last entry.
        last: ConfigVersion,
        /// The leader of the previous term handed leadership over to the
        /// sender.
        handed_over: bool,
        /// Every voter was idle in the previous term.
        #[serde(default)]
        all_idle: bool,
    },
    /// Answer to a vote request.
    VoteAnswer {
        /// True if the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat if empty.
    Append {
        /// Version of the entry before the first of `entries`.
        previous: ConfigVersion,
        /// Consecutive log entries.
        entries: Vec<LogEntry>,
        /// The leader's last committed index.
        commit: u64,
        /// Send time on the leader's clock, returned in the answer.
        sent_at: Duration,
        /// Watermarks by data folder; sent with heartbeats only.
        marks: BTreeMap<u64, FolderWatermark>,
    },
    /// The leader's snapshot, for a member that needs entries which the leader
    /// no longer holds.
    Install {
        /// The snapshot.
        snapshot: ReplicaSnapshot,
        /// Send time on the leader's clock, returned in the answer.
        sent_at: Duration,
    },
    /// Answer to entries, a heartbeat or a snapshot.
    AppendAnswer {
        /// `Ok` with the last index that matches the leader's log and is
        /// synced, or `Err` with the last committed index if the previous entry
        /// is missing.
        matched: Result<u64, u64>,
        /// Latest send time received from the leader, on the leader's clock.
        sent_at: Duration,
    },
    /// The leader has stepped down in favour of the receiver.
    TakeOver,
    /// The receiver's data folder has lost acknowledged entries.
    Distrust {
        /// Watermark of the folder.
        mark: FolderWatermark,
    },
}
