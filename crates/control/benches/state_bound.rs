//! What control processes take as changes accumulate: memory, disk, bytes written, the
//! time of a start and the longest wait of an order.
//!
//! Each change sets the weights of all routes. A follower is killed halfway and starts
//! again 200 changes later; at the end one joins with an empty folder. The time of a start
//! is that of a follower, killed for it.
//!
//! Usage: `cargo bench --bench state_bound -- ROUTES PAUSE CHANGES...`, with the pause
//! after each change in milliseconds and the numbers of changes after which a line is
//! printed.

use std::fs;
use std::process::Child;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslip_core::agreement::MemberAnswer;
use cowslip_core::agreement::MemberChange;
use cowslip_core::agreement::MemberLine;
use cowslip_core::agreement::MemberRole;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::NumberedRevision;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::document::WeightedService;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::agreement_messages::MemberCall;
use cowslip_wire::agreement_messages::MembersCall;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::peer_client::PeerClient;

use self::control_fleet::ask;
use self::control_fleet::ControlFleet;
use self::control_fleet::OPERATOR_KEY;

#[path = "../tests/support/control_fleet.rs"]
mod control_fleet;

/// Changes that a killed instance misses.
const MISSED: u64 = 200;

/// Time for a started instance to apply its log and catch up.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Timeout of a join; only a broken fleet reaches it.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);

fn main() {
    let mut numbers = Vec::new();
    for argument in std::env::args().skip(1) {
        // Cargo adds `--bench`.
        numbers.extend(argument.parse::<u64>());
    }
    let [routes, pause, lines @ ..] = numbers.as_slice() else {
        eprintln!("usage: cargo bench --bench state_bound -- ROUTES PAUSE CHANGES...");
        return;
    };
    let pause = Duration::from_millis(*pause);
    actix_rt::System::new().block_on(measure(*routes, pause, lines));
}

/// The document of a revision: its number decides the weights of all routes.
fn document(routes: u64, revision: u64) -> FleetDocument {
    let mut document = FleetDocument::default();
    if revision == 0 {
        return document;
    }
    for name in ["ledger", "documents"] {
        let spec = ServiceSpec {
            version: "v1".into(),
            ..ServiceSpec::default()
        };
        document.services.insert(name.into(), spec);
    }
    for route in 0..routes {
        let weight = 50 + (route + revision) % 50;
        let split = |service: &str, weight| WeightedService {
            service: service.into(),
            weight,
        };
        let mut spec = RouteSpec {
            path: format!("/route{route}").into(),
            service: "ledger".into(),
            split: vec![
                split("ledger", weight as u32),
                split("documents", 100 - weight as u32),
            ],
            timeout_ms: Some(800),
            target_ms: Some(300),
            ..RouteSpec::default()
        };
        let label = format!(
            "{{\"name\":\"r-{route:06x}\",\"weight\":{weight}}}{:150}",
            "written as the operator wrote it"
        );
        spec.labels.insert("written".into(), label.into());
        document.routes.push(Arc::new(spec));
    }
    document
}

fn revision(number: u64, before: &FleetDocument, after: &FleetDocument) -> ChangeCall {
    let snapshot = |document: &FleetDocument| ConfigSnapshot {
        document: Arc::new(document.clone()),
        ..ConfigSnapshot::default()
    };
    let digest = ConfigDigest::default();
    let delta = ConfigDelta::between(&snapshot(before), &snapshot(after), digest);
    let revision = NumberedRevision {
        number,
        builds_on: number - 1,
        delta: delta.expect("routes and services are part of a delta"),
    };
    ChangeCall {
        entry: ChangeEntry {
            request_id: format!("revision-{number}-of-this-benchmark").into(),
            expected: None,
            at_ms: 0,
            change: ConfigChange::Revise(Box::new(revision)),
        },
    }
}

async fn measure(routes: u64, pause: Duration, lines: &[u64]) {
    let mut fleet = ControlFleet::spawn();
    let client = PeerClient::new(AccessKey::new(OPERATOR_KEY));
    let last = lines.last().copied().unwrap_or_default();
    let mut before = document(routes, 0);
    let mut waits = Vec::new();
    let mut missing = 0;
    println!(
        "changes  peak MB  disk MB  written KB/change  start ms  order p50 ms  max ms"
    );
    let mut written = vec![0; fleet.addresses.len()];
    for number in 0..=last {
        if number > 0 {
            let after = document(routes, number);
            let call = revision(number, &before, &after);
            let sent = Instant::now();
            let outcome = ask(&client, &fleet.addresses, &call).await;
            waits.push(sent.elapsed());
            assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
            before = after;
            actix_rt::time::sleep(pause).await;
        }
        if number == last / 2 {
            missing = follower(&client, &fleet).await;
            fleet.kill(missing);
            written[missing] = 0;
        }
        if number == last / 2 + MISSED {
            fleet.start(missing);
        }
        if lines.contains(&number) {
            print_line(&mut fleet, &client, number, &mut waits, &mut written).await;
        }
    }
    fleet.start(missing);
    actix_rt::time::sleep(SETTLE_TIME).await;
    let joined = join(&mut fleet, &client).await;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let peak = peak_kilobytes(fleet.children[joined].as_ref());
    println!(
        "peak of the instance that joined: {:.1} MB",
        peak as f64 / 1e3
    );
}

async fn print_line(
    fleet: &mut ControlFleet,
    client: &PeerClient,
    number: u64,
    waits: &mut Vec<Duration>,
    written: &mut [u64],
) {
    let mut peak = 0;
    let mut disk = 0;
    let mut most_written = 0;
    for (at, child) in fleet.children.iter().enumerate() {
        peak = peak.max(peak_kilobytes(child.as_ref()));
        disk = disk.max(disk_bytes(fleet, at));
        let total = written_bytes(child.as_ref());
        most_written = most_written.max(total.saturating_sub(written[at]));
        written[at] = total;
    }
    waits.sort();
    let median = waits.get(waits.len() / 2).copied().unwrap_or_default();
    let longest = waits.last().copied().unwrap_or_default();
    let written_each = most_written as f64 / 1e3 / waits.len().max(1) as f64;
    let restarted = follower(client, fleet).await;
    fleet.kill(restarted);
    written[restarted] = 0;
    let started = Instant::now();
    fleet.start(restarted);
    let address = fleet.addresses[restarted];
    let timeout = Duration::from_secs(1);
    while client
        .send(address, &MembersCall {}, timeout)
        .await
        .is_err()
    {
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
    let start = started.elapsed();
    actix_rt::time::sleep(SETTLE_TIME).await;
    peak = peak.max(peak_kilobytes(fleet.children[restarted].as_ref()));
    println!(
        "{number:7}  {:7.1}  {:7.1}  {written_each:17.1}  {:8.0}  {:12.1}  {:6.1}",
        peak as f64 / 1e3,
        disk as f64 / 1e6,
        start.as_secs_f64() * 1e3,
        median.as_secs_f64() * 1e3,
        longest.as_secs_f64() * 1e3,
    );
    waits.clear();
}

/// A running instance that does not lead.
async fn follower(client: &PeerClient, fleet: &ControlFleet) -> usize {
    let members: Vec<MemberLine> = ask(client, &fleet.addresses, &MembersCall {}).await;
    let leader = members.iter().find(|line| line.leads);
    let leader = leader.map(|line| line.address);
    let follows = |at: &usize| {
        fleet.children[*at].is_some() && Some(fleet.addresses[*at]) != leader
    };
    let follower = (0..fleet.addresses.len()).find(follows);
    follower.expect("two instances run")
}

/// Replaces a follower by one with an empty folder, waits until it votes, and returns
/// its number.
async fn join(fleet: &mut ControlFleet, client: &PeerClient) -> usize {
    let at = follower(client, fleet).await;
    fleet.kill(at);
    let folder = fleet.folder.path().join(format!("data-{at}"));
    fs::remove_dir_all(folder).expect("the folder is removed");
    fleet.start(at);
    let started = Instant::now();
    let address = fleet.addresses[at];
    loop {
        let change = MemberChange::Add {
            instance: format!("control-{at}").into(),
            address,
        };
        let answer = ask(client, &fleet.addresses, &MemberCall { change }).await;
        if matches!(answer, MemberAnswer::Accepted(_)) {
            break;
        }
        assert!(
            started.elapsed() < JOIN_TIMEOUT,
            "it is not added: {answer:?}"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    loop {
        let members: Vec<MemberLine> =
            ask(client, &fleet.addresses, &MembersCall {}).await;
        let leader = members.iter().find(|line| line.leads);
        let joined = members.iter().find(|line| line.address == address);
        let synced = leader.map(|line| line.synced);
        let votes = joined.is_some_and(|line| {
            line.role == MemberRole::Voter && Some(line.synced) == synced
        });
        if votes {
            break;
        }
        assert!(
            started.elapsed() < JOIN_TIMEOUT,
            "it does not vote: {members:?}"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    println!("joined with an empty folder after {:?}", started.elapsed());
    at
}

/// Most memory used since the start, without what the program file backs.
fn peak_kilobytes(child: Option<&Child>) -> u64 {
    let status = process_file(child, "status");
    field(&status, "VmHWM:").saturating_sub(field(&status, "RssFile:"))
}

/// Bytes that the process has sent to the disk since its start.
fn written_bytes(child: Option<&Child>) -> u64 {
    field(&process_file(child, "io"), "\nwrite_bytes:")
}

fn process_file(child: Option<&Child>, name: &str) -> String {
    let Some(child) = child else {
        return String::new();
    };
    fs::read_to_string(format!("/proc/{}/{name}", child.id())).unwrap_or_default()
}

fn field(text: &str, name: &str) -> u64 {
    let Some((_, rest)) = text.split_once(name) else {
        return 0;
    };
    let word = rest.split_whitespace().next();
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn disk_bytes(fleet: &ControlFleet, at: usize) -> u64 {
    let folder = fleet.folder.path().join(format!("data-{at}"));
    let mut bytes = 0;
    for file in fs::read_dir(folder).into_iter().flatten().flatten() {
        bytes += file.metadata().map_or(0, |file| file.len());
    }
    bytes
}
