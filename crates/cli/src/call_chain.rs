//! Nested calls of a stand-in, for testing and measuring calls that pass through
//! many services.
//!
//! A request whose path ends in `/deep/N` makes the stand-in call `/deep/N-1`
//! through its node before it answers. `/straight/N` calls the stand-in itself
//! directly, without nodes, for comparison.

use std::cell::Cell;
use std::net::SocketAddr;

use awc::Client;

/// Maximum `N` that is followed. The users' calls are up to 28 services deep.
const DEPTH_MAX: u32 = 64;

/// Client for the nested calls of a stand-in.
pub struct CallChain {
    client: Client,
    node_address: Cell<Option<SocketAddr>>,
    own_address: Cell<Option<SocketAddr>>,
}

impl Default for CallChain {
    fn default() -> Self {
        Self {
            client: Client::builder().disable_timeout().finish(),
            node_address: Cell::new(None),
            own_address: Cell::new(None),
        }
    }
}

impl CallChain {
    /// Sets the local address of the stand-in's node and the stand-in's own
    /// address. Until then nested calls fail.
    pub fn set_addresses(&self, node_address: SocketAddr, own_address: SocketAddr) {
        self.node_address.set(Some(node_address));
        self.own_address.set(Some(own_address));
    }

    /// Makes the nested call that `path` asks for, if any. Returns false if
    /// the call could not be made or its answer was incomplete or no success.
    pub async fn make_next_call(&self, path: &str) -> bool {
        let Some(next) = NextCall::parse(path) else {
            return true;
        };
        let address = if next.through_node {
            self.node_address.get()
        } else {
            self.own_address.get()
        };
        let Some(address) = address else {
            return false;
        };
        let sent = self.client.get(format!("http://{address}{}", next.path));
        match sent.send().await {
            Ok(mut response) => {
                response.body().await.is_ok() && response.status().is_success()
            }
            Err(_) => false,
        }
    }
}

/// The nested call that a request path asks for.
struct NextCall {
    path: String,
    through_node: bool,
}

impl NextCall {
    fn parse(path: &str) -> Option<Self> {
        let (rest, depth) = path.rsplit_once('/')?;
        let depth: u32 = depth.parse().ok()?;
        let through_node = rest.ends_with("/deep");
        let is_chained = through_node || rest.ends_with("/straight");
        if !is_chained || depth == 0 || depth > DEPTH_MAX {
            return None;
        }
        Some(Self {
            path: format!("{rest}/{}", depth - 1),
            through_node,
        })
    }
}
