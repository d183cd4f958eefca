//! A small fake of backend servers with slots, under a virtual clock, that
//! drives the real entry routers and gates or naive ones in their place.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

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
use cowslip_core::server_gate::AnnouncedServer;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_core::verdict::CallVerdict;
use cowslip_core::version::ConfigVersion;

use crate::naive_side::NaiveEntry;
use crate::naive_side::NaiveGate;

/// One way between any two nodes.
const ONE_WAY: Duration = Duration::from_micros(500);

/// Before it no call is offered: servers have left their warm-up ramp.
pub const START: Duration = Duration::from_secs(20);

pub const SERVICE: &str = "records";

/// Which code decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The modules.
    Real,
    /// Least outstanding of two and three tries; the gate's queue of this
    /// many calls, oldest first.
    Naive(usize),
}

/// How a backend server behaves at a moment: `None` fails within 1 ms.
pub type Behaviour =
    fn(server: usize, since_start: Duration, running: usize) -> Option<f64>;

#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub side: Side,
    pub servers: usize,
    pub slots: u32,
    pub entries: usize,
    /// Routes with their priority and time of work.
    pub routes: Vec<(&'static str, CallPriority, Duration)>,
    /// Multiplies the time of work.
    pub behaviour: Behaviour,
    /// Times that a refused or late caller asks again.
    pub resends: u32,
    pub order: QueueOrder,
    /// When server 0 joins, if it is not there from the start.
    pub joins: Option<Duration>,
}

/// One call that callers make.
#[derive(Clone, Debug)]
pub struct Offered {
    pub at: Duration,
    pub customer: Arc<str>,
    pub route: usize,
    pub deadline: Duration,
}

/// What a caller received.
#[derive(Clone, Debug)]
pub struct Received {
    pub call: Offered,
    /// From the first asking to the final answer.
    pub took: Duration,
    /// The reason, or `None` for an answer in time.
    pub refused: Option<RefusalReason>,
    pub tries: u32,
    /// Status of the backend server's answer.
    pub status: u16,
}

#[derive(Debug)]
pub struct FakeCall {
    pub offered: Offered,
    pub plan: Option<CallPlan>,
    pub tried: Vec<usize>,
    deadline_at: Duration,
    resends: u32,
    tries: u32,
    server: usize,
    sent_at: Duration,
    asking: bool,
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Join,
    Arrive(usize),
    AtGate(usize, u32),
    Done(usize, u64),
    Wake(usize),
    Reply(usize, u32, u16, Option<RefusalReason>),
    Deadline(usize, u32),
}

enum Gate {
    Real(Box<ServerGate>),
    Naive(NaiveGate),
}

enum Entry {
    Real(Box<EntryRouter>),
    Naive(NaiveEntry),
}

struct FakeServer {
    gate: Gate,
    running: HashMap<u64, Duration>,
    wake_at: Option<Duration>,
}

/// The fleet while it runs.
pub struct FakeFleet {
    plan: FleetPlan,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    entries: Vec<Entry>,
    servers: Vec<FakeServer>,
    calls: Vec<FakeCall>,
    received: Vec<Received>,
    rng: SmallRng,
    /// Work begun at each server.
    pub begun: Vec<u32>,
}

fn ticket(call: usize, tried: u32) -> u64 {
    (call as u64) * 256 + u64::from(tried)
}

pub fn instance(server: usize) -> Arc<str> {
    format!("server-{server:03}").into()
}

fn number(instance: &str) -> usize {
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

fn entry(plan: &FleetPlan, at: usize) -> Entry {
    if let Side::Naive(_) = plan.side {
        let mut entry = NaiveEntry::new(plan.servers, at as u64);
        entry.first_known = plan.joins.is_none();
        return Entry::Naive(entry);
    }
    let domain = ["hardanger", "sogn", "voss"][at % 3];
    let mut router = EntryRouter::new(domain.into(), at as u64);
    let snapshot = ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document(plan)),
    };
    assert_eq!(router.swap(snapshot), Ok(true));
    let first = usize::from(plan.joins.is_some());
    let records = (first..plan.servers).map(|server| record(server, plan.slots));
    router.merge(Duration::ZERO, records.collect());
    Entry::Real(Box::new(router))
}

fn server(plan: &FleetPlan) -> FakeServer {
    let mut gate = ServerGate::new(plan.order);
    gate.announce(AnnouncedServer {
        service: SERVICE.into(),
        version: "v1".into(),
        slots: plan.slots,
    });
    let gate = match plan.side {
        Side::Real => Gate::Real(Box::new(gate)),
        Side::Naive(room) => Gate::Naive(NaiveGate::new(plan.slots as usize, room)),
    };
    FakeServer {
        gate,
        running: HashMap::new(),
        wake_at: None,
    }
}

impl FakeFleet {
    /// Runs the offered calls to their end; what callers received, and the
    /// work begun at each server.
    pub fn run(plan: &FleetPlan, offered: Vec<Offered>) -> (Vec<Received>, Vec<u32>) {
        let mut fleet = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: (0..plan.entries).map(|at| entry(plan, at)).collect(),
            servers: (0..plan.servers).map(|_| server(plan)).collect(),
            calls: Vec::new(),
            received: Vec::new(),
            rng: SmallRng::seed_from_u64(7),
            begun: vec![0; plan.servers],
            plan: plan.clone(),
        };
        if let Some(joins) = plan.joins {
            fleet.at(START + joins, Event::Join);
        }
        for call in offered {
            fleet.at(call.at, Event::Arrive(fleet.calls.len()));
            fleet.calls.push(FakeCall {
                deadline_at: call.at + call.deadline,
                offered: call,
                plan: None,
                tried: Vec::new(),
                resends: 0,
                tries: 0,
                server: 0,
                sent_at: Duration::ZERO,
                asking: false,
                over: false,
            });
        }
        while let Some(Reverse((now, _, event))) = fleet.events.pop() {
            fleet.now = now;
            fleet.handle(event);
        }
        assert_eq!(fleet.received.len(), fleet.calls.len());
        (fleet.received, fleet.begun)
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Join => self.join(),
            Event::Arrive(call) => self.arrive(call),
            Event::AtGate(call, tried) => self.offer(call, tried),
            Event::Done(server, ticket) => self.done(server, ticket),
            Event::Wake(server) => {
                let now = self.now;
                self.servers[server].wake_at = None;
                let actions = match &mut self.servers[server].gate {
                    Gate::Real(gate) => gate.wake(now),
                    Gate::Naive(_) => Vec::new(),
                };
                self.carry_out(server, actions);
            }
            Event::Reply(call, tried, status, refused) => {
                self.reply(call, tried, status, refused);
            }
            Event::Deadline(call, tries) => self.too_late(call, tries),
        }
    }

    fn join(&mut self) {
        for entry in &mut self.entries {
            match entry {
                Entry::Real(router) => {
                    router.merge(self.now, vec![record(0, self.plan.slots)]);
                }
                Entry::Naive(entry) => entry.first_known = true,
            }
        }
    }

    fn arrive(&mut self, call: usize) {
        let fake = &mut self.calls[call];
        fake.tried.clear();
        fake.asking = true;
        fake.deadline_at = self.now + fake.offered.deadline;
        let at = (call + fake.resends as usize) % self.entries.len();
        if let Entry::Real(router) = &mut self.entries[at] {
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
        self.at(deadline_at, Event::Deadline(call, tries));
        self.begin(call);
    }

    fn begin(&mut self, call: usize) {
        let fake = &mut self.calls[call];
        let at = (call + fake.resends as usize) % self.entries.len();
        let chosen = match &mut self.entries[at] {
            Entry::Real(router) => router
                .begin(self.now, fake.plan.as_mut().unwrap())
                .map(|server| number(&server.instance)),
            Entry::Naive(entry) => entry.begin(&fake.tried),
        };
        let server = match chosen {
            Ok(server) => server,
            Err(reason) => return self.refuse(call, reason),
        };
        fake.tried.push(server);
        fake.tries += 1;
        fake.server = server;
        fake.sent_at = self.now;
        let tries = fake.tries;
        self.at(self.now + ONE_WAY, Event::AtGate(call, tries));
    }

    fn offer(&mut self, call: usize, tried: u32) {
        let fake = &self.calls[call];
        let left = fake.deadline_at.saturating_sub(self.now);
        if fake.over || fake.tries != tried || left.is_zero() {
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
        let number = ticket(call, tried);
        let actions = match &mut self.servers[server].gate {
            Gate::Real(gate) => gate.offer(self.now, number, offered),
            Gate::Naive(gate) => gate.offer(number),
        };
        self.carry_out(server, actions);
    }

    fn carry_out(&mut self, server: usize, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start(number) => self.start(server, number),
                GateAction::Refuse(number, reason) => {
                    let reply = Event::Reply(
                        (number / 256) as usize,
                        (number % 256) as u32,
                        0,
                        Some(reason),
                    );
                    self.at(self.now + ONE_WAY, reply);
                }
            }
        }
        let held = &mut self.servers[server];
        let Gate::Real(gate) = &held.gate else {
            return;
        };
        let Some(at) = gate.next_wake() else {
            return;
        };
        if held.wake_at.is_none_or(|pending| at < pending) {
            held.wake_at = Some(at);
            self.at(at, Event::Wake(server));
        }
    }

    fn start(&mut self, server: usize, number: u64) {
        self.begun[server] += 1;
        let route = self.calls[(number / 256) as usize].offered.route;
        let work = self.plan.routes[route].2;
        let running = self.servers[server].running.len() + 1;
        let factor = (self.plan.behaviour)(server, self.now - START, running);
        let work = factor.map_or(Duration::from_millis(1), |by| work.mul_f64(by));
        self.servers[server].running.insert(number, self.now);
        self.at(self.now + work, Event::Done(server, number));
    }

    fn done(&mut self, server: usize, number: u64) {
        let Some(started) = self.servers[server].running.remove(&number) else {
            return;
        };
        let fails = (self.plan.behaviour)(server, started - START, 1).is_none();
        let status = if fails { 500 } else { 200 };
        let call = (number / 256) as usize;
        let reply = Event::Reply(call, (number % 256) as u32, status, None);
        self.at(self.now + ONE_WAY, reply);
        let outcome = if fails {
            SlotOutcome::Abandoned
        } else {
            SlotOutcome::Answered(self.now - started)
        };
        self.slot_end(server, number, outcome);
    }

    fn slot_end(&mut self, server: usize, number: u64, outcome: SlotOutcome) {
        let actions = match &mut self.servers[server].gate {
            Gate::Real(gate) => gate.end(self.now, number, outcome),
            Gate::Naive(gate) => gate.end(number),
        };
        self.carry_out(server, actions);
    }

    fn reply(
        &mut self,
        call: usize,
        tried: u32,
        status: u16,
        refused: Option<RefusalReason>,
    ) {
        let fake = &self.calls[call];
        if fake.over || fake.tries != tried {
            return;
        }
        if let Some(reason) = refused {
            let verdict = CallVerdict::NotRun;
            return self.try_failed(call, TryFailure { verdict, reason });
        }
        let taken = self.now - fake.sent_at;
        let at = (call + fake.resends as usize) % self.entries.len();
        match &mut self.entries[at] {
            Entry::Real(router) => {
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
            Entry::Naive(entry) => entry.end(fake.server),
        }
        self.finish(call, None, status);
    }

    fn try_failed(&mut self, call: usize, failure: TryFailure) {
        let fake = &mut self.calls[call];
        let at = (call + fake.resends as usize) % self.entries.len();
        let next = match &mut self.entries[at] {
            Entry::Real(router) => {
                let server = cowslip_core::entry_router::ServerTry {
                    wait_max: None,
                    instance: instance(fake.server),
                    address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
                    version: "v1".into(),
                };
                router.failed(self.now, fake.plan.as_mut().unwrap(), &server, failure)
            }
            Entry::Naive(entry) => entry.failed(fake.server, &fake.tried, failure),
        };
        match next {
            NextStep::Retry(_) => self.begin(call),
            NextStep::Refuse(reason) => self.refuse(call, reason),
        }
    }

    fn too_late(&mut self, call: usize, tries_before: u32) {
        let fake = &self.calls[call];
        if !fake.asking || self.now < fake.deadline_at || fake.tries <= tries_before {
            return;
        }
        let (server, number) = (fake.server, ticket(call, fake.tries));
        self.servers[server].running.remove(&number);
        self.slot_end(server, number, SlotOutcome::Abandoned);
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
        let after = match self.plan.side {
            Side::Real => {
                let caller = CallerTime::default();
                retry_delay::retry_after(reason, caller, &mut self.rng)
            }
            Side::Naive(_) => None,
        };
        let after = after.unwrap_or(Duration::from_millis(50));
        let fake = &mut self.calls[call];
        fake.resends += 1;
        fake.asking = false;
        fake.tries += 1;
        self.at(self.now + after, Event::Arrive(call));
    }

    fn finish(&mut self, call: usize, refused: Option<RefusalReason>, status: u16) {
        let fake = &mut self.calls[call];
        assert!(!fake.over, "a caller got two answers");
        fake.over = true;
        fake.asking = false;
        self.received.push(Received {
            call: fake.offered.clone(),
            took: self.now - fake.offered.at,
            refused,
            tries: fake.tries - fake.resends,
            status,
        });
    }
}
