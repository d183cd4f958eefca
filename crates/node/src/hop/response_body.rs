//! The body of an answer, read as it is wanted.

use std::rc::Rc;

use actix_http::error::PayloadError;
use bytes::Bytes;
use bytes::BytesMut;

use crate::hop::hop_connection::HopConnection;
use crate::hop::idle_pool::IdlePool;

/// An answer that broke off before its end.
pub type ResponseError = PayloadError;

/// The rest of an answer; dropped early, it ends its connection, so that the
/// other side learns that nobody waits any more.
pub struct ResponseBody {
    buffered: Bytes,
    connection: Option<HopConnection>,
    idle_pool: Rc<IdlePool>,
}

impl ResponseBody {
    pub(super) fn new(connection: HopConnection, idle_pool: Rc<IdlePool>) -> Self {
        Self {
            buffered: Bytes::new(),
            connection: Some(connection),
            idle_pool,
        }
    }

    /// The next part; `None` at the end.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, ResponseError> {
        if !self.buffered.is_empty() {
            return Ok(Some(std::mem::take(&mut self.buffered)));
        }
        let Some(connection) = &mut self.connection else {
            return Ok(None);
        };
        let part = connection.next_part().await;
        if matches!(part, Ok(Some(_))) {
            return part;
        }
        if let Some(mut connection) = self.connection.take() {
            if part.is_ok() && connection.is_reusable() {
                connection.release_buffer();
                self.idle_pool.put(connection);
            }
        }
        part
    }

    /// Reads up to `limit` bytes ahead. True where that was all: the answer
    /// is whole, and its connection free again.
    pub async fn buffer(&mut self, limit: usize) -> Result<bool, ResponseError> {
        let mut buffer = BytesMut::new();
        while buffer.len() < limit {
            let Some(part) = self.next_part().await? else {
                self.buffered = buffer.freeze();
                return Ok(true);
            };
            buffer.extend_from_slice(&part);
        }
        self.buffered = buffer.freeze();
        Ok(false)
    }

    /// True where nothing is left to be read from the connection.
    pub fn is_complete(&self) -> bool {
        self.connection.is_none()
    }

    /// Bytes that were read ahead.
    pub fn buffered(&self) -> &Bytes {
        &self.buffered
    }
}
