//! A member's data folder: identity, log and snapshot.
//!
//! `identity` names the instance and numbers the folder's starts. `log`
//! holds a head and one record for each sync. `snapshot` holds the last
//! snapshot. A file that changes whole is written under another name,
//! synced and renamed, and the folder is synced after it.

use std::fs;
use std::fs::File;
use std::fs::TryLockError;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use cowslip_core::agreement::ProcessStart;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::WriteBatch;
use cowslip_wire::codec::CodecError;

use self::identity_file::IdentityRecord;
use self::log_file::LogFile;

mod atomic_file;
mod identity_file;
mod log_file;
mod record_frame;

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// A data folder that cannot be used, or not any more.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The disk failed; what it holds of the last write is not known.
    #[error("data folder: {0}")]
    Disk(#[from] io::Error),
    /// A record could not be coded.
    #[error("data folder: {0}")]
    Codec(#[from] CodecError),
    /// Another process has it open.
    #[error("data folder {0:?}: another process uses it")]
    InUse(PathBuf),
    /// It is another instance's.
    #[error("data folder: it belongs to instance {found:?}, not to {expected:?}; give each instance its own folder")]
    OtherInstance {
        /// Whose it is.
        found: String,
        /// Who opened it.
        expected: String,
    },
    /// A record that was synced does not match its checksum.
    #[error("data folder: {file} is damaged at byte {at}; remove the folder and add this instance as a new member")]
    Damaged {
        /// Which file.
        file: &'static str,
        /// Where the record starts.
        at: usize,
    },
    /// Files are missing, or of different times or folders.
    #[error(
        "data folder: {problem}; remove the folder and add this instance as a new member"
    )]
    Inconsistent {
        /// What does not fit.
        problem: &'static str,
    },
    /// The folder lost entries that it had acknowledged; the other members
    /// found it out.
    #[error("data folder: it was rolled back below what this instance had acknowledged; remove the folder and add this instance as a new member")]
    RolledBack,
}

impl StoreError {
    /// True where the folder's content cannot be used, now or later.
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

/// Writes what a member asks to be written.
pub trait MemberStore: Send {
    /// Writes the batches in their order and returns once all are synced.
    /// After an error the store must not be used again: the kernel may have
    /// dropped what it could not write, so that a second sync would seem to
    /// work.
    fn write(&mut self, batches: Vec<WriteBatch>) -> Result<(), StoreError>;
}

/// What was found in a folder.
#[derive(Debug)]
pub struct OpenedFolder {
    /// Random number of the folder.
    pub folder: u64,
    /// This start.
    pub start: ProcessStart,
    /// Log and snapshot.
    pub saved: SavedState,
    /// Where to write.
    pub store: FolderStore,
}

/// An open data folder.
#[derive(Debug)]
pub struct FolderStore {
    path: PathBuf,
    folder: u64,
    log: LogFile,
    /// Held until the store is dropped.
    _lock: File,
}

impl FolderStore {
    /// Opens the folder of `instance`, creating it where it is empty.
    pub fn open(path: &Path, instance: &str) -> Result<OpenedFolder, StoreError> {
        fs::create_dir_all(path)?;
        let lock = lock_folder(path)?;
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

    /// Renames the files of a folder that cannot be used, so that an empty one
    /// takes its place and operators can still look at them.
    ///
    /// The identity goes first: without it whatever is left after a crash is
    /// taken for somebody's and set aside as well.
    pub fn set_aside(path: &Path) -> Result<(), StoreError> {
        for name in [IDENTITY_FILE, LOG_FILE, SNAPSHOT_FILE] {
            let file = path.join(name);
            match fs::rename(&file, path.join(format!("{name}.spoilt"))) {
                Err(failure) if failure.kind() != io::ErrorKind::NotFound => {
                    return Err(failure.into());
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
        // The snapshot first: with the old log beside it everything is
        // still there. The other way round a crash would leave a gap.
        atomic_file::write(&self.path, SNAPSHOT_FILE, &write.snapshot)?;
        let base = write.snapshot.version.index;
        self.log =
            LogFile::create(&self.path, self.folder, base, write.hard, write.rest)?;
        Ok(())
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
        Err(TryLockError::Error(failure)) => Err(failure.into()),
    }
}

/// Makes the files of a new folder, the identity last.
///
/// Guards against a folder whose identity was lost: its log and snapshot
/// are somebody's, so they are neither used nor overwritten.
fn create(path: &Path, instance: &str) -> Result<IdentityRecord, StoreError> {
    if path.join(SNAPSHOT_FILE).exists() || LogFile::holds_entries(path)? {
        return Err(StoreError::Inconsistent {
            problem: "there are a log or a snapshot without the identity file",
        });
    }
    let identity = IdentityRecord::new(instance);
    LogFile::create(path, identity.folder, 0, Default::default(), Vec::new())?;
    identity_file::write(path, &identity)?;
    Ok(identity)
}
