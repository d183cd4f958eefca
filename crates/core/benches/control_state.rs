//! Time of one change at a control instance and memory held by the replicated
//! state, by the size of the document.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ControlState;
use cowslip_core::document::validate;
use cowslip_core::document::FleetDocument;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;

/// Number of routes of each service. As in users' documents, every route depends
/// on a service.
const ROUTES_PER_SERVICE: usize = 3;

/// Number of changes timed at each size.
const CHANGES: u64 = 200;

/// Counts the allocated bytes exactly, without the noise of a process's memory
/// figures.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(block, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn document(services: usize) -> FleetDocument {
    let mut entries = Vec::new();
    for service in 0..services {
        let mut routes = Vec::new();
        for route in 0..ROUTES_PER_SERVICE {
            let path = format!("/service-{service}/route-{route}");
            routes.push(route_spec(&path, service));
        }
        entries.push((service, routes));
    }
    let mut document = FleetDocument::default();
    let mut specs = BTreeMap::new();
    for (service, routes) in entries {
        specs.insert(name(service), service_spec());
        document.routes.extend(routes.into_iter().map(Arc::new));
    }
    document.services = specs;
    document
}

fn name(service: usize) -> Arc<str> {
    format!("service-{service}").into()
}

// The document's types are decoded from maps, so that this program need not
// change whenever they gain a field.
fn service_spec() -> cowslip_core::document::ServiceSpec {
    let spec = BTreeMap::from([("version", "v1")]);
    let bytes = rmp_serde::to_vec_named(&spec).expect("it encodes");
    rmp_serde::from_slice(&bytes).expect("a service")
}

fn route_spec(path: &str, service: usize) -> cowslip_core::document::RouteSpec {
    let service = name(service).to_string();
    let spec = BTreeMap::from([("path", path), ("service", &service)]);
    let bytes = rmp_serde::to_vec_named(&spec).expect("it encodes");
    rmp_serde::from_slice(&bytes).expect("a route")
}

fn entry(number: u64, change: ConfigChange) -> ChangeEntry {
    ChangeEntry {
        request_id: format!("{number:032x}").into(),
        expected: None,
        at_ms: 0,
        change,
    }
}

fn main() {
    println!("services  document kB  held kB  validate us  change us  state B a change");
    for services in [110, 220, 440, 880] {
        measure(services);
    }
}

fn measure(services: usize) {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let document = document(services);
    let held = ALLOCATED.load(Ordering::Relaxed) - before;
    let encoded = rmp_serde::to_vec_named(&document)
        .expect("it encodes")
        .len();
    let began = Instant::now();
    for _ in 0..CHANGES {
        assert!(validate(&document).is_empty());
    }
    let validated = began.elapsed() / CHANGES as u32;
    let mut state = ControlState::default();
    let apply = entry(0, ConfigChange::Apply(document));
    state.apply(ConfigVersion::new(1, 1), &apply);
    let before = ALLOCATED.load(Ordering::Relaxed);
    let began = Instant::now();
    for number in 1..=CHANGES {
        let change = ConfigChange::SetDefault {
            key: TuningKey::DeadlineMs,
            value: 1_000 + number,
        };
        state.apply(ConfigVersion::new(1, number + 1), &entry(number, change));
    }
    let changed = began.elapsed() / CHANGES as u32;
    let grown = ALLOCATED.load(Ordering::Relaxed) - before;
    println!(
        "{services:8}  {:11.1}  {:7.1}  {:11.1}  {:9.1}  {:16}",
        encoded as f64 / 1_024.0,
        held as f64 / 1_024.0,
        validated.as_secs_f64() * 1e6,
        changed.as_secs_f64() * 1e6,
        grown / CHANGES as usize,
    );
}
