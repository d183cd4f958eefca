//! Reading with room for what is there.
//!
//! A buffer without room is given 64 bytes by the library, so that a body of
//! a megabyte is taken in 16,384 system calls, each of which also becomes a
//! write of its own on the way on.

use std::io;

use bytes::BytesMut;
use tokio::net::tcp::ReadHalf;
use tokio::task::coop;

/// Room for a head: most are under a kilobyte, and a short answer fits
/// behind it. A head that is kept pins this much for as long as its request.
pub const HEAD_READ_BYTES: usize = 2 * 1024;

/// Room while a body is being read: what the sockets of small instances have
/// ready at once, and little enough that a hundred bodies hold under 2 MB.
pub const BODY_READ_BYTES: usize = 16 * 1024;

/// Reads once what is there; 0 at the end.
///
/// Room is made only once there is something to read, so that idle
/// connections, of which callers keep thousands, hold no buffer.
pub async fn read_ready(
    reader: &mut ReadHalf<'_>,
    buffer: &mut BytesMut,
    room: usize,
) -> io::Result<usize> {
    loop {
        // A peer that always has more would keep the other tasks waiting.
        coop::consume_budget().await;
        reader.readable().await?;
        make_room(buffer, room);
        match reader.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Sees to it that a read can take `room` bytes, where less than half of
/// that is left.
fn make_room(buffer: &mut BytesMut, room: usize) {
    if buffer.capacity() - buffer.len() < room / 2 {
        buffer.reserve(room);
    }
}
