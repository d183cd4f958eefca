//! The control instance that a node follows, as its tasks watch it.

use std::net::SocketAddr;

use tokio::sync::watch;

use cowslip_wire::watched_value;

/// Address of the control instance in use.
pub type ControlWatch = watch::Receiver<SocketAddr>;

/// Waits until the node follows another control instance than the one at `address`,
/// as it does when that one answers no polls.
pub async fn wait_for_other(control: &ControlWatch, address: SocketAddr) {
    watched_value::wait_until(control, |current| *current != address).await;
}
