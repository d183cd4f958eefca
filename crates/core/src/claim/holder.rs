//! The acceptor of the claim protocol: a holder's records of its keys.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::ClaimBallot;
use super::ClaimKey;
use super::ClaimReply;
use super::ClaimRequest;
use super::ClaimState;
use super::KeyDigest;
use super::WrittenValue;
use super::CLOCK_SKEW;
use super::KEY_RETENTION;

/// Total size of the records, in bytes, above which no new key is accepted: a
/// quarter of the 64 MB that a node may use for the control plane at the fleet
/// size planned for in two years.
const MEMORY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Bytes counted for a key in addition to its kept answer: the record, the
/// table entry and the queue entry.
const KEY_BYTES: usize = 300;

/// A holder's state of one key.
#[derive(Debug)]
struct KeyRecord {
    promised: ClaimBallot,
    written: Option<WrittenValue>,
    /// Time of the last accepted write, or of creation before the first one.
    touched: Duration,
}

impl KeyRecord {
    fn answer_bytes(&self) -> usize {
        let value = self
            .written
            .as_ref()
            .and_then(|written| written.value.as_ref());
        match value.map(|value| &value.state) {
            Some(ClaimState::Answered(answer)) => answer.bytes(),
            _ => 0,
        }
    }
}

/// Votes on the keys that this node holds. Times are wall-clock times since
/// the Unix epoch, because keys contain such times.
#[derive(Debug)]
pub struct ClaimHolder {
    started: Duration,
    records: HashMap<KeyDigest, KeyRecord>,
    /// Keys with the last write time known when they were queued, in the order
    /// in which they are checked for eviction.
    eviction_queue: VecDeque<(Duration, KeyDigest)>,
    bytes: usize,
}

impl ClaimHolder {
    /// Creates a holder that starts at `now` without any records.
    pub fn new(now: Duration) -> Self {
        Self {
            started: now,
            records: HashMap::new(),
            eviction_queue: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Number of keys remembered.
    pub fn keys(&self) -> usize {
        self.records.len()
    }

    /// Bytes counted for the remembered keys.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Handles one request of an entry node.
    pub fn handle(&mut self, now: Duration, request: ClaimRequest) -> ClaimReply {
        self.evict_expired(now);
        match request {
            ClaimRequest::Prepare { key, ballot } => self.prepare(now, &key, ballot),
            ClaimRequest::Accept { key, ballot, value } => {
                let write = WrittenValue { ballot, value };
                self.accept(now, &key, write)
            }
        }
    }

    fn prepare(
        &mut self,
        now: Duration,
        key: &ClaimKey,
        ballot: ClaimBallot,
    ) -> ClaimReply {
        let Some(record) = self.record_to_vote(now, key, &ballot) else {
            return ClaimReply::Abstains { ballot };
        };
        if record.promised > ballot {
            let round = record.promised.round;
            return ClaimReply::Outbid { ballot, round };
        }
        record.promised = ballot.clone();
        let written = record.written.clone();
        ClaimReply::Promised { ballot, written }
    }

    fn accept(
        &mut self,
        now: Duration,
        key: &ClaimKey,
        write: WrittenValue,
    ) -> ClaimReply {
        let ballot = write.ballot.clone();
        let Some(record) = self.record_to_vote(now, key, &ballot) else {
            return ClaimReply::Abstains { ballot };
        };
        if record.promised > ballot {
            let round = record.promised.round;
            return ClaimReply::Outbid { ballot, round };
        }
        let bytes_before = record.answer_bytes();
        record.promised = ballot.clone();
        record.written = Some(write);
        record.touched = now;
        let bytes_after = record.answer_bytes();
        self.bytes = self.bytes + bytes_after - bytes_before;
        ClaimReply::Accepted { ballot }
    }

    /// The key's record, created if it does not exist; `None` if this holder
    /// must not vote on the key.
    fn record_to_vote(
        &mut self,
        now: Duration,
        key: &ClaimKey,
        ballot: &ClaimBallot,
    ) -> Option<&mut KeyRecord> {
        if !self.records.contains_key(&key.digest) {
            if !self.may_vote(now, key) || self.bytes + KEY_BYTES > MEMORY_BYTES_MAX {
                return None;
            }
            let record = KeyRecord {
                promised: ballot.clone(),
                written: None,
                touched: now,
            };
            self.records.insert(key.digest, record);
            self.eviction_queue.push_back((now, key.digest));
            self.bytes += KEY_BYTES;
        }
        self.records.get_mut(&key.digest)
    }

    /// Whether this holder may create a record for the key. A holder that
    /// restarted without its records must not vote again on a key that it
    /// voted on before the restart: that would allow a second run of the call.
    /// It therefore votes only on keys created after its start, and on all
    /// keys once every key from before has expired at the other holders too.
    fn may_vote(&self, now: Duration, key: &ClaimKey) -> bool {
        if now >= self.started + KEY_RETENTION + CLOCK_SKEW {
            return true;
        }
        let created = key.created_ms.map(Duration::from_millis);
        created.is_some_and(|created| created > self.started + 2 * CLOCK_SKEW)
    }

    fn evict_expired(&mut self, now: Duration) {
        while let Some((since, digest)) = self.eviction_queue.front().copied() {
            if now < since + KEY_RETENTION {
                return;
            }
            self.eviction_queue.pop_front();
            let Some(record) = self.records.get(&digest) else {
                continue;
            };
            if now < record.touched + KEY_RETENTION {
                let touched = record.touched;
                self.eviction_queue.push_back((touched, digest));
                continue;
            }
            self.bytes -= KEY_BYTES + record.answer_bytes();
            self.records.remove(&digest);
        }
    }
}
