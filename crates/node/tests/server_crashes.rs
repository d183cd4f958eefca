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
use cowslip_core::departure::Departure;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::server_runs::RunReport;
use cowslip_core::server_statement::ServerStatement;
use cowslip_node::crash_task::ServerCrash;
use cowslip_node::gate_messages::AnnounceAnswer;
use cowslip_node::gate_messages::FoundRun;
use cowslip_node::gate_messages::GateEndpoint;
use cowslip_node::gate_messages::GateMessage;
use cowslip_node::gate_messages::GateOutputs;
use cowslip_node::gate_messages::GateStatus;
use cowslip_node::gate_messages::ServerAnnouncement;
use cowslip_node::gate_messages::ServerReport;
use cowslip_node::gate_metrics::GateMetrics;
use cowslip_node::gate_task;
use cowslip_wire::wall_clock;

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
            departures: mpsc::unbounded_channel().0,
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
        let answer = self.try_announce(address, run).await;
        answer.expect("the announcement is accepted");
    }

    async fn try_announce(&self, address: SocketAddr, run: &str) -> AnnounceAnswer {
        let announcement = ServerAnnouncement {
            run: Some(run.into()),
            server: announced_server(),
            address,
            cold_remaining: None,
        };
        let (reply, answer) = oneshot::channel();
        let message = GateMessage::Announce(announcement, reply);
        self.gate.send(message).expect("the gate runs");
        answer.await.expect("an answer")
    }

    /// Tells the gate that a health check found this run.
    fn find(&self, address: SocketAddr, run: &str) {
        let found = FoundRun {
            run: run.into(),
            server: AnnouncedServer {
                slots: 4,
                ..announced_server()
            },
            address,
            cold_remaining: None,
            statement: ServerStatement::default(),
        };
        let sent = self.gate.send(GateMessage::RunFound(found));
        sent.expect("the gate runs");
    }

    async fn report(&self, address: SocketAddr, run: &str, started_ms: u64) {
        self.report_again(address, run, started_ms, 1).await;
    }

    async fn report_again(
        &self,
        address: SocketAddr,
        run: &str,
        started_ms: u64,
        sequence: u64,
    ) {
        let report = ServerReport {
            run: RunReport {
                run: run.into(),
                started_ms,
                sequence,
                leaving: false,
            },
            server: announced_server(),
            address,
            cold_remaining: None,
        };
        let (reply, done) = oneshot::channel();
        let sent = self.gate.send(GateMessage::Report(report, reply));
        sent.expect("the gate runs");
        done.await.expect("an answer");
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

fn announced_server() -> AnnouncedServer {
    AnnouncedServer {
        service: "records".into(),
        version: "v1".into(),
        slots: 6,
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

// Guards against a crash that never was: a node that has just started finds its server,
// which then sends its first report.
#[test]
fn a_server_that_was_found_and_reports_has_not_crashed() {
    System::new().block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut gate = TestGate::spawn();
        let started_ms = wall_clock::millis() - 60_000;
        gate.find(address, "run-1");
        gate.wait_for(EndpointStanding::Serving).await;
        gate.report(address, "run-1", started_ms).await;
        assert_eq!(gate.crashes(), 0);
        let record = gate.records.recv().await.expect("a record");
        assert_eq!(
            (record.slots, record.standing),
            (6, EndpointStanding::Serving)
        );
        // Another run shows that this one has ended.
        gate.report(address, "run-2", wall_clock::millis() + 1)
            .await;
        assert_eq!(gate.crashes(), 1);
    });
}

// Guards against a crash that never was, as above, of a server that announces itself.
#[test]
fn a_server_that_was_found_and_announces_itself_has_not_crashed() {
    System::new().block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut gate = TestGate::spawn();
        gate.find(address, "run-1");
        gate.wait_for(EndpointStanding::Serving).await;
        gate.announce(address, "run-1").await;
        assert_eq!(gate.crashes(), 0);
    });
}

// Guards against a crash that never was, and against assumed slots in the place of
// announced ones: a health check ends after the server has announced itself.
#[test]
fn a_late_health_check_does_not_replace_an_announcement() {
    System::new().block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut gate = TestGate::spawn();
        gate.announce(address, "run-1").await;
        gate.find(address, "run-1");
        gate.announce(address, "run-1").await;
        assert_eq!(gate.crashes(), 0);
        while let Ok(record) = gate.records.try_recv() {
            assert_eq!(record.slots, 6);
        }
    });
}

// Guards against calls to a server that an earlier process of the node acknowledged as
// departed, and that was found or reported late before this one learned of that.
#[test]
fn a_departure_that_is_learned_later_withdraws_the_server() {
    System::new().block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let started_ms = wall_clock::millis() - 60_000;
        for reports in [false, true] {
            let mut gate = TestGate::spawn();
            gate.find(address, "run-1");
            if reports {
                gate.report(address, "run-1", started_ms).await;
            }
            gate.wait_for(EndpointStanding::Serving).await;
            let departure = Departure {
                node: "records-1".into(),
                run: "run-1".into(),
                started_ms: Some(started_ms),
                at_ms: wall_clock::millis() - 1_000,
            };
            let departed = GateMessage::Departed(vec![departure]);
            gate.gate.send(departed).expect("the gate runs");
            gate.wait_for(EndpointStanding::Draining).await;
            gate.report(address, "run-1", started_ms).await;
            // The next run of the same name takes work.
            gate.report(address, "run-1", wall_clock::millis()).await;
            gate.wait_for(EndpointStanding::Serving).await;
            assert_eq!(gate.crashes(), 0);
        }
    });
}

// Guards against a crash that counts twice: a report that the run had sent before its end
// arrives late, and the server is called and found to be gone again.
#[test]
fn a_late_report_of_a_crashed_run_makes_no_second_crash() {
    System::new().block_on(async {
        let server = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = server.local_addr().expect("its address");
        let mut gate = TestGate::spawn();
        let started_ms = wall_clock::millis() - 60_000;
        gate.report(address, "run-1", started_ms).await;
        drop(server);
        gate.report_unreachable();
        gate.wait_for(EndpointStanding::Draining).await;
        assert_eq!(gate.crashes(), 1);
        gate.report_again(address, "run-1", started_ms, 2).await;
        gate.report_unreachable();
        gate.wait_for(EndpointStanding::Draining).await;
        assert_eq!(gate.crashes(), 0);
        // The next run ends as well.
        let server = listen(address);
        gate.report(address, "run-1", wall_clock::millis()).await;
        drop(server);
        gate.report_unreachable();
        gate.wait_for(EndpointStanding::Draining).await;
        assert_eq!(gate.crashes(), 1);
    });
}

// Guards against an announcement from before a drain that brings the server back after a
// restart of its node, and against a server that can never announce itself again.
#[test]
fn a_drained_server_announces_itself_again_after_a_while() {
    System::new().block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        for (drained_ago_ms, accepted) in [(1_000, false), (6_000, true)] {
            let mut gate = TestGate::spawn();
            let departure = Departure {
                node: "records-1".into(),
                run: "run-1".into(),
                started_ms: None,
                at_ms: wall_clock::millis() - drained_ago_ms,
            };
            let departed = GateMessage::Departed(vec![departure]);
            gate.gate.send(departed).expect("the gate runs");
            let answer = gate.try_announce(address, "run-1").await;
            assert_eq!(answer.is_ok(), accepted, "{drained_ago_ms}");
            gate.announce(address, "run-2").await;
            gate.wait_for(EndpointStanding::Serving).await;
        }
    });
}
