//! The times that agreement keeps to.
//!
//! Load pattern: a leader that dies, stalls or is cut off, and members that
//! start in herds. Without a lease a cut-off leader would go on answering
//! old configurations as fresh; without random spread, members that lost
//! their leader together would split every vote.
//!
//! The bound: a leader answers as fresh for at most [`LEASE`] after it sent
//! the last heartbeat that a majority answered. A member that took that
//! heartbeat helps nobody else to leadership for [`ELECTION_MIN`] after it.
//! Clocks may run fast or slow by up to five parts in a hundred: 450 ms on
//! the slowest clock end before 500 ms on the fastest, because
//! 450 / 0.95 = 473 is less than 500 / 1.05 = 476. Crystal clocks stay
//! within one part in a thousand. Time is monotonic everywhere.

use std::time::Duration;

/// Pause between two heartbeats. Five fit into a lease, so that a few lost
/// ones do not end it; 16 members cost the leader about 200 messages a
/// second, far below its share of a core.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);

/// Time without a leader's message before a member looks for another one.
/// Links take 1.5 ms and a slow sync some 100 ms, so it stays quiet in
/// normal work. Nodes that start have no configuration until there is a
/// leader: after the loss of all processes at once each half second here is
/// half a second in which no caller is served.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// Random part added to [`ELECTION_MIN`], so that two candidates of five
/// are seldom within one round trip and one sync of each other.
pub const ELECTION_TIMEOUT_JITTER: Duration = Duration::from_millis(400);

/// Time after its start, and between its tries, in which each voter has a turn
/// to ask whether all have started again. A third of it is an election on
/// machines with 0.075 of a core: two round trips, a sync, and some
/// milliseconds of work at each member.
pub const RESTART_POLL_SPREAD: Duration = Duration::from_millis(180);

/// Part of a voter's turn over which its question is spread.
pub const RESTART_POLL_JITTER_DIVISOR: u64 = 4;

/// How long such a member lets an election go on before it asks again: two
/// round trips and two syncs on machines short of processor.
pub const RESTART_ELECTION_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after a confirmed heartbeat the leader answers as fresh.
pub const LEASE_DURATION: Duration = Duration::from_millis(450);

/// A leader without a confirmed heartbeat for this long gives up and tells
/// waiting operators that their changes may have been accepted. Longer than
/// the lease, so that a short stall costs no election.
pub const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Pause between greetings of an instance that is no member, or hears from
/// no leader. Thirteen relays cost a member some 52 messages a second.
pub const HELLO_INTERVAL: Duration = Duration::from_millis(250);

/// A greeting counts as recent for this long: ten of them are missing.
pub const HELLO_MAX_AGE: Duration = Duration::from_secs(5);

/// A member not heard of for this long is not counted as live.
pub const PEER_LIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A member silent for this long no longer keeps another instance from taking
/// its place, where one waits. Longer than a process takes to start again, and
/// short enough that a successor holds the log some seconds after its start,
/// also where a leader had to be elected first.
pub const ABSENT_AFTER: Duration = Duration::from_millis(1_500);

/// A snapshot on its way is sent again after this long: 16 MB take 2 s on
/// a link of 64 Mbit/s.
pub const INSTALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest that a leader waits for its successor to catch up before it
/// gives up leadership all the same.
pub const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
