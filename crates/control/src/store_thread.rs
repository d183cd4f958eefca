//! Thread that writes and syncs the data folder, so that no other code waits
//! for the disk.
//!
//! Load pattern: bursts of changes on a disk whose sync takes milliseconds. All
//! batches that arrive during a sync are written with the next sync. With a sync
//! for each change, a burst of a thousand changes would take a thousand syncs.

use std::io;
use std::sync::mpsc;
use std::thread;

use log::error;
use tokio::sync::mpsc::UnboundedSender;

use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::agreement::WriteBatch;
use cowslip_wire::process_log::LogValue;

use crate::member_store::MemberStore;

/// Maximum number of batches written with one sync, which bounds the size of a
/// record.
const BATCH_MAX: usize = 256;

/// Channel to the store thread; the thread ends when the handle is dropped.
#[derive(Debug)]
pub struct StoreHandle {
    batches: mpsc::Sender<WriteBatch>,
}

impl StoreHandle {
    /// Queues a batch. If the thread has ended, the batch is dropped: the thread
    /// reported its failure, and a member whose disk failed waits for no batch.
    pub fn write(&self, batch: WriteBatch) {
        let _ = self.batches.send(batch);
    }
}

/// Starts the thread, which reports each synced batch, or that the disk failed.
pub fn spawn(
    store: Box<dyn MemberStore>,
    reports: UnboundedSender<ReplicaEvent>,
) -> io::Result<StoreHandle> {
    let (batches, receiver) = mpsc::channel();
    let thread = thread::Builder::new().name("store".to_owned());
    thread.spawn(move || run(store, &receiver, &reports))?;
    Ok(StoreHandle { batches })
}

fn run(
    mut store: Box<dyn MemberStore>,
    batches: &mpsc::Receiver<WriteBatch>,
    reports: &UnboundedSender<ReplicaEvent>,
) {
    while let Ok(first) = batches.recv() {
        let mut gathered = vec![first];
        while gathered.len() < BATCH_MAX {
            let Ok(batch) = batches.try_recv() else {
                break;
            };
            gathered.push(batch);
        }
        let last = gathered.last().map_or(0, |batch| batch.sequence);
        if let Err(error) = store.write(gathered) {
            // A failed sync must not be retried: the kernel may have dropped
            // the pages that it could not write, so a retry could succeed
            // although data is lost.
            error!(
                "event=disk-failed process=control error={}",
                LogValue(error)
            );
            let _ = reports.send(ReplicaEvent::DiskFailed);
            return;
        }
        if reports.send(ReplicaEvent::Persisted(last)).is_err() {
            return;
        }
    }
}
