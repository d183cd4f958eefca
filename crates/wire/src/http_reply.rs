//! Small HTTP answers and the reading of request bodies.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::CONTENT_TYPE;
use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde::Serialize;
use thiserror::Error;

/// Longest pause within a body; a slow sender holds a connection no longer.
const BODY_PAUSE_MAX: Duration = Duration::from_secs(10);

/// An answer as every handler gives it.
pub type HttpReply = Response<BoxBody>;

/// An answer of plain text.
pub fn text(status: StatusCode, text: impl Into<String>) -> HttpReply {
    let mut line: String = text.into();
    line.push('\n');
    let value = HeaderValue::from_static("text/plain; charset=utf-8");
    with_content_type(status, value, line.into())
}

/// An answer of JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let kind = HeaderValue::from_static("application/json");
            with_content_type(status, kind, body.into())
        }
        Err(fault) => text(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}

/// An answer of bytes with their content type.
pub fn with_content_type(
    status: StatusCode,
    kind: HeaderValue,
    body: Bytes,
) -> HttpReply {
    let mut reply = Response::new(status).set_body(BoxBody::new(body));
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Sets a header whose value is known to be printable.
pub fn set_header(reply: &mut HttpReply, name: &'static str, value: &str) {
    let Ok(value) = HeaderValue::from_str(value) else {
        return;
    };
    let name = HeaderName::from_static(name);
    reply.headers_mut().insert(name, value);
}

/// A header of the request as text; `None` where absent or not printable.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// A body that could not be read whole.
#[derive(Debug, Error)]
pub enum BodyError {
    /// More bytes than the limit.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// Nothing came for longer than the limit.
    #[error("the body paused for more than {BODY_PAUSE_MAX:?}")]
    Slow,
    /// It ended early or was not well formed.
    #[error("the body did not arrive whole: {0}")]
    Broken(#[from] actix_http::error::PayloadError),
}

/// Reads a request's body whole, up to `limit` bytes.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let next = actix_rt::time::timeout(BODY_PAUSE_MAX, payload.next()).await;
        let Some(chunk) = next.map_err(|_| BodyError::Slow)? else {
            break;
        };
        let chunk = chunk?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
