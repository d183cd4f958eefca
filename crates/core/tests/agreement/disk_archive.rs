//! Entries that members read from a simulated disk.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Mutex;

use cowslip_core::agreement::EntryArchive;
use cowslip_core::agreement::EntryBody;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::StoredEntry;

/// Entries of a simulated disk, as far as they are synced.
#[derive(Debug, Default)]
pub struct DiskArchive {
    entries: Mutex<BTreeMap<u64, LogEntry>>,
    /// True if the disk returns errors.
    broken: AtomicBool,
}

impl DiskArchive {
    /// True if the disk returns errors.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::SeqCst)
    }

    /// Makes the disk return errors, or none.
    pub fn set_broken(&self, broken: bool) {
        self.broken.store(broken, Ordering::SeqCst);
    }

    /// Replaces the entries.
    pub fn set(&self, entries: &[LogEntry]) {
        let by_index = entries
            .iter()
            .map(|entry| (entry.version.index, entry.clone()));
        *self.entries.lock().expect("no panic") = by_index.collect();
    }
}

impl EntryArchive for DiskArchive {
    fn read(&self, index: u64) -> Option<LogEntry> {
        if self.is_broken() {
            return None;
        }
        self.entries.lock().expect("no panic").get(&index).cloned()
    }
}

/// Moves all entries but the last `held` to those that are read when needed.
pub fn store_entries(saved: &mut SavedState, held: usize) {
    let stored = saved.entries.len().saturating_sub(held);
    for entry in saved.entries.drain(..stored) {
        saved.stored.push(StoredEntry {
            version: entry.version,
            bytes: entry.encoded_bytes(),
            members: match entry.body {
                EntryBody::Members(members) => Some(members),
                _ => None,
            },
        });
    }
}
