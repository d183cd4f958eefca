//! MessagePack encoding of messages.

use std::io::Read;
use std::io::Write;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use cowslip_core::bounded_decode;

/// Maximum size of a message, in bytes. A document of 440 services with ten
/// routes each encodes to under 1 MB, which leaves a tenfold margin.
pub const MESSAGE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Content type of every message.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// A message that cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The value cannot be represented in MessagePack.
    #[error("cannot encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not an encoding of the expected type.
    #[error("cannot decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Encodes a message with named fields, so that sender and receiver may run
/// different versions.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message; never panics, whatever the bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(bounded_decode::from_slice(bytes)?)
}

/// Writes the encoding of `message`, as [`encode`] returns it, to `writer`.
pub fn encode_into<T: Serialize>(
    writer: &mut impl Write,
    message: &T,
) -> Result<(), CodecError> {
    Ok(rmp_serde::encode::write_named(writer, message)?)
}

/// Decodes a message while it is read.
pub fn decode_from<T: DeserializeOwned>(reader: impl Read) -> Result<T, CodecError> {
    Ok(bounded_decode::from_read(reader)?)
}
