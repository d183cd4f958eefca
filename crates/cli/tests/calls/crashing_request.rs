//! A request that crashes each backend server that begins it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;

use cowslip_cli::local_fleet::LocalFleet;
use cowslip_core::document::ColdStartSpec;
use cowslip_core::document::ServiceSpec;

use crate::crashing_server;
use crate::crashing_server::ServerFaults;
use crate::crashing_server::CRASHING_PATH;
use crate::crashing_server::STALE_PATH;
use crate::fleet_calls::fleet_with;
use crate::fleet_calls::CallAnswer;
use crate::fleet_calls::CallRequest;
use crate::fleet_calls::FLEET_TIMEOUT;

/// Servers of the service that is called.
const SERVERS: usize = 5;

/// Servers of a service with one beside each node.
const ALL_SERVERS: usize = 9;

/// Crashes after which the request is known to cause them.
const CRASHES: usize = 3;

/// Time after the last of these in which every node must have learned of it.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time after the third crash from which on a request that servers completed before
/// crashes none.
const STOP_TIME: Duration = Duration::from_secs(2);

/// Crashes that may follow the notice time.
const LATER_CRASHES: usize = 3;

/// Interval between the calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a caller leaves that does not wait for its answer. Shorter than a
/// server's work.
const PATIENCE: Duration = Duration::from_millis(15);

/// Starts servers of the service `tested` beside the first nodes of a fleet, and waits
/// until every node calls them.
async fn fleet_with_servers(
    folder: &std::path::Path,
    servers: usize,
    spec: &ServiceSpec,
    faults: &ServerFaults,
) -> LocalFleet {
    let fleet = fleet_with(folder, spec).await;
    for (number, node) in fleet.nodes.iter().take(servers).enumerate() {
        crashing_server::spawn(node.node.local(), number, faults);
    }
    let started = Instant::now();
    for entry in entries(&fleet) {
        while send(entry, "/tested/warm").await.status != 200 {
            assert!(started.elapsed() < FLEET_TIMEOUT, "no server is called");
            actix_rt::time::sleep(CALL_INTERVAL).await;
        }
    }
    fleet
}

fn entries(fleet: &LocalFleet) -> Vec<SocketAddr> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| node.node.callers()).collect()
}

async fn send(entry: SocketAddr, path: &str) -> CallAnswer {
    let call = CallRequest {
        path,
        deadline_ms: Some(2_000),
        ..CallRequest::default()
    };
    call.send(entry, b"the same body").await.expect("an answer")
}

/// Sends calls with `path` from one entry node after another until it is stopped. The
/// caller leaves after `patience`.
fn call_repeatedly(
    entries: &[SocketAddr],
    patience: Duration,
    path: impl Fn(usize) -> String + 'static,
) -> Rc<Cell<bool>> {
    let stopped = Rc::new(Cell::new(false));
    let until = Rc::clone(&stopped);
    let entries = entries.to_vec();
    actix_rt::spawn(async move {
        for number in 0.. {
            if until.get() {
                return;
            }
            let path = path(number);
            let sending = send(entries[number % entries.len()], &path);
            // A caller that leaves gets no answer.
            let _ = actix_rt::time::timeout(patience, sending).await;
            actix_rt::time::sleep(CALL_INTERVAL).await;
        }
    });
    stopped
}

/// Waits for the crashes that make the request known, and checks that few follow.
async fn check_crashes(faults: &ServerFaults) {
    let crashes = &faults.crashes;
    let started = Instant::now();
    while crashes.borrow().len() < CRASHES {
        assert!(started.elapsed() < FLEET_TIMEOUT, "no server crashes");
        actix_rt::time::sleep(CALL_INTERVAL).await;
    }
    let known_at = crashes.borrow()[CRASHES - 1] + NOTICE_TIME;
    actix_rt::time::sleep(NOTICE_TIME + Duration::from_secs(4)).await;
    let later = crashes.borrow().iter().filter(|at| **at > known_at).count();
    assert!(later <= LATER_CRASHES, "{later} more crashes");
}

/// Sends the request with `path` and others until the request is known to crash servers,
/// and checks that few crash later. Its callers leave after `patience`.
async fn crash_servers(
    entries: &[SocketAddr],
    faults: &ServerFaults,
    path: &str,
    patience: Duration,
) {
    let crashing = path.to_owned();
    let stopped = [
        call_repeatedly(entries, patience, move |_| crashing.clone()),
        call_repeatedly(entries, FLEET_TIMEOUT, |_| "/tested/popular".to_owned()),
        call_repeatedly(entries, FLEET_TIMEOUT, |number| format!("/tested/{number}")),
    ];
    check_crashes(faults).await;
    for stopped in stopped {
        stopped.set(true);
    }
}

/// Checks that all nodes refuse the request at once, and serve the calls that were in
/// flight beside it.
async fn check_refused(entries: &[SocketAddr], path: &str) {
    for entry in entries {
        let sent = Instant::now();
        let answer = send(*entry, path).await;
        let told = (answer.status, &*answer.verdict, &*answer.reason);
        assert_eq!(told, (503, "not-run", "quarantined"));
        assert!(sent.elapsed() < Duration::from_secs(1));
        assert_eq!(send(*entry, "/tested/popular").await.status, 200);
        assert_eq!(send(*entry, "/tested/new").await.status, 200);
    }
}

// Guards against a request that crashes one server after another because its caller
// sends it again and again at any node.
#[test]
fn a_request_that_crashes_its_servers_is_stopped_after_the_third() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let faults = ServerFaults::default();
        let spec = ServiceSpec::default();
        let fleet = fleet_with_servers(folder.path(), SERVERS, &spec, &faults).await;
        let entries = entries(&fleet);
        let crashing = format!("/tested/{CRASHING_PATH}");
        crash_servers(&entries, &faults, &crashing, FLEET_TIMEOUT).await;
        check_refused(&entries, &crashing).await;
    });
}

/// Sends calls from all entry nodes at once until every server has completed one.
async fn warm_up(entries: &[SocketAddr], faults: &ServerFaults, path: &str) {
    let started = Instant::now();
    while faults.completed_by.borrow().len() < ALL_SERVERS {
        assert!(
            started.elapsed() < FLEET_TIMEOUT,
            "some server is not called"
        );
        let calls = entries.iter().map(|entry| send(*entry, path));
        for answer in join_all(calls).await {
            assert_eq!(answer.status, 200);
        }
    }
}

// Guards against a request that is not suspected because servers completed it before its
// data went bad, so that it crashes each of them once more.
#[test]
fn a_request_that_was_served_before_is_stopped_after_the_third_crash() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let faults = ServerFaults::default();
        let spec = ServiceSpec::default();
        let fleet = fleet_with_servers(folder.path(), ALL_SERVERS, &spec, &faults).await;
        let entries = entries(&fleet);
        let crashing = format!("/tested/{STALE_PATH}");
        warm_up(&entries, &faults, &crashing).await;
        faults.data_is_bad.set(true);
        crash_servers(&entries, &faults, &crashing, FLEET_TIMEOUT).await;
        let crashes = faults.crashes.borrow().clone();
        let took = crashes[crashes.len() - 1] - crashes[CRASHES - 1];
        assert!(took < STOP_TIME, "crashes for {took:?} after the third");
        check_refused(&entries, &crashing).await;
    });
}

// Guards against a request that is never suspected because each server crashes while it
// is cold.
#[test]
fn a_request_that_crashes_cold_servers_is_stopped() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let faults = ServerFaults {
            cold_ms: Some(60_000),
            ..ServerFaults::default()
        };
        let spec = ServiceSpec {
            cold_start: Some(ColdStartSpec {
                time_ms: 60_000,
                calls_per_minute: 60_000,
            }),
            ..ServiceSpec::default()
        };
        let fleet = fleet_with_servers(folder.path(), SERVERS, &spec, &faults).await;
        let entries = entries(&fleet);
        let crashing = format!("/tested/{CRASHING_PATH}");
        crash_servers(&entries, &faults, &crashing, FLEET_TIMEOUT).await;
        check_refused(&entries, &crashing).await;
    });
}

// Guards against a request that is never suspected because its callers leave just before
// the crash.
#[test]
fn a_request_whose_callers_leave_before_the_crash_is_stopped() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let faults = ServerFaults::default();
        let spec = ServiceSpec::default();
        let fleet = fleet_with_servers(folder.path(), SERVERS, &spec, &faults).await;
        let entries = entries(&fleet);
        let crashing = format!("/tested/{CRASHING_PATH}");
        crash_servers(&entries, &faults, &crashing, PATIENCE).await;
        check_refused(&entries, &crashing).await;
    });
}
