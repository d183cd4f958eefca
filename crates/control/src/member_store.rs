//! A member's data folder: identity, log and snapshot.
//!
//! `identity` names the instance and counts the starts. `log` holds a header
//! and one record for each sync. `snapshot` holds the last snapshot. A file
//! that is replaced as a whole is written under a temporary name, synced and
//! renamed; then the folder is synced.

use std::fs;
use std::fs::File;
use std::fs::TryLockError;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use cowslip_core::agreement::HardState;
use cowslip_core::agreement::ProcessStart;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::WriteBatch;
use cowslip_wire::codec::CodecError;

use self::identity_file::IdentityRecord;
use self::log_file::LogFile;
use self::log_file::LogHeader;

mod atomic_file;
mod identity_file;
mod log_archive;
mod log_file;
mod log_record;
mod record_frame;

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// Reason why a data folder cannot be used, or can no longer be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The disk failed; it is unknown how much of the last write it holds.
    #[error("data folder: {0}")]
    Disk(#[from] io::Error),
    /// A record could not be encoded or decoded.
    #[error("data folder: {0}")]
    Codec(#[from] CodecError),
    /// Another process has the folder open.
    #[error("data folder {0:?} is in use by another process")]
    InUse(PathBuf),
    /// The folder belongs to another instance.
    #[error("data folder belongs to instance {found:?}, not to {expected:?}; give each instance its own folder")]
    OtherInstance {
        /// Instance that the folder belongs to.
        found: String,
        /// Instance that opened the folder.
        expected: String,
    },
    /// A record that was synced does not match its checksum.
    #[error("data folder: {file} is damaged at byte {at}; remove the folder and add this instance as a new member")]
    Damaged {
        /// Name of the file.
        file: &'static str,
        /// Byte offset of the record.
        at: usize,
    },
    /// Files are missing, or come from different times or folders.
    #[error(
        "data folder: {problem}; remove the folder and add this instance as a new member"
    )]
    Inconsistent {
        /// Description of the inconsistency.
        problem: &'static str,
    },
    /// The folder lost entries that it had acknowledged, as the other members
    /// detected.
    #[error("data folder was rolled back and lost entries that this instance had acknowledged; remove the folder and add this instance as a new member")]
    RolledBack,
}

impl StoreError {
    /// Returns true if the folder's contents are permanently unusable.
    pub fn is_unusable(&self) -> bool {
        match self {
            Self::Damaged { .. } | Self::Inconsistent { .. } | Self::RolledBack => true,
            Self::Disk(_)
            | Self::Codec(_)
            | Self::InUse(_)
            | Self::OtherInstance { .. } => false,
        }
    }
}

/// Storage that a member writes to.
pub trait MemberStore: Send {
    /// Writes the batches in order and returns once all are synced.
    ///
    /// After an error the store must not be used again: the kernel may have
    /// dropped pages that it could not write, so a second sync could succeed
    /// although data is lost.
    fn write(&mut self, batches: Vec<WriteBatch>) -> Result<(), StoreError>;
}

/// Contents and store of a data folder, as opened by [`FolderStore::open`].
#[derive(Debug)]
pub struct OpenedFolder {
    /// Random ID of the folder.
    pub folder: u64,
    /// Count and nonce of this start.
    pub start: ProcessStart,
    /// Saved log and snapshot.
    pub saved: SavedState,
    /// Store that writes to the folder.
    pub store: FolderStore,
}

/// An open data folder.
#[derive(Debug)]
pub struct FolderStore {
    path: PathBuf,
    folder: u64,
    log: LogFile,
    /// Keeps the folder locked until the store is dropped.
    _lock: File,
}

impl FolderStore {
    /// Opens the folder of `instance` and creates its files if it is empty.
    pub fn open(path: &Path, instance: &str) -> Result<OpenedFolder, StoreError> {
        fs::create_dir_all(path)?;
        let lock = lock_folder(path)?;
        for name in [IDENTITY_FILE, LOG_FILE, SNAPSHOT_FILE] {
            atomic_file::remove_unfinished(path, name)?;
        }
        let identity = match identity_file::read(path)? {
            Some(identity) => identity,
            None => create(path, instance)?,
        };
        if identity.instance != instance {
            return Err(StoreError::OtherInstance {
                found: identity.instance,
                expected: instance.to_owned(),
            });
        }
        let snapshot = atomic_file::read(path, SNAPSHOT_FILE)?.unwrap_or_default();
        let (log, mut saved) = LogFile::open(path, identity.folder, &snapshot)?;
        saved.snapshot = snapshot;
        if saved.hard.barred {
            return Err(StoreError::RolledBack);
        }
        let identity = identity.next_start();
        identity_file::write(path, &identity)?;
        Ok(OpenedFolder {
            folder: identity.folder,
            start: identity.start,
            saved,
            store: Self {
                path: path.to_owned(),
                folder: identity.folder,
                log,
                _lock: lock,
            },
        })
    }

    /// Renames the files of an unusable folder, so that new files can be created
    /// while operators can still inspect the old ones.
    ///
    /// The identity is renamed first: after a crash in between, the remaining
    /// files without an identity are inconsistent and are set aside as well.
    pub fn set_aside(path: &Path) -> Result<(), StoreError> {
        for name in [IDENTITY_FILE, LOG_FILE, SNAPSHOT_FILE] {
            let file = path.join(name);
            match fs::rename(&file, path.join(format!("{name}.spoilt"))) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    return Err(error.into());
                }
                _ => File::open(path)?.sync_all()?,
            }
        }
        Ok(())
    }

    fn write_snapshot(&mut self, batch: &mut WriteBatch) -> Result<(), StoreError> {
        let Some(write) = batch.snapshot.take() else {
            return Ok(());
        };
        // The snapshot is written first: after a crash in between, the new
        // snapshot and the old log still hold everything. In the reverse order
        // a crash would leave a gap.
        atomic_file::write(&self.path, SNAPSHOT_FILE, &write.snapshot)?;
        let header = LogHeader {
            folder: self.folder,
            snapshot_index: write.snapshot.version.index,
            hard: write.hard,
            entries: write.rest,
        };
        self.log.replace(&self.path, &header)
    }
}

impl MemberStore for FolderStore {
    fn write(&mut self, batches: Vec<WriteBatch>) -> Result<(), StoreError> {
        let mut gathered = Vec::new();
        for mut batch in batches {
            if batch.snapshot.is_some() {
                self.log.append(std::mem::take(&mut gathered))?;
                self.write_snapshot(&mut batch)?;
            }
            if !batch.is_empty() {
                gathered.push(batch);
            }
        }
        self.log.append(gathered)
    }
}

fn lock_folder(path: &Path) -> Result<File, StoreError> {
    let lock = File::create(path.join(LOCK_FILE))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::InUse(path.to_owned())),
        Err(TryLockError::Error(error)) => Err(error.into()),
    }
}

/// Creates the files of a new folder, the identity last.
///
/// A log with entries or a snapshot without an identity is an error: the files
/// may belong to any instance, so they are neither used nor overwritten.
fn create(path: &Path, instance: &str) -> Result<IdentityRecord, StoreError> {
    if path.join(SNAPSHOT_FILE).exists() || LogFile::holds_entries(path)? {
        return Err(StoreError::Inconsistent {
            problem: "log or snapshot exists without the identity file",
        });
    }
    let identity = IdentityRecord::new(instance);
    let header = LogHeader {
        folder: identity.folder,
        snapshot_index: 0,
        hard: HardState::default(),
        entries: Vec::new(),
    };
    LogFile::create(path, &header)?;
    identity_file::write(path, &identity)?;
    Ok(identity)
}
