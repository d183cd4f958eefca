//! Headers of a call: which are ours, which pass on, which do not.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::Method;

/// Customer on whose behalf the caller calls.
pub const CUSTOMER: &str = "cowslip-customer";
/// Time the caller gives the call, in milliseconds.
pub const DEADLINE_MS: &str = "cowslip-deadline-ms";
/// Whether the request may have run.
pub const VERDICT: &str = "cowslip-verdict";
/// Why a call was refused.
pub const REASON: &str = "cowslip-reason";
/// Between nodes: the service that the entry node wants.
pub const SERVICE: &str = "cowslip-service";
/// Between nodes: path of the route that matched.
pub const ROUTE: &str = "cowslip-route";
/// Between nodes: urgency of the route.
pub const PRIORITY: &str = "cowslip-priority";
/// Between nodes: milliseconds since the call came to its entry node.
pub const WAITED_MS: &str = "cowslip-waited-ms";
/// Between nodes: milliseconds until the answer is worth less.
pub const TARGET_MS: &str = "cowslip-target-ms";
/// Between nodes: milliseconds that the call waits for a slot at most.
pub const WAIT_MAX_MS: &str = "cowslip-wait-max-ms";
/// Between nodes: milliseconds that a call would wait for a slot now.
pub const WAIT_MS: &str = "cowslip-wait-ms";
/// Between nodes: milliseconds that a job on the call's route takes lately.
pub const WORK_MS: &str = "cowslip-work-ms";
/// Between nodes: there where a backend server makes the call.
pub const INNER: &str = "cowslip-inner";
/// Between nodes: thousandths of likelihood that the call repeats work at a
/// backend server; absent for none.
pub const REPEATS: &str = "cowslip-repeats";
/// Between nodes: 1 where the backend server is past its cold start.
pub const WARM: &str = "cowslip-warm";
/// Names a request; backend servers echo it.
pub const REQUEST_ID: &str = "cowslip-request-id";
/// To a backend server: the run of it that the request is meant for.
pub const SERVER_RUN: &str = "cowslip-server-run";
/// Service beside whose node the request came in.
pub const CALLER_SERVICE: &str = "cowslip-caller";
/// From a backend server: the request has not run and will not.
pub const NOT_RUN: &str = "cowslip-not-run";
/// Names a non-idempotent call, so that a resend does not run again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Says that the answer is the one kept from the call's first run.
pub const REPLAYED: &str = "cowslip-replayed";

/// Longest idempotency key taken; UUIDs have 36.
pub const KEY_BYTES_MAX: usize = 256;

/// Longest customer's name taken; names are kept while calls wait.
pub const CUSTOMER_BYTES_MAX: usize = 128;

/// Headers that belong to one connection, not to the call.
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

/// Headers that each hop writes anew, so a caller's or a backend server's
/// own are never passed on.
const REWRITTEN: [&str; 21] = [
    "host",
    "content-length",
    "expect",
    "cowslip-key",
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
];

/// Whether a header goes on to the next hop as it is.
pub fn passes_on(name: &HeaderName) -> bool {
    let name = name.as_str();
    !HOP_BY_HOP.contains(&name) && !REWRITTEN.contains(&name)
}

/// Methods that may be run twice without harm, by their definition.
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

/// A deadline header that is not a number of milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadDeadline;

/// The time that the caller gives; `None` where it says nothing.
pub fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, BadDeadline> {
    deadline_in(headers, &HeaderName::from_static(DEADLINE_MS))
}

/// The same, under another name of the header.
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
