//! The thread that writes and syncs, so that nothing else waits for a disk.
//!
//! Load pattern: bursts of changes on a disk whose sync takes milliseconds.
//! Everything that was asked for while a sync ran is written with the next
//! one; with a sync for each change, a burst of a thousand would take a
//! thousand times the disk's time.

use std::io;
use std::sync::mpsc;
use std::thread;

use log::error;
use tokio::sync::mpsc::UnboundedSender;

use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::agreement::WriteBatch;
use cowslip_wire::process_log::LogValue;

use crate::member_store::MemberStore;

/// Batches written with one sync at most, so that one record stays small.
const BATCH_MAX: usize = 256;

/// Where batches go; the thread ends when it is dropped.
#[derive(Debug)]
pub struct StoreHandle {
    batches: mpsc::Sender<WriteBatch>,
}

impl StoreHandle {
    /// Queues a batch. A thread that has ended reported its failure, and a
    /// member whose disk failed waits for no batch.
    pub fn write(&self, batch: WriteBatch) {
        let _ = self.batches.send(batch);
    }
}

/// Starts the thread; what is synced, or that the disk failed, is reported.
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
        if let Err(failure) = store.write(gathered) {
            // A failed sync is never repeated as if it had worked: the
            // kernel may have dropped the pages it could not write.
            error!(
                "event=disk-failed process=control error={}",
                LogValue(failure)
            );
            let _ = reports.send(ReplicaEvent::DiskFailed);
            return;
        }
        if reports.send(ReplicaEvent::Persisted(last)).is_err() {
            return;
        }
    }
}
