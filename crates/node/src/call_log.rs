//! Lines about single calls, so that a failed one can be explained by its
//! request's id.
//!
//! Load pattern: thousands of refusals a second. A line for each would cost
//! more processor time than the refusals, just when there is none. Each kind
//! of line has so many a second; what is left out is counted and said.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use actix_http::header::HeaderName;
use actix_http::Request;
use log::info;

use cowslip_core::call_try::TryFailure;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_reply;
use cowslip_wire::process_log::LogValue;

/// Lines of one kind in one second: at 3 us a line under 1 ms of a node's
/// time for all kinds together.
const LINES_PER_SECOND: u32 = 20;

const SECOND: Duration = Duration::from_secs(1);

/// Longest request id that is written; they are 16 letters.
const ID_BYTES_MAX: usize = 64;

#[derive(Debug)]
struct KindCount {
    since: BootInstant,
    written: u32,
    left_out: u32,
}

/// Writes and counts one side's lines.
#[derive(Debug)]
pub struct CallLog {
    side: &'static str,
    kinds: RefCell<HashMap<RefusalReason, KindCount>>,
}

/// A request's id as logs name it; `-` where it has none.
#[derive(Clone, Debug)]
pub struct LoggedId(String);

impl LoggedId {
    /// The id that `request` carries under `name`.
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
    /// A log of the `entry` or the `server` side.
    pub fn new(side: &'static str) -> Self {
        Self {
            side,
            kinds: RefCell::default(),
        }
    }

    /// The call got no answer of a backend server.
    pub fn refused(&self, id: &LoggedId, reason: RefusalReason, verdict: CallVerdict) {
        if self.admits(reason) {
            info!(
                "event=call-refused process=node side={} request={id} reason={reason} verdict={}",
                self.side,
                verdict.as_str()
            );
        }
    }

    /// A try of the call failed, and another server is asked.
    pub fn retried(&self, id: &LoggedId, server: &str, failure: TryFailure) {
        if self.admits(failure.reason) {
            info!(
                "event=call-retried process=node side={} request={id} server={server} reason={} verdict={}",
                self.side,
                failure.reason,
                failure.verdict.as_str()
            );
        }
    }

    /// The call was answered later than its answer is worth most.
    pub fn late(&self, id: &LoggedId, server: &str, took: Duration) {
        if self.admits(RefusalReason::QueueTimeout) {
            info!(
                "event=call-late process=node side={} request={id} server={server} took_ms={}",
                self.side,
                took.as_millis()
            );
        }
    }

    fn admits(&self, kind: RefusalReason) -> bool {
        let mut kinds = self.kinds.borrow_mut();
        let now = BootInstant::now();
        let count = kinds.entry(kind).or_insert(KindCount {
            since: now,
            written: 0,
            left_out: 0,
        });
        if now.saturating_duration_since(count.since) >= SECOND {
            if count.left_out > 0 {
                info!(
                    "event=lines-left-out process=node side={} reason={kind} lines={}",
                    self.side, count.left_out
                );
            }
            *count = KindCount {
                since: now,
                written: 0,
                left_out: 0,
            };
        }
        if count.written == LINES_PER_SECOND {
            count.left_out += 1;
            return false;
        }
        count.written += 1;
        true
    }
}
