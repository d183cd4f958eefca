//! Writes and messages of a member that its caller has not taken yet.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::agreement::member_message::MemberMessage;
use crate::agreement::saved_state::WriteBatch;

/// A message and the address of its receiver.
pub type AddressedMessage = (SocketAddr, MemberMessage);

/// Collects writes and messages, and blocks messages until the term and vote
/// on which they depend are synced.
///
/// Guards against a member that crashes after it sent a vote that is not on its
/// disk: it would vote twice in one term, and two leaders would accept
/// different changes under the same version.
#[derive(Clone, Debug, Default)]
pub struct OutputQueue {
    pending: WriteBatch,
    /// Sequence of the last batch taken.
    sequence: u64,
    /// Sequence of the last batch with a term or vote.
    hard_sequence: u64,
    synced_sequence: u64,
    /// Sequence and last log index of each batch that is not synced yet.
    unsynced: VecDeque<(u64, u64)>,
    /// Last log index that is synced.
    synced_index: u64,
    /// Messages that wait for a term or vote to be synced.
    blocked: Vec<AddressedMessage>,
    /// Messages queued since the last call of [`Self::take`].
    outgoing: Vec<AddressedMessage>,
}

impl OutputQueue {
    /// Creates a queue for a log that is synced up to `index`.
    pub fn new(index: u64) -> Self {
        Self {
            synced_index: index,
            ..Self::default()
        }
    }

    /// The batch being collected.
    pub fn pending(&mut self) -> &mut WriteBatch {
        &mut self.pending
    }

    /// Last log index that is synced.
    pub fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// True if the current term and vote are synced.
    pub fn hard_synced(&self) -> bool {
        self.pending.hard.is_none() && self.hard_sequence <= self.synced_sequence
    }

    /// Records that the log was cut from `index` on: entries from there on no
    /// longer count as synced.
    pub fn cut_from(&mut self, index: u64) {
        let kept = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(kept);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(kept);
        }
    }

    /// Queues a message.
    pub fn send(&mut self, message: AddressedMessage) {
        self.outgoing.push(message);
    }

    /// Records that all batches up to `sequence` are synced.
    pub fn persisted(&mut self, sequence: u64) {
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some((batch, last)) = self.unsynced.front().copied() {
            if batch > sequence {
                break;
            }
            self.synced_index = last;
            self.unsynced.pop_front();
        }
    }

    /// Takes the collected batch, numbered, and the messages that may be sent.
    /// `last` is the last log index after the batch.
    pub fn take(&mut self, last: u64) -> (Option<WriteBatch>, Vec<AddressedMessage>) {
        let batch = self.close_batch(last);
        self.blocked.append(&mut self.outgoing);
        if self.hard_sequence > self.synced_sequence {
            return (batch, Vec::new());
        }
        (batch, std::mem::take(&mut self.blocked))
    }

    fn close_batch(&mut self, last: u64) -> Option<WriteBatch> {
        if self.pending.is_empty() {
            return None;
        }
        self.sequence += 1;
        self.pending.sequence = self.sequence;
        if self.pending.hard.is_some() {
            self.hard_sequence = self.sequence;
        }
        self.unsynced.push_back((self.sequence, last));
        Some(std::mem::take(&mut self.pending))
    }

    /// Drops the collected batch and all messages, after a disk failure.
    pub fn clear(&mut self) {
        self.pending = WriteBatch::default();
        self.blocked.clear();
        self.outgoing.clear();
    }
}
