//! The log file: a header record, then one record for each sync.

use std::fs::File;
use std::io;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;

use cowslip_core::agreement::FolderArchive;
use cowslip_core::agreement::HardState;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::ReplicaSnapshot;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::StoredEntry;
use cowslip_core::agreement::WriteBatch;
use cowslip_core::agreement::HELD_BYTES_MAX;
use cowslip_wire::codec;

use crate::member_store::atomic_file;
use crate::member_store::log_archive::LogArchive;
use crate::member_store::log_record;
use crate::member_store::log_record::LogPart;
use crate::member_store::log_record::PlacedEntry;
use crate::member_store::record_frame;
use crate::member_store::record_frame::FileSpan;
use crate::member_store::record_frame::ScanError;
use crate::member_store::record_frame::HEADER_BYTES;
use crate::member_store::StoreError;
use crate::member_store::LOG_FILE;

/// First record of the log file.
#[derive(Debug, Serialize)]
pub struct LogHeader {
    /// ID of the folder that the file belongs to.
    pub folder: u64,
    /// The folder must hold a snapshot of at least this index.
    pub snapshot_index: u64,
    /// Term and vote.
    pub hard: HardState,
    /// Entries that the file starts with.
    pub entries: Vec<LogEntry>,
}

/// One write batch within a record.
#[derive(Debug, Serialize)]
struct LogStep {
    hard: Option<HardState>,
    cut_from: Option<u64>,
    entries: Vec<LogEntry>,
}

/// The open log file, positioned at its end.
#[derive(Debug)]
pub struct LogFile {
    file: Arc<File>,
    /// Length of the file in bytes.
    length: u64,
    archive: Arc<LogArchive>,
}

impl LogFile {
    /// Creates the log file of a new folder.
    pub fn create(path: &Path, header: &LogHeader) -> Result<(), StoreError> {
        atomic_file::write(path, LOG_FILE, header)?;
        Ok(())
    }

    /// Replaces the log file by a new one.
    pub fn replace(&mut self, path: &Path, header: &LogHeader) -> Result<(), StoreError> {
        let file = atomic_file::write(path, LOG_FILE, header)?;
        self.length = file.metadata()?.len();
        self.file = Arc::new(file);
        let body = FileSpan {
            start: HEADER_BYTES,
            bytes: self.length - HEADER_BYTES,
        };
        let first = log_record::read_first(&self.file, body)?;
        self.archive.replace(Arc::clone(&self.file), &first.entries);
        Ok(())
    }

    /// Opens the log file and returns its contents; a torn last record is
    /// truncated.
    pub fn open(
        path: &Path,
        folder: u64,
        snapshot: &ReplicaSnapshot,
    ) -> Result<(Self, SavedState), StoreError> {
        let file = File::options()
            .read(true)
            .write(true)
            .open(path.join(LOG_FILE));
        let mut file = match file {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                let problem = "log file is missing";
                return Err(StoreError::Inconsistent { problem });
            }
            Err(error) => return Err(error.into()),
        };
        let contents = LogContents::read(&file, folder, snapshot)?;
        // A crash in the middle of a write leaves a last record that is short
        // or fails its checksum. That record was never acknowledged, so
        // truncating it loses nothing.
        file.set_len(contents.length)?;
        file.seek(SeekFrom::Start(contents.length))?;
        file.sync_all()?;
        let file = Arc::new(file);
        let archive = LogArchive::new(Arc::clone(&file), &contents.entries);
        let log = Self {
            length: contents.length,
            archive: Arc::new(archive),
            file,
        };
        let saved = contents.into_saved(&log)?;
        Ok((log, saved))
    }

    /// Returns true if the folder's log file holds anything beyond an empty
    /// header.
    pub fn holds_entries(path: &Path) -> Result<bool, StoreError> {
        let file = match File::open(path.join(LOG_FILE)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(error) => return Err(error.into()),
        };
        let bodies = match record_frame::scan(&file) {
            Ok(bodies) => bodies,
            Err(ScanError::Damaged { .. }) => return Ok(true),
            Err(ScanError::Io(error)) => return Err(error.into()),
        };
        let [header] = bodies.as_slice() else {
            return Ok(true);
        };
        let header = log_record::read_first(&file, *header)?;
        Ok(!header.entries.is_empty() || header.snapshot_index > Some(0))
    }

    /// Appends the batches as one record and syncs the file.
    pub fn append(&mut self, batches: Vec<WriteBatch>) -> Result<(), StoreError> {
        if batches.is_empty() {
            return Ok(());
        }
        let mut steps = Vec::with_capacity(batches.len());
        for batch in batches {
            steps.push(LogStep {
                hard: batch.hard,
                cut_from: batch.cut_from,
                entries: batch.entries,
            });
        }
        let body = codec::encode(&steps)?;
        let record = record_frame::frame(&body)?;
        (&*self.file).write_all(&record)?;
        self.file.sync_data()?;
        let start = self.length + HEADER_BYTES;
        for part in log_record::decode_later(body.as_slice(), start)? {
            self.archive.append(part.cut_from, &part.entries);
        }
        self.length += record.len() as u64;
        Ok(())
    }
}

/// What a log file holds, without the entries themselves.
struct LogContents {
    hard: HardState,
    entries: Vec<PlacedEntry>,
    /// Length in bytes of the intact records.
    length: u64,
}

impl LogContents {
    fn read(
        file: &File,
        folder: u64,
        snapshot: &ReplicaSnapshot,
    ) -> Result<Self, StoreError> {
        let damaged = |at| StoreError::Damaged { file: LOG_FILE, at };
        let bodies = match record_frame::scan(file) {
            Ok(bodies) => bodies,
            Err(ScanError::Damaged { at }) => return Err(damaged(at as usize)),
            Err(ScanError::Io(error)) => return Err(error.into()),
        };
        // The header was synced before the file was renamed into place, so it is
        // never torn.
        let (first, later) = bodies.split_first().ok_or(damaged(0))?;
        let header = log_record::read_first(file, *first)?;
        check_header(&header, folder, snapshot)?;
        let mut contents = Self {
            hard: header.hard.unwrap_or_default(),
            entries: header.entries,
            length: later.last().unwrap_or(first).end(),
        };
        for body in later {
            for part in log_record::read_later(file, *body)? {
                contents.apply(part);
            }
        }
        check_contiguous(&contents.entries)?;
        Ok(contents)
    }

    fn apply(&mut self, part: LogPart) {
        if let Some(hard) = part.hard {
            self.hard = hard;
        }
        if let Some(index) = part.cut_from {
            self.entries.retain(|entry| entry.version.index < index);
        }
        self.entries.extend(part.entries);
    }

    /// Reads the last entries, as many as a member holds in memory.
    fn into_saved(self, log: &LogFile) -> Result<SavedState, StoreError> {
        let mut saved = SavedState {
            hard: self.hard,
            archive: FolderArchive::new(Arc::clone(&log.archive) as _),
            ..SavedState::default()
        };
        let first_held = first_held(&self.entries);
        for (at, entry) in self.entries.into_iter().enumerate() {
            if at >= first_held {
                let bytes = entry.span.read(&log.file)?;
                saved.entries.push(codec::decode(&bytes)?);
                continue;
            }
            saved.stored.push(StoredEntry {
                version: entry.version,
                bytes: entry.span.bytes as usize,
                members: entry.members,
            });
        }
        Ok(saved)
    }
}

fn first_held(entries: &[PlacedEntry]) -> usize {
    let mut bytes = 0;
    for (at, entry) in entries.iter().enumerate().rev() {
        bytes += entry.span.bytes;
        if bytes > HELD_BYTES_MAX as u64 {
            return at + 1;
        }
    }
    0
}

fn check_header(
    header: &LogPart,
    folder: u64,
    snapshot: &ReplicaSnapshot,
) -> Result<(), StoreError> {
    if header.folder != Some(folder) {
        let problem = "log file belongs to another folder";
        return Err(StoreError::Inconsistent { problem });
    }
    if header.snapshot_index > Some(snapshot.version.index) {
        let problem = "snapshot is missing or older than the log";
        return Err(StoreError::Inconsistent { problem });
    }
    Ok(())
}

fn check_contiguous(entries: &[PlacedEntry]) -> Result<(), StoreError> {
    for pair in entries.windows(2) {
        let (before, after) = (pair[0].version, pair[1].version);
        if after.index != before.index + 1 || after.term < before.term {
            let problem = "log has a gap";
            return Err(StoreError::Inconsistent { problem });
        }
    }
    Ok(())
}
