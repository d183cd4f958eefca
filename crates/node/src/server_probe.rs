//! Looks whether anything listens where the backend server should.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::gate_task::GateMessage;

/// Time between looks while nothing listens. A restart takes longer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused: nothing listens.
    Refused,
    /// Something listens, or nobody can tell; the watch is over.
    Listening,
}

/// Looks until the address does not refuse any more, and reports each probe.
/// Only a refusal counts as lost: the server's own instance answers it at
/// once, and a server that is merely slow never gives one.
pub async fn watch(address: SocketAddr, gate: mpsc::WeakUnboundedSender<GateMessage>) {
    loop {
        let result = probe(address).await;
        let Some(gate) = gate.upgrade() else {
            return;
        };
        // The gate's task ends only with the node.
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
