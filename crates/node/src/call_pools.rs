//! Kept connections for calls, one set for each server.

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

/// Time to connect to another node or the backend server. The kernel answers
/// within a round trip, 25 ms between regions, and 100 ms more where a thin
/// link is full; a lost packet is sent again after a second only.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Sets of connections by server.
pub struct CallPools {
    care: RefCell<ConnectionRenewal>,
    client: HopClient,
    started: BootInstant,
}

impl CallPools {
    /// No connections yet.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            care: RefCell::new(ConnectionRenewal::default()),
            client: HopClient::new(HopOptions {
                connect_timeout: CONNECT_TIMEOUT,
            }),
            started: BootInstant::now(),
        })
    }

    /// Sends one try and waits for the answer's head up to `left`.
    pub async fn send(
        &self,
        server: SocketAddr,
        request: &HopRequest,
        body: &mut CallBody,
        left: Duration,
    ) -> Result<HopResponse, TryFailure> {
        let generation = self.begin(server);
        let mut watch = SilenceWatch {
            pools: self,
            server,
            generation,
            began: BootInstant::now(),
            left,
            heard: false,
        };
        let sending = self.client.send(server, generation, request, body, left);
        let ended = sending.await;
        watch.heard = ended
            .as_ref()
            .map_or_else(TryFailure::ended_before_deadline, |_| true);
        ended
    }

    fn begin(&self, server: SocketAddr) -> PoolGeneration {
        let now = self.started.elapsed();
        let mut care = self.care.borrow_mut();
        for forgotten in care.sweep(now) {
            self.client.drop_idle(forgotten);
        }
        care.begin(now, server)
    }
}

/// Condemns the connections of a try that ended with its time and without a
/// byte of an answer.
///
/// Guards against a try that is dropped just before its own timer fires:
/// the node above gives up a moment earlier and closes its connection, and
/// the silence of the one below would be forgotten, so that the next call
/// is lost on it too. Being dropped counts from nine tenths of the time on.
struct SilenceWatch<'a> {
    pools: &'a CallPools,
    server: SocketAddr,
    generation: PoolGeneration,
    began: BootInstant,
    left: Duration,
    heard: bool,
}

impl Drop for SilenceWatch<'_> {
    fn drop(&mut self) {
        if self.heard || self.began.elapsed() * 10 < self.left * 9 {
            return;
        }
        info!(
            "event=connection-silent process=node server={}",
            self.server
        );
        let mut care = self.pools.care.borrow_mut();
        care.report_silent(self.server, self.generation);
    }
}
