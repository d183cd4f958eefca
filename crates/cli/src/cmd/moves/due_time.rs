//! The due time of a move: parsing, and formatting of times.

use std::str::FromStr;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use thiserror::Error;

use cowslip_core::rollout::rollout_change::MoveDue;

/// Time by which a move must be done: a duration from now, or a UTC time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueTime(pub MoveDue);

/// Text that is neither a duration nor an RFC 3339 time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is not a valid time; use 90s, 30m, 2h or 2026-12-03T06:00:00Z")]
pub struct InvalidDueTime(String);

impl FromStr for DueTime {
    type Err = InvalidDueTime;

    fn from_str(text: &str) -> Result<Self, InvalidDueTime> {
        if let Ok(within) = humantime::parse_duration(text) {
            return Ok(Self(MoveDue::Within(within.as_millis() as u64)));
        }
        let time = humantime::parse_rfc3339_weak(text);
        let time = time.map_err(|_| InvalidDueTime(text.to_owned()))?;
        let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Self(MoveDue::At(since.as_millis() as u64)))
    }
}

/// Formats a duration in milliseconds such as `1m 30s`, to the second.
pub fn format_duration(millis: u64) -> String {
    humantime::format_duration(Duration::from_secs(millis / 1_000)).to_string()
}
