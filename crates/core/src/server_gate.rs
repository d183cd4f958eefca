//! Admission control at the backend server's own node.
//!
//! Only this node knows the server's actual slots and work in flight. It
//! refuses a call before any byte of the request reaches the backend server,
//! so a refused call is known not to have run. Calls that find no free slot
//! wait in a bounded queue that is fair among customers, whichever entry nodes
//! they arrive through.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::announced_server::AnnouncedServer;
use crate::document::CallPriority;
use crate::load::call_queue::CallTicket;
use crate::load::call_queue::JobLength;
use crate::load::call_queue::WaitingCall;
use crate::load::cold_limit::ColdLimit;
use crate::load::cold_limit::ColdRule;
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
use crate::run_statements::RunStatements;
use crate::server_statement::ServerStatement;
use crate::tuning::TuningKey;

/// Divisor of the slots that gives the number reserved for short jobs, rounded
/// up: two of five, three of ten. With one of five reserved, 1.6 % of queued
/// short jobs miss their deadlines behind long jobs; with two, none do.
const SHORT_JOBS_DIVISOR: u32 = 4;

/// Multiple of the recent service time that is reserved for a call before its
/// target. A call that starts at the latest useful moment may take this many
/// times the recent service time and still meet its target.
const SERVICE_TIME_MARGIN: f64 = 1.25;

/// Divisor of a call's target that gives the minimum time for which a new call
/// is queued ahead of late calls, however long its work is expected to take,
/// because half of the jobs take less than expected. With nine slots, one
/// becomes free within that time.
const MIN_SLACK_DIVISOR: u32 = 8;

/// A call that requests a slot, as described by its entry node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OfferedCall {
    /// Service that is called.
    pub service: Arc<str>,
    /// Path of the matching route.
    pub route: Arc<str>,
    /// Customer that the call is made for; empty if the caller names none.
    pub customer: Arc<str>,
    /// Priority of the route.
    pub priority: CallPriority,
    /// Time since the call arrived at its entry node, over all tries.
    pub waited: Duration,
    /// Time until the call's deadline.
    pub left: Duration,
    /// Time until the route's target latency is exceeded; `None` if the route
    /// sets no target.
    pub target_left: Option<Duration>,
    /// Longest expected wait at which the call is queued here; beyond it the
    /// call is refused so that its entry node can try another server. `None`
    /// if it is queued however long the wait.
    pub wait_max: Option<Duration>,
    /// True if a backend server makes the call while it serves another one.
    pub inner: bool,
    /// Probability that the call repeats work at a backend server.
    pub repeats: RepeatProbability,
}

/// How a call that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The server's answer began after this time.
    Answered(Duration),
    /// The server answered that it is overloaded.
    Shed,
    /// The server answered with a failure; a short time to a failure says nothing
    /// about the server's speed.
    Failed,
    /// The connection to the server broke before an answer.
    Cut,
    /// The call got no answer in time, or its caller disconnected.
    Abandoned,
}

/// An action that the gate's owner must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Send the call to the backend server.
    Start(CallTicket),
    /// Answer the call with this refusal.
    Refuse(CallTicket, RefusalReason),
}

/// Queue and concurrency bounds that operators set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// Largest number of queued calls.
    pub calls: usize,
    /// Longest wait of a call, over all of its tries.
    pub wait: Duration,
    /// Lower bound of the concurrency limit, in percent of the announced slots.
    pub slots_floor: u32,
    /// Limit on calls to a cold server; `None` if the service has none.
    pub cold: Option<ColdRule>,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self {
            calls: TuningKey::QueueCalls.built_in() as usize,
            wait: Duration::from_millis(TuningKey::QueueWaitMs.built_in()),
            slots_floor: TuningKey::SlotsFloor.built_in() as u32,
            cold: None,
        }
    }
}

#[derive(Debug)]
struct RunningCall {
    route: Arc<str>,
    length: JobLength,
    started_at: Duration,
    repeats: RepeatProbability,
    /// Jobs at the server when this one started, itself included.
    in_flight_at_start: u32,
    outbound: OutboundMark,
}

/// Admission control of one backend server: its slots, its queue, its drain
/// state and its work in flight.
#[derive(Debug)]
pub struct ServerGate {
    announced: Option<AnnouncedServer>,
    draining: bool,
    evacuated: bool,
    /// True once the configuration in force is known.
    configured: bool,
    bounds: QueueBounds,
    limit: ConcurrencyLimit,
    cold: ColdLimit,
    statements: RunStatements,
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
    /// Creates a gate with this queue order and no announced server.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            announced: None,
            draining: false,
            evacuated: false,
            configured: false,
            bounds: QueueBounds::default(),
            limit: ConcurrencyLimit::new(0),
            cold: ColdLimit::default(),
            statements: RunStatements::default(),
            times: ServiceTimes::default(),
            running: HashMap::new(),
            running_long: 0,
            outbound: OutboundCalls::default(),
            queue: TimelyQueue::default(),
            order,
            standing: StandingQueue::default(),
        }
    }

    /// Records an announcement of the backend server and ends a drain. If the
    /// announcement differs from the last one, the concurrency limit and the
    /// recorded service times are reset.
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

    /// Sets the bounds of the configuration in force.
    pub fn configure(&mut self, bounds: QueueBounds) {
        self.configured = true;
        self.bounds = bounds;
        self.limit.set_floor(bounds.slots_floor);
        self.cold.configure(bounds.cold);
    }

    /// Limit on the calls to the server while it is cold.
    pub fn cold(&self) -> &ColdLimit {
        &self.cold
    }

    /// Limit on the calls to the server while it is cold, to record what the
    /// server reports.
    pub fn cold_mut(&mut self) -> &mut ColdLimit {
        &mut self.cold
    }

    /// What the current run of the server states.
    pub fn statements(&self) -> &RunStatements {
        &self.statements
    }

    /// What the current run of the server states, to record its runs and what entry
    /// nodes heard.
    pub fn statements_mut(&mut self) -> &mut RunStatements {
        &mut self.statements
    }

    /// Applies what the server stated in an answer that arrived at `now` to a
    /// request that was sent at `sent_at`. Queued calls may be started or refused.
    pub fn record_statement(
        &mut self,
        now: Duration,
        sent_at: Duration,
        statement: ServerStatement,
    ) -> Vec<GateAction> {
        self.statements.record(now, sent_at, statement);
        if self.statements.is_leaving() {
            return self.refuse_queued(RefusalReason::Draining);
        }
        let mut actions = Vec::new();
        self.start_waiting(now, &mut actions);
        self.evict_excess(now, &mut actions);
        actions
    }

    /// Whether the gate must be told when a call has been sent.
    pub fn counts_sends(&self) -> bool {
        self.cold.has_rule() || self.statements.limit().rate().is_some()
    }

    /// Records that a call that holds a slot was sent, or may have been sent, by
    /// `now`.
    pub fn record_sent(&mut self, now: Duration, ticket: CallTicket) {
        self.cold.record_sent(now, ticket);
        self.statements.limit_mut().record_sent(now, ticket);
    }

    /// Starts a drain: new calls are refused from now on, and all queued calls
    /// are refused so that their entry nodes can try another server.
    pub fn drain(&mut self) -> Vec<GateAction> {
        self.draining = true;
        self.refuse_queued(RefusalReason::Draining)
    }

    /// Sets whether the failure domain of the server is evacuated. Its queued
    /// calls are refused at the start, so that their entry nodes can try another
    /// server; calls that run are left to end. At the end the server is assumed
    /// to be cold, because it may have rested or restarted meanwhile.
    pub fn set_evacuated(&mut self, now: Duration, evacuated: bool) -> Vec<GateAction> {
        if self.evacuated && !evacuated {
            self.cold.assume_cold(now);
        }
        self.evacuated = evacuated;
        if evacuated {
            return self.refuse_queued(RefusalReason::Evacuated);
        }
        Vec::new()
    }

    fn refuse_queued(&mut self, reason: RefusalReason) -> Vec<GateAction> {
        let mut actions = Vec::new();
        while let Some(ticket) = self.queue.take_any() {
            actions.push(GateAction::Refuse(ticket, reason));
        }
        actions
    }

    /// The latest announcement of the backend server, if there is one.
    pub fn announced(&self) -> Option<&AnnouncedServer> {
        self.announced.as_ref()
    }

    /// True from the start of a drain until the next announcement, and while the
    /// current run is one that has stated that it is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining || self.statements.is_leaving()
    }

    /// True while the failure domain of the server is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated
    }

    /// Number of requests at the backend server.
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of calls that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Concurrency limit in force: requests that the backend server is sent at
    /// the same time.
    pub fn allowed(&self) -> u32 {
        self.limit.allowed()
    }

    /// Starts, queues or refuses a call. The returned actions may also concern
    /// queued calls that are started, expire or are evicted.
    pub fn offer(
        &mut self,
        now: Duration,
        ticket: CallTicket,
        call: OfferedCall,
    ) -> Vec<GateAction> {
        if let Err(reason) = self.check_admissible(&call) {
            return vec![GateAction::Refuse(ticket, reason)];
        }
        if let Some(target) = call.target_left {
            self.times.add_prior(&call.route, target);
        }
        let pace_wait = self.pace_wait(now, 0);
        let may_send = pace_wait.is_zero();
        let skips_queue = call.inner && self.has_free_slot() && may_send;
        let full = !self.queue.is_empty()
            || self.in_flight() >= self.limit.allowed()
            || !may_send;
        let expected = self.expected_wait(now);
        let accepts_wait = call.wait_max.is_none_or(|max| expected <= max);
        if full && !skips_queue && !accepts_wait {
            return vec![GateAction::Refuse(ticket, RefusalReason::NoFreeSlot)];
        }
        // Guards against work that is started too late to meet its deadline
        // and takes a slot from calls that could still be answered. While a
        // slot is free, the least known service time must fit; otherwise the
        // recent one must.
        let work = if full {
            self.times.mean_time(&call.route)
        } else {
            self.times.min_time(&call.route)
        };
        let late_at = self.late_at(now, &call);
        let wait_timeout = self.wait_timeout(now, &call, late_at);
        let waiting = WaitingCall {
            ticket,
            length: self.times.length(&call.route),
            arrived_at: now.saturating_sub(call.waited),
            expires_at: now + call.left.saturating_sub(work).min(wait_timeout),
            late_at,
            cost: self.times.cost(&call.route),
            repeats: call.repeats,
            route: call.route,
            customer: call.customer,
            priority: call.priority,
        };
        // Guards against a deadlock: an outer call holds the last slot of a
        // reduced limit, its inner call is queued behind it, both time out,
        // and no job succeeds that could raise the limit again. Inner calls
        // therefore start while an announced slot is free, so that work begun
        // elsewhere ends first; only outer calls are held to the reduced limit.
        if skips_queue {
            self.start(now, waiting);
            return vec![GateAction::Start(ticket)];
        }
        // The call cannot be sent before its wait times out.
        if !may_send && now + pace_wait >= waiting.expires_at {
            return vec![GateAction::Refuse(ticket, RefusalReason::QueueFull)];
        }
        let in_time = waiting.late_at.is_none_or(|late| now + expected < late);
        self.queue.push(waiting, in_time);
        let mut actions = Vec::new();
        self.start_waiting(now, &mut actions);
        self.evict_excess(now, &mut actions);
        actions
    }

    /// Longest time that a call may wait for a slot.
    ///
    /// Load pattern: servers are permanently lost and the load exceeds the
    /// remaining slots for as long as it lasts. A call that waits beyond its
    /// latest useful start is refused in the end anyway, too late to be served
    /// by another server. A call that is already late waits for at most the
    /// service time of one call; after that its caller should retry.
    fn wait_timeout(
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

    /// Latest start at which the call is still expected to meet its target,
    /// with `SERVICE_TIME_MARGIN` on the recent service time.
    ///
    /// Load pattern: a server that is cold or loaded is slow for seconds and
    /// gets more calls than it can answer. With its long-term service time,
    /// each call would be started when it is already late; the recent service
    /// time prevents this. If even the recent one exceeded the target, all calls
    /// would be late on arrival and wait for each other; `MIN_SLACK_DIVISOR`
    /// prevents this. With both, 0.90 of the answers that a server could give at
    /// 1.1 times its capacity are in time after a cold start; without them, 0.00
    /// (`tests/timely_overload.rs`).
    fn late_at(&self, now: Duration, call: &OfferedCall) -> Option<Duration> {
        let work = self
            .times
            .mean_time(&call.route)
            .mul_f64(SERVICE_TIME_MARGIN);
        // Brief calls cost the others little, and many are made by servers on
        // behalf of requests that wait for them, so they are never treated as
        // late.
        if self.times.is_much_shorter(&call.route) {
            return None;
        }
        let target = call.target_left?;
        let slack = target.saturating_sub(work).max(target / MIN_SLACK_DIVISOR);
        Some(now + slack)
    }

    /// Expected wait of a call that arrives now, until it is sent.
    pub fn expected_wait(&self, now: Duration) -> Duration {
        let pace_wait = self.pace_wait(now, self.queue.timely());
        self.expected_slot_wait().max(pace_wait)
    }

    /// Time until a call behind `ahead` others may be sent, as far as the limits on
    /// calls a second are concerned.
    fn pace_wait(&self, now: Duration, ahead: usize) -> Duration {
        let cold_wait = self.cold.wait(now, ahead);
        cold_wait.max(self.statements.limit().wait(now, ahead))
    }

    fn expected_slot_wait(&self) -> Duration {
        let allowed = self.limit.allowed();
        if self.queue.is_empty() && self.in_flight() < allowed {
            return Duration::ZERO;
        }
        let mut work = Duration::ZERO;
        for call in self.running.values() {
            work += self.times.mean_time(&call.route);
        }
        // Assumes jobs of equal length at random stages of completion: a slot
        // becomes free every `mean / allowed`.
        let mean = work / self.in_flight().max(1);
        let ahead = self.queue.timely() as u32 + 1;
        mean * ahead / allowed.max(1)
    }

    /// Route of a call that holds a slot, and the recent service time of that
    /// route. `None` if the call holds no slot or no job of the route was seen.
    pub fn service_time(&self, ticket: CallTicket) -> Option<(Arc<str>, Duration)> {
        let call = self.running.get(&ticket)?;
        let work = self.times.observed_mean(&call.route)?;
        Some((Arc::clone(&call.route), work))
    }

    /// Mean probability that a running request repeats earlier work.
    pub fn repeats(&self) -> RepeatProbability {
        RepeatProbability::mean(self.running.values().map(|call| call.repeats))
    }

    fn has_free_slot(&self) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|server| self.in_flight() < server.slots)
    }

    fn check_admissible(&self, call: &OfferedCall) -> Result<(), RefusalReason> {
        // Guards against a stale endpoint record: the address may now belong
        // to another service, whose answer the caller would get.
        let announced = self.announced.as_ref();
        if announced.is_none_or(|server| server.service != call.service) {
            return Err(RefusalReason::NotAnnounced);
        }
        // Guards against calls from entry nodes that have a configuration earlier
        // than this node after both have restarted: the server may be cold or
        // evacuated, and only the configuration says what it then may get.
        if !self.configured {
            return Err(RefusalReason::NoConfiguration);
        }
        if self.evacuated {
            return Err(RefusalReason::Evacuated);
        }
        if self.is_draining() {
            return Err(RefusalReason::Draining);
        }
        // Guards against work that cannot end before its deadline: it would
        // take a slot from calls that can still be answered in time.
        if call.left <= self.times.min_time(&call.route) {
            return Err(RefusalReason::DeadlinePassed);
        }
        Ok(())
    }

    /// Releases a call's slot, or removes the call from the queue if its caller
    /// disconnected. Unknown tickets are ignored, as refused calls end here
    /// too.
    pub fn end(
        &mut self,
        now: Duration,
        ticket: CallTicket,
        outcome: SlotOutcome,
    ) -> Vec<GateAction> {
        let mut actions = Vec::new();
        let in_flight = self.in_flight();
        // A call that ends without a known send may have been sent until now.
        self.record_sent(now, ticket);
        if let Some(call) = self.running.remove(&ticket) {
            self.record_outcome(now, &call, in_flight, outcome);
        } else {
            self.queue.remove(ticket);
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    fn record_outcome(
        &mut self,
        now: Duration,
        call: &RunningCall,
        in_flight: u32,
        outcome: SlotOutcome,
    ) {
        if call.length == JobLength::Long {
            self.running_long -= 1;
        }
        let independent = self.outbound.none_since(call.outbound);
        let elapsed = now.saturating_sub(call.started_at);
        let ratio = self.times.ratio(&call.route, elapsed);
        match outcome {
            SlotOutcome::Answered(taken) => {
                self.statements.record_answer();
                let uncontended = self
                    .limit
                    .is_uncontended(in_flight.max(call.in_flight_at_start));
                self.times.observe(&call.route, taken, uncontended);
                if independent {
                    self.times.observe_local(&call.route, taken);
                }
            }
            SlotOutcome::Shed => return self.limit.shed(now),
            SlotOutcome::Failed | SlotOutcome::Cut | SlotOutcome::Abandoned => {
                self.times.observe_lower_bound(&call.route, elapsed);
                if independent {
                    self.times.observe_abandoned(&call.route, elapsed);
                }
            }
        }
        if !independent {
            return self.limit.recover(now, in_flight);
        }
        let slowdown = self.times.slowdown(&call.route);
        self.limit.observe(now, slowdown, ratio, in_flight);
    }

    /// Records that the backend server started a call of its own through the
    /// node.
    pub fn outbound_begin(&mut self) {
        self.outbound.begin();
    }

    /// Records that one of the server's own calls was answered or abandoned.
    pub fn outbound_end(&mut self) {
        self.outbound.end();
    }

    /// Refuses the queued calls whose wait has timed out, and starts those that a
    /// server with a limit on calls a second may get by now.
    pub fn wake(&mut self, now: Duration) -> Vec<GateAction> {
        let mut actions = Vec::new();
        self.start_waiting(now, &mut actions);
        self.evict_untimely(now, &mut actions);
        actions
    }

    /// Time at which [`ServerGate::wake`] must be called next, if any call is
    /// queued.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let expiry = self.queue.next_expiry()?;
        let pace_wait = self.pace_wait(now, 0);
        if pace_wait.is_zero() {
            return Some(expiry);
        }
        Some(expiry.min(now + pace_wait))
    }

    fn start_waiting(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        self.refuse_expired(now, actions);
        while self.in_flight() < self.limit.allowed() && self.pace_wait(now, 0).is_zero()
        {
            let long_job_allowed = self.running_long < self.long_jobs_max();
            let late_call_allowed =
                late_call_limit::may_start(self.in_flight(), self.limit.allowed());
            let Some(call) =
                self.queue
                    .pop(now, self.order, long_job_allowed, late_call_allowed)
            else {
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
            in_flight_at_start: self.in_flight() + 1,
            outbound: self.outbound.mark(),
        };
        self.running.insert(call.ticket, running);
        self.cold.grant(call.ticket);
        self.statements.limit_mut().grant(call.ticket);
    }

    fn long_jobs_max(&self) -> u32 {
        let allowed = self.limit.allowed();
        let reserved = allowed.div_ceil(SHORT_JOBS_DIVISOR);
        (allowed - reserved).max(1)
    }

    fn evict_excess(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        let allowed = self.limit.allowed();
        let capacity = self.standing.capacity(now, self.bounds.calls, allowed);
        let late_max = late_call_limit::waiting_max(allowed);
        while let Some(call) = self.queue.evict_late(late_max, self.order) {
            actions.push(GateAction::Refuse(call.ticket, RefusalReason::QueueFull));
        }
        while let Some(call) = self.queue.evict(capacity, self.order) {
            actions.push(GateAction::Refuse(call.ticket, RefusalReason::QueueFull));
        }
        self.evict_untimely(now, actions);
    }

    /// Refuses calls that the stated limit would keep in the queue until they time out.
    fn evict_untimely(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        let limit = self.statements.limit();
        if limit.rate().is_none() {
            return;
        }
        for ticket in limit.untimely_calls(now, &self.queue.expiries()) {
            self.queue.remove(ticket);
            actions.push(GateAction::Refuse(ticket, RefusalReason::QueueFull));
        }
    }

    fn refuse_expired(&mut self, now: Duration, actions: &mut Vec<GateAction>) {
        while let Some(ticket) = self.queue.expire(now) {
            actions.push(GateAction::Refuse(ticket, RefusalReason::QueueTimeout));
        }
    }
}
