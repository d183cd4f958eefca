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

/// A snapshot, the log entries and the resulting member list.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLog {
    snapshot: ReplicaSnapshot,
    /// Version of the entry before the first one held.
    start: ConfigVersion,
    entries: VecDeque<LogEntry>,
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
            log.entries = entries.into();
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
        self.entries
            .back()
            .map_or(self.start, |entry| entry.version)
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
        self.entries.get(at as usize)
    }

    /// The entries held from `index` on.
    pub fn from(&self, index: u64) -> impl Iterator<Item = &LogEntry> {
        let at = index.saturating_sub(self.start.index + 1);
        self.entries.iter().skip(at as usize)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        if let EntryBody::Members(members) = &entry.body {
            self.members = members.clone();
            self.members_index = entry.version.index;
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub fn cut_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.start.index + 1);
        self.entries.truncate(kept as usize);
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
        for entry in self.entries.iter().rev() {
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
        while let Some(entry) = self.entries.front() {
            if entry.version.index > keep_from {
                break;
            }
            self.start = entry.version;
            self.entries.pop_front();
        }
    }

    /// Replaces the log by the leader's snapshot, and keeps only the entries
    /// that continue it.
    pub fn install(&mut self, snapshot: ReplicaSnapshot) {
        let base = snapshot.version;
        if self.version_at(base.index) != Some(base) {
            self.entries.clear();
        }
        self.snapshot = snapshot;
        self.start = base;
        self.entries
            .retain(|entry| entry.version.index > base.index);
        self.recompute_members();
    }

    fn recompute_members(&mut self) {
        self.members = self.snapshot.members.clone();
        self.members_index = self.snapshot.version.index;
        for entry in &self.entries {
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
