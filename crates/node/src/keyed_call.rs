//! A call with an idempotency key, from its claim to its kept answer.

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
use crate::claim_desk::ClaimDesk;
use crate::claim_desk::KeyedCall;
use crate::claim_desk::OpenClaim;
use crate::entry_task::CallRefusal;

/// The caller's key, where the call has one and needs it.
pub fn key_of(request: &Request) -> Result<Option<Arc<str>>, RefusalReason> {
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
    /// The call to `path` for `customer`. A body that is held counts whole
    /// in its digest; of one that streams, what is known at its start.
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
            body.known(),
        ];
        Self {
            key: ClaimKey::new(customer, path, key),
            request: KeyDigest::of(&digested),
        }
    }
}

/// A kept answer, given again.
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

/// Keeps the answer of a run with its claim and passes it on; a large one
/// passes on alone.
pub async fn keep(
    claims: &Rc<ClaimDesk>,
    claim: OpenClaim,
    reply: HttpReply,
) -> Result<HttpReply, CallRefusal> {
    let mut answer = KeptAnswer {
        status: reply.status().as_u16(),
        headers: kept_headers(&reply),
        body: ByteBlob::new(&[]),
    };
    let room = ANSWER_BYTES_MAX.saturating_sub(answer.bytes());
    let (mut head, mut body) = reply.into_parts();
    let size = body.size();
    let mut kept = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut body).await {
        let Ok(chunk) = chunk else {
            // The caller has had nothing yet, so it can be told plainly.
            claims.end(claim, RunEnd::Unknown).await;
            return Err(CallRefusal {
                reason: RefusalReason::ConnectionBroken,
                verdict: CallVerdict::MayHaveRun,
            });
        };
        kept.extend_from_slice(&chunk);
        if kept.len() > room {
            claims.end(claim, RunEnd::AnswerTooLarge).await;
            return Ok(head.set_body(rejoin(kept.freeze(), body, size)));
        }
    }
    let kept = kept.freeze();
    answer.body = ByteBlob::new(&kept);
    claims.end(claim, RunEnd::Answered(answer)).await;
    head.headers_mut()
        .remove(actix_http::header::CONTENT_LENGTH);
    Ok(head.set_body(BoxBody::new(kept)))
}

fn kept_headers(reply: &HttpReply) -> Vec<(Arc<str>, ByteBlob)> {
    let mut kept = Vec::new();
    for (name, value) in reply.headers() {
        if call_headers::passes_on(name) {
            kept.push((name.as_str().into(), ByteBlob::new(value.as_bytes())));
        }
    }
    kept
}

async fn next_chunk(
    body: &mut BoxBody,
) -> Option<Result<Bytes, <BoxBody as MessageBody>::Error>> {
    poll_fn(|cx| body.as_pin_mut().poll_next(cx)).await
}

/// What was read of a body, and the rest of it as it comes.
fn rejoin(first: Bytes, rest: BoxBody, size: BodySize) -> BoxBody {
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
