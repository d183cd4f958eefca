//! Reply to a refused call.

use std::time::Duration;

use actix_http::StatusCode;

use cowslip_core::load::retry_delay;
use cowslip_core::load::retry_delay::CallerTime;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;

use crate::call_dialect::CallDialect;
use crate::call_headers;
use crate::entry_task::CallRefusal;

/// Builds the reply to a refused call. `left` is the time left until the
/// caller's deadline, if it sent one; it limits `Retry-After`.
pub fn refusal_reply(
    refusal: CallRefusal,
    dialect: &CallDialect,
    left: Option<Duration>,
) -> HttpReply {
    let status = StatusCode::from_u16(refusal.reason.status_for(refusal.verdict));
    let status = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut reply = http_reply::text(status, refusal.reason.as_str());
    http_reply::set_header(&mut reply, call_headers::VERDICT, refusal.verdict.as_str());
    http_reply::set_header(&mut reply, call_headers::REASON, refusal.reason.as_str());
    let retryable = matches!(status.as_u16(), 429 | 503);
    let caller = CallerTime {
        left,
        fractions: dialect.fractional_retry_after,
    };
    let delay = refusal
        .retry_in
        .or_else(|| retry_delay::retry_after(refusal.reason, caller, &mut rand::rng()));
    if let Some(delay) = delay.filter(|_| retryable) {
        let seconds = if dialect.fractional_retry_after {
            format!("{:.2}", delay.as_secs_f64())
        } else {
            delay.as_secs().to_string()
        };
        http_reply::set_header(&mut reply, "retry-after", &seconds);
    }
    reply
}
