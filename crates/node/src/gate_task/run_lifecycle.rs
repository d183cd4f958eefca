//! Starts and ends of the backend server's runs, as its node learns of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::departure::Departure;
use cowslip_core::server_presence::PresenceRefusal;
use cowslip_core::server_presence::REANNOUNCE_DELAY;
use cowslip_core::server_run::ServerRun;
use cowslip_core::server_runs::ReportEffect;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::gate_messages::AnnounceAnswer;
use crate::gate_messages::FoundRun;
use crate::gate_messages::ServerAnnouncement;
use crate::gate_messages::ServerReport;
use crate::server_probe::ProbeResult;
use crate::server_probe::RunningProbe;

use super::GateTask;

/// Shortest time in which an earlier process of this node can have been replaced
/// by this one, in milliseconds. After a power loss node and server start within
/// a few milliseconds of each other.
const RESTART_TIME_MIN_MS: u64 = 10;

impl GateTask {
    pub(super) fn announce(
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
        if run.as_ref().is_some_and(|run| self.has_just_departed(run)) {
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

    pub(super) fn report(&mut self, now: Duration, report: ServerReport) {
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
    pub(super) fn begin_found(&mut self, now: Duration, found: FoundRun) {
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

    /// Whether an announcement of this run may have been sent before its departure,
    /// which an earlier process of this node acknowledged.
    fn has_just_departed(&self, run: &str) -> bool {
        let Some(departed_ms) = self.runs.departed_at(run) else {
            return false;
        };
        let delay_ms = REANNOUNCE_DELAY.as_millis() as u64;
        wall_clock::millis() < departed_ms.saturating_add(delay_ms)
    }

    /// Applies departures that earlier processes of this node acknowledged. The server
    /// may have been found, or have reported late, in the meantime.
    pub(super) fn apply_departures(&mut self, now: Duration, departures: Vec<Departure>) {
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

    /// Starts probing the backend server's address, unless a probe is running.
    pub(super) fn probe(&mut self) {
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

    pub(super) fn handle_probe(&mut self, address: SocketAddr, result: ProbeResult) {
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
}
