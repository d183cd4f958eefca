//! Pool of idle connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use cowslip_core::connection_renewal::PoolGeneration;
use cowslip_wire::boot_instant::BootInstant;

use crate::hop::hop_connection::HopConnection;

/// Idle connections kept per address; further ones are closed. A backend server
/// has about ten slots, and a node rarely has more calls in flight to one other
/// node.
const IDLE_PER_ADDRESS_MAX: usize = 32;

/// Number of addresses above which expired connections are removed.
const SWEEP_THRESHOLD: usize = 64;

/// Idle connections by address; the most recently used is taken first.
#[derive(Default)]
pub(super) struct IdlePool {
    by_address: RefCell<HashMap<SocketAddr, Vec<HopConnection>>>,
}

impl IdlePool {
    /// Takes the most recently used connection that is still usable.
    ///
    /// Guards against sending a request on a connection that the other side
    /// closed, or that has unread bytes which belong to no request. Both are
    /// detected before anything is sent, and the connection is dropped.
    pub fn take(
        &self,
        address: SocketAddr,
        generation: PoolGeneration,
    ) -> Option<HopConnection> {
        let mut by_address = self.by_address.borrow_mut();
        let connections = by_address.get_mut(&address)?;
        let now = BootInstant::now();
        while let Some(connection) = connections.pop() {
            let same = connection.generation() == generation;
            if same && connection.expires_at() > now && connection.has_no_input() {
                return Some(connection);
            }
        }
        by_address.remove(&address);
        None
    }

    /// Adds a connection whose last response was read to its end.
    pub fn put(&self, connection: HopConnection) {
        let mut by_address = self.by_address.borrow_mut();
        if by_address.len() > SWEEP_THRESHOLD {
            remove_expired(&mut by_address);
        }
        let connections = by_address.entry(connection.address()).or_default();
        if connections.len() < IDLE_PER_ADDRESS_MAX {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to `address`.
    pub fn clear(&self, address: SocketAddr) {
        self.by_address.borrow_mut().remove(&address);
    }
}

fn remove_expired(by_address: &mut HashMap<SocketAddr, Vec<HopConnection>>) {
    let now = BootInstant::now();
    by_address.retain(|_, connections| {
        connections.retain(|connection| connection.expires_at() > now);
        !connections.is_empty()
    });
}
