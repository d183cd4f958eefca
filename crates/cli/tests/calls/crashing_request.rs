//! A request that crashes each backend server that begins it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use cowslip_cli::local_fleet::LocalFleet;

use crate::crashing_server;
use crate::crashing_server::CrashTimes;
use crate::crashing_server::CRASHING_PATH;
use crate::fleet_calls::fleet;
use crate::fleet_calls::CallAnswer;
use crate::fleet_calls::CallRequest;
use crate::fleet_calls::FLEET_TIMEOUT;

/// Servers of the service that is called.
const SERVERS: usize = 5;

/// Crashes after which the request is known to cause them.
const CRASHES: usize = 3;

/// Time after the last of these in which every node must have learned of it.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Crashes that may follow the notice time.
const LATER_CRASHES: usize = 3;

/// Interval between the calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts servers of the service `tested` beside the first nodes of a fleet, and waits
/// until every node calls them.
async fn fleet_with_servers(
    folder: &std::path::Path,
    crashes: &CrashTimes,
) -> LocalFleet {
    let fleet = fleet(folder).await;
    for (number, node) in fleet.nodes.iter().take(SERVERS).enumerate() {
        crashing_server::spawn(node.node.local(), number, crashes);
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

/// Sends calls with `path` from one entry node after another until it is stopped.
fn call_repeatedly(
    entries: &[SocketAddr],
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
            send(entries[number % entries.len()], &path(number)).await;
            actix_rt::time::sleep(CALL_INTERVAL).await;
        }
    });
    stopped
}

// Guards against a request that crashes one server after another because its caller
// sends it again and again at any node.
#[test]
fn a_request_that_crashes_its_servers_is_stopped_after_the_third() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let crashes = CrashTimes::default();
        let fleet = fleet_with_servers(folder.path(), &crashes).await;
        let entries = entries(&fleet);
        let crashing = format!("/tested/{CRASHING_PATH}");
        let repeated = crashing.clone();
        let stopped = [
            call_repeatedly(&entries, move |_| repeated.clone()),
            call_repeatedly(&entries, |_| "/tested/popular".to_owned()),
            call_repeatedly(&entries, |number| format!("/tested/{number}")),
        ];
        let started = Instant::now();
        while crashes.borrow().len() < CRASHES {
            assert!(started.elapsed() < FLEET_TIMEOUT, "no server crashes");
            actix_rt::time::sleep(CALL_INTERVAL).await;
        }
        let known_at = crashes.borrow()[CRASHES - 1] + NOTICE_TIME;
        actix_rt::time::sleep(NOTICE_TIME + Duration::from_secs(4)).await;
        let later = crashes.borrow().iter().filter(|at| **at > known_at).count();
        assert!(later <= LATER_CRASHES, "{later} more crashes");
        for stopped in stopped {
            stopped.set(true);
        }
        for entry in entries {
            let sent = Instant::now();
            let answer = send(entry, &crashing).await;
            let told = (answer.status, &*answer.verdict, &*answer.reason);
            assert_eq!(told, (503, "not-run", "quarantined"));
            assert!(sent.elapsed() < Duration::from_secs(1));
            // Other calls that were in flight at the crashes are served.
            assert_eq!(send(entry, "/tested/popular").await.status, 200);
            assert_eq!(send(entry, "/tested/new").await.status, 200);
        }
    });
}
