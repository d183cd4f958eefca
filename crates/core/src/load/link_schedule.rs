//! Order and pace in which the parts of answers leave on a machine's link.
//!
//! Load pattern: answers ask for more than the link carries. What has been handed to
//! the kernel leaves in the order of arrival, so that polls, openings of connections
//! and small answers wait for seconds behind the large ones, and a node that is up
//! looks dead to others and takes them for dead. Parts of answers therefore wait here,
//! before the link; whatever else the node sends does not.
//!
//! The first part of an answer goes before later parts of others unless these have
//! waited for [`LATER_PART_LAG`] more, so that small answers pass and large ones end.

use std::collections::BTreeMap;
use std::time::Duration;

/// Largest part of an answer that is released at once, in bytes.
pub const PART_BYTES: usize = 8 * 1024;

/// Bytes of an answer's head and of the packets around it, charged with the first part.
pub const HEAD_BYTES: usize = 512;

/// Share of the link's bandwidth that answers get. The rest is for the requests and
/// messages that the node sends, and for packet headers.
const ANSWER_SHARE: f64 = 0.95;

/// Transmission time of what may have been released and not sent, and so the longest
/// wait of a message of the system behind answers. Shorter, and the link would idle
/// between two wakes of a busy process.
const BACKLOG_MAX: Duration = Duration::from_millis(50);

/// Time by which a later part goes behind first parts that have waited as long.
const LATER_PART_LAG: Duration = Duration::from_millis(500);

/// Bits in a megabit, and in a byte.
const MEGABIT: f64 = 1e6;
const BYTE_BITS: f64 = 8.0;

/// A part that waits for the link. Tickets sort in the order of release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartTicket {
    due: Duration,
    number: u64,
}

/// Decides when the parts of answers are handed to a link.
#[derive(Clone, Debug)]
pub struct LinkSchedule {
    bytes_per_s: f64,
    /// When all that was released will have been sent.
    free_at: Duration,
    /// Sizes of the waiting parts, in bytes.
    waiting: BTreeMap<PartTicket, usize>,
    next_number: u64,
}

impl LinkSchedule {
    /// Creates the schedule of a link of `mbps` megabits a second, which must be
    /// positive.
    pub fn new(mbps: f64) -> Self {
        Self {
            bytes_per_s: mbps * MEGABIT / BYTE_BITS * ANSWER_SHARE,
            free_at: Duration::ZERO,
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Transmission time at `now` of what was released and not sent.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.free_at.saturating_sub(now)
    }

    /// Number of waiting parts.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Releases a part of `bytes` if nothing waits and the backlog allows it. False if
    /// it must be enqueued.
    pub fn try_release(&mut self, now: Duration, bytes: usize) -> bool {
        if !self.waiting.is_empty() || self.backlog(now) > BACKLOG_MAX {
            return false;
        }
        self.charge(now, bytes);
        true
    }

    /// Lets a part of `bytes` wait, the first of its answer or a later one.
    pub fn enqueue(&mut self, now: Duration, bytes: usize, is_first: bool) -> PartTicket {
        let lag = if is_first {
            Duration::ZERO
        } else {
            LATER_PART_LAG
        };
        let ticket = PartTicket {
            due: now + lag,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket, bytes);
        ticket
    }

    /// Removes a part whose answer was abandoned.
    pub fn cancel(&mut self, ticket: PartTicket) {
        self.waiting.remove(&ticket);
    }

    /// Releases the next waiting part, if the backlog allows it.
    pub fn release(&mut self, now: Duration) -> Option<PartTicket> {
        if self.backlog(now) > BACKLOG_MAX {
            return None;
        }
        let (ticket, bytes) = self.waiting.pop_first()?;
        self.charge(now, bytes);
        Some(ticket)
    }

    /// Time until the next waiting part can be released; `None` if none waits.
    pub fn next_release_in(&self, now: Duration) -> Option<Duration> {
        let is_idle = self.waiting.is_empty();
        (!is_idle).then(|| self.backlog(now).saturating_sub(BACKLOG_MAX))
    }

    fn charge(&mut self, now: Duration, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        self.free_at = self.free_at.max(now) + time;
    }
}
