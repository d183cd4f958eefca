//! Crashes of a backend server as its node counts them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use actix_rt::System;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_node::crash_task::ServerCrash;
use cowslip_node::gate_messages::GateEndpoint;
use cowslip_node::gate_messages::GateMessage;
use cowslip_node::gate_messages::GateOutputs;
use cowslip_node::gate_messages::GateStatus;
use cowslip_node::gate_messages::ServerAnnouncement;
use cowslip_node::gate_metrics::GateMetrics;
use cowslip_node::gate_task;

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which the crash of a run must be found, well below the interval of probes.
const FIND_TIME_MAX: Duration = Duration::from_millis(250);

/// A gate and what it tells others.
struct TestGate {
    gate: UnboundedSender<GateMessage>,
    records: UnboundedReceiver<EndpointRecord>,
    crashes: UnboundedReceiver<ServerCrash>,
}

impl TestGate {
    fn spawn() -> Self {
        let endpoint = GateEndpoint {
            instance: "records-1".into(),
            failure_domain: "voss".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            server: None,
        };
        let (sent_records, records) = mpsc::unbounded_channel();
        let (sent_crashes, crashes) = mpsc::unbounded_channel();
        let outputs = GateOutputs {
            records: sent_records,
            crashes: sent_crashes,
        };
        let (status, metrics) = (GateStatus::default(), GateMetrics::default());
        let gate = gate_task::spawn_with_status(endpoint, outputs, status, metrics);
        Self {
            gate,
            records,
            crashes,
        }
    }

    async fn announce(&self, address: SocketAddr, run: &str) {
        let announcement = ServerAnnouncement {
            run: Some(run.into()),
            server: AnnouncedServer {
                service: "records".into(),
                version: "v1".into(),
                slots: 6,
            },
            address,
            cold_remaining: None,
        };
        let (reply, answer) = oneshot::channel();
        let message = GateMessage::Announce(announcement, reply);
        self.gate.send(message).expect("the gate runs");
        let answer = answer.await.expect("an answer");
        answer.expect("the announcement is accepted");
    }

    /// Tells the gate that an exchange with the server has failed.
    fn report_unreachable(&self) {
        let sent = self.gate.send(GateMessage::Unreachable);
        sent.expect("the gate runs");
    }

    /// Waits until the endpoint's record has this standing.
    async fn wait_for(&mut self, standing: EndpointStanding) {
        let waiting = async {
            while let Some(record) = self.records.recv().await {
                if record.standing == standing {
                    return;
                }
            }
        };
        let waited = actix_rt::time::timeout(TIMEOUT, waiting).await;
        waited.expect("a record with this standing");
    }

    fn crashes(&mut self) -> usize {
        let mut crashes = 0;
        while self.crashes.try_recv().is_ok() {
            crashes += 1;
        }
        crashes
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).expect("the address is free")
}

// Guards against one crash that counts twice: a probe finds that the server is gone, and
// that something listens again, before the next run reports.
#[test]
fn a_crash_that_a_probe_has_found_counts_once() {
    System::new().block_on(async {
        let server = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = server.local_addr().expect("its address");
        let mut gate = TestGate::spawn();
        gate.announce(address, "run-1").await;
        gate.wait_for(EndpointStanding::Serving).await;
        drop(server);
        gate.report_unreachable();
        gate.wait_for(EndpointStanding::Draining).await;
        assert_eq!(gate.crashes(), 1);
        let server = listen(address);
        gate.wait_for(EndpointStanding::Serving).await;
        gate.announce(address, "run-2").await;
        assert_eq!(gate.crashes(), 0);
        // A run that nobody has seen end is followed by another one.
        gate.announce(address, "run-3").await;
        assert_eq!(gate.crashes(), 1);
        drop(server);
    });
}

// Guards against a crash that is found late because the node still waits to probe the
// server's run before: a server that crashes soon after its start goes on being called.
#[test]
fn a_crash_soon_after_a_start_is_found_at_once() {
    System::new().block_on(async {
        let server = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = server.local_addr().expect("its address");
        let mut gate = TestGate::spawn();
        gate.announce(address, "run-1").await;
        drop(server);
        gate.report_unreachable();
        gate.wait_for(EndpointStanding::Draining).await;
        let server = listen(address);
        gate.announce(address, "run-2").await;
        drop(server);
        gate.report_unreachable();
        let crashed = Instant::now();
        gate.wait_for(EndpointStanding::Serving).await;
        gate.wait_for(EndpointStanding::Draining).await;
        let took = crashed.elapsed();
        assert!(took < FIND_TIME_MAX, "found after {took:?}");
        assert_eq!(gate.crashes(), 2);
    });
}
