//! Opens the data folder of an instance, and reopens it while the instance runs.
//!
//! Without reopening, an instance whose disk was full or stalled for a while
//! would keep running without taking part in the agreement. After the next such
//! failure no majority would be left, although every process runs.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::warn;
use rand::Rng;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use cowslip_core::agreement::ReopenedFolder;
use cowslip_core::agreement::ReplicaEvent;
use cowslip_wire::process_log::LogValue;

use crate::member_store::FolderStore;
use crate::member_store::MemberStore;
use crate::member_store::StoreError;

/// Pause before each attempt to reopen the folder.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// A data folder that a [`FolderSource`] has opened for an agreement member.
pub struct FolderOpening {
    /// Contents of the folder.
    pub folder: ReopenedFolder,
    /// True if the folder is a new, empty one because the old one was set aside.
    pub replaced: bool,
    /// Store that writes to the folder.
    pub store: Box<dyn MemberStore>,
}

/// Opens an instance's data folder.
pub trait FolderSource: Send + Sync {
    /// Opens the folder. The store of an earlier opening must have been dropped.
    fn open(&self) -> Result<FolderOpening, StoreError>;

    /// Returns true if an unusable folder is replaced by an empty one.
    fn replaces_unusable(&self) -> bool;
}

/// Opens the data folder at a path.
#[derive(Clone, Debug)]
pub struct FolderOpener {
    /// Path of the folder.
    pub path: PathBuf,
    /// Instance that the folder belongs to.
    pub instance: Arc<str>,
    /// True if a folder that is damaged or was rolled back is set aside and
    /// replaced by an empty one. The fleet then adds the instance as a new
    /// member.
    pub replaces_unusable: bool,
}

impl FolderOpener {
    fn open_in_place(&self) -> Result<FolderOpening, StoreError> {
        let opened = FolderStore::open(&self.path, &self.instance)?;
        Ok(FolderOpening {
            folder: ReopenedFolder {
                folder: opened.folder,
                start: opened.start,
                saved: opened.saved,
                seed: rand::rng().random(),
            },
            replaced: false,
            store: Box::new(opened.store),
        })
    }
}

impl FolderSource for FolderOpener {
    fn open(&self) -> Result<FolderOpening, StoreError> {
        let error = match self.open_in_place() {
            Err(error) if self.replaces_unusable && error.is_unusable() => error,
            opened => return opened,
        };
        warn!(
            "event=folder-set-aside process=control instance={} error={}",
            self.instance,
            LogValue(error)
        );
        FolderStore::set_aside(&self.path)?;
        Ok(FolderOpening {
            replaced: true,
            ..self.open_in_place()?
        })
    }

    fn replaces_unusable(&self) -> bool {
        self.replaces_unusable
    }
}

/// Starts a thread that retries until the folder is open, then sends the folder
/// to `opened`.
///
/// The thread first waits until the store thread that sends
/// `previous_reports` has ended, since that one may still hang in a write. Two
/// stores on one folder would overwrite each other's records, and a file lock
/// does not prevent that on every file system.
pub fn spawn(
    source: Arc<dyn FolderSource>,
    mut previous_reports: UnboundedReceiver<ReplicaEvent>,
    opened: UnboundedSender<FolderOpening>,
) -> io::Result<()> {
    let thread = thread::Builder::new().name("folder-opener".to_owned());
    thread.spawn(move || {
        while previous_reports.blocking_recv().is_some() {}
        open_with_retries(&*source, &opened);
    })?;
    Ok(())
}

fn open_with_retries(source: &dyn FolderSource, opened: &UnboundedSender<FolderOpening>) {
    while !opened.is_closed() {
        thread::sleep(REOPEN_PAUSE);
        match source.open() {
            Ok(opening) => {
                // Fails only if the task has ended and needs no folder.
                let _ = opened.send(opening);
                return;
            }
            Err(error) => warn!(
                "event=folder-not-opened process=control error={}",
                LogValue(error)
            ),
        }
    }
}
