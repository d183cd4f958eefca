//! Builders of small HTTP responses, and reading of request headers and bodies.

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

/// Timeout for the next chunk of a request body; bounds how long a stalled
/// sender can hold a connection.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A complete response, as returned by every handler.
pub type HttpReply = Response<BoxBody>;

/// Builds a plain-text response of one line.
pub fn text(status: StatusCode, text: impl Into<String>) -> HttpReply {
    let mut line: String = text.into();
    line.push('\n');
    let value = HeaderValue::from_static("text/plain; charset=utf-8");
    with_content_type(status, value, line.into())
}

/// Builds a JSON response; status 500 if the value cannot be serialized.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let content_type = HeaderValue::from_static("application/json");
            with_content_type(status, content_type, body.into())
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Builds a response from a body and its content type.
pub fn with_content_type(
    status: StatusCode,
    content_type: HeaderValue,
    body: Bytes,
) -> HttpReply {
    let mut reply = Response::new(status).set_body(BoxBody::new(body));
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

/// Sets a header; a value with non-printable characters is ignored.
pub fn set_header(reply: &mut HttpReply, name: &'static str, value: &str) {
    let Ok(value) = HeaderValue::from_str(value) else {
        return;
    };
    let name = HeaderName::from_static(name);
    reply.headers_mut().insert(name, value);
}

/// Returns a request header as text; `None` if absent or not printable.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// A request body that could not be read completely.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// No data arrived within the timeout for the next chunk.
    #[error("the body paused for more than {BODY_READ_TIMEOUT:?}")]
    Stalled,
    /// The body ended early or was malformed.
    #[error("the body did not arrive whole: {0}")]
    Broken(#[from] actix_http::error::PayloadError),
}

/// Reads a complete request body of at most `limit` bytes.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    loop {
        let next = actix_rt::time::timeout(BODY_READ_TIMEOUT, payload.next()).await;
        let Some(chunk) = next.map_err(|_| BodyError::Stalled)? else {
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
