//! Forwards nodes' reports from an instance that does not lead to the leader.

use std::net::SocketAddr;
use std::time::Duration;

use log::warn;

use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;

/// Timeout of a forwarded report.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Forwards a report to the leader at `address` in a task of its own. A failure is
/// logged as `event`; the report is not resent, because the nodes' next ones include
/// what it says.
pub fn spawn<C: WireCall + 'static>(
    client: PeerClient,
    address: SocketAddr,
    report: C,
    event: &'static str,
) {
    actix_rt::spawn(async move {
        let Err(error) = client.send(address, &report, FORWARD_TIMEOUT).await else {
            return;
        };
        warn!(
            "event={event} process=control leader={address} error={}",
            LogValue(error)
        );
    });
}
