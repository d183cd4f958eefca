//! Whether the backend server beside a node is there, leaving or lost.
//!
//! Load pattern: servers restart by the thousand a day, crash, and announce
//! themselves over and over. Without this a late or crossed announcement
//! revives a server that said it was leaving, an announcement during the
//! node's own stop draws new work to it, and a server that crashed goes on
//! being offered calls until its lease ends.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

/// After a drain no announcement is taken for this long: longer than one can
/// be on its way from the server beside the node, shorter than a restart
/// with its cold start.
pub const LEAVING_TIME: Duration = Duration::from_secs(5);

/// Why an announcement is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PresenceRefusal {
    /// The node itself is stopping.
    #[error("the node is stopping")]
    NodeStopping,
    /// The server said that it leaves, a moment ago or with requests left.
    #[error("the server is draining; announce it again once it has ended")]
    Draining,
}

/// What the node knows of its backend server's presence.
#[derive(Debug, Default)]
pub struct ServerPresence {
    address: Option<SocketAddr>,
    draining_since: Option<Duration>,
    node_stopping: bool,
    lost: bool,
}

impl ServerPresence {
    /// The server at `address` announces itself while `in_flight` requests
    /// run here.
    pub fn announce(
        &mut self,
        now: Duration,
        address: SocketAddr,
        in_flight: u32,
    ) -> Result<(), PresenceRefusal> {
        if self.node_stopping {
            return Err(PresenceRefusal::NodeStopping);
        }
        let same = self.address == Some(address);
        if let Some(since) = self.draining_since.filter(|_| same) {
            // Guards against an announcement that was sent before the drain
            // and arrives after it: new work would go to a server that ends
            // in the middle of it. A server that still runs requests has not
            // ended, whatever announces itself in its name. Another address
            // is another server.
            if now < since + LEAVING_TIME || in_flight > 0 {
                return Err(PresenceRefusal::Draining);
            }
        }
        self.address = Some(address);
        self.draining_since = None;
        self.lost = false;
        Ok(())
    }

    /// Another run of the server begins at `address`; it takes the place of
    /// one that was leaving or lost.
    pub fn begin_run(&mut self, address: SocketAddr) -> Result<(), PresenceRefusal> {
        if self.node_stopping {
            return Err(PresenceRefusal::NodeStopping);
        }
        self.address = Some(address);
        self.draining_since = None;
        self.lost = false;
        Ok(())
    }

    /// The server says that it leaves.
    pub fn drain(&mut self, now: Duration) {
        self.draining_since.get_or_insert(now);
        self.lost = false;
    }

    /// The node itself leaves; nothing revives it.
    pub fn stop(&mut self) {
        self.node_stopping = true;
    }

    /// Nothing listens at the server's address. True where it is to be
    /// withdrawn now.
    pub fn mark_unreachable(&mut self) -> bool {
        let news = !self.lost && !self.node_stopping && self.draining_since.is_none();
        self.lost |= news;
        news
    }

    /// Something listens there again. True where the server is to be offered
    /// again: it did not say that it leaves, nor announce itself meanwhile.
    pub fn mark_reachable(&mut self) -> bool {
        let back = self.lost && !self.node_stopping && self.draining_since.is_none();
        self.lost = false;
        back
    }
}
