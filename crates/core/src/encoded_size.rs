//! Encoded sizes, for bounds on memory, disk and messages.

use std::io;
use std::io::Write;

use serde::Serialize;

/// Counts the bytes written to it.
#[derive(Default)]
struct ByteCounter {
    bytes: usize,
}

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Size in bytes of `value` as it is stored and sent: MessagePack with field names.
pub fn of<T: Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter::default();
    // Counting cannot fail and every map key is a string or a number.
    let encoded = rmp_serde::encode::write_named(&mut counter, value);
    debug_assert!(encoded.is_ok(), "encoding failed");
    counter.bytes
}
