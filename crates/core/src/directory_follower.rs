//! A follower's copy of the directory of backend servers, and the exchange
//! that updates it with little traffic from any source.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::directory::record_batch;
use crate::directory::record_batch::RecordBatch;
use crate::directory::DirectoryDigest;
use crate::directory::EndpointDirectory;
use crate::directory::EndpointRecord;

/// A position in the change history of one source's directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryPosition {
    /// Run of the source; revisions of different runs are not comparable.
    pub run: u64,
    /// Last revision that was read.
    pub revision: u64,
}

/// A follower's request for directory updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryRequest {
    /// Position up to which it has read.
    #[serde(rename = "place")]
    pub position: DirectoryPosition,
    /// Digest of its whole directory; 0 if that is empty.
    pub digest: u64,
    /// Digests of its buckets, if the source has requested them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<DirectoryDigest>,
    /// True if the follower decodes records that are encoded as a batch.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reads_batches: bool,
}

/// A source's answer to a [`DirectoryRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Records that changed.
    pub records: Vec<EndpointRecord>,
    /// True if the records are encoded as a batch, for a follower that asked for it.
    pub batched: bool,
    /// The follower's new position; `None` if the source first needs the
    /// digests of the buckets.
    pub position: Option<DirectoryPosition>,
    /// Digests of the source's buckets, in answer to those of the follower.
    pub parts: Option<DirectoryDigest>,
}

/// A [`DirectoryUpdate`] as it is sent: its records are in one of the two lists.
#[derive(Serialize)]
struct SentUpdate<'a> {
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    records: &'a [EndpointRecord],
    #[serde(skip_serializing_if = "RecordBatch::is_empty")]
    batch: RecordBatch<'a>,
    #[serde(rename = "place")]
    position: Option<DirectoryPosition>,
    #[serde(skip_serializing_if = "Option::is_none")]
    parts: Option<&'a DirectoryDigest>,
}

impl Serialize for DirectoryUpdate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let records = self.records.as_slice();
        let (records, batch) = if self.batched {
            (&[][..], records)
        } else {
            (records, &[][..])
        };
        let sent = SentUpdate {
            records,
            batch: RecordBatch(batch),
            position: self.position,
            parts: self.parts.as_ref(),
        };
        sent.serialize(serializer)
    }
}

/// A [`DirectoryUpdate`] as it is received.
#[derive(Deserialize)]
struct ReceivedUpdate {
    #[serde(default)]
    records: Vec<EndpointRecord>,
    #[serde(default, deserialize_with = "record_batch::deserialize")]
    batch: Vec<EndpointRecord>,
    #[serde(rename = "place")]
    position: Option<DirectoryPosition>,
    #[serde(default)]
    parts: Option<DirectoryDigest>,
}

impl<'de> Deserialize<'de> for DirectoryUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let received = ReceivedUpdate::deserialize(deserializer)?;
        let batched = !received.batch.is_empty();
        let mut records = received.records;
        records.extend(received.batch);
        Ok(Self {
            records,
            batched,
            position: received.position,
            parts: received.parts,
        })
    }
}

/// How a source updates a follower's directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectorySync {
    /// Send the changes after this revision; the follower may wait for more.
    Since(u64),
    /// Send these records now and later the changes after the current
    /// revision.
    Records(Vec<EndpointRecord>),
    /// Request the digests of the follower's buckets.
    NeedsDigests,
}

impl DirectorySync {
    /// Chooses the method with the least traffic for `request` at a source
    /// whose run is `run`. If the digests are equal, no record is sent, so
    /// followers that lost nothing cost a few bytes each, also when many
    /// come at once.
    pub fn choose(
        directory: &EndpointDirectory,
        run: u64,
        request: &DirectoryRequest,
    ) -> Self {
        if request.position.run == run {
            return Self::Since(request.position.revision);
        }
        if request.digest == directory.digest().whole() {
            return Self::Since(directory.revision());
        }
        if request.digest == 0 {
            return Self::Since(0);
        }
        match &request.parts {
            Some(parts) => Self::Records(directory.differing(parts)),
            None => Self::NeedsDigests,
        }
    }
}

/// A follower's copy of the directory and its position at the source.
#[derive(Clone, Debug, Default)]
pub struct DirectoryFollower {
    directory: EndpointDirectory,
    position: DirectoryPosition,
    digests_requested: bool,
    /// Endpoints that the source does not list.
    unlisted: BTreeSet<Arc<str>>,
    /// When they are to be reported; set once this is asked for.
    unlisted_due: Option<Duration>,
}

impl DirectoryFollower {
    /// The directory part of the next request.
    pub fn request(&self) -> DirectoryRequest {
        let digest = self.directory.digest();
        DirectoryRequest {
            position: self.position,
            digest: digest.whole(),
            parts: self.digests_requested.then(|| digest.clone()),
            reads_batches: true,
        }
    }

    /// Applies an answer and returns the records that it changed.
    pub fn take(&mut self, update: DirectoryUpdate) -> Vec<EndpointRecord> {
        self.digests_requested = update.position.is_none();
        if let Some(position) = update.position {
            self.position = position;
        }
        if let Some(theirs) = &update.parts {
            self.unlisted = self.directory.live_in_differing(theirs).collect();
            self.unlisted_due = None;
        }
        let mut changed = Vec::new();
        for record in update.records {
            self.unlisted.remove(&record.instance);
            if self.directory.merge(record.clone()) {
                changed.push(record);
            }
        }
        changed
    }

    /// Takes the records that the source still does not list `delay` after this was
    /// first asked for, to be reported to it.
    ///
    /// Guards against dead servers that followers keep for ever: all control
    /// instances restart, and learn only of the servers that live ones announce. A
    /// record that is reported gets a lease, and is removed everywhere when nobody
    /// renews that. The delay is for live servers to announce themselves first.
    pub fn take_unlisted(
        &mut self,
        now: Duration,
        delay: Duration,
    ) -> Vec<EndpointRecord> {
        if self.unlisted.is_empty() {
            return Vec::new();
        }
        if now < *self.unlisted_due.get_or_insert(now + delay) {
            return Vec::new();
        }
        let unlisted = std::mem::take(&mut self.unlisted);
        let held = unlisted.iter().filter_map(|name| self.directory.get(name));
        held.cloned().collect()
    }

    /// Takes back records that could not be reported.
    pub fn return_unlisted(&mut self, records: &[EndpointRecord]) {
        let names = records.iter().map(|record| Arc::clone(&record.instance));
        self.unlisted.extend(names);
    }

    /// Discards the position, which is not valid at another source.
    pub fn reset_position(&mut self) {
        self.position = DirectoryPosition::default();
        self.digests_requested = false;
        self.unlisted.clear();
    }

    /// The follower's copy of the directory.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// Position up to which the copy is current.
    pub fn position(&self) -> DirectoryPosition {
        self.position
    }
}
