//! The keys that guard the operators' and the system's own interface.

use std::fmt;
use std::str::FromStr;

use subtle::ConstantTimeEq;
use thiserror::Error;

/// Header that carries the key.
pub const KEY_HEADER: &str = "cowslip-key";

/// Shortest secret taken from settings; anything shorter is a slip.
const KEY_BYTES_MIN: usize = 8;

/// A shared secret from the settings; never printed.
#[derive(Clone)]
pub struct AccessKey(String);

impl AccessKey {
    /// A key of these characters.
    pub fn new(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// The secret, for sending.
    pub fn secret(&self) -> &str {
        &self.0
    }

    /// Compares in time that does not depend on where the two differ, so
    /// that a key cannot be guessed byte by byte.
    pub fn matches(&self, offered: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(offered).into()
    }
}

/// A secret that is too short to be one.
#[derive(Debug, Error)]
#[error("a key has at least {KEY_BYTES_MIN} characters")]
pub struct ShortKey;

impl FromStr for AccessKey {
    type Err = ShortKey;

    fn from_str(secret: &str) -> Result<Self, ShortKey> {
        if secret.len() < KEY_BYTES_MIN {
            return Err(ShortKey);
        }
        Ok(Self::new(secret))
    }
}

impl fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AccessKey(..)")
    }
}
