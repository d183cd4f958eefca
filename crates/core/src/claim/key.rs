//! The key that identifies a call across its resends.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Length of a UUID written with hyphens.
const UUID_LEN: usize = 36;

/// Number of leading hexadecimal digits of a version 7 UUID that hold its
/// timestamp.
const UUID_TIME_DIGITS: usize = 12;

/// Index of the version digit among a UUID's hexadecimal digits.
const UUID_VERSION_INDEX: usize = 12;

/// A 128-bit digest, truncated from SHA-256. Among a billion keys remembered
/// at the same time, two collide with a probability below 10^-20.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Digest of `parts`. The length of each part is hashed too, so that moving
    /// a byte from one part to the next changes the digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize()[..16]);
        Self(digest)
    }

    /// The digest as a number.
    pub fn to_u128(self) -> u128 {
        u128::from_be_bytes(self.0)
    }

    /// The first 64 bits, for distributing keys over holders.
    pub fn leading_u64(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

/// Identifies a call by its customer, path and `Idempotency-Key`. The path is
/// used instead of the route, because routes may change between a call and
/// its resend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Digest of customer, path and key.
    pub digest: KeyDigest,
    /// When the caller created the key, in milliseconds since the Unix epoch.
    /// Known only for a version 7 UUID, which contains its creation time.
    #[serde(rename = "born_ms")]
    pub created_ms: Option<u64>,
}

impl ClaimKey {
    /// The claim key of a call to `path` by `customer` with the given
    /// `Idempotency-Key`.
    pub fn new(customer: &str, path: &str, key: &str) -> Self {
        let parts = [customer.as_bytes(), path.as_bytes(), key.as_bytes()];
        Self {
            digest: KeyDigest::of(&parts),
            created_ms: uuid_timestamp(key),
        }
    }
}

/// The timestamp in a version 7 UUID, in milliseconds since the Unix epoch;
/// `None` for any other text.
fn uuid_timestamp(text: &str) -> Option<u64> {
    if text.len() != UUID_LEN {
        return None;
    }
    let mut digits = String::with_capacity(UUID_LEN);
    for (index, letter) in text.chars().enumerate() {
        match (index, letter) {
            (8 | 13 | 18 | 23, '-') => {}
            (8 | 13 | 18 | 23, _) => return None,
            _ if letter.is_ascii_hexdigit() => digits.push(letter),
            _ => return None,
        }
    }
    if digits.as_bytes()[UUID_VERSION_INDEX] != b'7' {
        return None;
    }
    u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok()
}
