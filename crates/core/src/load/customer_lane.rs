//! Calls that wait in one lane, shared fairly among customers.
//!
//! Load pattern: many small customers and one hot customer. Each customer has
//! its own short queue; turns follow [`FairTags`], and when the queue is over
//! capacity the customer with the most calls waiting loses one of its own.
//! Without that last rule the hot customer would fill the whole queue, and
//! calls of small customers would be refused before fair scheduling applies.
//! Only customers with waiting calls are held, so memory is bounded by the
//! queue's capacity.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::load::call_queue::CallTicket;
use crate::load::call_queue::WaitingCall;
use crate::load::fair_tags::FairTags;
use crate::load::queue_order::QueueOrder;

/// Position of a call in its customer's queue: arrival time, then ticket.
pub type CallPosition = (Duration, CallTicket);

#[derive(Debug, Default)]
struct CustomerCalls {
    tag: u64,
    calls: BTreeMap<CallPosition, WaitingCall>,
}

/// One lane of waiting calls.
#[derive(Debug, Default)]
pub struct CustomerLane {
    customers: HashMap<Arc<str>, CustomerCalls>,
    by_tag: BTreeSet<(u64, CallPosition, Arc<str>)>,
    by_size: BTreeSet<(usize, Arc<str>)>,
    tags: FairTags<Arc<str>>,
    calls: usize,
}

impl CustomerLane {
    /// Number of calls waiting.
    pub fn len(&self) -> usize {
        self.calls
    }

    /// True if no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.calls == 0
    }

    /// Adds a call.
    pub fn push(&mut self, call: WaitingCall) {
        let customer = Arc::clone(&call.customer);
        self.unindex(&customer);
        let tag = self.tags.start(&*customer);
        let queue = self.customers.entry(Arc::clone(&customer)).or_default();
        if queue.calls.is_empty() {
            queue.tag = tag;
        }
        queue.calls.insert(call.position(), call);
        self.calls += 1;
        self.index(&customer);
    }

    /// Removes the next call to start and charges its customer.
    pub fn pop(&mut self, order: QueueOrder) -> Option<WaitingCall> {
        let (_, _, customer) = self.by_tag.first()?;
        let customer = Arc::clone(customer);
        let position = self.edge_position(&customer, order == QueueOrder::NewestFirst)?;
        let call = self.remove(&customer, position)?;
        self.tags.charge(Arc::clone(&customer), call.cost, 1);
        self.unindex(&customer);
        let tag = self.tags.start(&*customer);
        if let Some(queue) = self.customers.get_mut(&customer) {
            queue.tag = tag;
        }
        self.index(&customer);
        Some(call)
    }

    /// Removes the call that `order` would start last from the customer with
    /// the most calls waiting.
    pub fn evict(&mut self, order: QueueOrder) -> Option<WaitingCall> {
        let (_, customer) = self.by_size.last()?;
        let customer = Arc::clone(customer);
        let position = self.edge_position(&customer, order == QueueOrder::OldestFirst)?;
        self.remove(&customer, position)
    }

    /// Removes one call; `None` if it is not in the lane.
    pub fn remove(
        &mut self,
        customer: &Arc<str>,
        position: CallPosition,
    ) -> Option<WaitingCall> {
        self.unindex(customer);
        let queue = self.customers.get_mut(customer);
        let call = queue.and_then(|queue| queue.calls.remove(&position));
        if call.is_some() {
            self.calls -= 1;
        }
        self.index(customer);
        call
    }

    fn edge_position(&self, customer: &Arc<str>, newest: bool) -> Option<CallPosition> {
        let calls = &self.customers.get(customer)?.calls;
        let end = if newest {
            calls.last_key_value()
        } else {
            calls.first_key_value()
        };
        end.map(|(position, _)| *position)
    }

    fn unindex(&mut self, customer: &Arc<str>) {
        let Some(queue) = self.customers.get(customer) else {
            return;
        };
        let Some((first, _)) = queue.calls.first_key_value() else {
            return;
        };
        let entry = (queue.tag, *first, Arc::clone(customer));
        self.by_tag.remove(&entry);
        self.by_size
            .remove(&(queue.calls.len(), Arc::clone(customer)));
    }

    fn index(&mut self, customer: &Arc<str>) {
        let Some(queue) = self.customers.get(customer) else {
            return;
        };
        let Some((first, _)) = queue.calls.first_key_value() else {
            self.customers.remove(customer);
            return;
        };
        let entry = (queue.tag, *first, Arc::clone(customer));
        self.by_tag.insert(entry);
        self.by_size
            .insert((queue.calls.len(), Arc::clone(customer)));
    }
}
