//! How long syncs of the data folder take.

use std::time::Duration;

use crate::agreement::timing::SYNC_ALLOWANCE_MAX;

/// Measures one write batch at a time, from its queueing to its sync.
#[derive(Clone, Debug, Default)]
pub(super) struct SyncTimer {
    /// Sequence and start of the batch being measured.
    running: Option<(u64, Duration)>,
    last: Duration,
}

impl SyncTimer {
    /// Records that the batch `sequence` was queued.
    pub(super) fn begin(&mut self, now: Duration, sequence: u64) {
        self.running.get_or_insert((sequence, now));
    }

    /// Records that all batches up to `sequence` are synced.
    pub(super) fn end(&mut self, now: Duration, sequence: u64) {
        if let Some((_, start)) = self.running.take_if(|(first, _)| *first <= sequence) {
            self.last = now.saturating_sub(start);
        }
    }

    /// Time that elections allow for a sync: that of the last one measured, zero
    /// before the first.
    pub(super) fn allowance(&self) -> Duration {
        self.last.min(SYNC_ALLOWANCE_MAX)
    }
}
