//! Task that owns the gate of the backend server: it grants slots, drains the
//! server and publishes the server's endpoint record to the directory.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::crash_suspects::SuspectCall;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::endpoint_announcer::EndpointAnnouncer;
use cowslip_core::load::call_queue::CallTicket;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::rollout::cold_start::ColdStart;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_presence::ServerPresence;
use cowslip_core::server_run::ServerRun;
use cowslip_core::server_runs::ServerRuns;
use cowslip_core::server_statement::ServerStatement;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::wall_clock;

use crate::crash_recorder::CrashRecorder;
use crate::gate_messages::AnswerStatement;
use crate::gate_messages::GateBounds;
use crate::gate_messages::GateEndpoint;
use crate::gate_messages::GateMessage;
use crate::gate_messages::GateOutputs;
use crate::gate_messages::GateStatus;
use crate::gate_messages::SlotAnswer;
use crate::gate_messages::SlotGrant;
use crate::gate_messages::SlotRequest;
use crate::gate_metrics::GateMetrics;
use crate::server_probe::RunningProbe;
use crate::statement_log::GateFigures;
use crate::statement_log::StatementLog;

mod run_lifecycle;

/// A call that has requested a slot and has no answer yet.
struct SlotWaiter {
    reply: oneshot::Sender<SlotAnswer>,
    suspect: SuspectCall,
}

struct GateTask {
    status: GateStatus,
    metrics: GateMetrics,
    endpoint: GateEndpoint,
    gate: ServerGate,
    presence: ServerPresence,
    runs: ServerRuns,
    /// The last run that was found to be gone, if its start is known.
    lost_run: Option<ServerRun>,
    probe: Option<RunningProbe>,
    self_sender: mpsc::WeakUnboundedSender<GateMessage>,
    bounds: GateBounds,
    waiters: HashMap<CallTicket, SlotWaiter>,
    started: BootInstant,
    /// Start of the task by the wall clock, in milliseconds since the Unix epoch.
    started_ms: u64,
    server: Option<SocketAddr>,
    cold_start: ColdStart,
    crashes: CrashRecorder,
    /// Whether the log says that the server is cold.
    cold_logged: bool,
    statement_log: StatementLog,
    /// Slots granted since the start.
    granted: u64,
    announcer: EndpointAnnouncer,
    records: mpsc::UnboundedSender<EndpointRecord>,
    departures: mpsc::UnboundedSender<ServerRun>,
}

/// Starts the task. It sends each change of the endpoint's record to
/// `records`.
pub fn spawn(
    endpoint: GateEndpoint,
    records: mpsc::UnboundedSender<EndpointRecord>,
) -> mpsc::UnboundedSender<GateMessage> {
    let (crashes, _) = mpsc::unbounded_channel();
    let (departures, _) = mpsc::unbounded_channel();
    let outputs = GateOutputs {
        records,
        crashes,
        departures,
    };
    spawn_with_status(
        endpoint,
        outputs,
        GateStatus::default(),
        GateMetrics::default(),
    )
}

/// Starts the task and keeps `status` and `metrics` up to date.
pub fn spawn_with_status(
    endpoint: GateEndpoint,
    outputs: GateOutputs,
    status: GateStatus,
    metrics: GateMetrics,
) -> mpsc::UnboundedSender<GateMessage> {
    // Unbounded: every sender waits for its answer or sends one release for
    // each slot, so the connection limit also limits the queued messages.
    let (sender, receiver) = mpsc::unbounded_channel();
    let started_ms = wall_clock::millis();
    let statement_log = StatementLog::new(Arc::clone(&endpoint.instance));
    let crashes = CrashRecorder::new(Arc::clone(&endpoint.instance), outputs.crashes);
    let task = GateTask {
        status,
        metrics,
        endpoint,
        gate: ServerGate::default(),
        presence: ServerPresence::default(),
        runs: ServerRuns::default(),
        lost_run: None,
        probe: None,
        self_sender: sender.downgrade(),
        bounds: GateBounds::new(),
        waiters: HashMap::new(),
        started: BootInstant::now(),
        started_ms,
        server: None,
        cold_start: ColdStart::default(),
        crashes,
        cold_logged: false,
        statement_log,
        granted: 0,
        announcer: EndpointAnnouncer::new(started_ms),
        records: outputs.records,
        departures: outputs.departures,
    };
    actix_rt::spawn(task.run(receiver));
    sender
}

impl GateTask {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<GateMessage>) {
        loop {
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                () = wait_until(self.started, self.next_wake()) => {
                    let actions = self.gate.wake(self.started.elapsed());
                    self.apply(actions);
                }
            }
            let now = self.started.elapsed();
            self.status.expected_wait.set(self.gate.expected_wait(now));
            self.status.repeat_probability.set(self.gate.repeats());
            let stated_rate = self.gate.statements().limit().rate();
            self.status.limited.set(stated_rate.is_some());
            self.metrics.set_stated_rate(stated_rate);
            self.log_cold(now);
        }
    }

    fn next_wake(&self) -> Option<Duration> {
        self.gate.next_wake(self.started.elapsed())
    }

    fn handle(&mut self, message: GateMessage) {
        let now = self.started.elapsed();
        match message {
            GateMessage::Announce(announcement, reply) => {
                let _ = reply.send(self.announce(now, announcement));
            }
            GateMessage::Report(report, reply) => {
                self.report(now, report);
                let _ = reply.send(());
            }
            GateMessage::RunFound(found) => self.begin_found(now, found),
            GateMessage::DeregisterRun(run, reply) => {
                if self.runs.deregister(&run, wall_clock::millis()) {
                    self.presence.drain(now);
                    self.withdraw("left");
                }
                let _ = reply.send(());
            }
            GateMessage::Stop => {
                self.presence.stop();
                self.withdraw("stopping");
            }
            GateMessage::Unreachable => self.probe(),
            GateMessage::Probed(address, result) => self.handle_probe(address, result),
            GateMessage::Departed(departures) => self.apply_departures(now, departures),
            GateMessage::Drain(reply) => {
                self.presence.drain(now);
                self.withdraw("draining");
                let _ = reply.send(self.gate.statements().run().cloned());
            }
            GateMessage::AcquireSlot(request, reply) => {
                let SlotRequest {
                    ticket,
                    call,
                    fingerprint,
                    notice,
                } = request;
                let suspect = SuspectCall {
                    fingerprint,
                    service: Arc::clone(&call.service),
                    route: Arc::clone(&call.route),
                };
                self.waiters.insert(ticket, SlotWaiter { reply, suspect });
                let heard = notice.map_or(Ok(()), |notice| {
                    self.gate.statements_mut().apply_notice(now, &notice)
                });
                let actions = match heard {
                    Ok(()) => self.gate.offer(now, ticket, call),
                    Err(reason) => vec![GateAction::Refuse(ticket, reason)],
                };
                self.apply(actions);
            }
            GateMessage::RequestSent(ticket) => {
                self.gate.record_sent(now, ticket);
            }
            GateMessage::Answered(answer) => self.record_statement(now, &answer),
            GateMessage::ReleaseSlot(ticket, outcome) => {
                self.waiters.remove(&ticket);
                if let Some((route, work)) = self.gate.service_time(ticket) {
                    self.status.service_times.borrow_mut().insert(route, work);
                }
                self.crashes.end(now, ticket, outcome);
                let actions = self.gate.end(now, ticket, outcome);
                self.apply(actions);
            }
            GateMessage::Reconcile(current) => {
                let record = self.announcer.reconcile(&current);
                self.send(record);
            }
            GateMessage::Republish => {
                let record = self.announcer.last().cloned();
                self.send(record);
            }
            GateMessage::OutboundBegin => self.gate.outbound_begin(),
            GateMessage::OutboundEnd => self.gate.outbound_end(),
            GateMessage::Configure(config) => {
                self.bounds = config.bounds;
                self.configure();
                self.set_evacuated(now, config.evacuated);
            }
        }
    }

    /// Applies the start or the end of an evacuation of the node's failure domain.
    fn set_evacuated(&mut self, now: Duration, evacuated: bool) {
        if self.gate.is_evacuated() == evacuated {
            return;
        }
        let event = if evacuated {
            "evacuated"
        } else {
            "evacuation-ended"
        };
        info!(
            "event={event} process=node instance={} failure_domain={} in_flight={} waiting={}",
            self.endpoint.instance,
            self.endpoint.failure_domain,
            self.gate.in_flight(),
            self.gate.waiting()
        );
        let actions = self.gate.set_evacuated(now, evacuated);
        self.apply(actions);
    }

    /// Stops granting slots; waiting calls are refused and go to other servers.
    fn withdraw(&mut self, event: &str) {
        info!(
            "event={event} process=node instance={}",
            self.endpoint.instance
        );
        let actions = self.gate.drain();
        self.apply(actions);
        self.publish();
    }

    /// Logs the start and the end of the time in which calls to the server are
    /// limited.
    fn log_cold(&mut self, now: Duration) {
        let cold = self.gate.cold();
        let limit = cold.limit(now);
        if self.cold_logged == limit.is_some() {
            return;
        }
        self.cold_logged = limit.is_some();
        let instance = &self.endpoint.instance;
        let Some(limit) = limit else {
            info!("event=server-warm process=node instance={instance}");
            return;
        };
        let warm_at = cold.warm_at(now).unwrap_or(now);
        info!(
            "event=server-cold process=node instance={instance} for_ms={} calls_per_second={limit} cold_crashes={}",
            (warm_at - now).as_millis(),
            cold.crashes()
        );
    }

    /// Records what the server states in an answer, unless another run of it gave
    /// the answer.
    fn record_statement(&mut self, now: Duration, answer: &AnswerStatement) {
        let given_by_current = match (self.gate.statements().run(), &answer.run) {
            (Some(current), Some(run)) => current.may_be(run),
            (None, None) => true,
            _ => false,
        };
        if !given_by_current {
            return;
        }
        let sent_at = answer.sent.saturating_duration_since(self.started);
        self.apply_statement(now, sent_at, answer.statement);
    }

    fn apply_statement(
        &mut self,
        now: Duration,
        sent_at: Duration,
        statement: ServerStatement,
    ) {
        let figures = GateFigures {
            in_flight: self.gate.in_flight(),
            waiting: self.gate.waiting(),
            granted: self.granted,
        };
        self.statement_log
            .record(now, self.gate.statements().run(), statement, figures);
        let began_to_leave = statement.leaving && !self.gate.statements().is_leaving();
        let actions = self.gate.record_statement(now, sent_at, statement);
        self.apply(actions);
        if began_to_leave {
            self.presence.drain(now);
            self.withdraw("leaving");
            if let Some(run) = self.gate.statements().run() {
                // The keeper of departures ends only with the node.
                let _ = self.departures.send(run.clone());
            }
        }
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            let (ticket, answer) = match action {
                GateAction::Start(ticket) => (ticket, self.grant()),
                GateAction::Refuse(ticket, reason) => (ticket, Err(reason)),
            };
            let Some(waiter) = self.waiters.remove(&ticket) else {
                continue;
            };
            if answer.is_ok() {
                let now = self.started.elapsed();
                self.crashes.begin(now, ticket, waiter.suspect);
            }
            // A caller that stopped waiting sends `ReleaseSlot` itself.
            let _ = waiter.reply.send(answer);
        }
    }

    fn grant(&mut self) -> SlotAnswer {
        let server = self.server.ok_or(RefusalReason::NotAnnounced)?;
        self.granted += 1;
        Ok(SlotGrant {
            server,
            warm: self.cold_start.record_call(self.started.elapsed()),
            run: self.gate.statements().run().cloned(),
            counts_sends: self.gate.counts_sends(),
        })
    }

    fn send(&self, record: Option<EndpointRecord>) {
        let Some(record) = record else {
            return;
        };
        // The follow task ends only with the node.
        let _ = self.records.send(record);
    }

    fn configure(&mut self) {
        let Some(server) = self.gate.announced() else {
            return;
        };
        if let Some(bounds) = self.bounds.get(&server.service) {
            self.gate.configure(*bounds);
        }
    }

    fn publish(&mut self) {
        let Some(server) = self.gate.announced() else {
            return;
        };
        let standing = if self.gate.is_draining() {
            EndpointStanding::Draining
        } else {
            EndpointStanding::Serving
        };
        let record = EndpointRecord {
            instance: Arc::clone(&self.endpoint.instance),
            service: Arc::clone(&server.service),
            version: Arc::clone(&server.version),
            failure_domain: Arc::clone(&self.endpoint.failure_domain),
            address: self.endpoint.address,
            slots: server.slots,
            standing,
            incarnation: 0,
            sequence: 0,
        };
        let record = self.announcer.announce(record);
        self.send(Some(record));
    }
}

/// Completes at `at`, an offset from `started`; never completes if it is
/// `None`.
async fn wait_until(started: BootInstant, at: Option<Duration>) {
    match at {
        Some(at) => sleep(at.saturating_sub(started.elapsed())).await,
        None => std::future::pending().await,
    }
}
