//! Recognises a request that is sent again under another request ID.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use thiserror::Error;

use crate::claim::KeyDigest;

/// The parts of a request that its repeats have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Request method.
    pub method: &'a str,
    /// Requested host; empty if there is none.
    pub host: &'a str,
    /// Path with its query.
    pub target: &'a str,
    /// Customer that the request is made for; empty if the caller names none.
    pub customer: &'a str,
    /// Service beside whose backend server the request began; empty if unknown.
    pub caller: &'a str,
    /// The body, or the start of a body that is streamed.
    pub body: &'a [u8],
}

/// Digest of the parts that a request and its repeats have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallFingerprint(u128);

impl CallFingerprint {
    /// Fingerprint of a request.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let digest = KeyDigest::of(&[
            parts.method.as_bytes(),
            parts.host.as_bytes(),
            parts.target.as_bytes(),
            parts.customer.as_bytes(),
            parts.caller.as_bytes(),
            parts.body,
        ]);
        Self(digest.to_u128())
    }
}

/// The text is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a fingerprint has 32 hexadecimal digits")]
pub struct FingerprintFault;

impl fmt::Display for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for CallFingerprint {
    type Err = FingerprintFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 32 || !digits {
            return Err(FingerprintFault);
        }
        let value = u128::from_str_radix(text, 16).map_err(|_| FingerprintFault)?;
        Ok(Self(value))
    }
}

impl Serialize for CallFingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for CallFingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
