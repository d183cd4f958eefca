//! What the server's node says in the headers of a response.

use std::time::Duration;

use cowslip_core::entry_router::TryFailure;
use cowslip_core::load::server_load::ReportedLoad;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::server_notice::ServerNotice;
use cowslip_core::verdict::CallVerdict;

use crate::call_headers;
use crate::hop::HopResponse;

/// Returns the load that the server's node reports in the response's headers.
pub(super) fn reported_load(response: &HopResponse) -> Option<ReportedLoad> {
    Some(ReportedLoad {
        wait: header_millis(response, call_headers::WAIT_MS)?,
        work: header_millis(response, call_headers::WORK_MS),
    })
}

/// Returns what the backend server stated in its answer, if its node says so.
pub(super) fn server_notice(response: &HopResponse) -> Option<ServerNotice> {
    let value = response.head.headers().get(call_headers::NOTICE)?;
    ServerNotice::parse(value.to_str().ok()?)
}

/// Returns a header's value, in milliseconds, as a duration.
fn header_millis(response: &HopResponse, name: &str) -> Option<Duration> {
    let value = response.head.headers().get(name)?;
    let millis = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the failure that the server's node reports if the backend server
/// did not answer.
pub(super) fn refused_by_peer(response: &HopResponse) -> Option<TryFailure> {
    let text = |name: &str| response.head.headers().get(name)?.to_str().ok();
    let verdict = CallVerdict::parse(text(call_headers::VERDICT)?)?;
    if verdict == CallVerdict::Ran {
        return None;
    }
    let reason = text(call_headers::REASON).and_then(RefusalReason::parse);
    let reason = reason.unwrap_or(RefusalReason::ConnectionBroken);
    Some(TryFailure { verdict, reason })
}
