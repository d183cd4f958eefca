//! Calls that wait for one backend server. Calls that can still meet their
//! target are started first, and late calls use the remaining capacity.
//!
//! Load pattern: more calls than the server can answer, each with full value
//! only within its target and little after it. In a single queue, oldest first,
//! every call would start just too late once the queue is as long as the
//! target, and no call would be in time until the load falls. Here a call that
//! can no longer meet its target moves to a second queue, so that the others
//! stay in time and late calls use the gaps.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::load::call_queue::CallQueue;
use crate::load::call_queue::CallTicket;
use crate::load::call_queue::WaitingCall;
use crate::load::queue_order::QueueOrder;

/// Queues of timely and late calls of one server.
#[derive(Debug, Default)]
pub struct TimelyQueue {
    timely: CallQueue,
    late: CallQueue,
    by_late_at: BTreeSet<(Duration, CallTicket)>,
}

impl TimelyQueue {
    /// Number of calls waiting.
    pub fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// True if no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting calls that can still be in time.
    pub fn timely(&self) -> usize {
        self.timely.len()
    }

    /// Adds a call; `in_time` if it is expected to start before it is late.
    pub fn push(&mut self, call: WaitingCall, in_time: bool) {
        if !in_time {
            self.late.push(call);
            return;
        }
        if let Some(late_at) = call.late_at {
            self.by_late_at.insert((late_at, call.ticket));
        }
        self.timely.push(call);
    }

    /// Removes the next call to start; long jobs only if `long_allowed`, late
    /// calls only if `late_allowed`.
    pub fn pop(
        &mut self,
        now: Duration,
        order: QueueOrder,
        long_allowed: bool,
        late_allowed: bool,
    ) -> Option<WaitingCall> {
        self.demote_late(now);
        if let Some(call) = self.timely.pop(order, long_allowed) {
            self.unindex(&call);
            return Some(call);
        }
        if !late_allowed {
            return None;
        }
        self.late.pop(order, long_allowed)
    }

    /// If more than `capacity` late calls wait, removes one of them.
    pub fn evict_late(
        &mut self,
        capacity: usize,
        order: QueueOrder,
    ) -> Option<WaitingCall> {
        self.late.evict(capacity, order)
    }

    /// If more than `capacity` calls wait, removes one, preferring late calls.
    pub fn evict(&mut self, capacity: usize, order: QueueOrder) -> Option<WaitingCall> {
        if self.len() <= capacity {
            return None;
        }
        if let Some(call) = self.late.evict(0, order) {
            return Some(call);
        }
        let call = self.timely.evict(capacity, order)?;
        self.unindex(&call);
        Some(call)
    }

    /// Removes a call whose caller has disconnected.
    pub fn remove(&mut self, ticket: CallTicket) {
        if let Some(call) = self.timely.take(ticket) {
            self.unindex(&call);
            return;
        }
        self.late.remove(ticket);
    }

    /// Removes one call that has expired, so that starting it is useless.
    pub fn expire(&mut self, now: Duration) -> Option<CallTicket> {
        self.demote_late(now);
        let expired = self.timely.expire(now).or_else(|| self.late.expire(now))?;
        self.by_late_at.retain(|(_, ticket)| *ticket != expired);
        Some(expired)
    }

    /// When the next call expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        let timely = self.timely.next_expiry();
        let late = self.late.next_expiry();
        match (timely, late) {
            (Some(timely), Some(late)) => Some(timely.min(late)),
            (timely, late) => timely.or(late),
        }
    }

    /// When each call expires, earliest first.
    pub fn expiries(&self) -> Vec<(Duration, CallTicket)> {
        let expiries = self.timely.expiries().chain(self.late.expiries());
        let mut expiries: Vec<(Duration, CallTicket)> = expiries.collect();
        expiries.sort_unstable();
        expiries
    }

    /// Removes any one call; used to empty the queue when its server leaves.
    pub fn take_any(&mut self) -> Option<CallTicket> {
        self.timely.take_any().or_else(|| self.late.take_any())
    }

    fn unindex(&mut self, call: &WaitingCall) {
        if let Some(late_at) = call.late_at {
            self.by_late_at.remove(&(late_at, call.ticket));
        }
    }

    /// Moves calls that can no longer be in time to the late queue.
    fn demote_late(&mut self, now: Duration) {
        while let Some((late_at, ticket)) = self.by_late_at.first().copied() {
            if late_at > now {
                return;
            }
            self.by_late_at.remove(&(late_at, ticket));
            if let Some(call) = self.timely.take(ticket) {
                self.late.push(call);
            }
        }
    }
}
