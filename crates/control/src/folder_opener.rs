//! Opens the data folder of an instance, also again while it runs.
//!
//! Guards against an instance that runs on without a part in the agreement
//! after its disk was full or stalled for a while: with the next such loss no
//! majority is left, though every process runs.

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

/// Pause before each try to open the folder again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// A folder that has just been opened.
pub struct FolderOpening {
    /// What it holds.
    pub folder: ReopenedFolder,
    /// True where it is empty, in the place of one that was set aside.
    pub replaced: bool,
    /// Where to write.
    pub store: Box<dyn MemberStore>,
}

/// Opens an instance's data folder.
pub trait FolderSource: Send + Sync {
    /// Opens the folder; the store of an earlier opening is gone by then.
    fn open(&self) -> Result<FolderOpening, StoreError>;

    /// True where a folder that is spoilt is replaced by an empty one.
    fn replaces_unusable(&self) -> bool;
}

/// The folder at a path.
#[derive(Clone, Debug)]
pub struct FolderOpener {
    /// The folder.
    pub path: PathBuf,
    /// Whose it is.
    pub instance: Arc<str>,
    /// True where a folder that is damaged or was rolled back is set aside, and
    /// an empty one takes its place; the fleet then takes the instance in anew.
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

/// Starts a thread that tries until the folder is open, and hands it over then.
///
/// It waits first for the end of the thread whose reports are `before`, since
/// that one may still hang in a write. Two stores on one folder would overwrite
/// each other's records, and a lock does not keep them apart on every disk.
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
                // A task that has ended needs no folder.
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
