//! CPU time of each load decision and the memory it holds, at three or more
//! sizes each to show how they grow.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicIsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

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
use cowslip_core::entry_router::EntryRouter;
use cowslip_core::entry_router::TryReport;
use cowslip_core::load::customer_throttle::CustomerThrottle;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::QueueBounds;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_core::version::ConfigVersion;

/// Counts the bytes currently allocated.
struct CountingAllocator;

static HELD: AtomicIsize = AtomicIsize::new(0);

// SAFETY: both methods forward to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size() as isize, Ordering::Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        System.dealloc(at, layout);
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ROUNDS: u32 = 100_000;

fn router(servers: usize) -> EntryRouter {
    let spec = ServiceSpec {
        version: "v1".into(),
        candidate: None,
        ..ServiceSpec::default()
    };
    let route = RouteSpec {
        path: "/prices".into(),
        service: "records".into(),
        priority: CallPriority::High,
        internal: false,
        ..RouteSpec::default()
    };
    let document = FleetDocument {
        services: BTreeMap::from([("records".into(), spec)]),
        routes: vec![Arc::new(route)],
        ..FleetDocument::default()
    };
    let mut router = EntryRouter::new("voss".into(), 1);
    let swapped = router.swap(ConfigSnapshot {
        version: ConfigVersion::new(1, 1),
        document: Arc::new(document),
    });
    assert_eq!(swapped, Ok(true));
    let mut records = Vec::new();
    for number in 0..servers {
        records.push(EndpointRecord {
            instance: format!("server-{number}").into(),
            service: "records".into(),
            version: "v1".into(),
            failure_domain: ["hardanger", "sogn", "voss"][number % 3].into(),
            address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
            slots: 10,
            standing: EndpointStanding::Serving,
            incarnation: 1,
            sequence: 1,
        });
    }
    router.merge(Duration::ZERO, records);
    router
}

/// Runs one call through all decisions of the entry node.
fn entry_call(router: &mut EntryRouter, now: Duration) {
    let head = CallHead {
        host: "",
        path: "/prices/today",
        origin: CallOrigin::Outside,
        customer: "cider-house-1",
        idempotent: true,
        deadline: None,
    };
    let mut plan = router.plan(now, &head).expect("there is a route");
    let server = router.begin(now, &mut plan).expect("there are servers");
    router.ended(
        now,
        &TryReport {
            bytes: None,
            instance: server.instance,
            service: plan.service,
            route: plan.route,
            customer: plan.customer,
            priority: plan.priority,
            status: 200,
            taken: Duration::from_millis(10),
        },
    );
}

fn gate(capacity: usize) -> ServerGate {
    let mut gate = ServerGate::default();
    gate.announce(AnnouncedServer {
        service: "records".into(),
        version: "v1".into(),
        slots: 10,
    });
    gate.configure(QueueBounds {
        cold: None,
        slots_floor: 25,
        calls: capacity,
        wait: Duration::from_secs(600),
    });
    gate
}

fn offered(customer: &Arc<str>) -> OfferedCall {
    OfferedCall {
        target_left: None,
        wait_max: None,
        inner: false,
        repeats: RepeatProbability::FIRST,
        service: "records".into(),
        route: "/prices".into(),
        customer: Arc::clone(customer),
        priority: CallPriority::Normal,
        waited: Duration::ZERO,
        left: Duration::from_secs(600),
    }
}

fn names(count: u32) -> Vec<Arc<str>> {
    (0..count).map(|at| format!("grower-{at}").into()).collect()
}

fn per_round(name: &str, size: usize, mut round: impl FnMut(u32)) {
    let started = Instant::now();
    for at in 0..ROUNDS {
        round(at);
    }
    let each = started.elapsed().as_nanos() / u128::from(ROUNDS);
    println!("{name:44} {size:7} {each:8} ns");
}

fn held(name: &str, size: usize, build: impl FnOnce() -> Box<dyn std::any::Any>) {
    let before = HELD.load(Ordering::Relaxed);
    let built = build();
    let bytes = HELD.load(Ordering::Relaxed) - before;
    drop(built);
    println!("{name:44} {size:7} {:8.1} KB", bytes as f64 / 1_024.0);
}

fn entry_times() {
    for servers in [12, 120, 1_200] {
        let mut router = router(servers);
        per_round("entry: plan, begin, ended; by servers", servers, |at| {
            entry_call(
                &mut router,
                Duration::from_secs(20) + Duration::from_micros(at.into()),
            );
        });
    }
}

/// Ten calls run and the queue is full. In each round one call ends, the next
/// starts, a new one arrives and one is evicted.
fn gate_times() {
    for capacity in [16, 64, 256, 1_024] {
        let names = names(10_000);
        let mut gate = gate(capacity);
        let mut running = Vec::new();
        for at in 0..capacity as u64 + 10 {
            gate.offer(Duration::ZERO, at, offered(&names[at as usize]));
            if at < 10 {
                running.push(at);
            }
        }
        let mut ticket = 10_000;
        per_round(
            "gate: end, start, offer; by calls waiting",
            capacity,
            |at| {
                let ended = running[at as usize % 10];
                let now = Duration::from_micros(at.into());
                let outcome = SlotOutcome::Answered(Duration::from_millis(10));
                for action in gate.end(now, ended, outcome) {
                    if let cowslip_core::server_gate::GateAction::Start(started) = action
                    {
                        running[at as usize % 10] = started;
                    }
                }
                ticket += 1;
                let name = &names[at as usize % names.len()];
                gate.offer(now, ticket, offered(name));
            },
        );
    }
}

fn throttle_times() {
    for customers in [10, 1_000, 100_000] {
        let names = names(customers);
        let mut throttle = CustomerThrottle::new(1);
        let mut rng = SmallRng::seed_from_u64(1);
        per_round("throttle: admit; by customers", names.len(), |at| {
            let name = &names[at as usize % names.len()];
            let now = Duration::from_micros(at.into());
            throttle.admit(now, name, CallPriority::Normal, &mut rng);
        });
    }
}

fn memory() {
    for customers in [10, 1_000, 100_000] {
        held("throttle of one service; by customers", customers, || {
            let mut throttle = CustomerThrottle::new(1);
            let mut rng = SmallRng::seed_from_u64(1);
            for name in names(customers as u32) {
                throttle.admit(Duration::ZERO, &name, CallPriority::Normal, &mut rng);
            }
            Box::new(throttle)
        });
    }
    for customers in [10, 1_000, 100_000] {
        held("gate that served; by customers", customers, || {
            let mut gate = gate(64);
            for (ticket, name) in names(customers as u32).iter().enumerate() {
                let ticket = ticket as u64;
                let now = Duration::from_micros(ticket);
                gate.offer(now, ticket, offered(name));
                let outcome = SlotOutcome::Answered(Duration::from_millis(10));
                gate.end(now, ticket, outcome);
            }
            Box::new(gate)
        });
    }
    for waiting in [16, 64, 256, 1_024] {
        held("gate; by calls waiting, a customer each", waiting, || {
            let mut gate = gate(waiting);
            let names = names(waiting as u32 + 10);
            for (ticket, name) in names.iter().enumerate() {
                gate.offer(Duration::ZERO, ticket as u64, offered(name));
            }
            Box::new(gate)
        });
    }
    for servers in [100, 1_000, 5_200] {
        held("entry router; by endpoints", servers, || {
            Box::new(router(servers))
        });
    }
}

fn main() {
    entry_times();
    gate_times();
    throttle_times();
    memory();
}
