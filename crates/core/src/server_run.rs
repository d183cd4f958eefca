//! Identity of one run of a backend server.

use std::sync::Arc;

/// A run of a backend server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRun {
    /// Name of the run. A restarted server may use the same name again.
    pub name: Arc<str>,
    /// Start time by the server's clock, in milliseconds since the Unix epoch;
    /// `None` if it is not known.
    pub started_ms: Option<u64>,
}

impl ServerRun {
    /// Whether both may be the same run: the names are equal, and so are the start
    /// times if both are known.
    pub fn may_be(&self, other: &Self) -> bool {
        let (Some(started), Some(other_started)) = (self.started_ms, other.started_ms)
        else {
            return self.name == other.name;
        };
        self.name == other.name && started == other_started
    }
}
