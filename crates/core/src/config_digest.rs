//! Digests by which a receiver verifies documents and chunks before use.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::document::FleetDocument;

/// First half of a SHA-256 digest. 128 bits are far more than enough to rule out
/// an accidental match, and already a third of the bytes of a delta that changes
/// one default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigDigest(u64, u64);

impl ConfigDigest {
    /// Digest of a document. It covers the encoding with field names, so fields
    /// added later are included without a change here. Maps are ordered, so
    /// equal documents have equal encodings.
    pub fn of_document(document: &FleetDocument) -> Self {
        let mut hasher = Sha256::new();
        // Writing to a hasher cannot fail and every map key is a string.
        let encoded = rmp_serde::encode::write_named(&mut hasher, document);
        debug_assert!(encoded.is_ok(), "encoding the document failed");
        Self::finish(hasher)
    }

    /// Digest of arbitrary bytes.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(bytes);
        Self::finish(hasher)
    }

    /// The first 64 bits, enough to detect accidental damage.
    pub fn short(self) -> u64 {
        self.0
    }

    fn finish(hasher: Sha256) -> Self {
        let sha256: [u8; 32] = hasher.finalize().into();
        let word = |offset: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&sha256[offset..offset + 8]);
            u64::from_be_bytes(bytes)
        };
        Self(word(0), word(8))
    }
}

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}
