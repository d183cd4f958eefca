//! Log lines about individual calls, so that operators can look up a failed call
//! by its request ID.
//!
//! Load pattern: thousands of refusals a second. Logging each would cost more
//! CPU time than the refusals themselves, at a time when there is none to spare.
//! Lines are therefore limited per second and reason; suppressed lines are
//! counted and their number is logged.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderName;
use actix_http::Request;
use log::info;

use cowslip_core::call_try::TryFailure;
use cowslip_core::entry_router::CallPlan;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_reply;
use cowslip_wire::process_log::LogValue;

use crate::entry_task::CallRefusal;

/// Maximum number of lines for one reason in one second. At 3 us a line, all
/// reasons together cost a node under 1 ms of CPU time a second.
const LINES_PER_SECOND: u32 = 20;

const SECOND: Duration = Duration::from_secs(1);

/// Longest logged request ID, in bytes; request IDs usually have 16 characters.
pub(crate) const ID_BYTES_MAX: usize = 64;

#[derive(Debug)]
struct LineCount {
    since: BootInstant,
    written: u32,
    suppressed: u32,
}

/// Rate-limited log of the calls on one side of a node.
#[derive(Debug)]
pub struct CallLog {
    side: &'static str,
    /// Version of the configuration in force at the node.
    version: Rc<Cell<ConfigVersion>>,
    counts: RefCell<HashMap<RefusalReason, LineCount>>,
}

/// A refused call, for its log line.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCall<'a> {
    /// The refusal.
    pub refusal: CallRefusal,
    /// Time from the call's arrival at this node to the refusal.
    pub waited: Duration,
    /// Path of the matching route; `-` if it is not known on this side.
    pub route: &'a str,
}

/// Request ID for log lines; `-` if the request has none.
#[derive(Clone, Debug)]
pub struct LoggedId(String);

impl LoggedId {
    /// Reads the request ID from the header `name` of `request`, cut to
    /// [`ID_BYTES_MAX`].
    pub fn of(request: &Request, name: &HeaderName) -> Self {
        let id = http_reply::header(request, name.as_str()).unwrap_or("-");
        let end = id.len().min(ID_BYTES_MAX);
        Self(id.get(..end).unwrap_or("-").to_owned())
    }
}

impl fmt::Display for LoggedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        LogValue(&self.0).fmt(f)
    }
}

impl CallLog {
    /// Creates the log of a side: `entry` or `server`. Its lines name the version
    /// that `version` holds when they are written.
    pub fn new(side: &'static str, version: Rc<Cell<ConfigVersion>>) -> Self {
        Self {
            side,
            version,
            counts: RefCell::default(),
        }
    }

    /// Logs a call that was refused.
    pub fn refused(&self, id: &LoggedId, refused: &RefusedCall<'_>) {
        let reason = refused.refusal.reason;
        if self.admit_line(reason) {
            info!(
                "event=call-refused process=node side={} request={id} reason={reason} verdict={} version={} waited_ms={} route={}",
                self.side,
                refused.refusal.verdict.as_str(),
                self.version.get(),
                refused.waited.as_millis(),
                LogValue(refused.route)
            );
        }
    }

    /// Logs a failed attempt of a call that is retried, with the matching route,
    /// whether the call is idempotent, and what is left of the retry budget.
    pub fn retried(
        &self,
        id: &LoggedId,
        server: &str,
        failure: TryFailure,
        plan: &CallPlan,
    ) {
        if self.admit_line(failure.reason) {
            info!(
                "event=call-retried process=node side={} request={id} server={server} reason={} verdict={} route={} idempotent={} saved={:.2} saved_max={:.2}",
                self.side,
                failure.reason,
                failure.verdict.as_str(),
                LogValue(&plan.route),
                plan.is_idempotent(),
                plan.retry_credit.saved,
                plan.retry_credit.saved_max
            );
        }
    }

    /// Logs a call that was answered after its route's target latency.
    pub fn late(&self, id: &LoggedId, server: &str, took: Duration) {
        if self.admit_line(RefusalReason::QueueTimeout) {
            info!(
                "event=call-late process=node side={} request={id} server={server} took_ms={}",
                self.side,
                took.as_millis()
            );
        }
    }

    /// Returns whether a line for reason `kind` may be written, and counts it.
    /// Logs how many lines of the last period were suppressed.
    fn admit_line(&self, kind: RefusalReason) -> bool {
        let mut counts = self.counts.borrow_mut();
        let now = BootInstant::now();
        let count = counts.entry(kind).or_insert(LineCount {
            since: now,
            written: 0,
            suppressed: 0,
        });
        if now.saturating_duration_since(count.since) >= SECOND {
            if count.suppressed > 0 {
                info!(
                    "event=lines-left-out process=node side={} reason={kind} lines={}",
                    self.side, count.suppressed
                );
            }
            *count = LineCount {
                since: now,
                written: 0,
                suppressed: 0,
            };
        }
        if count.written == LINES_PER_SECOND {
            count.suppressed += 1;
            return false;
        }
        count.written += 1;
        true
    }
}
