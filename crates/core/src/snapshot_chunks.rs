//! Whole snapshots, compressed and in chunks, each with its digest.
//!
//! A snapshot of the two-year size is some hundred kilobytes. In one piece,
//! a thin or lossy link that breaks once would start over for ever; in
//! chunks it goes on where it was, also from another source, because every
//! source encodes the same version to the same bytes.
//!
//! Load pattern: a change that adds a thousand routes goes to every node at
//! once. Its chunks follow one another, and an instance with 0.075 of a core
//! takes 10 ms for each: 316 KB reached the last of 23 nodes after 1.4 to
//! 2.9 s. Routes resemble each other, so that compressed it is one chunk.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config_digest::ConfigDigest;
use crate::control_state::ConfigSnapshot;
use crate::version::ConfigVersion;

/// Bytes of a chunk: half a second of a thin link of 1 Mbit/s, so that a
/// break costs no more than that, and few enough chunks (a dozen for a
/// document of the two-year size) that their round trips do not add up.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// Largest snapshot taken, in bytes; ten times the two-year document.
pub const SNAPSHOT_BYTES_MAX: u32 = 16 * 1024 * 1024;

/// What a follower needs to know before it fetches chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// Version of the snapshot.
    pub version: ConfigVersion,
    /// Digest of its document.
    pub digest: ConfigDigest,
    /// Length of all chunks together.
    pub bytes: u32,
    /// Length of the snapshot once it is decompressed.
    pub unpacked: u32,
    /// Digest of each chunk, in order.
    pub chunks: Vec<u64>,
}

/// A snapshot encoded once, for any number of followers.
#[derive(Clone, Debug)]
pub struct ChunkedSnapshot {
    header: SnapshotHeader,
    encoded: Bytes,
}

impl ChunkedSnapshot {
    /// Encodes the snapshot, whose document has `digest`.
    pub fn new(snapshot: &ConfigSnapshot, digest: ConfigDigest) -> Self {
        // Writing to memory cannot fail and every map key is a string.
        let whole = rmp_serde::to_vec_named(snapshot).unwrap_or_default();
        let encoded = compressed(&whole);
        let mut chunks = Vec::new();
        for chunk in encoded.chunks(CHUNK_BYTES) {
            chunks.push(ConfigDigest::of_bytes(chunk).short());
        }
        let header = SnapshotHeader {
            version: snapshot.version,
            digest,
            bytes: encoded.len() as u32,
            unpacked: whole.len() as u32,
            chunks,
        };
        Self {
            header,
            encoded: encoded.into(),
        }
    }

    /// The header.
    pub fn header(&self) -> &SnapshotHeader {
        &self.header
    }

    /// Chunk number `at`; the bytes are shared, not copied.
    pub fn chunk(&self, at: usize) -> Option<Bytes> {
        let start = at.checked_mul(CHUNK_BYTES)?;
        if start >= self.encoded.len() {
            return None;
        }
        let end = (start + CHUNK_BYTES).min(self.encoded.len());
        Some(self.encoded.slice(start..end))
    }
}

/// The fastest level: a document of 1,500 routes shrinks to a tenth at any.
fn compressed(whole: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory cannot fail; an empty snapshot would not decode, and
    // its receiver would ask elsewhere.
    let written = encoder.write_all(whole);
    written.and_then(|()| encoder.finish()).unwrap_or_default()
}

/// Chunks that do not make the snapshot of their header.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The header is out of bounds.
    #[error("a snapshot of {bytes} bytes in {chunks} chunks is not taken")]
    BadHeader {
        /// Stated length.
        bytes: u32,
        /// Stated number of chunks.
        chunks: usize,
    },
    /// A chunk's digest is not the one in the header.
    #[error("chunk {at} is not the one that was announced")]
    WrongChunk {
        /// Number of the chunk.
        at: usize,
    },
    /// All chunks are there and do not decode.
    #[error("the snapshot does not decode: {0}")]
    Undecodable(String),
    /// The document is not the one that was announced.
    #[error("the snapshot's version or digest is not the one announced")]
    WrongDocument,
}

/// Gathers the chunks of one snapshot.
#[derive(Clone, Debug)]
pub struct ChunkAssembly {
    header: SnapshotHeader,
    gathered: Vec<u8>,
    chunks: usize,
}

impl ChunkAssembly {
    /// Begins with the header; memory grows only with checked chunks.
    pub fn new(header: SnapshotHeader) -> Result<Self, ChunkError> {
        let expected = (header.bytes as usize).div_ceil(CHUNK_BYTES);
        let large = header.bytes.max(header.unpacked) > SNAPSHOT_BYTES_MAX;
        if large || header.chunks.len() != expected {
            return Err(ChunkError::BadHeader {
                bytes: header.bytes,
                chunks: header.chunks.len(),
            });
        }
        Ok(Self {
            header,
            gathered: Vec::new(),
            chunks: 0,
        })
    }

    /// The header that was begun with.
    pub fn header(&self) -> &SnapshotHeader {
        &self.header
    }

    /// Number of the chunk to fetch next; `None` once all are there.
    pub fn wanted(&self) -> Option<usize> {
        (self.chunks < self.header.chunks.len()).then_some(self.chunks)
    }

    /// Takes the chunk that is wanted next. A wrong one is dropped and
    /// stays wanted, so that it can be fetched again elsewhere.
    pub fn take(&mut self, chunk: &[u8]) -> Result<(), ChunkError> {
        let at = self.chunks;
        let expected = self.header.chunks.get(at).copied();
        if expected != Some(ConfigDigest::of_bytes(chunk).short()) {
            return Err(ChunkError::WrongChunk { at });
        }
        self.gathered.extend_from_slice(chunk);
        self.chunks += 1;
        Ok(())
    }

    /// The snapshot, once all chunks are there.
    pub fn finish(&self) -> Result<ConfigSnapshot, ChunkError> {
        let whole = self.unpacked()?;
        let decoded: Result<ConfigSnapshot, _> = rmp_serde::from_slice(&whole);
        let snapshot = decoded.map_err(|e| ChunkError::Undecodable(e.to_string()))?;
        let digest = ConfigDigest::of_document(&snapshot.document);
        if snapshot.version != self.header.version || digest != self.header.digest {
            return Err(ChunkError::WrongDocument);
        }
        Ok(snapshot)
    }

    /// The snapshot as it was encoded.
    fn unpacked(&self) -> Result<Vec<u8>, ChunkError> {
        let stated = self.header.unpacked as usize;
        let mut whole = Vec::with_capacity(stated);
        // Guards against a header that states little for bytes that grow
        // without end: a node would run out of memory.
        let bound = u64::from(self.header.unpacked) + 1;
        let mut reader = DeflateDecoder::new(&self.gathered[..]).take(bound);
        let read = reader.read_to_end(&mut whole);
        read.map_err(|error| ChunkError::Undecodable(error.to_string()))?;
        if whole.len() != stated {
            let problem = format!("{} bytes in place of {stated}", whole.len());
            return Err(ChunkError::Undecodable(problem));
        }
        Ok(whole)
    }
}
