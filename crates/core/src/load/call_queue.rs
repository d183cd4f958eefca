//! The bounded queue in front of one backend server.
//!
//! Load patterns: a burst (calls wait for a slot for a moment instead of
//! being refused), priorities (an urgent call does not wait behind
//! calls that may wait), long jobs among short ones, and overload (the
//! queue has a bound, and whoever cannot be served is told at once).
//!
//! Calls wait in lanes, one for each priority and length of job. Lanes take
//! turns by [`FairTags`] weighted by priority, so that an urgent call goes
//! next in nearly every turn and yet no lane starves. A lane of long jobs is
//! passed over while such jobs hold all the slots they may have.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::document::CallPriority;
use crate::load::customer_lane::CallPosition;
use crate::load::customer_lane::CustomerLane;
use crate::load::fair_tags::FairTags;
use crate::load::queue_order::QueueOrder;
use crate::load::repeat_share::RepeatShare;

/// Part of the room that a lane keeps against more urgent lanes: an eighth,
/// so that the six lanes together cannot reserve all of it.
const KEPT_PART: usize = 8;

/// Number of one call at one gate.
pub type CallTicket = u64;

/// Whether a job holds a slot for much longer than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobLength {
    /// Several times the shortest jobs of this server.
    Long,
    /// Everything else.
    Short,
}

/// A call that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingCall {
    /// Its number.
    pub ticket: CallTicket,
    /// Path of its route.
    pub route: Arc<str>,
    /// Customer it is made for.
    pub customer: Arc<str>,
    /// Urgency of its route.
    pub priority: CallPriority,
    /// Length of its route's jobs.
    pub length: JobLength,
    /// When it came to its entry node, kept over all tries.
    pub arrived_at: Duration,
    /// From then on it is of no use to start it.
    pub expires_at: Duration,
    /// From then on its answer comes later than it is worth most, if the
    /// route says so.
    pub late_at: Option<Duration>,
    /// Work it is expected to be.
    pub cost: Duration,
    /// How likely it repeats work at a backend server.
    pub repeats: RepeatShare,
}

impl WaitingCall {
    /// Its place among its customer's calls.
    pub fn position(&self) -> CallPosition {
        (self.arrived_at, self.ticket)
    }
}

/// A lane's key; in order of who loses a place first.
type LaneKey = (CallPriority, JobLength);

const LANES: [LaneKey; 6] = [
    (CallPriority::Low, JobLength::Long),
    (CallPriority::Low, JobLength::Short),
    (CallPriority::Normal, JobLength::Long),
    (CallPriority::Normal, JobLength::Short),
    (CallPriority::High, JobLength::Long),
    (CallPriority::High, JobLength::Short),
];

/// Turns of a priority. Each step is fourfold: an urgent lane gets 16 of
/// 21 turns against both others, and the least urgent still 1 of 21.
fn weight(priority: CallPriority) -> u64 {
    match priority {
        CallPriority::High => 16,
        CallPriority::Normal => 4,
        CallPriority::Low => 1,
    }
}

#[derive(Debug)]
struct CallPlace {
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
    places: HashMap<CallTicket, CallPlace>,
    by_give_up: BTreeSet<(Duration, CallTicket)>,
}

impl CallQueue {
    /// Calls waiting.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// True where none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a call.
    pub fn push(&mut self, call: WaitingCall) {
        let lane = lane_of(&call);
        let place = CallPlace {
            lane,
            customer: Arc::clone(&call.customer),
            position: call.position(),
            expires_at: call.expires_at,
        };
        self.by_give_up.insert((call.expires_at, call.ticket));
        self.places.insert(call.ticket, place);
        self.lanes[lane].push(call);
    }

    /// Takes the call whose turn it is; long ones only where `long_free`.
    pub fn pop(&mut self, order: QueueOrder, long_free: bool) -> Option<WaitingCall> {
        let lane = self.next_lane(long_free)?;
        let call = self.lanes[lane].pop(order)?;
        self.turns.charge(lane, call.cost, weight(call.priority));
        self.forget(call.ticket);
        Some(call)
    }

    fn next_lane(&self, long_free: bool) -> Option<usize> {
        let mut best: Option<(u64, usize)> = None;
        for at in (0..LANES.len()).rev() {
            let held_back = LANES[at].1 == JobLength::Long && !long_free;
            if self.lanes[at].is_empty() || held_back {
                continue;
            }
            let start = self.turns.start(&at);
            if best.is_none_or(|(least, _)| start < least) {
                best = Some((start, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Where more than `room` wait, takes one out: from the least urgent
    /// lane that has more than it keeps, of the customer with most there.
    pub fn evict(&mut self, room: usize, order: QueueOrder) -> Option<WaitingCall> {
        if self.len() <= room {
            return None;
        }
        let kept = room / KEPT_PART;
        for lane in &mut self.lanes {
            if lane.len() <= kept {
                continue;
            }
            let call = lane.evict(order)?;
            self.forget(call.ticket);
            return Some(call);
        }
        None
    }

    /// Takes out a call whose caller has left; false where it is not here.
    pub fn remove(&mut self, ticket: CallTicket) -> bool {
        self.take(ticket).is_some()
    }

    /// Takes out one call; none where it is not here.
    pub fn take(&mut self, ticket: CallTicket) -> Option<WaitingCall> {
        let place = self.forget(ticket)?;
        let lane = &mut self.lanes[place.lane];
        lane.remove(&place.customer, place.position)
    }

    /// Takes one call that it is of no more use to start.
    pub fn expire(&mut self, now: Duration) -> Option<CallTicket> {
        let (expires_at, ticket) = *self.by_give_up.first()?;
        if expires_at > now {
            return None;
        }
        self.remove(ticket);
        Some(ticket)
    }

    /// When the next call expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.by_give_up.first().map(|(at, _)| *at)
    }

    /// Takes one call out, whichever; for a server that leaves.
    pub fn take_any(&mut self) -> Option<CallTicket> {
        let (_, ticket) = *self.by_give_up.first()?;
        self.remove(ticket);
        Some(ticket)
    }

    fn forget(&mut self, ticket: CallTicket) -> Option<CallPlace> {
        let place = self.places.remove(&ticket)?;
        self.by_give_up.remove(&(place.expires_at, ticket));
        Some(place)
    }
}

fn lane_of(call: &WaitingCall) -> usize {
    let key = (call.priority, call.length);
    LANES.iter().position(|lane| *lane == key).unwrap_or(0)
}
