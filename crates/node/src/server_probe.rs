//! Probes whether anything listens at the backend server's address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::gate_messages::GateMessage;

/// Interval between probes while nothing listens, and the timeout of a probe.
/// Shorter than a restart of a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused, so nothing listens.
    Refused,
    /// Something listens, or the probe was inconclusive; probing stops.
    Listening,
}

/// A task that probes one address. Dropping it ends the task.
pub struct RunningProbe {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningProbe {
    /// Starts probing `address` until something listens there.
    pub fn spawn(
        address: SocketAddr,
        gate: mpsc::WeakUnboundedSender<GateMessage>,
    ) -> Self {
        Self {
            address,
            task: actix_rt::spawn(watch(address, gate)),
        }
    }

    /// The probed address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RunningProbe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Probes `address` until it no longer refuses connections, and reports each
/// result to the gate. Only a refusal counts as a lost server: the server's own
/// machine sends it at once, and a server that is only slow never sends one.
async fn watch(address: SocketAddr, gate: mpsc::WeakUnboundedSender<GateMessage>) {
    loop {
        let result = probe(address).await;
        let Some(gate) = gate.upgrade() else {
            return;
        };
        // The gate task ends only with the node.
        let _ = gate.send(GateMessage::Probed(address, result));
        if result == ProbeResult::Listening {
            return;
        }
        drop(gate);
        actix_rt::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn probe(address: SocketAddr) -> ProbeResult {
    let connecting = TcpStream::connect(address);
    match actix_rt::time::timeout(PROBE_INTERVAL, connecting).await {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            ProbeResult::Refused
        }
        _ => ProbeResult::Listening,
    }
}
