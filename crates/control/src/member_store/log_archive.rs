//! Reads single entries from the log file.

use std::collections::BTreeMap;
use std::fs::File;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use log::error;

use cowslip_core::agreement::EntryArchive;
use cowslip_core::agreement::LogEntry;
use cowslip_wire::codec;
use cowslip_wire::process_log::LogValue;

use crate::member_store::log_record::PlacedEntry;
use crate::member_store::record_frame::FileSpan;
use crate::member_store::StoreError;

/// The log file and the positions of its entries; updated by the store, read by the
/// member.
#[derive(Debug)]
pub struct LogArchive {
    places: Mutex<EntryPlaces>,
}

#[derive(Debug)]
struct EntryPlaces {
    file: Arc<File>,
    /// Positions by index.
    spans: BTreeMap<u64, FileSpan>,
}

impl LogArchive {
    /// Creates the archive of `file`, which holds `entries`.
    pub fn new(file: Arc<File>, entries: &[PlacedEntry]) -> Self {
        let mut places = EntryPlaces {
            file,
            spans: BTreeMap::new(),
        };
        places.insert(entries);
        Self {
            places: Mutex::new(places),
        }
    }

    /// Switches to a new log file, which holds `entries`.
    pub fn replace(&self, file: Arc<File>, entries: &[PlacedEntry]) {
        let mut places = self.lock();
        places.file = file;
        places.spans.clear();
        places.insert(entries);
    }

    /// Records that the entries from `cut_from` on are cut off, and that `entries` follow.
    pub fn append(&self, cut_from: Option<u64>, entries: &[PlacedEntry]) {
        let mut places = self.lock();
        if let Some(index) = cut_from {
            places.spans.split_off(&index);
        }
        places.insert(entries);
    }

    fn read_entry(&self, index: u64) -> Result<Option<LogEntry>, StoreError> {
        let places = self.lock();
        let Some(span) = places.spans.get(&index).copied() else {
            return Ok(None);
        };
        let file = Arc::clone(&places.file);
        drop(places);
        Ok(Some(codec::decode(&span.read(&file)?)?))
    }

    fn lock(&self) -> MutexGuard<'_, EntryPlaces> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EntryPlaces {
    fn insert(&mut self, entries: &[PlacedEntry]) {
        for entry in entries {
            self.spans.insert(entry.version.index, entry.span);
        }
    }
}

impl EntryArchive for LogArchive {
    fn read(&self, index: u64) -> Option<LogEntry> {
        let entry = match self.read_entry(index) {
            Ok(Some(entry)) => return Some(entry),
            Ok(None) => "it is not in the log file".to_owned(),
            Err(error) => error.to_string(),
        };
        error!(
            "event=entry-unreadable process=control index={index} error={}",
            LogValue(entry)
        );
        None
    }
}
