//! Server side of messages: checks the key, reads and decodes the message, and
//! encodes the answer.

use actix_http::header::HeaderValue;
use actix_http::Request;
use actix_http::StatusCode;
use bytes::Bytes;
use serde::Serialize;

use crate::access_key::AccessKey;
use crate::access_key::KEY_HEADER;
use crate::codec;
use crate::http_reply;
use crate::http_reply::HttpReply;
use crate::messages::WireCall;

/// Checks the key before reading the body, then reads and decodes the message.
/// The error is the response to send: status 401, 413 or 400.
pub async fn read<C: WireCall>(
    request: &mut Request,
    key: &AccessKey,
) -> Result<C, HttpReply> {
    let offered = http_reply::header(request, KEY_HEADER).unwrap_or_default();
    if !key.matches(offered.as_bytes()) {
        let status = StatusCode::UNAUTHORIZED;
        return Err(http_reply::text(status, "the key is missing or wrong"));
    }
    let body = http_reply::read_body(request, codec::MESSAGE_BYTES_MAX).await;
    let body = body.map_err(|error| {
        http_reply::text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string())
    })?;
    codec::decode(&body)
        .map_err(|error| http_reply::text(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Builds a response with the encoded answer.
pub fn encoded<T: Serialize>(answer: &T) -> HttpReply {
    match codec::encode(answer) {
        Ok(bytes) => from_encoded(bytes.into()),
        Err(error) => {
            http_reply::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
        }
    }
}

/// Builds a response from an already encoded answer.
pub fn from_encoded(bytes: Bytes) -> HttpReply {
    let content_type = HeaderValue::from_static(codec::CONTENT_TYPE);
    http_reply::with_content_type(StatusCode::OK, content_type, bytes)
}
