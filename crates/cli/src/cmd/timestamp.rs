//! Times as shown to operators.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Formats milliseconds since 1970 as an RFC 3339 time in UTC, to the second.
pub fn format_timestamp(at_ms: u64) -> String {
    let time: SystemTime = UNIX_EPOCH + Duration::from_millis(at_ms);
    humantime::format_rfc3339_seconds(time).to_string()
}
