//! Calls that a stand-in makes on behalf of the one it serves, so that a
//! call many services deep can be tried out and measured.
//!
//! A path that ends in `/deep/N` makes the stand-in call `/deep/N-1` through
//! its node before it answers; `/straight/N` calls the stand-in itself,
//! without nodes, for comparison.

use std::cell::Cell;
use std::net::SocketAddr;

use awc::Client;

/// Deepest chain followed; the users' calls go up to 28 deep.
const DEPTH_MAX: u32 = 64;

/// Where a stand-in's own calls go.
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
    /// Tells where the node beside the stand-in and the stand-in listen.
    pub fn set_addresses(&self, node_address: SocketAddr, own_address: SocketAddr) {
        self.node_address.set(Some(node_address));
        self.own_address.set(Some(own_address));
    }

    /// Makes the call that `path` asks for, if it does. False where the call
    /// was made and not answered well.
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

/// The next call of a chain.
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
