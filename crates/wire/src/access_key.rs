//! Shared keys that authenticate operators and the system's own processes.

use std::fmt;
use std::str::FromStr;

use subtle::ConstantTimeEq;
use thiserror::Error;

/// Request header that carries the key.
pub const KEY_HEADER: &str = "cowslip-key";

/// Minimum length of a key in the settings; a shorter one is taken for a
/// mistake.
const KEY_BYTES_MIN: usize = 8;

/// A shared secret from the settings, which `Debug` does not print.
#[derive(Clone)]
pub struct AccessKey(String);

impl AccessKey {
    /// Creates a key without checking its length.
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Returns the secret, to be sent in [`KEY_HEADER`].
    pub fn secret(&self) -> &str {
        &self.0
    }

    /// Compares an offered key in constant time, so that it cannot be guessed
    /// byte by byte from response times.
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }
}

/// A key with fewer characters than the minimum.
#[derive(Debug, Error)]
#[error("a key has at least {KEY_BYTES_MIN} characters")]
pub struct ShortKeyError;

impl FromStr for AccessKey {
    type Err = ShortKeyError;

    fn from_str(secret: &str) -> Result<Self, ShortKeyError> {
        if secret.len() < KEY_BYTES_MIN {
            return Err(ShortKeyError);
        }
        Ok(Self::new(secret))
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessKey(..)")
    }
}
