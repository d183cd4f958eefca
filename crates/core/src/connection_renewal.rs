//! Which kept connections to a server may get new work.
//!
//! Load pattern: something between the two ends forgets open connections,
//! so that what is sent on them is lost without a word while new ones work.
//! Without a guard every kept connection costs one call its whole deadline
//! before it is found out. Here the first call that ends without a byte of
//! an answer condemns all connections that were opened with or before its
//! own: what they still carry ends by itself, and new work goes on new ones.
//!
//! A server that is merely slow looks the same. New connections cost it
//! about 1 ms each, so they are renewed once a second at most, and no more
//! than [`CONNECTIONS_PER_SERVER`] are open at once.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections to one server: what the users' servers take.
pub const CONNECTIONS_PER_SERVER: usize = 100;

/// Least time between two renewals. A hundred new connections of 1 ms each
/// then take at most a tenth of one of the server's cores.
const RENEW_PAUSE: Duration = Duration::from_secs(1);

/// A server that has had no call for this long is forgotten; its idle
/// connections have been closed long before.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// How often forgotten servers are looked for.
const SWEEP_PAUSE: Duration = Duration::from_secs(10);

/// Number of a server's set of connections; a renewal begins the next.
pub type PoolGeneration = u64;

#[derive(Debug)]
struct ServerPool {
    generation: PoolGeneration,
    renewed: Duration,
    used: Duration,
    silent: bool,
}

/// Decides when kept connections are given up.
#[derive(Debug, Default)]
pub struct ConnectionRenewal {
    servers: HashMap<SocketAddr, ServerPool>,
    generations: PoolGeneration,
    swept: Duration,
}

impl ConnectionRenewal {
    /// A call is about to be sent to `server`; the set of connections to
    /// use. One that was not given before begins empty.
    pub fn begin(&mut self, now: Duration, server: SocketAddr) -> PoolGeneration {
        let fresh = ServerPool {
            generation: self.generations + 1,
            renewed: now,
            used: now,
            silent: false,
        };
        let Some(pool) = self.servers.get_mut(&server) else {
            self.generations += 1;
            self.servers.insert(server, fresh);
            return self.generations;
        };
        if pool.silent && now >= pool.renewed + RENEW_PAUSE {
            self.generations += 1;
            *pool = fresh;
        }
        pool.used = now;
        pool.generation
    }

    /// A call on this set of connections ended without a byte of an answer.
    /// Late word of a set that was given up already changes nothing.
    pub fn report_silent(&mut self, server: SocketAddr, generation: PoolGeneration) {
        let Some(pool) = self.servers.get_mut(&server) else {
            return;
        };
        if pool.generation == generation {
            pool.silent = true;
        }
    }

    /// Servers whose connections can be forgotten now.
    pub fn sweep(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut forgotten = Vec::new();
        if now < self.swept + SWEEP_PAUSE {
            return forgotten;
        }
        self.swept = now;
        for (server, pool) in &self.servers {
            if now >= pool.used + FORGET_TIME {
                forgotten.push(*server);
            }
        }
        for server in &forgotten {
            self.servers.remove(server);
        }
        forgotten
    }
}
