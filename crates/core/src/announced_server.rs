//! What a backend server says of itself when it is announced.

use std::sync::Arc;

/// Most slots that a backend server may announce. A larger number is an error of
/// whoever announced it, and would let any number of calls reach the server at once.
pub const SLOTS_MAX: u32 = 100_000;

/// A backend server's description of itself in its announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedServer {
    /// Service that the server belongs to.
    pub service: Arc<str>,
    /// Backend server version that it runs.
    pub version: Arc<str>,
    /// Requests that it can run concurrently.
    pub slots: u32,
}

impl AnnouncedServer {
    /// Returns whether a server can have this many slots.
    pub fn has_possible_slots(&self) -> bool {
        (1..=SLOTS_MAX).contains(&self.slots)
    }
}
