//! A draining server gets no new work, and an unreachable one is offered again
//! once it is back.

use std::net::SocketAddr;
use std::time::Duration;

use cowslip_core::server_presence::PresenceRefusal;
use cowslip_core::server_presence::ServerPresence;
use cowslip_core::server_presence::REANNOUNCE_DELAY;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// A backend server announces itself and then drains, and the two messages
// arrive in reverse order. Guards against new work for a server that is about
// to end.
#[test]
fn a_reordered_announcement_does_not_undo_a_drain() {
    let mut presence = ServerPresence::default();
    assert_eq!(presence.announce(Duration::ZERO, address(1), 0), Ok(()));
    presence.drain(Duration::ZERO);
    let late = presence.announce(Duration::from_secs(1), address(1), 0);
    assert_eq!(late, Err(PresenceRefusal::Draining));
    let busy = presence.announce(REANNOUNCE_DELAY, address(1), 3);
    assert_eq!(busy, Err(PresenceRefusal::Draining));
    assert_eq!(presence.announce(REANNOUNCE_DELAY, address(1), 0), Ok(()));
}

// The next version of a server starts while the previous one drains. Its
// address is different, so its announcement is accepted at once.
#[test]
fn a_server_at_another_address_is_accepted_during_a_drain() {
    let mut presence = ServerPresence::default();
    assert_eq!(presence.announce(Duration::ZERO, address(1), 0), Ok(()));
    presence.drain(Duration::ZERO);
    assert_eq!(presence.announce(Duration::ZERO, address(2), 3), Ok(()));
}

// A node stops for maintenance while its backend server announces itself every
// few seconds. Guards against each announcement sending callers back to the
// node.
#[test]
fn a_stopping_node_refuses_announcements() {
    let mut presence = ServerPresence::default();
    presence.stop();
    let again = presence.announce(Duration::from_secs(3_600), address(1), 0);
    assert_eq!(again, Err(PresenceRefusal::NodeStopping));
    assert!(!presence.mark_unreachable());
    assert!(!presence.mark_reachable());
}

// A backend server crashes and is restarted on the same port. It must be
// withdrawn once and offered again when it listens. A server that drained
// before it ended must not be offered again.
#[test]
fn a_crashed_server_is_offered_again_and_a_drained_one_is_not() {
    let mut presence = ServerPresence::default();
    assert!(presence.mark_unreachable());
    assert!(!presence.mark_unreachable());
    assert!(presence.mark_reachable());
    presence.drain(Duration::ZERO);
    assert!(!presence.mark_unreachable());
    assert!(!presence.mark_reachable());
}
