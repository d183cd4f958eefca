//! The name under which a call is claimed.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Length of a UUID written with hyphens.
const UUID_LEN: usize = 36;

/// Hexadecimal digits of a version 7 UUID that hold its time.
const UUID_TIME_DIGITS: usize = 12;

/// Place of the version digit among a UUID's hexadecimal digits.
const UUID_VERSION_AT: usize = 12;

/// A digest of 128 bits. Two of a billion keys within the window collide
/// with a probability below 10^-20.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Digest of `parts`; their borders count, so that moving a byte from
    /// one part to the next gives another digest.
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

    /// The first 64 bits, for spreading keys over holders.
    pub fn spread(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

/// A call's name: customer, path and the caller's own key. The path and not
/// its route, because routes change between a call and its resend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Digest of customer, path and key.
    pub digest: KeyDigest,
    /// When the caller made the key, in milliseconds since 1970, where the
    /// key tells: version 7 UUIDs do.
    #[serde(rename = "born_ms")]
    pub created_ms: Option<u64>,
}

impl ClaimKey {
    /// The name of a call.
    pub fn new(customer: &str, path: &str, key: &str) -> Self {
        let parts = [customer.as_bytes(), path.as_bytes(), key.as_bytes()];
        Self {
            digest: KeyDigest::of(&parts),
            created_ms: uuid_time(key),
        }
    }
}

/// The time within a version 7 UUID; `None` for any other text.
fn uuid_time(text: &str) -> Option<u64> {
    if text.len() != UUID_LEN {
        return None;
    }
    let mut digits = String::with_capacity(UUID_LEN);
    for (at, letter) in text.chars().enumerate() {
        match (at, letter) {
            (8 | 13 | 18 | 23, '-') => {}
            (8 | 13 | 18 | 23, _) => return None,
            _ if letter.is_ascii_hexdigit() => digits.push(letter),
            _ => return None,
        }
    }
    if digits.as_bytes()[UUID_VERSION_AT] != b'7' {
        return None;
    }
    u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok()
}
