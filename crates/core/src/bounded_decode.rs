//! Decoding of MessagePack whose nesting is bounded.
//!
//! Deeply nested bytes take a stack frame for each level, and end the process where
//! the library's own bound allows more of them than a thread's stack holds.

use std::io::Read;

use rmp_serde::decode::Error;
use rmp_serde::Deserializer;
use serde::de::DeserializeOwned;

/// Maximum nesting, well above that of documents, the deepest that is sent or stored.
const NESTING_MAX: usize = 128;

/// Decodes a value from `bytes`.
///
/// # Errors
///
/// Fails if the bytes are not an encoding of a value, or are nested too deeply.
pub fn from_slice<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut decoder = Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(NESTING_MAX);
    T::deserialize(&mut decoder)
}

/// Decodes a value while it is read; fails as [`from_slice`] does.
pub fn from_read<T: DeserializeOwned>(reader: impl Read) -> Result<T, Error> {
    let mut decoder = Deserializer::new(reader);
    decoder.set_max_depth(NESTING_MAX);
    T::deserialize(&mut decoder)
}
