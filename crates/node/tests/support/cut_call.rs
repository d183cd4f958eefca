//! A call that a crash cut.

use std::time::Duration;

use cowslip_core::crash_suspects::CallState;
use cowslip_core::crash_suspects::CutCall;
use cowslip_core::crash_suspects::SuspectCall;

/// Returns a call that was in flight at the crash.
pub fn cut_call() -> CutCall {
    let fingerprint = "0123456789abcdef0123456789abcdef".parse();
    CutCall {
        call: SuspectCall {
            fingerprint: fingerprint.expect("32 digits"),
            service: "records".into(),
            route: "/records".into(),
        },
        state: CallState::InFlight,
        began_ago: Duration::from_millis(30),
        broke_ago: Duration::ZERO,
        completed_ago: None,
    }
}
