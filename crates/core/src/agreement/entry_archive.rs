//! Access to log entries that only the data folder holds.

use std::fmt;
use std::sync::Arc;

use crate::agreement::log_entry::LogEntry;

/// Reads the entries of a data folder.
pub trait EntryArchive: fmt::Debug + Send + Sync {
    /// Reads the entry at `index`, which is synced and not cut off. Returns `None` if
    /// the folder cannot be read; the implementation logs why.
    fn read(&self, index: u64) -> Option<LogEntry>;
}

/// The archive of a data folder, if entries can be read from it.
#[derive(Clone, Debug, Default)]
pub struct FolderArchive(Option<Arc<dyn EntryArchive>>);

impl FolderArchive {
    /// Creates a handle to `archive`.
    pub fn new(archive: Arc<dyn EntryArchive>) -> Self {
        Self(Some(archive))
    }

    /// True if entries can be read.
    pub fn is_readable(&self) -> bool {
        self.0.is_some()
    }

    /// Reads the entry at `index`; `None` if it cannot be read.
    pub fn read(&self, index: u64) -> Option<LogEntry> {
        self.0.as_ref()?.read(index)
    }
}

/// Where entries are read from is no part of what a folder holds.
impl PartialEq for FolderArchive {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for FolderArchive {}
