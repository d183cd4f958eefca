//! Decides when the pooled connections to a server are replaced.
//!
//! Load pattern: a device on the network path drops the state of open
//! connections, so that data sent on them is lost silently while new
//! connections work. Without a guard, each pooled connection costs one call its
//! whole deadline before the loss is noticed. Here the first call that ends
//! without a byte of an answer retires every connection of its generation:
//! calls in flight on them run to their end, and new calls use new connections.
//!
//! A server that is merely slow looks the same. New connections cost it about
//! 1 ms each, so they are renewed at most once a second, and at most
//! [`CONNECTIONS_PER_SERVER`] are open at the same time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest number of connections to one server, as many as the users' servers
/// accept.
pub const CONNECTIONS_PER_SERVER: usize = 100;

/// Shortest time between two renewals. A hundred new connections at 1 ms each
/// then take at most a tenth of one of the server's cores.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a call after which a server is forgotten; its idle connections
/// have been closed long before.
const UNUSED_EXPIRY: Duration = Duration::from_secs(60);

/// Shortest time between two searches for servers to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Generation of a server's connections; a renewal starts a new one.
pub type PoolGeneration = u64;

#[derive(Debug)]
struct ServerConnections {
    generation: PoolGeneration,
    renewed_at: Duration,
    used_at: Duration,
    silent: bool,
}

/// Tracks the connection generation of each server and renews it after a call
/// without any answer.
#[derive(Debug, Default)]
pub struct ConnectionRenewal {
    servers: HashMap<SocketAddr, ServerConnections>,
    last_generation: PoolGeneration,
    swept_at: Duration,
}

impl ConnectionRenewal {
    /// Returns the generation of connections to use for a call to `server` that
    /// is about to be sent. A new generation starts without connections.
    pub fn begin(&mut self, now: Duration, server: SocketAddr) -> PoolGeneration {
        let fresh = ServerConnections {
            generation: self.last_generation + 1,
            renewed_at: now,
            used_at: now,
            silent: false,
        };
        let Some(connections) = self.servers.get_mut(&server) else {
            self.last_generation += 1;
            self.servers.insert(server, fresh);
            return self.last_generation;
        };
        if connections.silent && now >= connections.renewed_at + RENEW_INTERVAL {
            self.last_generation += 1;
            *connections = fresh;
        }
        connections.used_at = now;
        connections.generation
    }

    /// Records that a call on a connection of `generation` ended without a byte
    /// of an answer. Reports of earlier generations are ignored.
    pub fn report_silent(&mut self, server: SocketAddr, generation: PoolGeneration) {
        let Some(connections) = self.servers.get_mut(&server) else {
            return;
        };
        if connections.generation == generation {
            connections.silent = true;
        }
    }

    /// Forgets the servers that had no call for a minute and returns them. Does
    /// nothing within ten seconds of the last search.
    pub fn sweep(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut forgotten = Vec::new();
        if now < self.swept_at + SWEEP_INTERVAL {
            return forgotten;
        }
        self.swept_at = now;
        for (server, connections) in &self.servers {
            if now >= connections.used_at + UNUSED_EXPIRY {
                forgotten.push(*server);
            }
        }
        for server in &forgotten {
            self.servers.remove(server);
        }
        forgotten
    }
}
