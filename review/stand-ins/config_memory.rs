//! CONFIG: after some hundred changes the control instances need more memory for a start
//! than their machines have, and after a kill of all of them no config is read back.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::CONTACT;
use crate::operator;
use crate::record::Record;
use crate::Verdict;

/// Routes of the config: `idle_routes` of the site mielnet-co.
const ROUTES: usize = 300;

/// Changes of the day, and the time from one to the next.
const CHANGES: u32 = 640;
const GAP: Duration = Duration::from_millis(120);

/// Memory of a `core` machine: 256 MB.
const MEMORY_KB: u64 = 256 * 1024;

/// How often the platform looks at the memory, and its delay before a restart.
const MEMORY_CHECK: Duration = Duration::from_millis(10);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time for an order to be acknowledged, after which the operator gives up.
const ORDER_TIME: Duration = Duration::from_secs(6);

/// How long the config is read back: far longer than `contact`.
const READ_TIME: Duration = Duration::from_secs(10);

/// The config of one version. From each to the next the weights of all routes change.
fn config(version: u32) -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-check-path\":\"/health\",\"max-connections\":110,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let mut paths = Vec::new();
    for route in 0..ROUTES as u32 {
        let weight = 50 + (route + version) % 50;
        paths.push(format!(
            "{{\"name\":\"r-{route:06x}\",\"path-prefix\":\"/route{route}/\",\"kind\":\"safe\",\
             \"timeout\":\"800ms\",\"target-latency\":\"300ms\",\"priority\":2,\
             \"traffic-split\":[{{\"service\":\"ledger\",\"weight\":{weight}}},\
             {{\"service\":\"documents\",\"weight\":{}}}],\"max-attempts\":2}}",
            100 - weight
        ));
    }
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{},{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout\":\"3000ms\",\
         \"idle-timeout\":\"15000ms\"}},\"virtual-hosts\":[{{\"host\":\"sales.example\",\
         \"paths\":[{}]}}]}}",
        service("ledger"),
        service("documents"),
        paths.join(",")
    )
}

/// What the platform saw of the control instances.
struct Watched {
    kills: u32,
    peaks_kb: Vec<u64>,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let fleet = Fleet::start(Arc::clone(record), &["ledger", "documents", "ledger"]);
    let controls: Vec<SocketAddr> =
        fleet.controls.iter().map(|machine| machine.control()).collect();
    let status = operator::put_config(&fleet, "00000000", &config(1));
    if status != 200 {
        return Verdict::NotRun;
    }
    fleet.await_ready();
    let over = Arc::new(AtomicBool::new(false));
    let kill_all = Arc::new(AtomicBool::new(false));
    let (reports, watched) = mpsc::channel();
    let platform = {
        let over = Arc::clone(&over);
        let kill_all = Arc::clone(&kill_all);
        let record = Arc::clone(record);
        thread::spawn(move || {
            let _ = reports.send(watch(fleet, &record, &kill_all, &over));
        })
    };
    record.line(format!("a config has {} bytes", config(2).len()));
    let acknowledged = send_changes(record, &controls);
    record.line(format!("the newest acknowledged version is {acknowledged:08x}"));
    if acknowledged <= CHANGES {
        return Verdict::NotRun;
    }
    kill_all.store(trouble, Ordering::SeqCst);
    sleep(CONTACT);
    let read_back = read_back(record, &controls, acknowledged);
    over.store(true, Ordering::SeqCst);
    let watched = watched.recv().expect("the platform");
    platform.join().expect("the platform");
    let peaks: Vec<u64> = watched.peaks_kb.iter().map(|peak| peak / 1024).collect();
    let summary = format!(
        "{acknowledged} versions acknowledged, {} kills of control processes over 256 MB, \
         peaks {peaks:?} MB; newest version read back: {read_back}",
        watched.kills
    );
    record.line(&summary);
    println!("{summary}");
    if read_back {
        return Verdict::Held;
    }
    Verdict::Broken
}

/// The platform: kills a control process that uses more memory than its machine has, and
/// starts it again; kills all of them at once when it is told. Ends all processes once the
/// case is over.
fn watch(
    mut fleet: Fleet,
    record: &Record,
    kill_all: &AtomicBool,
    over: &AtomicBool,
) -> Watched {
    let mut watched = Watched { kills: 0, peaks_kb: vec![0; fleet.controls.len()] };
    let mut logged = Instant::now();
    while !over.load(Ordering::SeqCst) {
        if kill_all.swap(false, Ordering::SeqCst) {
            record.line("all control processes are killed");
            fleet.restart_controls(RESTART_DELAY);
        }
        let mut used = Vec::new();
        for at in 0..fleet.controls.len() {
            let kilobytes = fleet.controls[at].memory_kb();
            used.push(kilobytes / 1024);
            watched.peaks_kb[at] = watched.peaks_kb[at].max(kilobytes);
            if kilobytes <= MEMORY_KB {
                continue;
            }
            watched.kills += 1;
            record.line(format!(
                "{} uses {} MB of 256 MB and is killed",
                fleet.controls[at].name,
                kilobytes / 1024
            ));
            fleet.restart_control(at, RESTART_DELAY);
        }
        if logged.elapsed() > Duration::from_secs(5) {
            logged = Instant::now();
            record.line(format!("memory of the control processes {used:?} MB"));
        }
        sleep(MEMORY_CHECK);
    }
    watched
}

/// Sends one version after the other until an order gets no acknowledgement in time.
/// Returns the newest acknowledged version.
fn send_changes(record: &Record, controls: &[SocketAddr]) -> u32 {
    let mut acknowledged = 1;
    let mut at = 0;
    for version in 2..CHANGES + 2 {
        let started = Instant::now();
        let body = config(version);
        let builds_on = format!("{acknowledged:08x}");
        loop {
            let status = operator::put_to(controls[at], &builds_on, &body);
            if status == 200 {
                acknowledged = version;
                break;
            }
            if matches!(status, 400 | 409 | 412 | 413 | 422) {
                record.line(format!("version {version:08x} is refused with {status}"));
                return acknowledged;
            }
            if started.elapsed() > ORDER_TIME {
                record.line(format!("version {version:08x} gets no acknowledgement"));
                return acknowledged;
            }
            at = (at + 1) % controls.len();
            sleep(Duration::from_millis(50));
        }
        if version % 50 == 0 {
            record.line(format!("version {version:08x} is acknowledged"));
        }
        sleep(GAP.saturating_sub(started.elapsed()));
    }
    acknowledged
}

/// Reads the config at all instances in turn; true if the newest version came.
fn read_back(record: &Record, controls: &[SocketAddr], acknowledged: u32) -> bool {
    let started = Instant::now();
    let newest = format!("\"{acknowledged:08x}\"");
    let mut asked = 0;
    while started.elapsed() < READ_TIME {
        for control in controls {
            asked += 1;
            if let Some(config) = operator::read_config(*control) {
                let is_newest = config.contains(&newest);
                record.line(format!("the config is read back, the newest: {is_newest}"));
                return is_newest;
            }
        }
        sleep(Duration::from_millis(100));
    }
    record.line(format!("none of {asked} readings gave a config"));
    false
}
