//! Planned stops of nodes and crashes of idle servers must not break calls.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use cowslip_cli::local_fleet::FleetNode;
use cowslip_cli::local_fleet::LocalFleet;
use cowslip_core::directory::EndpointStanding;
use cowslip_wire::messages::EndpointsCall;

use crate::broken_server::BrokenServer;
use crate::broken_server::ServerFault;
use crate::fleet_calls::announce;
use crate::fleet_calls::fleet;
use crate::fleet_calls::CallRequest;
use crate::fleet_calls::FLEET_TIMEOUT;

// A node stops while it has calls in flight, as entry node and as node of its
// backend server. Every answer must reach its caller completely; new calls must
// be refused at once as stopping and not-run.
#[test]
fn a_planned_stop_completes_calls_in_flight_and_refuses_new_ones() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let mut fleet = fleet(folder.path()).await;
        let leaving = fleet.nodes.remove(0);
        let own = leaving.node.callers();
        let other = fleet.nodes[0].node.callers();
        let body = vec![7; 2 * 1024 * 1024];
        let mut calls = Vec::new();
        for number in 0..20 {
            let entry = if number % 2 == 0 { own } else { other };
            let body = body.clone();
            calls.push(actix_rt::spawn(async move {
                let call = CallRequest {
                    path: "/contracts/slow",
                    wait_ms: 600,
                    ..CallRequest::default()
                };
                call.send(entry, &body).await
            }));
        }
        while leaving.stand_in.counts().running.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        // By now every call has reached its server, so none counts as new.
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let stopping = actix_rt::spawn(leaving.node.stop());
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        let new = CallRequest {
            path: "/contracts/new",
            ..CallRequest::default()
        };
        if let Some(answer) = new.send(own, b"new").await {
            assert_eq!((answer.status, &*answer.reason), (503, "stopping"));
            assert_eq!(answer.verdict, "not-run");
        }
        for call in calls {
            let answer = call.await.expect("it ends").expect("a whole answer");
            assert_eq!(answer.status, 200);
            assert!(answer.body.ends_with(&body));
        }
        assert!(stopping.await.expect("it ends"), "the stop cut a call");
    });
}

// A node has five seconds to stop while its backend server works four seconds on
// calls. These must complete, also those from other nodes. This guards against a
// node that reserves part of its time for its own callers and cuts other calls
// earlier.
#[test]
fn a_stop_with_a_timeout_does_not_cut_long_calls_early() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let mut fleet = fleet(folder.path()).await;
        let leaving = fleet.nodes.remove(0);
        let own = leaving.node.callers();
        let other = fleet.nodes[0].node.callers();
        let mut calls = Vec::new();
        // Enough calls that some run on the leaving node's server.
        for number in 0..20 {
            let entry = if number % 2 == 0 { own } else { other };
            calls.push(actix_rt::spawn(async move {
                let call = CallRequest {
                    path: "/contracts/slow",
                    wait_ms: 4_000,
                    ..CallRequest::default()
                };
                call.send(entry, b"an export").await
            }));
        }
        while leaving.stand_in.counts().running.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let within = Duration::from_secs(5);
        let whole = leaving.node.stop_within(within).await;
        for call in calls {
            let answer = call.await.expect("it ends").expect("a whole answer");
            assert_eq!(answer.status, 200);
        }
        assert!(whole, "the stop cut a call");
    });
}

/// Time that a node has to stop, and when in it only short calls are taken.
const STOP_TIME: Duration = Duration::from_secs(4);
const LATE_TIME: Duration = Duration::from_millis(2_300);

/// Starts a fleet in which the service `tested` has a server that never answers, and
/// takes a node with another server from it.
async fn fleet_with_silent_server(
    folder: &Path,
) -> (LocalFleet, FleetNode, BrokenServer) {
    let mut fleet = fleet(folder).await;
    let leaving = fleet.nodes.remove(0);
    let server = BrokenServer::spawn(ServerFault::Silent).await;
    announce(&fleet.nodes[0].node, server.address, 10).await;
    let probe = CallRequest {
        path: "/tested/probe",
        deadline_ms: Some(500),
        ..CallRequest::default()
    };
    let started = Instant::now();
    while server.requests() == 0 {
        probe.send(leaving.node.callers(), b"").await;
        assert!(
            started.elapsed() < FLEET_TIMEOUT,
            "the server is never found"
        );
    }
    (fleet, leaving, server)
}

// Guards against passing on a call whose head arrived before a stop and whose body ended
// so late in it that the end of the process cuts the call.
#[test]
fn a_call_whose_body_ends_late_in_a_stop_is_refused() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let (_fleet, leaving, server) = fleet_with_silent_server(folder.path()).await;
        let mut stream = TcpStream::connect(leaving.node.callers())
            .await
            .expect("a connection");
        let head = "PUT /tested/sale HTTP/1.1\r\nhost: here\r\n\
                    cowslip-customer: anna\r\ncowslip-deadline-ms: 10000\r\n\
                    content-length: 5\r\n\r\nwh";
        stream.write_all(head.as_bytes()).await.expect("it is sent");
        // The head is handled before the stop begins.
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let stopping = actix_rt::spawn(leaving.node.stop_within(STOP_TIME));
        actix_rt::time::sleep(LATE_TIME).await;
        stream.write_all(b"ole").await.expect("it is sent");
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 503"), "{reading:?} {answer}");
        assert!(answer.contains("cowslip-verdict: not-run"), "{answer}");
        assert!(!server.has_received("/tested/sale"), "it was passed on");
        stopping.await.expect("it ends");
    });
}

// Guards against taking a call late in a stop that ends together with the process.
#[test]
fn a_call_that_is_taken_late_in_a_stop_is_answered() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let (fleet, leaving, _server) = fleet_with_silent_server(folder.path()).await;
        let node = leaving.node.callers();
        // Calls of another node keep the stopping one from ending early.
        let other = fleet.nodes[0].node.callers();
        for _ in 0..20 {
            actix_rt::spawn(async move {
                let call = CallRequest {
                    path: "/contracts/slow",
                    wait_ms: 8_000,
                    ..CallRequest::default()
                };
                call.send(other, b"an export").await
            });
        }
        while leaving.stand_in.counts().running.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        let stopping = actix_rt::spawn(leaving.node.stop_within(STOP_TIME));
        actix_rt::time::sleep(LATE_TIME).await;
        let left = (STOP_TIME - LATE_TIME).as_millis() as u64;
        let mut calls = Vec::new();
        for early_ms in (0..400).step_by(5) {
            calls.push(actix_rt::spawn(async move {
                let call = CallRequest {
                    path: "/tested/sale",
                    deadline_ms: Some(left - early_ms),
                    ..CallRequest::default()
                };
                (early_ms, call.send(node, b"a batch").await)
            }));
        }
        let mut cut = Vec::new();
        for call in calls {
            let (early_ms, answer) = call.await.expect("it ends");
            if answer.is_none() {
                cut.push(early_ms);
            }
        }
        assert!(cut.is_empty(), "cut, with deadlines so early: {cut:?} ms");
        stopping.await.expect("it ends");
    });
}

// Guards against a call that the end of a stop cuts without an answer, so that its caller
// does not learn whether it may have run.
#[test]
fn a_call_that_outlasts_a_stop_is_answered() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let (_fleet, leaving, _server) = fleet_with_silent_server(folder.path()).await;
        let node = leaving.node.callers();
        let call = actix_rt::spawn(async move {
            let call = CallRequest {
                path: "/tested/sale",
                deadline_ms: Some(10_000),
                ..CallRequest::default()
            };
            call.send(node, b"a batch").await
        });
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let began = Instant::now();
        let whole = leaving.node.stop_within(STOP_TIME).await;
        let took = began.elapsed();
        let answer = call.await.expect("it ends").expect("a whole answer");
        assert_eq!(answer.verdict, "may-have-run");
        assert_eq!((answer.status, &*answer.reason), (502, "stopping"));
        assert!(whole, "the stop cut a call");
        assert!(took > STOP_TIME * 9 / 10, "given up after {took:?}");
    });
}

// An idle backend server crashes. The first call that cannot connect must get the
// verdict not-run, and the directory must stop offering the server well before
// its lease expires.
#[test]
fn a_crashed_server_is_withdrawn_by_its_node() {
    actix_rt::System::new().block_on(async {
        let folder = tempfile::tempdir().expect("a folder");
        let fleet = fleet(folder.path()).await;
        // On a loopback address that no other test uses: otherwise the server of
        // another test could take the port and answer for the crashed one.
        let socket = TcpListener::bind("127.0.0.77:0").await.expect("a port");
        let address = socket.local_addr().expect("its address");
        announce(&fleet.nodes[0].node, address, 10).await;
        drop(socket);
        let call = CallRequest {
            path: "/tested/sale",
            ..CallRequest::default()
        };
        let entry = fleet.nodes[4].node.callers();
        let started = Instant::now();
        loop {
            let answer = call.send(entry, b"a batch").await.expect("an answer");
            assert_eq!(answer.verdict, "not-run");
            let records = fleet.operator().ask(&EndpointsCall {}).await;
            let records = records.expect("the directory");
            let withdrawn = records.iter().any(|record| {
                &*record.service == "tested"
                    && record.standing == EndpointStanding::Draining
            });
            if withdrawn {
                break;
            }
            assert!(
                started.elapsed() < FLEET_TIMEOUT,
                "the server is never withdrawn"
            );
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
}
