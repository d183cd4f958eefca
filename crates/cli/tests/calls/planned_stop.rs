//! Planned stops of nodes and crashes of idle servers must not break calls.

use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;

use cowslip_core::directory::EndpointStanding;
use cowslip_wire::messages::EndpointsCall;

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
