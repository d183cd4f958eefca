//! Connection pools for calls, one for each server.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::info;

use cowslip_core::connection_renewal::ConnectionRenewal;
use cowslip_core::connection_renewal::PoolGeneration;
use cowslip_core::entry_router::TryFailure;
use cowslip_wire::boot_instant::BootInstant;

use crate::call_forward::CallBody;
use crate::hop::HopClient;
use crate::hop::HopOptions;
use crate::hop::HopRequest;
use crate::hop::HopResponse;

/// Timeout for connecting to another node or the backend server. The kernel
/// accepts within a round trip: 25 ms between regions, and up to 100 ms more
/// over a congested narrow link. A lost packet is resent only after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Connection pools by server.
pub struct CallPools {
    renewal: RefCell<ConnectionRenewal>,
    client: HopClient,
    started: BootInstant,
}

impl CallPools {
    /// Creates the pools without any connections.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            renewal: RefCell::new(ConnectionRenewal::default()),
            client: HopClient::new(HopOptions {
                connect_timeout: CONNECT_TIMEOUT,
            }),
            started: BootInstant::now(),
        })
    }

    /// Sends one attempt and waits for the response's head, for up to `left`.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, breaks, or has no response in
    /// time.
    pub async fn send(
        &self,
        server: SocketAddr,
        request: &HopRequest,
        body: &mut CallBody,
        left: Duration,
    ) -> Result<HopResponse, TryFailure> {
        let generation = self.begin(server);
        let mut guard = SilenceGuard {
            pools: self,
            server,
            generation,
            began: BootInstant::now(),
            left,
            answered: false,
        };
        let sending = self.client.send(server, generation, request, body, left);
        let ended = sending.await;
        guard.answered = ended
            .as_ref()
            .map_or_else(TryFailure::ended_before_deadline, |_| true);
        ended
    }

    /// Returns the connection generation to use, and drops the pools of servers
    /// that are no longer called.
    fn begin(&self, server: SocketAddr) -> PoolGeneration {
        let now = self.started.elapsed();
        let mut renewal = self.renewal.borrow_mut();
        for unused in renewal.sweep(now) {
            self.client.drop_idle(unused);
        }
        renewal.begin(now, server)
    }
}

/// Retires the connections of a server if an attempt used up its time without
/// receiving a byte of a response.
///
/// The attempt may be dropped just before its own timer fires: the upstream node
/// gives up a moment earlier and closes its connection. The silence of the
/// downstream connection would then go unrecorded, and the next call would be
/// lost on it too. A drop after nine tenths of the time therefore counts as well.
struct SilenceGuard<'a> {
    pools: &'a CallPools,
    server: SocketAddr,
    generation: PoolGeneration,
    began: BootInstant,
    left: Duration,
    answered: bool,
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if self.answered || self.began.elapsed() * 10 < self.left * 9 {
            return;
        }
        info!(
            "event=connection-silent process=node server={}",
            self.server
        );
        let mut renewal = self.pools.renewal.borrow_mut();
        renewal.report_silent(self.server, self.generation);
    }
}
