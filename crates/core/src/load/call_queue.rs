//! The bounded queue in front of one backend server.
//!
//! Load patterns: bursts (calls wait briefly for a slot instead of being
//! refused), priorities (an urgent call does not wait behind less urgent ones),
//! long jobs among short ones, and overload (the queue is bounded, and a call
//! that cannot be served is refused at once).
//!
//! Calls wait in lanes, one for each combination of priority and job length.
//! Lanes take turns by [`FairTags`], weighted by priority, so that an urgent
//! call is started next in nearly every turn and yet no lane starves. A lane of
//! long jobs is skipped while long jobs hold all the slots they are allowed.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::document::CallPriority;
use crate::load::customer_lane::CallPosition;
use crate::load::customer_lane::CustomerLane;
use crate::load::fair_tags::FairTags;
use crate::load::queue_order::QueueOrder;
use crate::load::repeat_probability::RepeatProbability;

/// Divisor for the part of the queue's capacity that a lane keeps against more
/// urgent lanes. An eighth, so that the six lanes together cannot reserve all
/// of it.
const RESERVED_DIVISOR: usize = 8;

/// Identifies a call at one gate.
pub type CallTicket = u64;

/// Whether a job holds a slot for much longer than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobLength {
    /// Several times as long as the shortest jobs of this server.
    Long,
    /// Any other job.
    Short,
}

/// A call that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingCall {
    /// Identifies the call at its gate.
    pub ticket: CallTicket,
    /// Path of the call's route.
    pub route: Arc<str>,
    /// Customer on whose behalf the call is made.
    pub customer: Arc<str>,
    /// Priority of the call's route.
    pub priority: CallPriority,
    /// Job length of the call's route.
    pub length: JobLength,
    /// When the call arrived at its entry node; the same for all tries.
    pub arrived_at: Duration,
    /// When starting the call becomes useless.
    pub expires_at: Duration,
    /// When the call misses its target, if its route sets one.
    pub late_at: Option<Duration>,
    /// Expected amount of work.
    pub cost: Duration,
    /// How likely the call repeats work at a backend server.
    pub repeats: RepeatProbability,
}

impl WaitingCall {
    /// Position among its customer's calls.
    pub fn position(&self) -> CallPosition {
        (self.arrived_at, self.ticket)
    }
}

/// Key of a lane. Calls are evicted from the lanes in the order of `LANES`.
type LaneKey = (CallPriority, JobLength);

const LANES: [LaneKey; 6] = [
    (CallPriority::Low, JobLength::Long),
    (CallPriority::Low, JobLength::Short),
    (CallPriority::Normal, JobLength::Long),
    (CallPriority::Normal, JobLength::Short),
    (CallPriority::High, JobLength::Long),
    (CallPriority::High, JobLength::Short),
];

/// Scheduling weight of a priority. Each step is fourfold: the high-priority
/// lane gets 16 of 21 turns while both others have calls waiting, and the
/// low-priority lane still gets 1 of 21.
fn weight(priority: CallPriority) -> u64 {
    match priority {
        CallPriority::High => 16,
        CallPriority::Normal => 4,
        CallPriority::Low => 1,
    }
}

#[derive(Debug)]
struct CallLocation {
    lane: usize,
    customer: Arc<str>,
    position: CallPosition,
    expires_at: Duration,
}

/// All calls that wait for one backend server.
#[derive(Debug, Default)]
pub struct CallQueue {
    lanes: [CustomerLane; LANES.len()],
    turns: FairTags<usize>,
    locations: HashMap<CallTicket, CallLocation>,
    by_expiry: BTreeSet<(Duration, CallTicket)>,
}

impl CallQueue {
    /// Number of calls waiting.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// True if no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Adds a call.
    pub fn push(&mut self, call: WaitingCall) {
        let lane = lane_index(&call);
        let location = CallLocation {
            lane,
            customer: Arc::clone(&call.customer),
            position: call.position(),
            expires_at: call.expires_at,
        };
        self.by_expiry.insert((call.expires_at, call.ticket));
        self.locations.insert(call.ticket, location);
        self.lanes[lane].push(call);
    }

    /// Removes and returns the next call to start; long jobs only if
    /// `long_allowed`.
    pub fn pop(&mut self, order: QueueOrder, long_allowed: bool) -> Option<WaitingCall> {
        let lane = self.next_lane(long_allowed)?;
        let call = self.lanes[lane].pop(order)?;
        self.turns.charge(lane, call.cost, weight(call.priority));
        self.unindex(call.ticket);
        Some(call)
    }

    fn next_lane(&self, long_allowed: bool) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        for lane in (0..LANES.len()).rev() {
            let blocked = LANES[lane].1 == JobLength::Long && !long_allowed;
            if self.lanes[lane].is_empty() || blocked {
                continue;
            }
            let start = self.turns.start(&lane);
            if best.is_none_or(|(lowest, _)| start < lowest) {
                best = Some((start, lane));
            }
        }
        best.map(|(_, lane)| lane)
    }

    /// If more than `capacity` calls wait, removes one: from the least urgent
    /// lane above its reserved part, a call of the customer with the most calls
    /// there.
    pub fn evict(&mut self, capacity: usize, order: QueueOrder) -> Option<WaitingCall> {
        if self.len() <= capacity {
            return None;
        }
        let reserved = capacity / RESERVED_DIVISOR;
        for lane in &mut self.lanes {
            if lane.len() <= reserved {
                continue;
            }
            let call = lane.evict(order)?;
            self.unindex(call.ticket);
            return Some(call);
        }
        None
    }

    /// Removes a call whose caller has disconnected; returns false if it is not
    /// queued.
    pub fn remove(&mut self, ticket: CallTicket) -> bool {
        self.take(ticket).is_some()
    }

    /// Removes and returns a call; `None` if it is not queued.
    pub fn take(&mut self, ticket: CallTicket) -> Option<WaitingCall> {
        let location = self.unindex(ticket)?;
        let lane = &mut self.lanes[location.lane];
        lane.remove(&location.customer, location.position)
    }

    /// Removes one call that has expired, so that starting it is useless.
    pub fn expire(&mut self, now: Duration) -> Option<CallTicket> {
        let (expires_at, ticket) = *self.by_expiry.first()?;
        if expires_at > now {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// When the next call expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.by_expiry.first().map(|(at, _)| *at)
    }

    /// When each call expires, earliest first.
    pub fn expiries(&self) -> impl Iterator<Item = (Duration, CallTicket)> + '_ {
        self.by_expiry.iter().copied()
    }

    /// Removes any one call; used to empty the queue when its server leaves.
    pub fn take_any(&mut self) -> Option<CallTicket> {
        let (_, ticket) = *self.by_expiry.first()?;
        self.remove(ticket);
        Some(ticket)
    }

    fn unindex(&mut self, ticket: CallTicket) -> Option<CallLocation> {
        let location = self.locations.remove(&ticket)?;
        self.by_expiry.remove(&(location.expires_at, ticket));
        Some(location)
    }
}

fn lane_index(call: &WaitingCall) -> usize {
    let key = (call.priority, call.length);
    LANES.iter().position(|lane| *lane == key).unwrap_or(0)
}
