//! Admission at the backend server's own node.
//!
//! Only this node knows the server's true slots and work in flight, so its
//! refusals are truthfully "not run": they are given before a byte of the
//! request reaches the backend server. Calls that find no slot wait in a
//! bounded queue, fair among customers whatever entry nodes they come by.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::document::CallPriority;
use crate::load::call_queue::CallTicket;
use crate::load::call_queue::JobLength;
use crate::load::call_queue::WaitingCall;
use crate::load::concurrency_limit::ConcurrencyLimit;
use crate::load::late_call_limit;
use crate::load::queue_order::QueueOrder;
use crate::load::queue_order::StandingQueue;
use crate::load::repeat_probability::RepeatProbability;
use crate::load::service_times::ServiceTimes;
use crate::load::timely_queue::TimelyQueue;
use crate::outbound_calls::OutboundCalls;
use crate::outbound_calls::OutboundMark;
use crate::refusal::RefusalReason;
use crate::tuning::TuningKey;

/// Part of the slots that long jobs leave to short ones, rounded up: of five
/// slots two stay, of ten three. With one of five a queue of short jobs lost
/// 1.6 % to its deadlines behind long jobs, with two none.
const SHORT_PART: u32 = 4;

/// How much longer than lately a job may take and still be in time when it
/// was started at the last moment for it.
const LATE_MARGIN: f64 = 1.25;

/// Part of its target for which a call that has just come waits in front of
/// those that are late, whatever its work is expected to be: half of the jobs
/// take less than expected. At nine slots one is free more often than that.
const NEWCOMER_PART: u32 = 8;

/// What the backend server said of itself when it announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedServer {
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Backend server version it runs.
    pub version: Arc<str>,
    /// Requests it runs at once.
    pub slots: u32,
}

/// A call that wants a slot, as its entry node describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferedCall {
    /// Service wanted.
    pub service: Arc<str>,
    /// Path of the matching route.
    pub route: Arc<str>,
    /// Customer it is made for; empty where the caller names none.
    pub customer: Arc<str>,
    /// Urgency of the route.
    pub priority: CallPriority,
    /// Time since it came to its entry node, all tries together.
    pub waited: Duration,
    /// Time until it is of no more use.
    pub left: Duration,
    /// Time until its answer is worth less, where its route says so.
    pub target_left: Option<Duration>,
    /// Another server is asked where it would wait longer than this here;
    /// absent where it stays.
    pub wait_max: Option<Duration>,
    /// True where a backend server makes it while it serves another.
    pub inner: bool,
    /// How likely it repeats work at a backend server.
    pub repeats: RepeatProbability,
}

/// How a call that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The server's answer began after this time.
    Answered(Duration),
    /// The server answered that it has no room.
    Shed,
    /// No answer, a failure, which may have been quick without being good,
    /// or nobody waits for it any more.
    Abandoned,
}

/// What the gate wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// The call goes to the backend server now.
    Start(CallTicket),
    /// The call gets this answer now.
    Refuse(CallTicket, RefusalReason),
}

/// Bounds of the queue, as operators set them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// Calls that may wait.
    pub calls: usize,
    /// Longest wait of a call, all its tries together.
    pub wait: Duration,
    /// Part of the announced slots that is always used, in hundredths.
    pub slots_floor: u32,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self {
            calls: TuningKey::QueueCalls.built_in() as usize,
            wait: Duration::from_millis(TuningKey::QueueWaitMs.built_in()),
            slots_floor: TuningKey::SlotsFloor.built_in() as u32,
        }
    }
}

#[derive(Debug)]
struct RunningCall {
    route: Arc<str>,
    length: JobLength,
    started_at: Duration,
    repeats: RepeatProbability,
    /// Jobs at the server when it started, itself included.
    beside: u32,
    outbound: OutboundMark,
}

/// Slots, queue, drain and work in flight of one backend server.
#[derive(Debug)]
pub struct ServerGate {
    announced: Option<AnnouncedServer>,
    draining: bool,
    bounds: QueueBounds,
    limit: ConcurrencyLimit,
    times: ServiceTimes,
    running: HashMap<CallTicket, RunningCall>,
    running_long: u32,
    outbound: OutboundCalls,
    queue: TimelyQueue,
    order: QueueOrder,
    standing: StandingQueue,
}

impl Default for ServerGate {
    fn default() -> Self {
        Self::new(QueueOrder::default())
    }
}

impl ServerGate {
    /// A gate whose queue has this order, with nothing announced yet.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            announced: None,
            draining: false,
            bounds: QueueBounds::default(),
            limit: ConcurrencyLimit::new(0),
            times: ServiceTimes::default(),
            running: HashMap::new(),
            running_long: 0,
            outbound: OutboundCalls::default(),
            queue: TimelyQueue::default(),
            order,
            standing: StandingQueue::default(),
        }
    }

    /// The backend server announced itself, for the first time or anew.
    pub fn announce(&mut self, server: AnnouncedServer) {
        self.draining = false;
        if self.announced.as_ref() == Some(&server) {
            return;
        }
        self.limit = ConcurrencyLimit::new(server.slots);
        self.limit.set_floor(self.bounds.slots_floor);
        self.times.clear();
        self.announced = Some(server);
    }

    /// Bounds from the configuration in force.
    pub fn configure(&mut self, bounds: QueueBounds) {
        self.bounds = bounds;
        self.limit.set_floor(bounds.slots_floor);
    }

    /// The backend server is leaving: nothing new from now on, and what
    /// waits is sent elsewhere.
    pub fn drain(&mut self) -> Vec<GateAction> {
        self.draining = true;
        let mut actions = Vec::new();
        while let Some(ticket) = self.queue.take_any() {
            actions.push(GateAction::Refuse(ticket, RefusalReason::Draining));
        }
        actions
    }

    /// What the backend server announced, if it has.
    pub fn announced(&self) -> Option<&AnnouncedServer> {
        self.announced.as_ref()
    }

    /// True from the start of a drain until a new announcement.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Requests at the backend server now.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Calls that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that the backend server gets at once.
    pub fn allowed(&self) -> u32 {
        self.limit.allowed()
    }

    /// A call wants a slot. It starts, waits, or is refused.
    pub fn offer(
        &mut self,
        now: Duration,
        ticket: CallTicket,
        call: OfferedCall,
    ) -> Vec<GateAction> {
        if let Err(reason) = self.check(&call) {
            return vec![GateAction::Refuse(ticket, reason)];
        }
        if let Some(target) = call.target_left {
            self.times.add_prior(&call.route, target);
        }
        let goes_first = call.inner && self.has_free_slot();
        let full = !self.queue.is_empty() || self.in_flight() >= self.limit.allowed();
        let expected = self.expected_wait();
        let stays = call.wait_max.is_none_or(|most| expected <= most);
        if full && !goes_first && !stays {
            return vec![GateAction::Refuse(ticket, RefusalReason::NoFreeSlot)];
        }
        // Guards against work that is begun too late to end in time: its slot
        // is lost for calls that could still be answered. Where slots are
        // free a quick run may do, where calls wait what it takes lately.
        let work = if full {
            self.times.mean_time(&call.route)
        } else {
            self.times.min_time(&call.route)
        };
        let late_at = self.late_at(now, &call);
        let patience = self.patience(now, &call, late_at);
        let waiting = WaitingCall {
            ticket,
            length: self.times.length(&call.route),
            arrived_at: now.saturating_sub(call.waited),
            expires_at: now + call.left.saturating_sub(work).min(patience),
            late_at,
            cost: self.times.cost(&call.route),
            repeats: call.repeats,
            route: call.route,
            customer: call.customer,
            priority: call.priority,
        };
        // Guards against a call that waits for itself: an outer call holds
        // the last slot of a limit that was cut, its inner call queues
        // behind it, both time out, and no job ends well that could raise
        // the limit. Work begun elsewhere ends first, within the slots that
        // the server announced; outer calls alone are limited below them.
        if goes_first {
            self.start(now, waiting);
            return vec![GateAction::Start(ticket)];
        }
        let in_time = waiting.late_at.is_none_or(|late| now + expected < late);
        self.queue.push(waiting, in_time);
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        self.bound(now, &mut actions);
        actions
    }

    /// How long a call waits for a slot at most.
    ///
    /// Load pattern: servers are lost for good and calls exceed the slots that
    /// are left for as long as the load lasts. Those that wait beyond the time
    /// for which they are useful are refused in the end all the same, too late
    /// to be served elsewhere. One that is late already finds a gap within the
    /// work of one call or comes back.
    fn patience(
        &self,
        now: Duration,
        call: &OfferedCall,
        late_at: Option<Duration>,
    ) -> Duration {
        let bound = self.bounds.wait.saturating_sub(call.waited);
        let Some(late_at) = late_at else {
            return bound;
        };
        let work = self.times.mean_time(&call.route);
        bound.min(late_at.saturating_sub(now).max(work))
    }

    /// Latest start from which an answer is in time; work that takes a
    /// quarter longer than lately still is.
    ///
    /// Load pattern: a server that is slow for seconds, cold or loaded, with
    /// more calls than it can answer. Judged by its usual time, each call is
    /// started when it is late already; where that time says that none can be
    /// in time, all are late from the start and wait for each other. With
    /// both guards 0.90 of the answers that a server could give at 1.1 of
    /// its capacity are in time after a cold start, without them 0.00
    /// (`tests/timely_overload.rs`).
    fn late_at(&self, now: Duration, call: &OfferedCall) -> Option<Duration> {
        let work = self.times.mean_time(&call.route).mul_f64(LATE_MARGIN);
        // Brief ones cost the others little, and many are made by servers for
        // requests that wait for them: late or not, they keep their place.
        if self.times.is_much_shorter(&call.route) {
            return None;
        }
        let target = call.target_left?;
        let slack = target.saturating_sub(work).max(target / NEWCOMER_PART);
        Some(now + slack)
    }

    /// How long a call that came now would wait for a slot.
    pub fn expected_wait(&self) -> Duration {
        let allowed = self.limit.allowed();
        if self.queue.is_empty() && self.in_flight() < allowed {
            return Duration::ZERO;
        }
        let mut work = Duration::ZERO;
        for call in self.running.values() {
            work += self.times.mean_time(&call.route);
        }
        // Slots of equal work at random stages: one is free after a part of
        // the mean that falls with their number.
        let mean = work / self.in_flight().max(1);
        let before = self.queue.timely() as u32 + 1;
        mean * before / allowed.max(1)
    }

    /// Route of a call that holds a slot, and what its jobs take lately.
    pub fn service_time(&self, ticket: CallTicket) -> Option<(Arc<str>, Duration)> {
        let call = self.running.get(&ticket)?;
        let work = self.times.observed_mean(&call.route)?;
        Some((Arc::clone(&call.route), work))
    }

    /// How likely a request that the server runs now repeats earlier work.
    pub fn repeats(&self) -> RepeatProbability {
        RepeatProbability::mean(self.running.values().map(|call| call.repeats))
    }

    fn has_free_slot(&self) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|server| self.in_flight() < server.slots)
    }

    fn check(&self, call: &OfferedCall) -> Result<(), RefusalReason> {
        // Guards against a stale endpoint record: an address that now
        // serves another service would give a caller a stranger's answer.
        let announced = self.announced.as_ref();
        if announced.is_none_or(|server| server.service != call.service) {
            return Err(RefusalReason::NotAnnounced);
        }
        if self.draining {
            return Err(RefusalReason::Draining);
        }
        // Guards against work that ends after its deadline: it would take a
        // slot from calls that can still be answered in time.
        if call.left <= self.times.min_time(&call.route) {
            return Err(RefusalReason::DeadlinePassed);
        }
        Ok(())
    }

    /// A call gave its slot back, or whoever asked for one has left.
    /// Tickets not held are passed over: a refused call ends here too.
    pub fn end(
        &mut self,
        now: Duration,
        ticket: CallTicket,
        outcome: SlotOutcome,
    ) -> Vec<GateAction> {
        let mut actions = Vec::new();
        let in_flight = self.in_flight();
        if let Some(call) = self.running.remove(&ticket) {
            self.learn(now, &call, in_flight, outcome);
        } else {
            self.queue.remove(ticket);
        }
        self.fill(now, &mut actions);
        actions
    }

    fn learn(
        &mut self,
        now: Duration,
        call: &RunningCall,
        in_flight: u32,
        outcome: SlotOutcome,
    ) {
        if call.length == JobLength::Long {
            self.running_long -= 1;
        }
        let own = self.outbound.none_since(call.outbound);
        let lasted = now.saturating_sub(call.started_at);
        let ratio = self.times.ratio(&call.route, lasted);
        match outcome {
            SlotOutcome::Answered(taken) => {
                let light = self.limit.is_uncontended(in_flight.max(call.beside));
                self.times.observe(&call.route, taken, light);
                if own {
                    self.times.observe_local(&call.route, taken);
                }
            }
            SlotOutcome::Shed => return self.limit.shed(now),
            SlotOutcome::Abandoned => {
                self.times.observe_lower_bound(&call.route, lasted);
                if own {
                    self.times.observe_abandoned(&call.route, lasted);
                }
            }
        }
        if !own {
            return self.limit.recover(now, in_flight);
        }
        let slowdown = self.times.slowdown(&call.route);
        self.limit.observe(now, slowdown, ratio, in_flight);
    }

    /// The backend server sends a call of its own through the node.
    pub fn outbound_begin(&mut self) {
        self.outbound.begin();
    }

    /// One of those calls has been answered or given up.
    pub fn outbound_end(&mut self) {
        self.outbound.end();
    }

    /// Answers the calls whose time is up.
    pub fn wake(&mut self, now: Duration) -> Vec<GateAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        actions
    }

    /// When [`ServerGate::wake`] has something to do next.
    pub fn next_wake(&self) -> Option<Duration> {
        self.queue.next_expiry()
    }

    fn fill(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        self.expire(now, actions);
        while self.in_flight() < self.limit.allowed() {
            let long_free = self.running_long < self.long_allowed();
            let late_free =
                late_call_limit::may_start(self.in_flight(), self.limit.allowed());
            let Some(call) = self.queue.pop(now, self.order, long_free, late_free) else {
                break;
            };
            actions.push(GateAction::Start(call.ticket));
            self.start(now, call);
        }
        self.standing.observe(now, self.queue.len());
    }

    fn start(&mut self, now: Duration, call: WaitingCall) {
        if call.length == JobLength::Long {
            self.running_long += 1;
        }
        let running = RunningCall {
            route: call.route,
            length: call.length,
            started_at: now,
            repeats: call.repeats,
            beside: self.in_flight() + 1,
            outbound: self.outbound.mark(),
        };
        self.running.insert(call.ticket, running);
    }

    fn long_allowed(&self) -> u32 {
        let allowed = self.limit.allowed();
        let kept = allowed.div_ceil(SHORT_PART);
        (allowed - kept).max(1)
    }

    fn bound(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        let allowed = self.limit.allowed();
        let room = self.standing.capacity(now, self.bounds.calls, allowed);
        let late = late_call_limit::waiting_max(allowed);
        while let Some(call) = self.queue.evict_late(late, self.order) {
            actions.push(GateAction::Refuse(call.ticket, RefusalReason::QueueFull));
        }
        while let Some(call) = self.queue.evict(room, self.order) {
            actions.push(GateAction::Refuse(call.ticket, RefusalReason::QueueFull));
        }
    }

    fn expire(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        while let Some(ticket) = self.queue.expire(now) {
            actions.push(GateAction::Refuse(ticket, RefusalReason::QueueTimeout));
        }
    }
}
