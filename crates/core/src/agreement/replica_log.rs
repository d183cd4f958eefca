//! A member's copy of the log.
//!
//! Load pattern: changes of any weight, with commits that stop while there is no
//! majority. Entries are held in memory up to a number of bytes. Beyond it, only
//! the version and size of a synced entry are held, and the entry itself is read
//! from the data folder when it is applied or sent.

use std::collections::VecDeque;

use crate::agreement::entry_archive::FolderArchive;
use crate::agreement::log_entry::EntryBody;
use crate::agreement::log_entry::LogEntry;
use crate::agreement::member_list::MemberList;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::agreement::saved_state::SavedState;
use crate::agreement::saved_state::StoredEntry;
use crate::version::ConfigVersion;

/// Maximum number of entries kept before a snapshot, so that a member that is a
/// little behind needs no snapshot: an hour and a half at 13,000 changes a day.
const KEPT_ENTRIES: u64 = 1_024;

/// Maximum size of the entries kept before a snapshot, in bytes. Each snapshot writes
/// them again.
const KEPT_BYTES: usize = 1024 * 1024;

/// Maximum size of the entries held in memory, in bytes as they are encoded, apart
/// from those that are not synced yet. Decoded ones take up to three times as much.
pub const HELD_BYTES_MAX: usize = 4 * 1024 * 1024;

/// An entry that the data folder should hold but does not give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadableEntry;

/// One entry of the log.
#[derive(Clone, Debug)]
struct LogSlot {
    version: ConfigVersion,
    /// Size of the encoded entry in bytes.
    bytes: usize,
    /// The entry; `None` if only the data folder holds it. Member lists are always
    /// held.
    entry: Option<LogEntry>,
}

impl LogSlot {
    fn held(entry: LogEntry) -> Self {
        Self {
            version: entry.version,
            bytes: entry.encoded_bytes(),
            entry: Some(entry),
        }
    }

    fn stored(entry: StoredEntry) -> Self {
        Self {
            version: entry.version,
            bytes: entry.bytes,
            entry: entry
                .members
                .map(|members| LogEntry::new(entry.version, EntryBody::Members(members))),
        }
    }

    fn members(&self) -> Option<&MemberList> {
        match &self.entry.as_ref()?.body {
            EntryBody::Members(members) => Some(members),
            EntryBody::Blank | EntryBody::Change(_) => None,
        }
    }

    fn held_bytes(&self) -> usize {
        if self.entry.is_some() {
            self.bytes
        } else {
            0
        }
    }
}

/// Number and encoded size of the entries of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSize {
    /// Number of entries.
    pub entries: usize,
    /// Sum of the encoded entries in bytes.
    pub bytes: usize,
    /// Sum of the encoded entries that are held in memory, in bytes.
    pub held_bytes: usize,
}

/// A snapshot, the log entries and the resulting member list.
#[derive(Clone, Debug, Default)]
pub struct ReplicaLog {
    snapshot: ReplicaSnapshot,
    /// Version of the entry before the first one of the log.
    start: ConfigVersion,
    slots: VecDeque<LogSlot>,
    size: LogSize,
    /// Number of slots at the front whose entries are not held, except member lists.
    released: usize,
    archive: FolderArchive,
    members: MemberList,
    members_index: u64,
}

impl ReplicaLog {
    /// Creates a log from the contents of a data folder.
    pub fn new(saved: SavedState) -> Self {
        let mut log = Self {
            snapshot: saved.snapshot,
            archive: saved.archive,
            ..Self::default()
        };
        log.start = log.snapshot.version;
        let mut slots = VecDeque::with_capacity(saved.stored.len() + saved.entries.len());
        slots.extend(saved.stored.into_iter().map(LogSlot::stored));
        slots.extend(saved.entries.into_iter().map(LogSlot::held));
        // Guards against a crash between writing a new snapshot and the new
        // log file: the old log then ends before the snapshot or, if the
        // snapshot came from the leader, may have another history. The log is
        // kept only if it holds the snapshot's last entry or starts right
        // after it.
        let base = log.snapshot.version;
        let first = slots.front().map(|slot| slot.version.index);
        let joins = slots.iter().any(|slot| slot.version == base)
            || first == Some(base.index + 1);
        if joins {
            let index = first.unwrap_or(1) - 1;
            log.start = if index == base.index {
                base
            } else {
                // The term of the entry before the kept ones is never used.
                ConfigVersion::new(0, index)
            };
            for slot in slots {
                log.push_slot(slot);
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
        self.slots.back().map_or(self.start, |slot| slot.version)
    }

    /// Index of the first entry, or of the next one if there is none.
    pub fn first_index(&self) -> u64 {
        self.start.index + 1
    }

    /// Number and encoded size of the entries.
    pub fn size(&self) -> LogSize {
        self.size
    }

    /// Version of the entry at `index`, if the log or the snapshot knows it.
    pub fn version_at(&self, index: u64) -> Option<ConfigVersion> {
        if index == self.snapshot.version.index {
            return Some(self.snapshot.version);
        }
        self.slot(index).map(|slot| slot.version)
    }

    /// The entry at `index`; `None` if the log does not reach that far.
    pub fn read(&self, index: u64) -> Result<Option<LogEntry>, UnreadableEntry> {
        let slot = self.slot(index);
        slot.map(|slot| self.read_slot(slot)).transpose()
    }

    /// The entries from `index` on, the first always and the others as long as
    /// they take no more than `count` and `bytes` with it.
    pub fn batch_from(
        &self,
        index: u64,
        count: u64,
        bytes: usize,
    ) -> Result<Vec<LogEntry>, UnreadableEntry> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for slot in self.slots_from(index) {
            batch_bytes += slot.bytes;
            let full = batch.len() as u64 >= count || batch_bytes > bytes;
            if full && !batch.is_empty() {
                break;
            }
            batch.push(self.read_slot(slot)?);
        }
        Ok(batch)
    }

    /// All entries, which must be held in memory.
    pub fn held_entries(&self) -> Vec<LogEntry> {
        let mut entries = Vec::with_capacity(self.slots.len());
        for slot in &self.slots {
            debug_assert!(slot.entry.is_some(), "{} is not held", slot.version);
            entries.extend(slot.entry.clone());
        }
        entries
    }

    /// True if all entries after `index` are held in memory.
    pub fn is_held_after(&self, index: u64) -> bool {
        self.slots_from(index + 1).all(|slot| slot.entry.is_some())
    }

    /// Encoded size in bytes of the entries from `first` to before `end`.
    pub fn bytes_between(&self, first: u64, end: u64) -> usize {
        let count = end.saturating_sub(first.max(self.first_index())) as usize;
        let slots = self.slots_from(first).take(count);
        slots.map(|slot| slot.bytes).sum()
    }

    fn slot(&self, index: u64) -> Option<&LogSlot> {
        let at = index.checked_sub(self.first_index())?;
        self.slots.get(at as usize)
    }

    fn slots_from(&self, index: u64) -> impl Iterator<Item = &LogSlot> {
        let at = index.saturating_sub(self.first_index()) as usize;
        self.slots.range(at.min(self.slots.len())..)
    }

    fn read_slot(&self, slot: &LogSlot) -> Result<LogEntry, UnreadableEntry> {
        let version = slot.version;
        if let Some(entry) = slot.entry.clone() {
            return Ok(entry);
        }
        let entry = self.archive.read(version.index);
        let entry = entry.filter(|entry| entry.version == version);
        entry.ok_or(UnreadableEntry)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        if let EntryBody::Members(members) = &entry.body {
            self.members = members.clone();
            self.members_index = entry.version.index;
        }
        self.push_slot(LogSlot::held(entry));
    }

    fn push_slot(&mut self, slot: LogSlot) {
        self.size.entries += 1;
        self.size.bytes += slot.bytes;
        self.size.held_bytes += slot.held_bytes();
        self.slots.push_back(slot);
    }

    fn forget_size(&mut self, slot: &LogSlot) {
        self.size.entries -= 1;
        self.size.bytes -= slot.bytes;
        self.size.held_bytes -= slot.held_bytes();
    }

    /// Removes the entries from `index` on.
    pub fn cut_from(&mut self, index: u64) {
        let kept = index.saturating_sub(self.first_index()) as usize;
        while self.slots.len() > kept {
            if let Some(slot) = self.slots.pop_back() {
                self.forget_size(&slot);
            }
        }
        self.released = self.released.min(self.slots.len());
        if self.members_index >= index {
            self.recompute_members();
        }
    }

    /// Stops reading entries from the data folder, after it failed.
    pub fn close_archive(&mut self) {
        self.archive = FolderArchive::default();
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
            if slot.version.index > index {
                continue;
            }
            if slot.version.index <= self.snapshot.version.index {
                break;
            }
            if let Some(members) = slot.members() {
                return members.clone();
            }
        }
        self.snapshot.members.clone()
    }

    /// Releases the oldest entries up to `synced` from memory until those held take no
    /// more than [`HELD_BYTES_MAX`].
    pub fn release_until(&mut self, synced: u64) {
        while self.archive.is_readable() && self.size.held_bytes > HELD_BYTES_MAX {
            let Some(slot) = self.slots.get_mut(self.released) else {
                return;
            };
            if slot.version.index > synced {
                return;
            }
            self.released += 1;
            if slot.members().is_none() {
                self.size.held_bytes -= slot.held_bytes();
                slot.entry = None;
            }
        }
    }

    /// Installs a snapshot of this member's state, and drops the entries before it
    /// except the last ones. All entries after it must be held in memory; so are the
    /// remaining ones.
    pub fn compact(&mut self, snapshot: ReplicaSnapshot) {
        let first = self.first_kept(snapshot.version.index);
        self.snapshot = snapshot;
        self.drop_before(first);
    }

    /// Index of the first entry to be kept with a snapshot at `index`.
    fn first_kept(&self, index: u64) -> u64 {
        let mut first = index + 1;
        let mut bytes = 0;
        while first + KEPT_ENTRIES > index + 1 {
            let Some(slot) = self.slot(first - 1) else {
                break;
            };
            bytes += slot.bytes;
            if slot.entry.is_none() || bytes > KEPT_BYTES {
                break;
            }
            first -= 1;
        }
        first
    }

    /// Replaces the log by the leader's snapshot, of which it does not hold the last
    /// entry.
    pub fn install(&mut self, snapshot: ReplicaSnapshot) {
        self.drop_before(u64::MAX);
        self.start = snapshot.version;
        self.snapshot = snapshot;
        self.recompute_members();
    }

    /// Drops the entries before `index`.
    fn drop_before(&mut self, index: u64) {
        while let Some(slot) = self.slots.pop_front() {
            if slot.version.index >= index {
                self.slots.push_front(slot);
                return;
            }
            self.start = slot.version;
            self.released = self.released.saturating_sub(1);
            self.forget_size(&slot);
        }
    }

    fn recompute_members(&mut self) {
        self.members = self.snapshot.members.clone();
        self.members_index = self.snapshot.version.index;
        for slot in &self.slots {
            let Some(members) = slot.members() else {
                continue;
            };
            if slot.version.index > self.snapshot.version.index {
                self.members = members.clone();
                self.members_index = slot.version.index;
            }
        }
    }
}
