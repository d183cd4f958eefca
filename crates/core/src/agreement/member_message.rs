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

/// A message with what every message tells of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// Sender's instance.
    pub from: Arc<str>,
    /// Where the sender listens.
    pub address: SocketAddr,
    /// Sender's data folder.
    pub folder: u64,
    /// Sender's start.
    pub start: ProcessStart,
    /// Last index that the sender had synced.
    pub synced: u64,
    /// Sender's term, synced.
    pub term: u64,
    /// Instance that it is meant for.
    pub to: Arc<str>,
    /// Data folder that it is meant for; `None` for any.
    pub to_folder: Option<u64>,
    /// What it says.
    pub body: MessageBody,
}

/// Where the leader is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderContact {
    /// Its instance.
    pub instance: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is no member, or hears from no leader.
    Hello {
        /// True where it has never held any entry.
        fresh: bool,
    },
    /// Answer to a greeting.
    HelloAnswer {
        /// The leader, where known.
        leader: Option<LeaderContact>,
        /// True where the answering instance has never held any entry.
        fresh: bool,
        /// Start of the greeting instance.
        greeted: ProcessStart,
        /// The members, or else the contacts, that the answering instance
        /// knows.
        #[serde(default)]
        contacts: Vec<PeerContact>,
    },
    /// Would you vote for the sender in the next term?
    PreVote {
        /// Sender's last entry.
        last: ConfigVersion,
    },
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// Term that was asked about.
        next_term: u64,
        /// The answer.
        granted: bool,
        /// The answering voter is at the asker's term, and can lead neither
        /// that one nor an earlier one any more.
        #[serde(default)]
        idle: bool,
    },
    /// The sender asks for a vote in its term.
    Vote {
        /// Sender's last entry.
        last: ConfigVersion,
        /// The leader of the term before handed over to the sender.
        handed_over: bool,
        /// Every voter said that it is idle, in the term before.
        #[serde(default)]
        all_idle: bool,
    },
    /// Answer to a vote.
    VoteAnswer {
        /// The answer.
        granted: bool,
    },
    /// Entries from the leader; without any it is a heartbeat.
    Append {
        /// The entry before the first of them.
        previous: ConfigVersion,
        /// The entries.
        entries: Vec<LogEntry>,
        /// Last committed index.
        commit: u64,
        /// Leader's clock, to be given back.
        sent_at: Duration,
        /// What the leader knows the folders to hold; on heartbeats.
        marks: BTreeMap<u64, FolderWatermark>,
    },
    /// The leader's snapshot, for a member too far behind.
    Install {
        /// The snapshot.
        snapshot: ReplicaSnapshot,
        /// Leader's clock, to be given back.
        sent_at: Duration,
    },
    /// Answer to entries, heartbeat or snapshot.
    AppendAnswer {
        /// Last index that matches the leader's and is synced; or, where
        /// the previous entry is missing, the last committed one.
        matched: Result<u64, u64>,
        /// The leader's clock at sending.
        sent_at: Duration,
    },
    /// The leader has stepped down in favour of the receiver.
    TakeOver,
    /// The receiver's folder held more than it shows now.
    Distrust {
        /// What it held.
        mark: FolderWatermark,
    },
}
