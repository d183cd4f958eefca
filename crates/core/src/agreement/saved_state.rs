//! What a member keeps on disk, and what it asks to be written.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::folder_watermarks::ProcessStart;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::member_list::MemberList;
use crate::control_state::ControlState;
use crate::version::ConfigVersion;

/// Who a member is: its settings and its data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Random number of its data folder.
    pub folder: u64,
    /// This start of the process.
    pub start: ProcessStart,
}

/// Term and vote; synced before a message of the term leaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Whom this member voted for in it.
    pub voted_for: Option<Arc<str>>,
    /// Set once the folder was found to have lost acknowledged entries: it
    /// never votes or acknowledges again.
    pub barred: bool,
}

/// The state after the entry at `version`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSnapshot {
    /// Last entry in it.
    pub version: ConfigVersion,
    /// Members as of that entry.
    pub members: MemberList,
    /// The replicated state.
    pub state: Arc<ControlState>,
}

/// What was found on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    /// Term and vote.
    pub hard: HardState,
    /// Last snapshot; empty at version zero where none was taken.
    pub snapshot: ReplicaSnapshot,
    /// Entries of the log, in order, without gaps.
    pub entries: Vec<LogEntry>,
}

/// A data folder that was opened again after its disk had failed, or a new one
/// in the place of one that lost acknowledged entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReopenedFolder {
    /// Random number of the folder.
    pub folder: u64,
    /// This start on it.
    pub start: ProcessStart,
    /// What it holds.
    pub saved: SavedState,
    /// Seed of what the member draws.
    pub seed: u64,
}

/// Something to be written and synced as one, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Grows by one with each batch; told back once synced.
    pub sequence: u64,
    /// New term or vote.
    pub hard: Option<HardState>,
    /// New snapshot, after which the log holds exactly `rest`.
    pub snapshot: Option<SnapshotWrite>,
    /// The log ends before this index.
    pub cut_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

/// A snapshot and the log that stays beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotWrite {
    /// The snapshot.
    pub snapshot: ReplicaSnapshot,
    /// Term and vote at the time, for the new log file.
    pub hard: HardState,
    /// Entries that the new log file starts with.
    pub rest: Vec<LogEntry>,
}

impl WriteBatch {
    /// True where there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard.is_none()
            && self.snapshot.is_none()
            && self.cut_from.is_none()
            && self.entries.is_empty()
    }
}
