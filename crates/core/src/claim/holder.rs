//! One holder's memory of the keys in its charge.

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
use super::KEEP_TIME;

/// Bytes of all records beyond which no new key is taken: a quarter of the
/// 64 MB that a node may spend on control at the two-year size.
const MEMORY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Bytes counted for a key besides its kept answer: record, table and
/// queue entry.
const KEY_BYTES: usize = 300;

/// What a holder knows of a key.
#[derive(Debug)]
struct KeyRecord {
    promised: ClaimBallot,
    written: Option<WrittenValue>,
    touched: Duration,
}

impl KeyRecord {
    fn answer_bytes(&self) -> usize {
        let value = self.written.as_ref().and_then(|held| held.value.as_ref());
        match value.map(|value| &value.state) {
            Some(ClaimState::Answered(answer)) => answer.bytes(),
            _ => 0,
        }
    }
}

/// Votes on the keys that this node holds. Time is wall-clock time since
/// 1970, because keys carry such times.
#[derive(Debug)]
pub struct ClaimHolder {
    started: Duration,
    records: HashMap<KeyDigest, KeyRecord>,
    by_age: VecDeque<(Duration, KeyDigest)>,
    bytes: usize,
}

impl ClaimHolder {
    /// A holder that starts with an empty memory.
    pub fn new(now: Duration) -> Self {
        Self {
            started: now,
            records: HashMap::new(),
            by_age: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Keys remembered.
    pub fn keys(&self) -> usize {
        self.records.len()
    }

    /// Bytes counted for them.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Answers one request.
    pub fn handle(&mut self, now: Duration, request: ClaimRequest) -> ClaimReply {
        self.forget(now);
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
        let Some(record) = self.record(now, key, &ballot) else {
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
        let Some(record) = self.record(now, key, &ballot) else {
            return ClaimReply::Abstains { ballot };
        };
        if record.promised > ballot {
            let round = record.promised.round;
            return ClaimReply::Outbid { ballot, round };
        }
        let before = record.answer_bytes();
        record.promised = ballot.clone();
        record.written = Some(write);
        record.touched = now;
        let after = record.answer_bytes();
        self.bytes = self.bytes + after - before;
        ClaimReply::Accepted { ballot }
    }

    /// The key's record, made where there is none; `None` where this holder
    /// must not vote on it.
    fn record(
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
            self.by_age.push_back((now, key.digest));
            self.bytes += KEY_BYTES;
        }
        self.records.get_mut(&key.digest)
    }

    /// Guards against a holder that came back empty: its vote, given and
    /// forgotten before, would count for a second run of the same key. It
    /// votes only on keys made after its start, and on all others once every
    /// key from before has outlived its time at the other holders too.
    fn may_vote(&self, now: Duration, key: &ClaimKey) -> bool {
        if now >= self.started + KEEP_TIME + CLOCK_SKEW {
            return true;
        }
        let born = key.created_ms.map(Duration::from_millis);
        born.is_some_and(|born| born > self.started + 2 * CLOCK_SKEW)
    }

    fn forget(&mut self, now: Duration) {
        while let Some((since, digest)) = self.by_age.front().copied() {
            if now < since + KEEP_TIME {
                return;
            }
            self.by_age.pop_front();
            let Some(record) = self.records.get(&digest) else {
                continue;
            };
            if now < record.touched + KEEP_TIME {
                let touched = record.touched;
                self.by_age.push_back((touched, digest));
                continue;
            }
            self.bytes -= KEY_BYTES + record.answer_bytes();
            self.records.remove(&digest);
        }
    }
}
