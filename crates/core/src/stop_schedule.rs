//! When each part of a planned stop ends, if the process is killed after a time.
//!
//! Load pattern: nodes are restarted one after the other while backend servers work on
//! calls that take nearly as long as a stop may. Work that a node breaks off early is
//! lost to its callers, and work that the end of the process breaks off gets no answer.

use std::time::Duration;

/// Parts into which the time of a stop is divided.
const PARTS: u32 = 48;

/// Last moment at which an accepted call may reach its deadline.
const DEADLINES_PART: u32 = 43;

/// End of the node's own calls: they are answered, and may have run.
const CALLS_PART: u32 = 44;

/// End of work for other nodes, so that the answers to the node's own callers, which
/// wait for the same server, come first.
const PEERS_PART: u32 = 45;

/// End of all connections; the rest is left for the exit of the process.
const CONNECTIONS_PART: u32 = 46;

/// Times of a planned stop, all since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until then everything is served as before.
    pub notice: Duration,
    /// A call that is accepted after the notice has its deadline before this time.
    pub deadlines: Duration,
    /// Calls in flight end.
    pub calls: Duration,
    /// Calls in flight for other nodes end.
    pub peers: Duration,
    /// All connections end.
    pub connections: Duration,
}

impl StopSchedule {
    /// The times of a stop of a process that is killed after `within`. The notice takes
    /// half of that at most.
    pub fn of(within: Duration, notice: Duration) -> Self {
        let part = |part| within * part / PARTS;
        Self {
            notice: notice.min(within / 2),
            deadlines: part(DEADLINES_PART),
            calls: part(CALLS_PART),
            peers: part(PEERS_PART),
            connections: part(CONNECTIONS_PART),
        }
    }
}
