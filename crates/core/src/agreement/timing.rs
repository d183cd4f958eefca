//! Timeouts and intervals of the consensus protocol.
//!
//! Load pattern: a leader that crashes, stalls or is partitioned, and many
//! members that start at the same time. Without a lease a partitioned leader
//! would keep serving old configurations as fresh. Without random jitter,
//! members that lose their leader at the same time would split every vote.
//!
//! Lease safety: a leader answers as fresh for at most [`LEASE_DURATION`]
//! after it sent the last heartbeat that a majority acknowledged. A member
//! that received that heartbeat grants no vote for [`ELECTION_TIMEOUT_MIN`]
//! after it. Clock rates may be off by up to 5 %: 450 ms on the slowest clock
//! end before 500 ms on the fastest, because 450 / 0.95 = 473 is less than
//! 500 / 1.05 = 476. Crystal clocks stay within 0.1 %. All times come from
//! monotonic clocks.

use std::time::Duration;

/// Interval between heartbeats. Five fit into one lease, so that the lease
/// survives a few lost heartbeats. With 16 members the leader sends about
/// 200 messages a second, far below its CPU share.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);

/// Minimum time without a message from the leader before a member starts an
/// election. Links take 1.5 ms and a slow sync about 100 ms, so normal
/// operation triggers none. Nodes that start have no configuration until
/// there is a leader: after a crash of all processes, callers are not served
/// for as long as this timeout lasts.
pub const ELECTION_TIMEOUT_MIN: Duration = Duration::from_millis(500);

/// Maximum random time added to [`ELECTION_TIMEOUT_MIN`], so that two of
/// five candidates rarely start within one round trip and one sync of each
/// other.
pub const ELECTION_TIMEOUT_JITTER: Duration = Duration::from_millis(400);

/// Maximum time by which elections wait for a slow disk. A disk that hung once
/// must not keep its member from elections for as long again.
pub const SYNC_ALLOWANCE_MAX: Duration = Duration::from_secs(2);

/// Interval of the restart poll, in which a restarted voter asks whether all
/// voters have restarted. Each voter has its own slot in the interval. With
/// three voters a slot is as long as an election on machines with 0.075 of a
/// core: two round trips, a sync and a few milliseconds of CPU time at each
/// member.
pub const RESTART_POLL_SPREAD: Duration = Duration::from_millis(180);

/// A voter's restart poll is jittered over its slot divided by this.
pub const RESTART_POLL_JITTER_DIVISOR: u64 = 4;

/// How long a restarted member lets an election run before it polls again:
/// two round trips and two syncs on machines short of CPU.
pub const RESTART_ELECTION_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the leader answers as fresh after it sent a heartbeat that a
/// majority acknowledged.
pub const LEASE_DURATION: Duration = Duration::from_millis(450);

/// A leader whose heartbeats are not acknowledged by a majority for this long
/// steps down and answers waiting operators that the outcome of their changes
/// is unknown. Longer than the lease, so that a short stall does not cause an
/// election.
pub const STEP_DOWN_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval between the hellos of an instance that is not a member or has no
/// leader. Thirteen relays cost a member about 52 messages a second.
pub const HELLO_INTERVAL: Duration = Duration::from_millis(250);

/// A received hello is ignored after this long: 20 hellos in a row must be lost
/// before a running instance is overlooked.
pub const HELLO_MAX_AGE: Duration = Duration::from_secs(5);

/// A member that has sent nothing for this long does not count as live.
pub const PEER_LIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// A member silent for this long counts as absent, so that a waiting instance
/// may replace it. Longer than a process restart, and short enough that the
/// replacement holds the log a few seconds after its start even if a leader
/// must be elected first.
pub const ABSENT_AFTER: Duration = Duration::from_millis(1_500);

/// An unacknowledged snapshot is sent again after this long: 16 MB take 2 s
/// on a 64 Mbit/s link.
pub const INSTALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a leader waits for a successor to catch up before it
/// steps down without one.
pub const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
