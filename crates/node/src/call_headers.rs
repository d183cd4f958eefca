//! Names of the headers of calls, and which headers are forwarded.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::Method;

/// Customer on whose behalf the call is made.
pub const CUSTOMER: &str = "cowslip-customer";
/// Deadline of the call, in milliseconds from now.
pub const DEADLINE_MS: &str = "cowslip-deadline-ms";
/// Whether the request may have run.
pub const VERDICT: &str = "cowslip-verdict";
/// Why a call was refused.
pub const REASON: &str = "cowslip-reason";
/// Between nodes: service that the call is for.
pub const SERVICE: &str = "cowslip-service";
/// Between nodes: path of the matched route.
pub const ROUTE: &str = "cowslip-route";
/// Between nodes: priority of the route.
pub const PRIORITY: &str = "cowslip-priority";
/// Between nodes: milliseconds since the call arrived at its entry node.
pub const WAITED_MS: &str = "cowslip-waited-ms";
/// Between nodes: milliseconds until the route's target latency has passed.
pub const TARGET_MS: &str = "cowslip-target-ms";
/// Between nodes: longest expected wait for a slot, in milliseconds, at which
/// the server's node queues the call instead of refusing it.
pub const WAIT_MAX_MS: &str = "cowslip-wait-max-ms";
/// Between nodes: milliseconds that a new call would wait for a slot.
pub const WAIT_MS: &str = "cowslip-wait-ms";
/// Between nodes: recent service time of the call's route, in milliseconds.
pub const WORK_MS: &str = "cowslip-work-ms";
/// Between nodes: present if a backend server makes the call.
pub const INNER: &str = "cowslip-inner";
/// Between nodes: probability, in thousandths, that the call repeats earlier
/// work at a backend server; absent if zero.
pub const REPEATS: &str = "cowslip-repeats";
/// Between nodes: 1 if the backend server is past its cold start.
pub const WARM: &str = "cowslip-warm";
/// Request ID; backend servers echo it.
pub const REQUEST_ID: &str = "cowslip-request-id";
/// To a backend server: run of the server that the request is meant for.
pub const SERVER_RUN: &str = "cowslip-server-run";
/// From a backend server's health page: how many more milliseconds it stays cold.
pub const COLD_MS: &str = "cowslip-cold-ms";
/// From a backend server: calls a second that it takes from all nodes together, a
/// decimal number.
pub const RATE_LIMIT: &str = "cowslip-rate-limit";
/// From a backend server: 1 if it is leaving and takes no new calls.
pub const LEAVING: &str = "cowslip-leaving";
/// Between nodes: what the backend server stated about itself. With an answer, in
/// that answer; with a call, in the last answer that the entry node passed on.
pub const NOTICE: &str = "cowslip-notice";
/// Service of the backend server beside the request's entry node.
pub const CALLER_SERVICE: &str = "cowslip-caller";
/// From a backend server: the request has not run and will not run.
pub const NOT_RUN: &str = "cowslip-not-run";
/// Key of a non-idempotent call, so that a resend does not run again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Marks an answer that was stored by the first run of the call.
pub const REPLAYED: &str = "cowslip-replayed";

/// Longest accepted idempotency key, in bytes; a UUID has 36.
pub const KEY_BYTES_MAX: usize = 256;

/// Longest accepted customer name, in bytes; names are kept in memory while
/// calls wait.
pub const CUSTOMER_BYTES_MAX: usize = 128;

/// Hop-by-hop headers, which belong to one connection and not to the call.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that each hop sets itself, so that the values of a caller or a
/// backend server are never forwarded.
const REWRITTEN: [&str; 23] = [
    "host",
    "content-length",
    "expect",
    "cowslip-key",
    "cowslip-packed",
    DEADLINE_MS,
    VERDICT,
    REASON,
    SERVICE,
    ROUTE,
    PRIORITY,
    WAITED_MS,
    INNER,
    WARM,
    REPLAYED,
    SERVER_RUN,
    CALLER_SERVICE,
    TARGET_MS,
    WAIT_MAX_MS,
    WORK_MS,
    WAIT_MS,
    REPEATS,
    NOTICE,
];

/// Returns whether a header is forwarded unchanged to the next hop.
pub fn is_forwarded(name: &HeaderName) -> bool {
    let name = name.as_str();
    !HOP_BY_HOP.contains(&name) && !REWRITTEN.contains(&name)
}

/// Returns whether HTTP defines the method as idempotent.
pub fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET
            | Method::HEAD
            | Method::OPTIONS
            | Method::PUT
            | Method::DELETE
            | Method::TRACE
    )
}

/// Error for a deadline header that is not a number of milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadDeadline;

/// Returns the caller's deadline; `None` if the header is absent.
///
/// # Errors
///
/// Fails if the header is not a number of milliseconds.
pub fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, BadDeadline> {
    deadline_in(headers, &HeaderName::from_static(DEADLINE_MS))
}

/// Like [`deadline`], but reads the header `name`.
///
/// # Errors
///
/// Fails if the header is not a number of milliseconds.
pub fn deadline_in(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<Duration>, BadDeadline> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BadDeadline)?;
    let millis: u32 = text.trim().parse().map_err(|_| BadDeadline)?;
    Ok(Some(Duration::from_millis(millis.into())))
}
