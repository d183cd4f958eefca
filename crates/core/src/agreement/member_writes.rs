//! Writes of a member: term and vote, log entries and snapshots.

use rand::Rng;

use crate::agreement::log_entry::LogEntry;
use crate::agreement::member::AgreementMember;
use crate::agreement::saved_state::HardState;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::agreement::saved_state::SnapshotWrite;
use crate::encoded_size;

/// Entries between two snapshots. At 13,000 changes a day a snapshot is taken
/// every eight hours, and a start replays at most this many entries.
const SNAPSHOT_ENTRIES: u64 = 4_096;

/// Size of the entries since a snapshot, in bytes, that calls for the next one if
/// snapshots are small. A start replays about as much.
const SNAPSHOT_LOG_BYTES_MIN: usize = 4 * 1024 * 1024;

impl AgreementMember {
    pub(super) fn set_hard_state(&mut self, hard: HardState) {
        self.hard = hard;
        self.output.pending().hard = Some(self.hard.clone());
    }

    pub(super) fn append(&mut self, entry: LogEntry) {
        self.output.pending().entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Cuts the log from `index` on, in memory and on disk.
    pub(super) fn cut_from(&mut self, index: u64) {
        self.log.cut_from(index);
        self.output.cut_from(index);
        let pending = self.output.pending();
        pending.entries.retain(|entry| entry.version.index < index);
        let lowest = pending.cut_from.map_or(index, |before| before.min(index));
        pending.cut_from = Some(lowest);
    }

    /// True if the state should be stored as a snapshot: the entries applied since the
    /// last one are many, or as large as a snapshot is. All of those that are not
    /// applied yet are held in memory.
    pub fn is_snapshot_due(&self) -> bool {
        let due = self.log.entries_since_snapshot() >= SNAPSHOT_ENTRIES
            || self.delivered_bytes >= self.snapshot_due_bytes;
        due && self.delivered > self.log.snapshot().version.index
            && self.log.is_held_after(self.delivered)
    }

    /// Stores a snapshot of the state after all entries that were delivered as
    /// committed, and compacts the log.
    pub fn compact(&mut self, mut snapshot: ReplicaSnapshot) {
        snapshot.members = self.log.members_at(snapshot.version.index);
        self.log.compact(snapshot);
        self.write_snapshot();
    }

    pub(super) fn restore(&mut self, snapshot: ReplicaSnapshot) {
        // Synced entries after the old commit index may conflict with the
        // snapshot's history.
        self.output.cut_from(self.commit + 1);
        self.commit = snapshot.version.index;
        self.log.install(snapshot);
        self.restored = true;
        self.write_snapshot();
    }

    fn write_snapshot(&mut self) {
        self.plan_snapshot();
        let write = SnapshotWrite {
            snapshot: self.log.snapshot().clone(),
            hard: self.hard.clone(),
            rest: self.log.held_entries(),
        };
        // The new log file holds the whole current log.
        let pending = self.output.pending();
        pending.snapshot = Some(write);
        pending.cut_from = None;
        pending.entries.clear();
    }

    /// Decides at which size of the log the next snapshot is taken. With a log as
    /// large as a snapshot, snapshots at most double the bytes written. Members draw
    /// sizes of their own, so that changes rarely wait for the snapshots of a majority.
    pub(super) fn plan_snapshot(&mut self) {
        let snapshot_bytes = encoded_size::of(self.log.snapshot());
        let most = snapshot_bytes.max(SNAPSHOT_LOG_BYTES_MIN);
        self.snapshot_due_bytes = self.random.random_range(most / 2..=most);
        self.delivered_bytes = 0;
    }
}
