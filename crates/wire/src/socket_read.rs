//! Socket reads into buffers of sufficient capacity.
//!
//! The library grows a full buffer by only 64 bytes, so that a body of one
//! megabyte takes 16,384 read calls, each of which also becomes a separate
//! write when the body is forwarded.

use std::io;

use bytes::BytesMut;
use tokio::net::tcp::ReadHalf;
use tokio::task::coop;

/// Capacity for reading a head: most heads are under a kilobyte, and a short
/// response body fits behind it. A retained head keeps this much memory
/// allocated for as long as its request.
pub const HEAD_READ_BYTES: usize = 2 * 1024;

/// Capacity for reading a body: as much as the sockets of small instances have
/// ready at once, and small enough that a hundred bodies take under 2 MB.
pub const BODY_READ_BYTES: usize = 16 * 1024;

/// Waits until the socket is readable and reads once; returns the number of
/// bytes, 0 at the end of the stream.
///
/// The buffer is allocated only when there is data to read, so that idle
/// connections, of which callers keep thousands, hold no buffer.
pub async fn read_ready(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    read_bytes: usize,
) -> io::Result<usize> {
    loop {
        // Yields now and then, so that a peer that always has data ready does
        // not starve the other tasks.
        coop::consume_budget().await;
        reader.readable().await?;
        reserve_capacity(buffer, read_bytes);
        match reader.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Reserves `read_bytes` bytes if less than half of that capacity is left.
fn reserve_capacity(buffer: &mut BytesMut, read_bytes: usize) {
    if buffer.capacity() - buffer.len() < read_bytes / 2 {
        buffer.reserve(read_bytes);
    }
}
