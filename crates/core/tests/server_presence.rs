//! A leaving server stays away, and a lost one comes back.

use std::net::SocketAddr;
use std::time::Duration;

use cowslip_core::server_presence::PresenceRefusal;
use cowslip_core::server_presence::ServerPresence;
use cowslip_core::server_presence::REANNOUNCE_DELAY;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// A backend server announces itself, then drains; its two messages cross on
// the way. It ends a moment later, with the new work that the announcement
// brought it.
#[test]
fn a_crossed_announcement_does_not_revive_a_leaving_server() {
    let mut presence = ServerPresence::default();
    assert_eq!(presence.announce(Duration::ZERO, address(1), 0), Ok(()));
    presence.drain(Duration::ZERO);
    let late = presence.announce(Duration::from_secs(1), address(1), 0);
    assert_eq!(late, Err(PresenceRefusal::Draining));
    let busy = presence.announce(REANNOUNCE_DELAY, address(1), 3);
    assert_eq!(busy, Err(PresenceRefusal::Draining));
    assert_eq!(presence.announce(REANNOUNCE_DELAY, address(1), 0), Ok(()));
}

// The next version of a server is started beside the one that drains. It has
// an address of its own and need not wait.
#[test]
fn another_server_takes_over_at_once() {
    let mut presence = ServerPresence::default();
    assert_eq!(presence.announce(Duration::ZERO, address(1), 0), Ok(()));
    presence.drain(Duration::ZERO);
    assert_eq!(presence.announce(Duration::ZERO, address(2), 3), Ok(()));
}

// The node is stopped for maintenance while its backend server announces
// itself every few seconds. Each time callers would come back to it.
#[test]
fn nothing_revives_a_stopping_node() {
    let mut presence = ServerPresence::default();
    presence.stop();
    let again = presence.announce(Duration::from_secs(3_600), address(1), 0);
    assert_eq!(again, Err(PresenceRefusal::NodeStopping));
    assert!(!presence.mark_unreachable());
    assert!(!presence.mark_reachable());
}

// A backend server crashes and something restarts it on the same port. It is
// withdrawn once, and offered again when it listens; one that drained before
// it ended is not.
#[test]
fn a_lost_server_comes_back_and_a_drained_one_does_not() {
    let mut presence = ServerPresence::default();
    assert!(presence.mark_unreachable());
    assert!(!presence.mark_unreachable());
    assert!(presence.mark_reachable());
    presence.drain(Duration::ZERO);
    assert!(!presence.mark_unreachable());
    assert!(!presence.mark_reachable());
}
