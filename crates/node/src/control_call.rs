//! Calls to the control instance that a node follows.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;

use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;

/// Sends a call to the control instance at `address`; `None` if the node has turned to
/// another one before the answer arrives. It does so when the first one answers no
/// polls, and then hardly answers this call.
pub async fn send_while_followed<C: WireCall>(
    client: &PeerClient,
    control: &watch::Receiver<SocketAddr>,
    address: SocketAddr,
    call: &C,
    timeout: Duration,
) -> Result<Option<C::Answer>, PeerError> {
    tokio::select! {
        answer = client.send(address, call, timeout) => answer.map(Some),
        () = wait_for_other(control.clone(), address) => Ok(None),
    }
}

/// Waits until the node follows another control instance than the one at `address`.
async fn wait_for_other(mut control: watch::Receiver<SocketAddr>, address: SocketAddr) {
    if control
        .wait_for(|current| *current != address)
        .await
        .is_err()
    {
        // The sender is gone only when the node stops.
        std::future::pending::<()>().await;
    }
}
