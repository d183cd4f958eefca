//! A byte buffer that is encoded as one byte string.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Shared, immutable bytes. The derived encoding of a byte slice is a sequence
/// with up to two bytes for each element; this type is encoded with one byte
/// each and copied in one step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ByteBlob(Arc<[u8]>);

impl ByteBlob {
    /// Copies `bytes` into a new blob.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl Deref for ByteBlob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl Serialize for ByteBlob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ByteBlob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BlobVisitor)
    }
}

struct BlobVisitor;

impl<'de> Visitor<'de> for BlobVisitor {
    type Value = ByteBlob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<ByteBlob, E> {
        Ok(ByteBlob::new(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ByteBlob, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(ByteBlob::new(&bytes))
    }
}
