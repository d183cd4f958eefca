//! Tracks whether the backend server of a node is present, draining or
//! unreachable.
//!
//! Load pattern: thousands of server restarts a day, crashes, and repeated
//! announcements. Without this state a late or reordered announcement would
//! bring back a draining server, an announcement while the node stops would
//! attract new work to it, and a crashed server would be offered calls until
//! its lease expires.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

/// How long announcements are refused after a drain. This is longer than an
/// announcement can be in flight between a server and its node, and shorter
/// than a restart including the cold start.
pub const REANNOUNCE_DELAY: Duration = Duration::from_secs(5);

/// Why an announcement is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PresenceRefusal {
    /// The node itself is stopping.
    #[error("the node is stopping")]
    NodeStopping,
    /// The server began to drain less than [`REANNOUNCE_DELAY`] ago, or still
    /// runs requests.
    #[error("the server is draining; announce it again once it has ended")]
    Draining,
}

/// Presence of the node's backend server, as far as the node knows.
#[derive(Debug, Default)]
pub struct ServerPresence {
    address: Option<SocketAddr>,
    draining_since: Option<Duration>,
    node_stopping: bool,
    unreachable: bool,
    /// Whether something listens at the address of a lost server whose run has not
    /// reported yet.
    unreported: bool,
}

impl ServerPresence {
    /// Handles an announcement of the server at `address` while `in_flight`
    /// requests of this node run on it.
    ///
    /// Returns an error if the node is stopping, or if the server is draining
    /// and may not have ended yet.
    pub fn announce(
        &mut self,
        now: Duration,
        address: SocketAddr,
        in_flight: u32,
    ) -> Result<(), PresenceRefusal> {
        if self.node_stopping {
            return Err(PresenceRefusal::NodeStopping);
        }
        let same_address = self.address == Some(address);
        if let Some(since) = self.draining_since.filter(|_| same_address) {
            // The announcement may have been sent before the drain and arrive
            // after it; accepting it would send new work to a server that ends
            // while running it. A server that still runs requests has not
            // ended, whatever is announced for its address. A different
            // address belongs to a different server.
            if now < since + REANNOUNCE_DELAY || in_flight > 0 {
                return Err(PresenceRefusal::Draining);
            }
        }
        self.address = Some(address);
        self.draining_since = None;
        self.unreachable = false;
        self.unreported = false;
        Ok(())
    }

    /// Handles the start of a new run of the server at `address`. It replaces a
    /// run that was draining or unreachable.
    ///
    /// Returns an error if the node is stopping.
    pub fn begin_run(&mut self, address: SocketAddr) -> Result<(), PresenceRefusal> {
        if self.node_stopping {
            return Err(PresenceRefusal::NodeStopping);
        }
        self.address = Some(address);
        self.draining_since = None;
        self.unreachable = false;
        self.unreported = false;
        Ok(())
    }

    /// Marks the server as draining since `now`, if it is not draining already.
    pub fn drain(&mut self, now: Duration) {
        self.draining_since.get_or_insert(now);
        self.unreachable = false;
    }

    /// Whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Marks the node as stopping. Every later announcement and new run is
    /// refused.
    pub fn stop(&mut self) {
        self.node_stopping = true;
    }

    /// Notes that nothing listens at the server's address. Returns true if the
    /// server has to be withdrawn now.
    pub fn mark_unreachable(&mut self) -> bool {
        let withdraw =
            !self.unreachable && !self.node_stopping && self.draining_since.is_none();
        self.unreachable |= withdraw;
        self.unreported &= !withdraw;
        withdraw
    }

    /// Notes that the current run of the server reports. Returns true if the server
    /// has to be offered again: it was unreachable until now, is not draining, and
    /// has not announced itself in the meantime.
    pub fn mark_reachable(&mut self) -> bool {
        let offer_again =
            self.unreachable && !self.node_stopping && self.draining_since.is_none();
        self.unreachable = false;
        offer_again
    }

    /// Notes that something listens at the server's address again: another run, which
    /// has not reported yet. Returns true if the server has to be offered again.
    pub fn mark_found(&mut self) -> bool {
        let offer_again = self.mark_reachable();
        self.unreported |= offer_again;
        offer_again
    }

    /// Whether the next run to report is one that was found already, after the end of
    /// the run before it.
    pub fn awaits_report(&self) -> bool {
        self.unreported
    }
}
