//! Passes a call on to the next hop and its answer back, streaming.

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
use actix_http::Uri;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::StreamExt;
use log::warn;

use cowslip_core::refusal::RefusalReason;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_reply::HttpReply;

use crate::call_dialect::CallDialect;
use crate::call_headers;
use crate::hop::HopRequest;
use crate::hop::HopResponse;
use crate::hop::ResponseBody;

/// Headers that one hop adds.
pub type HopHeaders = Vec<(HeaderName, String)>;

/// Bodies up to this size are held whole, so that a try that did not run
/// can be repeated; larger ones stream and get one try.
pub const HELD_BYTES_MAX: usize = 64 * 1024;

/// Largest body of a call, in bytes. Export paperwork is a few megabytes.
const BODY_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Longest pause within a body; a slow sender holds a connection no longer.
const BODY_PAUSE_MAX: Duration = Duration::from_secs(10);

/// The parts of a call that every try sends.
pub struct CallParts {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub target: Uri,
    /// Headers that pass on.
    pub headers: HeaderMap,
}

impl CallParts {
    /// The parts of `request`, with its host, and without the headers that
    /// `dialect` writes anew.
    pub fn of(request: &Request, dialect: &CallDialect) -> Self {
        let mut headers = HeaderMap::new();
        for (name, value) in request.headers() {
            let passes = call_headers::passes_on(name) && !dialect.rewrites(name);
            if passes || *name == HOST {
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

    /// The request of one hop, with what it adds.
    pub fn hop_request(&self, dialect: &CallDialect, added: HopHeaders) -> HopRequest {
        let mut headers = self.headers.clone();
        for (name, value) in added {
            // Names and figures of our own are printable; a name that is not
            // came from a document that validation let pass.
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
        }
    }
}

/// A request's body on its way.
pub enum CallBody {
    /// Held whole; may be sent again.
    Held(Bytes),
    /// Streams, once.
    Stream {
        /// Bytes that came before the stream.
        first: Bytes,
        /// Stated length, if any.
        length: Option<u64>,
        /// The rest.
        rest: Payload,
    },
    /// A stream that has been sent.
    Spent,
}

impl CallBody {
    /// Takes the body of `request`: held where it is small.
    pub async fn take(request: &mut Request) -> Result<Self, RefusalReason> {
        let length = stated_length(request.headers());
        if length.is_some_and(|length| length > BODY_BYTES_MAX) {
            return Err(RefusalReason::BodyTooLarge);
        }
        let mut rest = request.take_payload();
        let mut first = BytesMut::new();
        while first.len() <= HELD_BYTES_MAX {
            let next = actix_rt::time::timeout(BODY_PAUSE_MAX, rest.next()).await;
            match next {
                Ok(Some(Ok(chunk))) => first.extend_from_slice(&chunk),
                Ok(None) => return Ok(Self::Held(first.freeze())),
                Ok(Some(Err(_))) | Err(_) => return Err(RefusalReason::BodyTruncated),
            }
        }
        Ok(Self::Stream {
            first: first.freeze(),
            length,
            rest,
        })
    }

    /// True where another try could send it.
    pub fn is_held(&self) -> bool {
        matches!(self, Self::Held(_))
    }

    /// The part that is known before it is sent: all of it where held.
    pub fn known(&self) -> &[u8] {
        match self {
            Self::Held(bytes) => bytes,
            Self::Stream { first, .. } => first,
            Self::Spent => &[],
        }
    }
}

/// Length of a body as its head states it, in bytes.
pub fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Turns the next hop's answer into ours; `on_end` is dropped when the body
/// has been passed on or given up. A body that is still on its way at
/// `give_up_at` is cut.
pub fn pass_back<G: 'static>(
    answer: HopResponse,
    method: &Method,
    give_up_at: BootInstant,
    on_end: G,
) -> HttpReply {
    let HopResponse { head, body } = answer;
    let mut reply = Response::new(head.status);
    for (name, value) in &head.headers {
        if call_headers::passes_on(name) {
            reply.headers_mut().append(name.clone(), value.clone());
        }
    }
    let length = stated_length(&head.headers);
    if *method == Method::HEAD {
        return reply.set_body(BoxBody::new(HeadBody(length)));
    }
    let passed = PassedBody {
        body,
        give_up_at,
        _on_end: on_end,
    };
    let parts = Box::pin(passed.into_parts());
    reply.set_body(match length {
        Some(length) => BoxBody::new(SizedStream::new(length, parts)),
        None => BoxBody::new(BodyStream::new(parts)),
    })
}

/// The next hop's answer, passed on as it arrives.
struct PassedBody<G> {
    body: ResponseBody,
    give_up_at: BootInstant,
    _on_end: G,
}

impl<G: 'static> PassedBody<G> {
    fn into_parts(self) -> impl Stream<Item = Result<Bytes, PayloadError>> {
        futures_util::stream::try_unfold(self, |mut passed| async move {
            let left = passed
                .give_up_at
                .saturating_duration_since(BootInstant::now());
            let next = actix_rt::time::timeout(left, passed.body.next_part());
            let part = next.await.map_err(|_| PayloadError::Incomplete(None))??;
            Ok(part.map(|part| (part, passed)))
        })
    }
}

/// The body of an answer to HEAD: none, of a stated length.
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
