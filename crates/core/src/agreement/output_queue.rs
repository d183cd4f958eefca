//! What a member has decided and not yet handed out.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::agreement::member_message::MemberMessage;
use crate::agreement::saved_state::WriteBatch;

/// A message and where it goes.
pub type AddressedMessage = (SocketAddr, MemberMessage);

/// Gathers writes and messages; holds messages back until the term and
/// vote that they tell of are synced.
///
/// Guards against a member that crashes after telling of a vote that its
/// disk does not hold: it would vote twice in one term, and two leaders
/// would accept different changes under equal numbers.
#[derive(Clone, Debug, Default)]
pub struct OutputQueue {
    pending: WriteBatch,
    sequence: u64,
    hard_sequence: u64,
    synced_sequence: u64,
    /// Last log index after each batch that is not synced yet.
    unsynced: VecDeque<(u64, u64)>,
    /// Last log index that is synced.
    synced_index: u64,
    blocked: Vec<AddressedMessage>,
    outgoing: Vec<AddressedMessage>,
}

impl OutputQueue {
    /// A queue for a log that is synced up to `index`.
    pub fn new(index: u64) -> Self {
        Self {
            synced_index: index,
            ..Self::default()
        }
    }

    /// The batch being gathered.
    pub fn pending(&mut self) -> &mut WriteBatch {
        &mut self.pending
    }

    /// Last log index that is synced.
    pub fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// True where term and vote are synced.
    pub fn hard_synced(&self) -> bool {
        self.pending.hard.is_none() && self.hard_sequence <= self.synced_sequence
    }

    /// The log is cut: what was synced beyond counts no more.
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

    /// Everything up to batch `sequence` is synced.
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

    /// Hands out the batch, numbered, and the messages that may leave.
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

    /// Drops what waits; used where the disk failed.
    pub fn clear(&mut self) {
        self.pending = WriteBatch::default();
        self.blocked.clear();
        self.outgoing.clear();
    }
}
