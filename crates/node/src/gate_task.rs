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

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::crash_suspects::SuspectCall;
use cowslip_core::departure::Departure;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::endpoint_announcer::EndpointAnnouncer;
use cowslip_core::load::call_queue::CallTicket;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::rollout::cold_start::ColdStart;
use cowslip_core::server_gate::GateAction;
use cowslip_core::server_gate::ServerGate;
use cowslip_core::server_presence::PresenceRefusal;
use cowslip_core::server_presence::ServerPresence;
use cowslip_core::server_run::ServerRun;
use cowslip_core::server_runs::ReportEffect;
use cowslip_core::server_runs::ServerRuns;
use cowslip_core::server_statement::ServerStatement;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::crash_recorder::CrashRecorder;
use crate::gate_messages::AnnounceAnswer;
use crate::gate_messages::AnswerStatement;
use crate::gate_messages::FoundRun;
use crate::gate_messages::GateBounds;
use crate::gate_messages::GateEndpoint;
use crate::gate_messages::GateMessage;
use crate::gate_messages::GateOutputs;
use crate::gate_messages::GateStatus;
use crate::gate_messages::ServerAnnouncement;
use crate::gate_messages::ServerReport;
use crate::gate_messages::SlotAnswer;
use crate::gate_messages::SlotGrant;
use crate::gate_messages::SlotRequest;
use crate::gate_metrics::GateMetrics;
use crate::server_probe::ProbeResult;
use crate::server_probe::RunningProbe;
use crate::statement_log::GateFigures;
use crate::statement_log::StatementLog;

/// Shortest time in which an earlier process of this node can have been replaced
/// by this one, in milliseconds. After a power loss node and server start within
/// a few milliseconds of each other.
const RESTART_TIME_MIN_MS: u64 = 10;

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

    fn announce(
        &mut self,
        now: Duration,
        announcement: ServerAnnouncement,
    ) -> AnnounceAnswer {
        let ServerAnnouncement {
            run,
            server,
            address,
            cold_remaining,
        } = announcement;
        if run.as_ref().is_some_and(|run| self.runs.has_departed(run)) {
            return Err(PresenceRefusal::Draining);
        }
        let run = run.map(|name| ServerRun {
            name,
            started_ms: None,
        });
        if run.is_some()
            && run.as_ref() == self.gate.statements().run()
            && self.gate.statements().is_leaving()
        {
            return Err(PresenceRefusal::Draining);
        }
        let in_flight = self.gate.in_flight();
        let may_have_crashed = self.may_have_crashed();
        self.presence.announce(now, address, in_flight)?;
        self.end_probe();
        info!(
            "event=announced process=node instance={} service={} version={} slots={}",
            self.endpoint.instance, server.service, server.version, server.slots
        );
        let unchanged = self.gate.announced() == Some(&server);
        if !unchanged || self.server != Some(address) {
            self.cold_start.restart(now);
            self.status.service_times.borrow_mut().clear();
        }
        if let Some(remaining) = cold_remaining {
            self.cold_start.report(now, remaining);
        }
        let current = self.gate.statements().run();
        let same_run =
            unchanged && self.server == Some(address) && current == run.as_ref();
        let replaces = match (current, &run) {
            (Some(current), Some(next)) => !current.may_be(next),
            _ => false,
        };
        // An announcement may be older than what a health check found.
        let was_found = self.runs.forget_latest();
        if replaces && !was_found && may_have_crashed {
            self.record_crash(now, "next-run");
        }
        if !same_run || self.gate.is_draining() {
            self.gate.cold_mut().begin_run(now, cold_remaining);
            self.gate.statements_mut().begin_run(run);
        } else if let Some(remaining) = cold_remaining {
            self.gate.cold_mut().report(now, remaining);
        }
        self.set_announced(server);
        self.configure();
        self.server = Some(address);
        self.publish();
        Ok(())
    }

    fn report(&mut self, now: Duration, report: ServerReport) {
        let run = Arc::clone(&report.run.run);
        let effect = self.runs.apply(report.run.clone());
        match effect {
            ReportEffect::Stale => {
                info!(
                    "event=report-stale process=node instance={} run={run}",
                    self.endpoint.instance
                );
            }
            ReportEffect::Begins | ReportEffect::Replaces => {
                if effect == ReportEffect::Replaces && self.may_have_crashed() {
                    self.record_crash(now, "next-run");
                }
                self.record_start(report.run.started_ms);
                let ServerReport {
                    server,
                    address,
                    cold_remaining,
                    ..
                } = report;
                self.begin_run(now, &run, server, address, cold_remaining);
            }
            ReportEffect::Confirms => self.confirm_run(now, report),
            ReportEffect::Continues => {
                if let Some(remaining) = report.cold_remaining {
                    self.gate.cold_mut().report(now, remaining);
                    self.cold_start.report(now, remaining);
                }
                self.continue_run(report.server);
            }
            ReportEffect::Leaves => {
                if !self.gate.is_draining() {
                    self.presence.drain(now);
                    self.withdraw("draining");
                }
            }
        }
    }

    /// Records when the run that has just reported started: one that started after
    /// this process was sent nothing by an earlier one.
    fn record_start(&mut self, run_started_ms: u64) {
        // Both times are of the wall clock of this machine.
        if run_started_ms.saturating_add(RESTART_TIME_MIN_MS) > self.started_ms {
            self.gate.cold_mut().record_later_start();
        }
    }

    /// Sends calls to a run that a health check found. Neither its start nor whether
    /// another run has ended is known.
    fn begin_found(&mut self, now: Duration, found: FoundRun) {
        let FoundRun {
            run,
            server,
            address,
            cold_remaining,
            statement,
        } = found;
        let awaited = self.gate.announced().is_none() && !self.presence.is_draining();
        if !awaited || !self.runs.discover(&run, wall_clock::millis()) {
            info!(
                "event=found-run-ignored process=node instance={} run={run}",
                self.endpoint.instance
            );
            return;
        }
        self.begin_run(now, &run, server, address, cold_remaining);
        // A health page without a statement says nothing about answers.
        if !statement.is_empty() {
            self.apply_statement(now, now, statement);
        }
    }

    /// Applies the first report of the run that was found: it is the same run, which
    /// already gets calls, and the report says more about it.
    fn confirm_run(&mut self, now: Duration, report: ServerReport) {
        info!(
            "event=run-confirmed process=node instance={} run={} started_ms={} version={} slots={}",
            self.endpoint.instance,
            report.run.run,
            report.run.started_ms,
            report.server.version,
            report.server.slots
        );
        self.record_start(report.run.started_ms);
        self.gate.statements_mut().begin_run(self.runs.server_run());
        if let Some(remaining) = report.cold_remaining {
            self.gate.cold_mut().begin_run(now, Some(remaining));
            self.cold_start.report(now, remaining);
        }
        self.server = Some(report.address);
        self.continue_run(report.server);
    }

    fn begin_run(
        &mut self,
        now: Duration,
        run: &Arc<str>,
        server: AnnouncedServer,
        address: SocketAddr,
        cold_remaining: Option<Duration>,
    ) {
        if let Err(refusal) = self.presence.begin_run(address) {
            info!(
                "event=run-refused process=node instance={} run={run} reason={}",
                self.endpoint.instance,
                LogValue(refusal)
            );
            return;
        }
        self.end_probe();
        info!(
            "event=run-begins process=node instance={} run={run} service={} version={} slots={}",
            self.endpoint.instance, server.service, server.version, server.slots
        );
        self.cold_start.restart(now);
        if let Some(remaining) = cold_remaining {
            self.cold_start.report(now, remaining);
        }
        self.status.service_times.borrow_mut().clear();
        self.metrics.run_began();
        self.gate.cold_mut().begin_run(now, cold_remaining);
        self.gate.statements_mut().begin_run(self.runs.server_run());
        self.set_announced(server);
        self.configure();
        self.server = Some(address);
        self.publish();
    }

    /// Whether another run that begins now shows that the last one ended without
    /// notice, which has not been found before.
    fn may_have_crashed(&self) -> bool {
        self.gate.announced().is_some()
            && !self.gate.is_draining()
            && !self.presence.awaits_report()
    }

    fn set_announced(&mut self, server: AnnouncedServer) {
        let known = self.gate.announced();
        if known.is_none_or(|known| known.version != server.version) {
            self.crashes.begin_version();
        }
        self.gate.announce(server);
    }

    /// Applies departures that earlier processes of this node acknowledged. The server
    /// may have been found, or have reported late, in the meantime.
    fn apply_departures(&mut self, now: Duration, departures: Vec<Departure>) {
        for departure in departures {
            let run = departure.server_run();
            if !self.runs.deregister(&run, departure.at_ms) {
                continue;
            }
            self.presence.drain(now);
            self.withdraw("departed-before");
        }
    }

    /// Applies a report of the current run: the server is reachable again, or
    /// its service, version or slots changed.
    fn continue_run(&mut self, server: AnnouncedServer) {
        let reachable_again = self.presence.mark_reachable();
        if reachable_again {
            self.end_probe();
        }
        if !reachable_again && self.gate.announced() == Some(&server) {
            return;
        }
        if self.gate.is_draining() && !reachable_again {
            return;
        }
        self.set_announced(server);
        self.configure();
        self.publish();
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

    /// Starts probing the backend server's address, unless a probe is running.
    fn probe(&mut self) {
        let Some(address) = self.server else {
            return;
        };
        if self.probe.as_ref().map(RunningProbe::address) == Some(address) {
            return;
        }
        self.probe = Some(RunningProbe::spawn(address, self.self_sender.clone()));
    }

    /// Ends the probe of a lost server once a run has reported. One that sleeps between
    /// two attempts would find the crash of that run late.
    fn end_probe(&mut self) {
        self.probe = None;
    }

    fn handle_probe(&mut self, address: SocketAddr, result: ProbeResult) {
        // A server that comes back at another address is not found at the old one.
        if result == ProbeResult::Listening || self.server != Some(address) {
            self.probe = None;
        }
        if self.server != Some(address) {
            return;
        }
        if result == ProbeResult::Refused {
            let unreported = self.presence.awaits_report();
            if self.presence.mark_unreachable() {
                self.record_lost_run(unreported);
                self.withdraw("server-lost");
            }
            return;
        }
        if !self.presence.mark_found() {
            return;
        }
        if let Some(server) = self.gate.announced().cloned() {
            info!(
                "event=server-back process=node instance={}",
                self.endpoint.instance
            );
            // What listens now is another run of the server, which has not
            // reported yet.
            self.gate.cold_mut().assume_cold(self.started.elapsed());
            self.gate.announce(server);
            self.publish();
        }
    }

    /// Counts the crash of the run that has gone. A late report may have presented the
    /// same run again after its crash was counted, unless another one has started since,
    /// which is still `unreported`.
    fn record_lost_run(&mut self, unreported: bool) {
        let current = self.gate.statements().run();
        let current = current.filter(|run| run.started_ms.is_some() && !unreported);
        if current.is_some() && current == self.lost_run.as_ref() {
            return;
        }
        self.lost_run = current.cloned();
        self.record_crash(self.started.elapsed(), "refused-connection");
    }

    /// Counts the end of a run that gave no notice, as `shown_by` shows. A cold server
    /// that crashes again and again is probably sent more calls than it tolerates.
    fn record_crash(&mut self, now: Duration, shown_by: &str) {
        let cold = self.gate.cold().is_cold(now);
        self.metrics.crashed(cold);
        self.gate.cold_mut().record_crash(now);
        info!(
            "event=server-crashed process=node instance={} run={} shown_by={shown_by} cold={cold} cold_crashes={}",
            self.endpoint.instance,
            self.gate.statements().run().map_or("-", |run| &*run.name),
            self.gate.cold().crashes()
        );
        self.crashes.record_crash(now, cold);
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
