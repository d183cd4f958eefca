//! Connections that wait for their next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use cowslip_core::connection_renewal::PoolGeneration;
use cowslip_wire::boot_instant::BootInstant;

use crate::hop::hop_connection::HopConnection;

/// Idle connections kept to one address; more are closed. A backend server
/// has some ten slots, and a node seldom has more calls at one other node.
const KEPT_PER_ADDRESS: usize = 32;

/// Addresses with idle connections beyond which a sweep looks at all.
const SWEEP_ADDRESSES: usize = 64;

/// Idle connections by address, the last used first.
#[derive(Default)]
pub(super) struct IdleShelf {
    lanes: RefCell<HashMap<SocketAddr, Vec<HopConnection>>>,
}

impl IdleShelf {
    /// The connection used last that still stands.
    ///
    /// Guards against a request sent on a connection that the other side has
    /// closed, or on which bytes wait that belong to no request: either is
    /// seen before anything is sent, and the connection dropped.
    pub fn take(
        &self,
        address: SocketAddr,
        generation: PoolGeneration,
    ) -> Option<HopConnection> {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.get_mut(&address)?;
        let now = BootInstant::now();
        while let Some(connection) = lane.pop() {
            let same = connection.generation() == generation;
            if same && connection.usable_until() > now && connection.is_quiet() {
                return Some(connection);
            }
        }
        lanes.remove(&address);
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&self, connection: HopConnection) {
        let mut lanes = self.lanes.borrow_mut();
        if lanes.len() > SWEEP_ADDRESSES {
            sweep(&mut lanes);
        }
        let lane = lanes.entry(connection.address()).or_default();
        if lane.len() < KEPT_PER_ADDRESS {
            lane.push(connection);
        }
    }

    /// Drops every idle connection to `address`.
    pub fn clear(&self, address: SocketAddr) {
        self.lanes.borrow_mut().remove(&address);
    }
}

fn sweep(lanes: &mut HashMap<SocketAddr, Vec<HopConnection>>) {
    let now = BootInstant::now();
    lanes.retain(|_, lane| {
        lane.retain(|connection| connection.usable_until() > now);
        !lane.is_empty()
    });
}
