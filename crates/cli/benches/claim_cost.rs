//! Cost of a claim: processor time by the number of seats in the roster, bytes
//! and messages on the wire, memory per key, and latency through real nodes on
//! loopback.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::hint::black_box;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use awc::Client;

use cowslip_cli::local_fleet::DeploymentPlan;
use cowslip_cli::local_fleet::LocalFleet;
use cowslip_cli::request_id::new_request_id;
use cowslip_core::change::ConfigChange;
use cowslip_core::claim::ByteBlob;
use cowslip_core::claim::ClaimHolder;
use cowslip_core::claim::ClaimKey;
use cowslip_core::claim::ClaimProposal;
use cowslip_core::claim::ClaimRequest;
use cowslip_core::claim::ClaimState;
use cowslip_core::claim::ClaimStep;
use cowslip_core::claim::ClaimSubject;
use cowslip_core::claim::HolderRoster;
use cowslip_core::claim::HolderSeat;
use cowslip_core::claim::KeptAnswer;
use cowslip_core::claim::KeyDigest;
use cowslip_core::claim::RunToken;
use cowslip_wire::codec;

const SEAT_COUNTS: [usize; 3] = [9, 300, 1_280];
const KEYS: u64 = 10_000;
const CALLS: usize = 1_000;
const ANSWER_BYTES: usize = 300;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(block, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    println!("seats  draw us  claim and end us  bytes a call  messages a call");
    for seats in SEAT_COUNTS {
        measure_claims(seats);
    }
    measure_memory();
    actix_rt::System::new().block_on(measure_latency());
}

fn roster(seats: usize) -> HolderRoster {
    let mut roster = HolderRoster::default();
    for number in 0..seats {
        roster.seats.push(HolderSeat {
            instance: format!("contract-{number}").into(),
            failure_domain: format!("domain-{}", number % 5).into(),
        });
    }
    roster
}

fn subject(number: u64, holder_sets: Vec<Vec<Arc<str>>>) -> ClaimSubject {
    ClaimSubject {
        key: ClaimKey::new("anna", "/contracts", &format!("key-{number}")),
        request: KeyDigest::of(&[b"sale"]),
        token: RunToken {
            node: "contract-1".into(),
            incarnation: 1,
            serial: number,
        },
        holder_sets,
    }
}

fn answered() -> ClaimState {
    ClaimState::Answered(KeptAnswer {
        status: 200,
        headers: vec![("content-type".into(), ByteBlob::new(b"text/plain"))],
        body: ByteBlob::new(&[b'x'; ANSWER_BYTES]),
    })
}

/// Bytes and messages sent.
#[derive(Default)]
struct WireCost {
    bytes: usize,
    messages: usize,
}

/// Sends one phase of a claim to its holders and handles their replies. Adds to
/// `cost` if it is given.
fn run_phase(
    proposal: &mut ClaimProposal,
    holders: &mut [ClaimHolder],
    request: &ClaimRequest,
    cost: &mut Option<WireCost>,
) -> ClaimStep {
    let now = Duration::from_secs(1_000);
    let mut last = ClaimStep::Wait;
    for (at, name) in proposal.holders().iter().enumerate() {
        let reply = holders[at].handle(now, request.clone());
        if let Some(cost) = cost {
            cost.messages += 2;
            cost.bytes += codec::encode(request).map_or(0, |bytes| bytes.len());
            cost.bytes += codec::encode(&reply).map_or(0, |bytes| bytes.len());
        }
        let step = proposal.handle(name, reply);
        if step != ClaimStep::Wait {
            last = step;
        }
    }
    last
}

fn run_call(
    subject: ClaimSubject,
    holders: &mut [ClaimHolder],
    cost: &mut Option<WireCost>,
) -> ClaimProposal {
    let mut proposal = ClaimProposal::claim(subject);
    let mut step = proposal.begin();
    while let ClaimStep::Send(request) = step {
        step = run_phase(&mut proposal, holders, &request, cost);
    }
    let (mut proposal, request) = proposal.end_granted(answered());
    run_phase(&mut proposal, holders, &request, cost);
    proposal
}

fn holders() -> Vec<ClaimHolder> {
    let mut holders = Vec::new();
    for _ in 0..3 {
        holders.push(ClaimHolder::new(Duration::ZERO));
    }
    holders
}

fn measure_claims(seats: usize) {
    let roster = roster(seats);
    let started = Instant::now();
    for number in 0..KEYS {
        let key = ClaimKey::new("anna", "/contracts", &number.to_string());
        black_box(roster.holder_sets(&key.digest));
    }
    let selection = started.elapsed();
    let mut holders = holders();
    let sets = roster.holder_sets(&KeyDigest::of(&[b"any"]));
    let started = Instant::now();
    for number in 0..KEYS {
        black_box(run_call(
            subject(number, sets.clone()),
            &mut holders,
            &mut None,
        ));
    }
    let claims = started.elapsed();
    let mut cost = Some(WireCost::default());
    run_call(subject(KEYS, sets), &mut holders, &mut cost);
    let cost = cost.unwrap_or_default();
    println!(
        "{seats:5}  {:7.1}  {:16.1}  {:12}  {:15}",
        per_key_us(selection),
        per_key_us(claims),
        cost.bytes,
        cost.messages
    );
}

fn per_key_us(taken: Duration) -> f64 {
    taken.as_secs_f64() * 1e6 / KEYS as f64
}

fn measure_memory() {
    for keys in [1_000, 5_000, 10_000] {
        let sets = roster(9).holder_sets(&KeyDigest::of(&[b"any"]));
        let mut holders = holders();
        let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
        for number in 0..keys {
            drop(run_call(
                subject(number, sets.clone()),
                &mut holders,
                &mut None,
            ));
        }
        let bytes = ALLOCATED_BYTES.load(Ordering::Relaxed) - before;
        let each = bytes as f64 / 3.0 / keys as f64;
        println!(
            "memory: {keys} keys with answers of {ANSWER_BYTES} bytes: {each:.0} bytes a key and holder"
        );
        drop(holders);
    }
}

fn new_key(number: usize) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis() as u64;
    let low = millis & 0xffff;
    format!("{:08x}-{low:04x}-7000-8000-{number:012x}", millis >> 16)
}

async fn measure_latency() {
    let folder = tempfile::tempdir().expect("a folder");
    let plan = DeploymentPlan::named("sidertre").expect("a known deployment");
    let fleet = LocalFleet::spawn(&plan, folder.path()).await;
    let fleet = fleet.expect("a fleet");
    let operator = fleet.operator();
    let change = ConfigChange::Apply(plan.document());
    let request_id = new_request_id();
    while operator
        .change(Arc::clone(&request_id), None, change.clone())
        .await
        .is_err()
    {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let client = Client::default();
    let url = format!("http://{}/contracts/1", fleet.nodes[0].node.callers());
    while send_call(&client, &url, Some(new_key(CALLS))).await != 200 {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    for round in 0..3 {
        let plain = measure_calls(&client, &url, false, round).await;
        let keyed = measure_calls(&client, &url, true, round).await;
        println!(
            "loopback, one call at a time, p50 / p99 ms: plain {:.2} / {:.2}, with key {:.2} / {:.2}",
            plain.0, plain.1, keyed.0, keyed.1
        );
    }
}

async fn send_call(client: &Client, url: &str, key: Option<String>) -> u16 {
    let mut request = client.post(url);
    if let Some(key) = key {
        request = request.insert_header(("idempotency-key", key));
    }
    let Ok(mut response) = request.send_body("sale").await else {
        return 0;
    };
    let _ = response.body().await;
    response.status().as_u16()
}

async fn measure_calls(
    client: &Client,
    url: &str,
    keyed: bool,
    round: usize,
) -> (f64, f64) {
    let mut taken = Vec::with_capacity(CALLS);
    for number in 0..CALLS {
        let key = keyed.then(|| new_key(round * CALLS + number));
        let started = Instant::now();
        assert_eq!(send_call(client, url, key).await, 200, "a call failed");
        taken.push(started.elapsed().as_secs_f64() * 1e3);
    }
    taken.sort_by(f64::total_cmp);
    (taken[CALLS / 2], taken[CALLS * 99 / 100])
}
