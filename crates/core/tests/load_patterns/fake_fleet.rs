//! A discrete-event simulation of a fleet under a virtual clock. It simulates
//! backend servers with slots, and drives either the real entry routers and
//! gates or naive replacements.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::CallPriority;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::entry_router::CallHead;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::CallPlan;
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::entry_router::TryReport;
use cowslip_core::load::deadline_budget;
use cowslip_core::load::queue_order::QueueOrder;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::load::retry_delay;
use cowslip_core::load::retry_delay::CallerTime;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

use crate::naive_policy::NaiveEntry;
use crate::naive_policy::NaiveGate;

/// One-way network delay between any two nodes.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);

/// Time of the first call. By then the servers have passed their warm-up ramp.
pub const START: Duration = Duration::from_secs(20);

pub const SERVICE: &str = "records";

/// Which routing and admission code the simulation runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The entry router and the server gate of this crate.
    Real,
    /// The less loaded of two random servers, up to three tries, and at each
    /// server a first-in-first-out queue of at most this many calls.
    Naive(usize),
}

/// Factor by which a call's work takes longer on a server at a moment. With
/// `None` the call fails within 1 ms.
pub type WorkFactor =
    fn(server: usize, since_start: Duration, running: usize) -> Option<f64>;

#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub policy: PolicyKind,
    pub servers: usize,
    pub slots: u32,
    pub entries: usize,
    /// Path, priority and work time of each route.
    pub routes: Vec<(&'static str, CallPriority, Duration)>,
    /// Multiplies the work time.
    pub work_factor: WorkFactor,
    /// How often a caller resends a refused or late call.
    pub resends: u32,
    pub order: QueueOrder,
    /// Time after [`START`] at which server 0 joins; `None` if it is present
    /// from the beginning.
    pub joins_after: Option<Duration>,
}

/// A call that a caller makes.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub at: Duration,
    pub customer: Arc<str>,
    pub route: usize,
    pub deadline: Duration,
}

/// Final result of a caller's call.
#[derive(Clone, Debug)]
pub struct CallerResult {
    pub call: CallerRequest,
    /// Time from the first send to the final answer.
    pub took: Duration,
    /// Reason of the refusal; `None` if the call was answered in time.
    pub refused: Option<RefusalReason>,
    pub tries: u32,
    /// Status of the backend server's answer.
    pub status: u16,
}

#[derive(Debug)]
pub struct FakeCall {
    pub offered: CallerRequest,
    pub plan: Option<CallPlan>,
    pub tried_servers: Vec<usize>,
    deadline_at: Duration,
    resends: u32,
    tries: u32,
    server: usize,
    sent_at: Duration,
    awaiting_answer: bool,
    finished: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Join,
    Arrive(usize),
    AtGate(usize, u32),
    Done(usize, u64),
    Wake(usize),
    Reply(usize, u32, u16, Option<RefusalReason>),
    Deadline(usize, u32),
}

enum GateKind {
    Real(Box<ServerGate>),
    Naive(NaiveGate),
}

enum EntryKind {
    Real(Box<EntryRouter>),
    Naive(NaiveEntry),
}

struct FakeServer {
    gate: GateKind,
    running: HashMap<u64, Duration>,
    wake_at: Option<Duration>,
}

/// State of the simulated fleet.
pub struct FakeFleet {
    plan: FleetPlan,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, FleetEvent)>>,
    sequence: u64,
    entries: Vec<EntryKind>,
    servers: Vec<FakeServer>,
    calls: Vec<FakeCall>,
    received: Vec<CallerResult>,
    rng: SmallRng,
    /// Number of calls started at each server.
    pub started_calls: Vec<u32>,
}

/// Identifies one try of a call. The factor leaves 256 numbers for each call.
fn try_number(call: usize, tries: u32) -> u64 {
    (call as u64) * 256 + u64::from(tries)
}

pub fn instance(server: usize) -> Arc<str> {
    format!("server-{server:03}").into()
}

fn server_index(instance: &str) -> usize {
    instance["server-".len()..].parse().unwrap()
}

pub fn document(plan: &FleetPlan) -> FleetDocument {
    let spec = ServiceSpec {
        version: "v1".into(),
        candidate: None,
        ..ServiceSpec::default()
    };
    let routes = plan.routes.iter().map(|(path, priority, _)| RouteSpec {
        path: (*path).into(),
        service: SERVICE.into(),
        priority: *priority,
        internal: false,
        ..RouteSpec::default()
    });
    FleetDocument {
        services: BTreeMap::from([(SERVICE.into(), spec)]),
        routes: routes.map(Arc::new).collect(),
        ..FleetDocument::default()
    }
}

pub fn record(server: usize, slots: u32) -> EndpointRecord {
    EndpointRecord {
        instance: instance(server),
        service: SERVICE.into(),
        version: "v1".into(),
        failure_domain: ["hardanger", "sogn", "voss"][server % 3].into(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        slots,
        standing: EndpointStanding::Serving,
        incarnation: 1,
        sequence: 1,
    }
}

fn entry(plan: &FleetPlan, at: usize) -> EntryKind {
    if let PolicyKind::Naive(_) = plan.policy {
        let mut entry = NaiveEntry::new(plan.servers, at as u64);
        entry.first_server_known = plan.joins_after.is_none();
        return EntryKind::Naive(entry);
    }
    let domain = ["hardanger", "sogn", "voss"][at % 3];
    let mut router = EntryRouter::new(domain.into(), at as u64);
    let snapshot = ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document(plan)),
    };
    assert_eq!(router.swap(snapshot), Ok(true));
    let first = usize::from(plan.joins_after.is_some());
    let records = (first..plan.servers).map(|server| record(server, plan.slots));
    router.merge(Duration::ZERO, records.collect());
    EntryKind::Real(Box::new(router))
}

fn server(plan: &FleetPlan) -> FakeServer {
    let mut gate = ServerGate::new(plan.order);
    gate.announce(AnnouncedServer {
        service: SERVICE.into(),
        version: "v1".into(),
        slots: plan.slots,
    });
    gate.configure(QueueBounds::default());
    let gate = match plan.policy {
        PolicyKind::Real => GateKind::Real(Box::new(gate)),
        PolicyKind::Naive(queue_max) => {
            GateKind::Naive(NaiveGate::new(plan.slots as usize, queue_max))
        }
    };
    FakeServer {
        gate,
        running: HashMap::new(),
        wake_at: None,
    }
}

impl FakeFleet {
    /// Simulates the offered calls until all have ended. Returns the results of
    /// the callers and the number of calls started at each server.
    pub fn run(
        plan: &FleetPlan,
        offered: Vec<CallerRequest>,
    ) -> (Vec<CallerResult>, Vec<u32>) {
        let mut fleet = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: (0..plan.entries).map(|at| entry(plan, at)).collect(),
            servers: (0..plan.servers).map(|_| server(plan)).collect(),
            calls: Vec::new(),
            received: Vec::new(),
            rng: SmallRng::seed_from_u64(7),
            started_calls: vec![0; plan.servers],
            plan: plan.clone(),
        };
        if let Some(joins) = plan.joins_after {
            fleet.schedule(START + joins, FleetEvent::Join);
        }
        for call in offered {
            fleet.schedule(call.at, FleetEvent::Arrive(fleet.calls.len()));
            fleet.calls.push(FakeCall {
                deadline_at: call.at + call.deadline,
                offered: call,
                plan: None,
                tried_servers: Vec::new(),
                resends: 0,
                tries: 0,
                server: 0,
                sent_at: Duration::ZERO,
                awaiting_answer: false,
                finished: false,
            });
        }
        while let Some(Reverse((now, _, event))) = fleet.events.pop() {
            fleet.now = now;
            fleet.handle(event);
        }
        assert_eq!(fleet.received.len(), fleet.calls.len());
        (fleet.received, fleet.started_calls)
    }

    fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Join => self.join(),
            FleetEvent::Arrive(call) => self.arrive(call),
            FleetEvent::AtGate(call, tries) => self.offer(call, tries),
            FleetEvent::Done(server, number) => self.work_done(server, number),
            FleetEvent::Wake(server) => {
                let now = self.now;
                self.servers[server].wake_at = None;
                let actions = match &mut self.servers[server].gate {
                    GateKind::Real(gate) => gate.wake(now),
                    GateKind::Naive(_) => Vec::new(),
                };
                self.carry_out(server, actions);
            }
            FleetEvent::Reply(call, tries, status, refused) => {
                self.reply(call, tries, status, refused);
            }
            FleetEvent::Deadline(call, tries) => self.deadline_passed(call, tries),
        }
    }

    fn join(&mut self) {
        for entry in &mut self.entries {
            match entry {
                EntryKind::Real(router) => {
                    router.merge(self.now, vec![record(0, self.plan.slots)]);
                }
                EntryKind::Naive(entry) => entry.first_server_known = true,
            }
        }
    }

    fn arrive(&mut self, call: usize) {
        let fake = &mut self.calls[call];
        fake.tried_servers.clear();
        fake.awaiting_answer = true;
        fake.deadline_at = self.now + fake.offered.deadline;
        let at = (call + fake.resends as usize) % self.entries.len();
        if let EntryKind::Real(router) = &mut self.entries[at] {
            let head = CallHead {
                host: "",
                path: self.plan.routes[fake.offered.route].0,
                origin: CallOrigin::Outside,
                customer: &fake.offered.customer,
                idempotent: true,
                deadline: Some(fake.offered.deadline),
            };
            match router.plan(self.now, &head) {
                Ok(plan) => fake.plan = Some(plan),
                Err(reason) => return self.refuse(call, reason),
            }
        }
        let deadline_at = fake.deadline_at;
        let tries = fake.tries;
        self.schedule(deadline_at, FleetEvent::Deadline(call, tries));
        self.begin_try(call);
    }

    fn begin_try(&mut self, call: usize) {
        let fake = &mut self.calls[call];
        let at = (call + fake.resends as usize) % self.entries.len();
        let chosen = match &mut self.entries[at] {
            EntryKind::Real(router) => router
                .begin(self.now, fake.plan.as_mut().unwrap())
                .map(|server| server_index(&server.instance)),
            EntryKind::Naive(entry) => entry.begin(&fake.tried_servers),
        };
        let server = match chosen {
            Ok(server) => server,
            Err(reason) => return self.refuse(call, reason),
        };
        fake.tried_servers.push(server);
        fake.tries += 1;
        fake.server = server;
        fake.sent_at = self.now;
        let tries = fake.tries;
        self.schedule(self.now + ONE_WAY_DELAY, FleetEvent::AtGate(call, tries));
    }

    fn offer(&mut self, call: usize, tries: u32) {
        let fake = &self.calls[call];
        let left = fake.deadline_at.saturating_sub(self.now);
        if fake.finished || fake.tries != tries || left.is_zero() {
            return;
        }
        let (path, priority, _) = self.plan.routes[fake.offered.route];
        let offered = OfferedCall {
            target_left: None,
            wait_max: None,
            inner: false,
            repeats: RepeatProbability::FIRST,
            service: SERVICE.into(),
            route: path.into(),
            customer: Arc::clone(&fake.offered.customer),
            priority,
            waited: self.now - (fake.deadline_at - fake.offered.deadline),
            left: deadline_budget::for_next_hop(left),
        };
        let server = fake.server;
        let number = try_number(call, tries);
        let actions = match &mut self.servers[server].gate {
            GateKind::Real(gate) => gate.offer(self.now, number, offered),
            GateKind::Naive(gate) => gate.offer(number),
        };
        self.carry_out(server, actions);
    }

    fn carry_out(&mut self, server: usize, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start(number) => self.start(server, number),
                GateAction::Refuse(number, reason) => {
                    let reply = FleetEvent::Reply(
                        (number / 256) as usize,
                        (number % 256) as u32,
                        0,
                        Some(reason),
                    );
                    self.schedule(self.now + ONE_WAY_DELAY, reply);
                }
            }
        }
        let held = &mut self.servers[server];
        let GateKind::Real(gate) = &held.gate else {
            return;
        };
        let Some(at) = gate.next_wake(self.now) else {
            return;
        };
        if held.wake_at.is_none_or(|pending| at < pending) {
            held.wake_at = Some(at);
            self.schedule(at, FleetEvent::Wake(server));
        }
    }

    fn start(&mut self, server: usize, number: u64) {
        self.started_calls[server] += 1;
        let route = self.calls[(number / 256) as usize].offered.route;
        let work = self.plan.routes[route].2;
        let running = self.servers[server].running.len() + 1;
        let factor = (self.plan.work_factor)(server, self.now - START, running);
        let work = factor.map_or(Duration::from_millis(1), |by| work.mul_f64(by));
        self.servers[server].running.insert(number, self.now);
        self.schedule(self.now + work, FleetEvent::Done(server, number));
    }

    fn work_done(&mut self, server: usize, number: u64) {
        let Some(started) = self.servers[server].running.remove(&number) else {
            return;
        };
        let fails = (self.plan.work_factor)(server, started - START, 1).is_none();
        let status = if fails { 500 } else { 200 };
        let call = (number / 256) as usize;
        let reply = FleetEvent::Reply(call, (number % 256) as u32, status, None);
        self.schedule(self.now + ONE_WAY_DELAY, reply);
        let outcome = if fails {
            SlotOutcome::Abandoned
        } else {
            SlotOutcome::Answered(self.now - started)
        };
        self.end_slot(server, number, outcome);
    }

    fn end_slot(&mut self, server: usize, number: u64, outcome: SlotOutcome) {
        let actions = match &mut self.servers[server].gate {
            GateKind::Real(gate) => gate.end(self.now, number, outcome),
            GateKind::Naive(gate) => gate.end(number),
        };
        self.carry_out(server, actions);
    }

    fn reply(
        &mut self,
        call: usize,
        tries: u32,
        status: u16,
        refused: Option<RefusalReason>,
    ) {
        let fake = &self.calls[call];
        if fake.finished || fake.tries != tries {
            return;
        }
        if let Some(reason) = refused {
            let verdict = CallVerdict::NotRun;
            return self.try_failed(call, TryFailure { verdict, reason });
        }
        let taken = self.now - fake.sent_at;
        let at = (call + fake.resends as usize) % self.entries.len();
        match &mut self.entries[at] {
            EntryKind::Real(router) => {
                let plan = fake.plan.as_ref().unwrap();
                let report = TryReport {
                    bytes: None,
                    instance: instance(fake.server),
                    service: Arc::clone(&plan.service),
                    route: Arc::clone(&plan.route),
                    customer: Arc::clone(&plan.customer),
                    priority: plan.priority,
                    status,
                    taken,
                };
                router.ended(self.now, &report);
            }
            EntryKind::Naive(entry) => entry.end(fake.server),
        }
        self.finish(call, None, status);
    }

    fn try_failed(&mut self, call: usize, failure: TryFailure) {
        let fake = &mut self.calls[call];
        let at = (call + fake.resends as usize) % self.entries.len();
        let next = match &mut self.entries[at] {
            EntryKind::Real(router) => {
                let server = cowslip_core::entry_router::ServerTry {
                    wait_max: None,
                    instance: instance(fake.server),
                    address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
                    version: "v1".into(),
                };
                router.failed(self.now, fake.plan.as_mut().unwrap(), &server, failure)
            }
            EntryKind::Naive(entry) => {
                entry.failed(fake.server, &fake.tried_servers, failure)
            }
        };
        match next {
            NextStep::Retry(_) => self.begin_try(call),
            NextStep::Refuse(reason) => self.refuse(call, reason),
        }
    }

    fn deadline_passed(&mut self, call: usize, tries_at_start: u32) {
        let fake = &self.calls[call];
        if !fake.awaiting_answer
            || self.now < fake.deadline_at
            || fake.tries <= tries_at_start
        {
            return;
        }
        let (server, number) = (fake.server, try_number(call, fake.tries));
        self.servers[server].running.remove(&number);
        self.end_slot(server, number, SlotOutcome::Abandoned);
        let failure = TryFailure {
            verdict: CallVerdict::MayHaveRun,
            reason: RefusalReason::DeadlinePassed,
        };
        self.try_failed(call, failure);
    }

    fn refuse(&mut self, call: usize, reason: RefusalReason) {
        let again = self.calls[call].resends < self.plan.resends;
        if !again {
            return self.finish(call, Some(reason), 0);
        }
        let after = match self.plan.policy {
            PolicyKind::Real => {
                let caller = CallerTime::default();
                retry_delay::retry_after(reason, caller, &mut self.rng)
            }
            PolicyKind::Naive(_) => None,
        };
        let after = after.unwrap_or(Duration::from_millis(50));
        let fake = &mut self.calls[call];
        fake.resends += 1;
        fake.awaiting_answer = false;
        fake.tries += 1;
        self.schedule(self.now + after, FleetEvent::Arrive(call));
    }

    fn finish(&mut self, call: usize, refused: Option<RefusalReason>, status: u16) {
        let fake = &mut self.calls[call];
        assert!(!fake.finished, "a caller got two answers");
        fake.finished = true;
        fake.awaiting_answer = false;
        self.received.push(CallerResult {
            call: fake.offered.clone(),
            took: self.now - fake.offered.at,
            refused,
            tries: fake.tries - fake.resends,
            status,
        });
    }
}
