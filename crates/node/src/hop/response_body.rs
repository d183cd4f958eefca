//! Body of a response, read on demand.

use std::rc::Rc;

use actix_http::error::PayloadError;
use bytes::Bytes;
use bytes::BytesMut;
use log::info;

use cowslip_wire::process_log::LogValue;

use crate::hop::hop_connection::HopConnection;
use crate::hop::idle_pool::IdlePool;

/// Error of a body that ended early or could not be read.
pub type ResponseError = PayloadError;

/// Body of a response. Dropping it before its end closes the connection, which
/// tells the other side that the response is no longer needed.
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

    /// Returns the next part, or `None` at the end of the body.
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
            if let Err(error) = &part {
                info!(
                    "event=answer-broken process=node from={} error={}",
                    connection.address(),
                    LogValue(error)
                );
            } else if connection.is_reusable() {
                connection.release_buffer();
                self.idle_pool.put(connection);
            }
        }
        part
    }

    /// Buffers the body until it ends or at least `limit` bytes are read.
    /// Returns true if the body is complete, so that its connection is free.
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

    /// Returns true if nothing is left to read from the connection.
    pub fn is_complete(&self) -> bool {
        self.connection.is_none()
    }

    /// Buffered bytes.
    pub fn buffered(&self) -> &Bytes {
        &self.buffered
    }
}
