//! Keeps the calls at the backend server that its crash would cast suspicion on, and
//! reports them when it crashes.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::sync::mpsc;

use cowslip_core::crash_suspects::CrashSuspects;
use cowslip_core::crash_suspects::CutCall;
use cowslip_core::crash_suspects::SuspectCall;
use cowslip_core::load::call_queue::CallTicket;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_wire::process_log::LogValue;

use crate::crash_task::ServerCrash;

/// The suspect calls of one backend server.
pub struct CrashRecorder {
    instance: Arc<str>,
    suspects: CrashSuspects,
    crashes: mpsc::UnboundedSender<ServerCrash>,
}

impl CrashRecorder {
    /// Creates a recorder without calls for the server beside the node of `instance`.
    /// It sends each crash to `crashes`.
    pub fn new(instance: Arc<str>, crashes: mpsc::UnboundedSender<ServerCrash>) -> Self {
        Self {
            instance,
            suspects: CrashSuspects::default(),
            crashes,
        }
    }

    /// Records that a call gets a slot.
    pub fn begin(&mut self, now: Duration, ticket: CallTicket, call: SuspectCall) {
        self.suspects.begin(now, ticket, call);
    }

    /// Records how a call ended.
    pub fn end(&mut self, now: Duration, ticket: CallTicket, outcome: SlotOutcome) {
        match outcome {
            SlotOutcome::Answered(_) | SlotOutcome::Failed => {
                self.suspects.complete(now, ticket);
            }
            SlotOutcome::Cut => self.suspects.cut(now, ticket),
            SlotOutcome::Abandoned => self.suspects.abandon(now, ticket),
            SlotOutcome::Shed => self.suspects.forget(ticket),
        }
    }

    /// Records that servers of another version are called from now on.
    pub fn begin_version(&mut self) {
        self.suspects.begin_version();
    }

    /// Reports a crash that was found at `now`, with the calls that may have caused it.
    pub fn record_crash(&mut self, now: Duration, cold: bool) {
        let calls = self.suspects.crash(now);
        for cut in &calls {
            self.log_cut_call(cut);
        }
        // The reporter ends only with the node.
        let _ = self.crashes.send(ServerCrash { calls, cold });
    }

    fn log_cut_call(&self, cut: &CutCall) {
        let completed_ago = cut.completed_ago.map(|ago| ago.as_millis());
        info!(
            "event=call-cut-by-crash process=node instance={} fingerprint={} service={} route={} state={} began_ago_ms={} completed_ago_ms={}",
            self.instance,
            cut.call.fingerprint,
            cut.call.service,
            LogValue(&cut.call.route),
            cut.state.as_str(),
            cut.began_ago.as_millis(),
            completed_ago.map_or("-".to_owned(), |ago| ago.to_string())
        );
    }
}
