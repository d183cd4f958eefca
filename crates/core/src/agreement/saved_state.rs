//! The state that a member keeps on disk, and the batches it writes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::entry_archive::FolderArchive;
use crate::agreement::folder_watermarks::ProcessStart;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::member_list::MemberList;
use crate::control_state::ControlState;
use crate::version::ConfigVersion;

/// Identity of a member: its name, address, data folder and process start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Random id of its data folder.
    pub folder: u64,
    /// This start of its process.
    pub start: ProcessStart,
}

/// Term and vote, synced before any message of the term is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the member has seen.
    pub term: u64,
    /// The candidate for which the member voted in this term.
    pub voted_for: Option<Arc<str>>,
    /// True once the folder is known to have lost acknowledged entries: a member
    /// with this folder neither votes nor acknowledges again.
    pub barred: bool,
}

/// The replicated state after the entry at `version`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSnapshot {
    /// Version of the last entry that the snapshot includes.
    pub version: ConfigVersion,
    /// Members as of that entry.
    pub members: MemberList,
    /// The replicated state.
    pub state: Arc<ControlState>,
}

/// An entry that stays in the data folder until it is needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    /// Version of the entry.
    pub version: ConfigVersion,
    /// Size of the encoded entry in bytes.
    pub bytes: usize,
    /// The member list, if the entry sets it.
    pub members: Option<MemberList>,
}

/// The state read from disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    /// Term and vote.
    pub hard: HardState,
    /// Last snapshot; empty and at version zero if none was taken.
    pub snapshot: ReplicaSnapshot,
    /// Log entries before `entries` that are read from `archive` when needed, in
    /// order and without gaps.
    pub stored: Vec<StoredEntry>,
    /// Log entries, in order and without gaps.
    pub entries: Vec<LogEntry>,
    /// Reads the entries of the folder.
    pub archive: FolderArchive,
}

/// A data folder that was reopened after a disk failure, or a new one that
/// replaces a folder that lost acknowledged entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReopenedFolder {
    /// Random id of the folder.
    pub folder: u64,
    /// The start that opened the folder.
    pub start: ProcessStart,
    /// Contents of the folder.
    pub saved: SavedState,
    /// Seed of the member's random numbers.
    pub seed: u64,
}

/// Changes that are written in the order of the fields and synced together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// Number of the batch, one more than that of the batch before; reported to
    /// the member once the batch is synced.
    pub sequence: u64,
    /// New term and vote.
    pub hard: Option<HardState>,
    /// New snapshot, after which the log holds exactly `rest`.
    pub snapshot: Option<SnapshotWrite>,
    /// Index from which on log entries are removed.
    pub cut_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<LogEntry>,
}

/// A snapshot and the log entries kept with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotWrite {
    /// The snapshot.
    pub snapshot: ReplicaSnapshot,
    /// Current term and vote, for the new log file.
    pub hard: HardState,
    /// Entries that the new log file starts with.
    pub rest: Vec<LogEntry>,
}

impl WriteBatch {
    /// True if there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard.is_none()
            && self.snapshot.is_none()
            && self.cut_from.is_none()
            && self.entries.is_empty()
    }
}
