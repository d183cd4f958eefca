//! Whether a backend server is past its cold start.

/// Calls after which a server counts as warm. The users' servers are slow
/// for about ten; the rest is for calls that run beside those.
const COLD_CALLS: u32 = 20;

/// Counts the calls of one start of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    calls: u32,
}

impl ColdStart {
    /// Another backend server, or another start of it, has announced itself.
    pub fn restart(&mut self) {
        self.calls = 0;
    }

    /// Counts a call that goes to the server; true where it is warm.
    pub fn record_call(&mut self) -> bool {
        self.calls = self.calls.saturating_add(1);
        self.calls > COLD_CALLS
    }
}
