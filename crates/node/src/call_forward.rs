//! Forwards calls to the next hop and streams the responses back.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::body::SizedStream;
use actix_http::error::PayloadError;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HOST;
use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::Uri;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use log::warn;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::call_fingerprint::RequestParts;
use cowslip_core::refusal::RefusalReason;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_reply::HttpReply;

use crate::call_dialect::CallDialect;
use crate::call_headers;
use crate::hop::HopRequest;
use crate::hop::HopResponse;
use crate::hop::ResponseBody;

/// Headers that a hop adds to a request.
pub type HopHeaders = Vec<(HeaderName, String)>;

/// Size up to which request bodies are buffered, so that an attempt that did not
/// run can be retried. Larger bodies are streamed and get one attempt.
pub const BUFFERED_BYTES_MAX: usize = 64 * 1024;

/// Largest request body of a stated length, in bytes. Export documents have
/// a few megabytes.
const BODY_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Timeout for the next chunk of a request body, so that a stalled sender does
/// not occupy a connection for longer.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The parts of a call that all attempts send.
pub struct CallParts {
    /// Request method.
    pub method: Method,
    /// Path with its query.
    pub target: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
}

impl CallParts {
    /// Copies the parts of `request`: the headers to forward and `Host`, without
    /// those that `dialect` rewrites.
    pub fn of(request: &Request, dialect: &CallDialect) -> Self {
        let mut headers = HeaderMap::new();
        for (name, value) in request.headers() {
            let forwarded = call_headers::is_forwarded(name) && !dialect.rewrites(name);
            if forwarded || *name == HOST {
                headers.append(name.clone(), value.clone());
            }
        }
        Self {
            method: request.method().clone(),
            target: request.uri().path_and_query().map_or_else(
                || Uri::from_static("/"),
                |target| Uri::from(target.clone()),
            ),
            headers,
        }
    }

    /// Returns what the request has in common with its repeats. `caller` is the
    /// service beside the request's entry node.
    pub fn fingerprint(&self, body: &CallBody, caller: Option<&str>) -> CallFingerprint {
        let text = |name: &str| {
            let value = self.headers.get(name);
            value.and_then(|value| value.to_str().ok()).unwrap_or("")
        };
        let target = self.target.to_string();
        let body = body.buffered();
        CallFingerprint::of(&RequestParts {
            method: self.method.as_str(),
            host: &host_name(text(HOST.as_str())),
            target: &target,
            customer: text(call_headers::CUSTOMER),
            caller: caller.unwrap_or(""),
            body: &body[..body.len().min(BUFFERED_BYTES_MAX)],
        })
    }

    /// Builds the request of one hop; `added` headers replace those of the same
    /// name. A header whose value is not printable is left out and logged.
    pub fn hop_request(&self, dialect: &CallDialect, added: HopHeaders) -> HopRequest {
        let mut headers = self.headers.clone();
        for (name, value) in added {
            // The node's own names and numbers are printable; an unprintable
            // value comes from a document that passed validation.
            let Ok(value) = HeaderValue::from_str(&value) else {
                warn!("event=header-unprintable process=node header={name}");
                continue;
            };
            headers.insert(name, value);
        }
        HopRequest {
            method: self.method.clone(),
            target: self.target.clone(),
            headers,
            request_id_header: dialect.request_id.clone(),
            echo_required: false,
            observer: None,
        }
    }
}

/// Returns a host in lower case and without its port.
pub fn host_name(host: &str) -> String {
    // The colons of an IPv6 address stand within brackets.
    let name = match host.rsplit_once(':') {
        Some((name, port)) if !port.contains(']') => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Body of a request.
pub enum CallBody {
    /// Completely buffered; can be sent again.
    Buffered(Bytes),
    /// Streamed; can be sent only once.
    Stream {
        /// Bytes already read from the stream.
        first: Bytes,
        /// Length in bytes, if stated.
        length: Option<u64>,
        /// Rest of the stream.
        rest: Payload,
    },
    /// A stream that has already been sent.
    Consumed,
}

impl CallBody {
    /// Takes the body of `request` and buffers it if it is small.
    ///
    /// # Errors
    ///
    /// Refuses a body whose stated length is too large, and one that breaks off
    /// or stalls while it is read.
    pub async fn take(request: &mut Request) -> Result<Self, RefusalReason> {
        let length = stated_length(request.headers());
        if length.is_some_and(|length| length > BODY_BYTES_MAX) {
            return Err(RefusalReason::BodyTooLarge);
        }
        let mut rest = request.take_payload();
        let mut first = BytesMut::new();
        while first.len() <= BUFFERED_BYTES_MAX {
            let next = actix_rt::time::timeout(BODY_READ_TIMEOUT, rest.next()).await;
            match next {
                Ok(Some(Ok(chunk))) => first.extend_from_slice(&chunk),
                Ok(None) => return Ok(Self::Buffered(first.freeze())),
                Ok(Some(Err(_))) | Err(_) => return Err(RefusalReason::BodyTruncated),
            }
        }
        Ok(Self::Stream {
            first: first.freeze(),
            length,
            rest,
        })
    }

    /// Returns whether the body is buffered and can be sent again.
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the bytes read so far: all of a buffered body, the start of a
    /// streamed one.
    pub fn buffered(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Stream { first, .. } => first,
            Self::Consumed => &[],
        }
    }
}

/// Returns the body length that the headers state, in bytes.
pub fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Converts the next hop's response to a reply that streams its body. `on_end` is
/// dropped when the body has been forwarded or abandoned. A body that is not
/// complete at `give_up_at` is cut off.
pub fn forward_response<G: 'static>(
    response: HopResponse,
    method: &Method,
    give_up_at: BootInstant,
    on_end: G,
) -> HttpReply {
    let HopResponse { head, body } = response;
    let mut reply = Response::new(head.status);
    for (name, value) in &head.headers {
        if call_headers::is_forwarded(name) {
            reply.headers_mut().append(name.clone(), value.clone());
        }
    }
    let length = stated_length(&head.headers);
    if *method == Method::HEAD {
        return reply.set_body(BoxBody::new(HeadBody(length)));
    }
    if matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        // A length that these state is not that of a body.
        return reply.set_body(BoxBody::new(HeadBody(None)));
    }
    let forwarded = ForwardedBody {
        body,
        give_up_at,
        _on_end: on_end,
    };
    let parts = Box::pin(forwarded.into_parts());
    reply.set_body(match length {
        Some(length) => BoxBody::new(SizedStream::new(length, parts)),
        None => BoxBody::new(BodyStream::new(parts)),
    })
}

/// Body of the next hop's response, forwarded as it arrives.
struct ForwardedBody<G> {
    body: ResponseBody,
    give_up_at: BootInstant,
    _on_end: G,
}

impl<G: 'static> ForwardedBody<G> {
    /// Returns the body as a stream that fails at `give_up_at`.
    fn into_parts(self) -> impl Stream<Item = Result<Bytes, PayloadError>> {
        futures_util::stream::try_unfold(self, |mut forwarded| async move {
            let left = forwarded
                .give_up_at
                .saturating_duration_since(BootInstant::now());
            let next = actix_rt::time::timeout(left, forwarded.body.next_part());
            let part = next.await.map_err(|_| PayloadError::Incomplete(None))??;
            Ok(part.map(|part| (part, forwarded)))
        })
    }
}

/// Body of a response that has a head alone: empty, with the stated length.
struct HeadBody(Option<u64>);

impl MessageBody for HeadBody {
    type Error = PayloadError;

    fn size(&self) -> BodySize {
        self.0.map_or(BodySize::None, BodySize::Sized)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(None)
    }
}
