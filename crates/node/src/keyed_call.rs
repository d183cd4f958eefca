//! Calls with an idempotency key: reading the key, storing the answer and
//! replaying it.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::body::SizedStream;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;

use cowslip_core::claim::ByteBlob;
use cowslip_core::claim::ClaimKey;
use cowslip_core::claim::KeptAnswer;
use cowslip_core::claim::KeyDigest;
use cowslip_core::claim::RunEnd;
use cowslip_core::claim::ANSWER_BYTES_MAX;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;

use crate::call_forward::CallBody;
use crate::call_forward::CallParts;
use crate::call_headers;
use crate::claim_client::ClaimClient;
use crate::claim_client::KeyedCall;
use crate::claim_client::OpenClaim;
use crate::entry_task::CallRefusal;

/// Returns the idempotency key of a request; `None` if it has none or its method
/// is idempotent and needs none.
///
/// # Errors
///
/// Refuses a key that is empty, longer than [`call_headers::KEY_BYTES_MAX`] or
/// not text.
pub fn idempotency_key(request: &Request) -> Result<Option<Arc<str>>, RefusalReason> {
    if call_headers::is_idempotent(request.method()) {
        return Ok(None);
    }
    let Some(value) = request.headers().get(call_headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| RefusalReason::BadHeader)?;
    let text = text.trim();
    if text.is_empty() || text.len() > call_headers::KEY_BYTES_MAX {
        return Err(RefusalReason::BadHeader);
    }
    Ok(Some(text.into()))
}

impl KeyedCall {
    /// Creates the key and digest of a call to `path` for `customer`. The digest
    /// covers all of a buffered body, but only the buffered start of a streamed
    /// one.
    pub fn new(
        customer: &str,
        path: &str,
        key: &str,
        parts: &CallParts,
        body: &CallBody,
    ) -> Self {
        let target = parts.target.to_string();
        let digested = [
            parts.method.as_str().as_bytes(),
            target.as_bytes(),
            body.buffered(),
        ];
        Self {
            key: ClaimKey::new(customer, path, key),
            request: KeyDigest::of(&digested),
        }
    }
}

/// Builds the reply from a stored answer.
pub fn replay(answer: &KeptAnswer) -> HttpReply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let body = Bytes::copy_from_slice(&answer.body);
    let mut reply = Response::new(status).set_body(BoxBody::new(body));
    for (name, value) in &answer.headers {
        let name = HeaderName::try_from(&**name);
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            reply.headers_mut().append(name, value);
        }
    }
    http_reply::set_header(&mut reply, call_headers::VERDICT, CallVerdict::Ran.as_str());
    http_reply::set_header(&mut reply, call_headers::REPLAYED, "1");
    reply
}

/// Stores the answer of a run with its claim and returns the reply. An answer
/// above [`ANSWER_BYTES_MAX`] is returned without being stored.
///
/// # Errors
///
/// Refuses the call if the answer breaks off while it is read.
pub async fn store_answer(
    claims: &Rc<ClaimClient>,
    claim: OpenClaim,
    reply: HttpReply,
) -> Result<HttpReply, CallRefusal> {
    let mut answer = KeptAnswer {
        status: reply.status().as_u16(),
        headers: kept_headers(&reply),
        body: ByteBlob::new(&[]),
    };
    let bytes_left = ANSWER_BYTES_MAX.saturating_sub(answer.bytes());
    let (mut head, mut body) = reply.into_parts();
    let size = body.size();
    let mut buffered = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut body).await {
        let Ok(chunk) = chunk else {
            // Nothing has been sent to the caller, so it can still get a refusal.
            claims.record_end(claim, RunEnd::Unknown).await;
            return Err(CallRefusal::new(
                RefusalReason::ConnectionBroken,
                CallVerdict::MayHaveRun,
            ));
        };
        buffered.extend_from_slice(&chunk);
        if buffered.len() > bytes_left {
            claims.record_end(claim, RunEnd::AnswerTooLarge).await;
            return Ok(head.set_body(prepend_chunk(buffered.freeze(), body, size)));
        }
    }
    let buffered = buffered.freeze();
    answer.body = ByteBlob::new(&buffered);
    claims.record_end(claim, RunEnd::Answered(answer)).await;
    head.headers_mut()
        .remove(actix_http::header::CONTENT_LENGTH);
    Ok(head.set_body(BoxBody::new(buffered)))
}

/// Returns the headers that are stored with an answer.
fn kept_headers(reply: &HttpReply) -> Vec<(Arc<str>, ByteBlob)> {
    let mut headers = Vec::new();
    for (name, value) in reply.headers() {
        if call_headers::is_forwarded(name) {
            headers.push((name.as_str().into(), ByteBlob::new(value.as_bytes())));
        }
    }
    headers
}

async fn next_chunk(
    body: &mut BoxBody,
) -> Option<Result<Bytes, <BoxBody as MessageBody>::Error>> {
    poll_fn(|cx| body.as_pin_mut().poll_next(cx)).await
}

/// Returns a body of the chunk `first`, already read, followed by `rest`.
fn prepend_chunk(first: Bytes, rest: BoxBody, size: BodySize) -> BoxBody {
    let parts = futures_util::stream::unfold(
        (Some(first), rest),
        |(first, mut rest)| async move {
            if let Some(first) = first {
                return Some((Ok(first), (None, rest)));
            }
            let chunk = next_chunk(&mut rest).await?;
            Some((chunk, (None, rest)))
        },
    );
    let parts: Pin<Box<_>> = Box::pin(parts);
    match size {
        BodySize::Sized(length) => BoxBody::new(SizedStream::new(length, parts)),
        _ => BoxBody::new(actix_http::body::BodyStream::new(parts)),
    }
}
