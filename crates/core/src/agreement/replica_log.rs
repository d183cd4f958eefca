//! A member's copy of the log, in memory.

use std::collections::VecDeque;

use crate::agreement::log_entry::EntryBody;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::member_list::MemberList;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::version::ConfigVersion;

/// Entries kept before a snapshot, so that a member that is a little behind
/// needs no snapshot: an hour and a half at 13,000 changes a day.
const KEPT_ENTRIES: u64 = 1_024;

/// An entry and its size.
#[derive(Clone, Debug)]
struct LogSlot {
    entry: LogEntry,
    /// Size of the encoded entry in bytes.
    bytes: usize,
}

impl LogSlot {
    fn new(entry: LogEntry) -> Self {
        let bytes = entry.encoded_bytes();
        Self { entry, bytes }
    }
}

/// Number and encoded size of the entries that a log holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSize {
    /// Number of entries.
    pub entries: usize,
    /// Sum of the encoded entries in bytes.
    pub bytes: usize,
}

/// A snapshot, the log entries and the resulting member list.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLog {
    snapshot: ReplicaSnapshot,
    /// Version of the entry before the first one held.
    start: ConfigVersion,
    slots: VecDeque<LogSlot>,
    /// Sum of the sizes of all slots.
    bytes: usize,
    members: MemberList,
    members_index: u64,
}

impl ReplicaLog {
    /// Creates a log from the snapshot and entries read from disk.
    pub fn new(snapshot: ReplicaSnapshot, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            snapshot,
            ..Self::default()
        };
        log.start = log.snapshot.version;
        // Guards against a crash between writing a new snapshot and the new
        // log file: the old log then ends before the snapshot or, if the
        // snapshot came from the leader, may have another history. The log is
        // kept only if it holds the snapshot's last entry or starts right
        // after it.
        let base = log.snapshot.version;
        let first = entries.first().map(|entry| entry.version.index);
        let joins = entries.iter().any(|entry| entry.version == base)
            || first == Some(base.index + 1);
        if joins {
            let index = first.unwrap_or(1) - 1;
            log.start = if index == base.index {
                base
            } else {
                // The term of the entry before the kept ones is never used.
                ConfigVersion::new(0, index)
            };
            for entry in entries {
                log.push_slot(LogSlot::new(entry));
            }
        }
        log.recompute_members();
        log
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> &ReplicaSnapshot {
        &self.snapshot
    }

    /// Members as of the last entry.
    pub fn members(&self) -> &MemberList {
        &self.members
    }

    /// Index of the entry, or of the snapshot, that set the members.
    pub fn members_index(&self) -> u64 {
        self.members_index
    }

    /// Version of the last entry.
    pub fn last(&self) -> ConfigVersion {
        self.slots
            .back()
            .map_or(self.start, |slot| slot.entry.version)
    }

    /// Index of the first entry held, or of the next one if there is none.
    pub fn first_index(&self) -> u64 {
        self.start.index + 1
    }

    /// Version of the entry at `index`, if the log or the snapshot knows it.
    pub fn version_at(&self, index: u64) -> Option<ConfigVersion> {
        if index == self.snapshot.version.index {
            return Some(self.snapshot.version);
        }
        if index <= self.start.index {
            return None;
        }
        self.entry(index).map(|entry| entry.version)
    }

    /// The entry at `index`, if the log holds it.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let at = index.checked_sub(self.start.index + 1)?;
        self.slots.get(at as usize).map(|slot| &slot.entry)
    }

    /// The entries held from `index` on.
    pub fn from(&self, index: u64) -> impl Iterator<Item = &LogEntry> {
        self.slots_from(index).map(|slot| &slot.entry)
    }

    /// The entries held from `index` on, the first always and the others as long as
    /// they take no more than `count` and `bytes` with it.
    pub fn batch_from(&self, index: u64, count: u64, bytes: usize) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for slot in self.slots_from(index) {
            batch_bytes += slot.bytes;
            let full = batch.len() as u64 >= count || batch_bytes > bytes;
            if full && !batch.is_empty() {
                break;
            }
            batch.push(slot.entry.clone());
        }
        batch
    }

    /// Encoded size in bytes of the entries held from `first` to before `end`.
    pub fn bytes_between(&self, first: u64, end: u64) -> usize {
        let count = end.saturating_sub(first.max(self.first_index())) as usize;
        let slots = self.slots_from(first).take(count);
        slots.map(|slot| slot.bytes).sum()
    }

    fn slots_from(&self, index: u64) -> impl Iterator<Item = &LogSlot> {
        let at = index.saturating_sub(self.start.index + 1);
        self.slots.range((at as usize).min(self.slots.len())..)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        if let EntryBody::Members(members) = &entry.body {
            self.members = members.clone();
            self.members_index = entry.version.index;
        }
        self.push_slot(LogSlot::new(entry));
    }

    fn push_slot(&mut self, slot: LogSlot) {
        self.bytes += slot.bytes;
        self.slots.push_back(slot);
    }

    /// Number and encoded size of the entries held.
    pub fn size(&self) -> LogSize {
        LogSize {
            entries: self.slots.len(),
            bytes: self.bytes,
        }
    }

    /// Removes the entries from `index` on.
    pub fn cut_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.start.index + 1);
        while self.slots.len() as u64 > kept {
            self.bytes -= self.slots.pop_back().map_or(0, |slot| slot.bytes);
        }
        if self.members_index >= index {
            self.recompute_members();
        }
    }

    /// Number of entries after the last snapshot.
    pub fn entries_since_snapshot(&self) -> u64 {
        self.last()
            .index
            .saturating_sub(self.snapshot.version.index)
    }

    /// Members as of `index`, which must be committed.
    pub fn members_at(&self, index: u64) -> MemberList {
        for slot in self.slots.iter().rev() {
            let entry = &slot.entry;
            if entry.version.index > index {
                continue;
            }
            if let EntryBody::Members(members) = &entry.body {
                if entry.version.index > self.snapshot.version.index {
                    return members.clone();
                }
            }
        }
        self.snapshot.members.clone()
    }

    /// Installs a snapshot of this member's state, and drops its entries except
    /// the last [`KEPT_ENTRIES`].
    pub fn compact(&mut self, snapshot: ReplicaSnapshot) {
        let keep_from = snapshot.version.index.saturating_sub(KEPT_ENTRIES);
        self.snapshot = snapshot;
        self.drop_until(keep_from);
    }

    /// Replaces the log by the leader's snapshot, and keeps only the entries
    /// that continue it.
    pub fn install(&mut self, snapshot: ReplicaSnapshot) {
        let base = snapshot.version;
        if self.version_at(base.index) != Some(base) {
            self.slots.clear();
            self.bytes = 0;
        }
        self.snapshot = snapshot;
        self.drop_until(base.index);
        self.start = base;
        self.recompute_members();
    }

    /// Drops the entries up to `index`.
    fn drop_until(&mut self, index: u64) {
        while let Some(slot) = self.slots.front() {
            if slot.entry.version.index > index {
                break;
            }
            self.start = slot.entry.version;
            self.bytes -= slot.bytes;
            self.slots.pop_front();
        }
    }

    fn recompute_members(&mut self) {
        self.members = self.snapshot.members.clone();
        self.members_index = self.snapshot.version.index;
        for slot in &self.slots {
            let entry = &slot.entry;
            let EntryBody::Members(members) = &entry.body else {
                continue;
            };
            if entry.version.index > self.snapshot.version.index {
                self.members = members.clone();
                self.members_index = entry.version.index;
            }
        }
    }
}
