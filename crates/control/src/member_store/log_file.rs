//! The log file: a header record, then one record for each sync.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use cowslip_core::agreement::HardState;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::ReplicaSnapshot;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::WriteBatch;
use cowslip_wire::codec;

use crate::member_store::atomic_file;
use crate::member_store::record_frame;
use crate::member_store::StoreError;
use crate::member_store::LOG_FILE;

/// First record of the log file.
#[derive(Debug, Serialize, Deserialize)]
struct LogHeader {
    /// ID of the folder that the file belongs to.
    folder: u64,
    /// The folder must hold a snapshot of at least this index.
    snapshot_index: u64,
    hard: HardState,
    entries: Vec<LogEntry>,
}

/// One write batch within a record.
#[derive(Debug, Serialize, Deserialize)]
struct LogStep {
    hard: Option<HardState>,
    cut_from: Option<u64>,
    entries: Vec<LogEntry>,
}

/// The open log file, positioned at its end.
#[derive(Debug)]
pub struct LogFile {
    file: File,
}

impl LogFile {
    /// Replaces the log file by a new one that starts with `entries`.
    pub fn create(
        path: &Path,
        folder: u64,
        snapshot_index: u64,
        hard: HardState,
        entries: Vec<LogEntry>,
    ) -> Result<Self, StoreError> {
        let header = LogHeader {
            folder,
            snapshot_index,
            hard,
            entries,
        };
        let bytes = record_frame::frame(&codec::encode(&header)?);
        let file = atomic_file::replace(path, LOG_FILE, &bytes)?;
        Ok(Self { file })
    }

    /// Opens the log file and returns its contents; a torn last record is
    /// truncated.
    pub fn open(
        path: &Path,
        folder: u64,
        snapshot: &ReplicaSnapshot,
    ) -> Result<(Self, SavedState), StoreError> {
        let bytes = match fs::read(path.join(LOG_FILE)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                let problem = "log file is missing";
                return Err(StoreError::Inconsistent { problem });
            }
            Err(error) => return Err(error.into()),
        };
        let (saved, end) = read_log(&bytes, folder, snapshot)?;
        let mut file = OpenOptions::new().write(true).open(path.join(LOG_FILE))?;
        // A crash in the middle of a write leaves a last record that is short
        // or fails its checksum. That record was never acknowledged, so
        // truncating it loses nothing.
        file.set_len(end as u64)?;
        file.seek(SeekFrom::Start(end as u64))?;
        file.sync_all()?;
        Ok((Self { file }, saved))
    }

    /// Returns true if the folder's log file holds anything beyond an empty
    /// header.
    pub fn holds_entries(path: &Path) -> Result<bool, StoreError> {
        let bytes = match fs::read(path.join(LOG_FILE)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(false),
            Err(error) => return Err(error.into()),
        };
        let Ok((bodies, _)) = record_frame::scan(&bytes) else {
            return Ok(true);
        };
        let [header] = bodies.as_slice() else {
            return Ok(true);
        };
        let header: LogHeader = codec::decode(header)?;
        Ok(!header.entries.is_empty() || header.snapshot_index > 0)
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
        let bytes = record_frame::frame(&codec::encode(&steps)?);
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        Ok(())
    }
}

fn read_log(
    bytes: &[u8],
    folder: u64,
    snapshot: &ReplicaSnapshot,
) -> Result<(SavedState, usize), StoreError> {
    let damaged = |at| StoreError::Damaged { file: LOG_FILE, at };
    let (bodies, end) = record_frame::scan(bytes).map_err(|record| damaged(record.at))?;
    let mut bodies = bodies.into_iter();
    // The header was synced before the file was renamed into place, so it is
    // never torn.
    let header: LogHeader = codec::decode(bodies.next().ok_or(damaged(0))?)?;
    if header.folder != folder {
        let problem = "log file belongs to another folder";
        return Err(StoreError::Inconsistent { problem });
    }
    if header.snapshot_index > snapshot.version.index {
        let problem = "snapshot is missing or older than the log";
        return Err(StoreError::Inconsistent { problem });
    }
    let mut saved = SavedState {
        hard: header.hard,
        entries: header.entries,
        ..SavedState::default()
    };
    for body in bodies {
        let steps: Vec<LogStep> = codec::decode(body)?;
        for step in steps {
            apply_step(&mut saved, step);
        }
    }
    check_contiguous(&saved.entries)?;
    Ok((saved, end))
}

fn apply_step(saved: &mut SavedState, step: LogStep) {
    if let Some(hard) = step.hard {
        saved.hard = hard;
    }
    if let Some(index) = step.cut_from {
        saved.entries.retain(|entry| entry.version.index < index);
    }
    saved.entries.extend(step.entries);
}

fn check_contiguous(entries: &[LogEntry]) -> Result<(), StoreError> {
    for pair in entries.windows(2) {
        let (before, after) = (pair[0].version, pair[1].version);
        if after.index != before.index + 1 || after.term < before.term {
            let problem = "log has a gap";
            return Err(StoreError::Inconsistent { problem });
        }
    }
    Ok(())
}
