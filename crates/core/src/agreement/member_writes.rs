//! Writes of a member: term and vote, log entries and snapshots.

use crate::agreement::log_entry::LogEntry;
use crate::agreement::member::AgreementMember;
use crate::agreement::saved_state::HardState;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::agreement::saved_state::SnapshotWrite;

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

    /// Stores a snapshot of the state after an entry that was delivered as
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
        let first = self.log.first_index();
        let rest = self.log.from(first).cloned().collect();
        let write = SnapshotWrite {
            snapshot: self.log.snapshot().clone(),
            hard: self.hard.clone(),
            rest,
        };
        // The new log file holds the whole current log.
        let pending = self.output.pending();
        pending.snapshot = Some(write);
        pending.cut_from = None;
        pending.entries.clear();
    }
}
