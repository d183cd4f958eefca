//! Detects when a backend server is past its cold start.

/// Calls after which a server counts as warm. The users' servers are slow for
/// about the first ten calls; the margin covers calls that run concurrently
/// with those.
const COLD_CALLS: u32 = 20;

/// Counts the calls sent to one process start of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    calls: u32,
}

impl ColdStart {
    /// Resets the count because a different backend server, or a new start of
    /// the same one, has announced itself.
    pub fn restart(&mut self) {
        self.calls = 0;
    }

    /// Counts one call sent to the server. Returns whether the server is warm.
    pub fn record_call(&mut self) -> bool {
        self.calls = self.calls.saturating_add(1);
        self.calls > COLD_CALLS
    }
}
