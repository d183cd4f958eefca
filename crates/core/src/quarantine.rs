//! Requests that are no longer sent to backend servers because they crash them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call_fingerprint::CallFingerprint;
use crate::document::DocumentFault;
use crate::version::ConfigVersion;

/// Quarantines by fingerprint, ended ones included until they are forgotten.
pub type QuarantineTable = BTreeMap<CallFingerprint, QuarantineEntry>;

/// Largest number of entries. A request that crashes its servers is rare; beyond this
/// number the one that ends first makes room.
pub const QUARANTINES_MAX: usize = 256;

/// Duration of the first quarantine of a request.
pub const FIRST_DURATION: Duration = Duration::from_secs(300);

/// Longest duration of a quarantine.
const DURATION_MAX: Duration = Duration::from_secs(3_600);

/// How long an ended quarantine is kept. If the request crashes a server in this time,
/// the next quarantine begins at once.
pub const PROBATION: Duration = Duration::from_secs(3_600);

/// A request that backend servers crashed under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineEntry {
    /// Configuration version that created the entry or changed it last.
    pub version: ConfigVersion,
    /// Service whose servers crashed.
    pub service: Arc<str>,
    /// Path of the matching route.
    pub route: Arc<str>,
    /// Crashes of backend servers while they ran the request.
    pub crashes: u32,
    /// Start of the latest quarantine by the leader's wall clock, in milliseconds
    /// since the Unix epoch.
    pub since_ms: u64,
    /// When the quarantine ends, or ended, by the same clock.
    pub until_ms: u64,
    /// Quarantines of the request so far.
    pub times: u32,
    /// Whether the quarantine has ended and the request is sent again.
    pub ended: bool,
}

impl QuarantineEntry {
    /// Whether the request is refused.
    pub fn is_blocking(&self) -> bool {
        !self.ended
    }
}

/// Start or end of a quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineChange {
    /// Send the request to no backend server; proposed only by the leader.
    Start {
        /// The request.
        fingerprint: CallFingerprint,
        /// Service whose servers crashed.
        service: Arc<str>,
        /// Path of the matching route.
        route: Arc<str>,
        /// Crashes so far.
        crashes: u32,
    },
    /// Send the request again, because its time is over or by an operator's order.
    End {
        /// The request.
        fingerprint: CallFingerprint,
    },
    /// Forget an ended quarantine; proposed only by the leader.
    Forget {
        /// The request.
        fingerprint: CallFingerprint,
    },
}

impl QuarantineChange {
    /// The request that the change is about.
    pub fn fingerprint(&self) -> CallFingerprint {
        match self {
            Self::Start { fingerprint, .. }
            | Self::End { fingerprint }
            | Self::Forget { fingerprint } => *fingerprint,
        }
    }

    /// A short description for the list of changes shown to operators.
    pub fn summary(&self) -> String {
        match self {
            Self::Start {
                fingerprint,
                service,
                route,
                crashes,
            } => format!(
                "request {fingerprint} of {route} quarantined after {crashes} crashes of {service}"
            ),
            Self::End { fingerprint } => format!("quarantine of {fingerprint} ended"),
            Self::Forget { fingerprint } => {
                format!("quarantine of {fingerprint} forgotten")
            }
        }
    }

    /// Applies a change that is in the log at `version` and was made at `at_ms`.
    ///
    /// # Errors
    ///
    /// Returns the fault of a change that does not fit the table.
    pub fn apply(
        &self,
        table: &mut QuarantineTable,
        version: ConfigVersion,
        at_ms: u64,
    ) -> Result<(), DocumentFault> {
        match self {
            Self::Start {
                fingerprint,
                service,
                route,
                crashes,
            } => {
                let times = match table.get(fingerprint) {
                    Some(entry) if entry.is_blocking() => {
                        return Err(self.fault("it is quarantined already"));
                    }
                    Some(entry) => entry.times.saturating_add(1),
                    None => 1,
                };
                make_room(table);
                let entry = QuarantineEntry {
                    version,
                    service: Arc::clone(service),
                    route: Arc::clone(route),
                    crashes: *crashes,
                    since_ms: at_ms,
                    until_ms: at_ms + duration(times).as_millis() as u64,
                    times,
                    ended: false,
                };
                table.insert(*fingerprint, entry);
            }
            Self::End { fingerprint } => {
                let entry = table.get_mut(fingerprint);
                let Some(entry) = entry.filter(|entry| entry.is_blocking()) else {
                    return Err(self.fault("it is not quarantined"));
                };
                entry.ended = true;
                entry.until_ms = at_ms;
                entry.version = version;
            }
            Self::Forget { fingerprint } => {
                let ended = table.get(fingerprint).is_some_and(|entry| entry.ended);
                if !ended {
                    return Err(self.fault("no ended quarantine of it is known"));
                }
                table.remove(fingerprint);
            }
        }
        Ok(())
    }

    fn fault(&self, problem: &str) -> DocumentFault {
        DocumentFault {
            path: format!("quarantines.{}", self.fingerprint()),
            problem: problem.to_owned(),
        }
    }
}

/// Duration of the quarantine that is the request's `times`-th.
fn duration(times: u32) -> Duration {
    let doublings = times.saturating_sub(1).min(8);
    (FIRST_DURATION * (1 << doublings)).min(DURATION_MAX)
}

fn make_room(table: &mut QuarantineTable) {
    while table.len() >= QUARANTINES_MAX {
        let first = table.iter().min_by_key(|(_, entry)| entry.until_ms);
        let Some(first) = first.map(|(fingerprint, _)| *fingerprint) else {
            return;
        };
        table.remove(&first);
    }
}
