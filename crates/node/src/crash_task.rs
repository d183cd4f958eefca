//! Reports the crashes of this node's backend server to the control instances.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::sync::mpsc;

use cowslip_core::crash_suspects::CutCall;
use cowslip_core::crash_tally::CrashRecord;
use cowslip_core::crash_tally::CrashReport;
use cowslip_core::crash_tally::ReportedCall;
use cowslip_core::crash_tally::CRASH_WINDOW;
use cowslip_core::crash_tally::NODE_CRASHES_MAX;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::crash_messages::CrashCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::control_watch;
use crate::control_watch::ControlWatch;

/// Interval at which recent crashes are reported again, for a report that was lost and
/// for a control instance that has just begun to lead.
const REPEAT_INTERVAL: Duration = Duration::from_secs(3);

/// Age up to which a crash is in each report. Older ones are in every tenth only: a server
/// that crashes again and again would fill a thin link with them.
const RECENT_AGE: Duration = Duration::from_secs(30);

/// Reports of which one contains all crashes that count.
const WHOLE_REPORT_EVERY: u64 = 10;

/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a failed report at which it is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A crash of the backend server beside the node.
#[derive(Clone, Debug)]
pub struct ServerCrash {
    /// Calls that it cut, or that were given up shortly before it.
    pub calls: Vec<CutCall>,
    /// Whether the server was cold, and its calls limited for it.
    pub cold: bool,
}

struct CrashReporter {
    node: Arc<str>,
    client: PeerClient,
    control: ControlWatch,
    crashes: VecDeque<KeptCrash>,
    last_number: u64,
    /// Reports that were sent so far.
    reports: u64,
}

struct KeptCrash {
    number: u64,
    at: BootInstant,
    calls: Vec<ReportedCall>,
    cold: bool,
}

impl KeptCrash {
    fn record(&self) -> CrashRecord {
        let calls = self.calls.iter().cloned();
        let (calls, doubtful_calls) =
            calls.partition(|call| !self.cold && call.is_plain_suspect());
        CrashRecord {
            number: self.number,
            age_ms: self.at.elapsed().as_millis() as u64,
            calls,
            doubtful_calls,
            cold: self.cold,
        }
    }
}

/// Starts reporting the crashes received on `crashes` to the control instance in use.
pub fn spawn(
    node: Arc<str>,
    client: PeerClient,
    control: ControlWatch,
    crashes: mpsc::UnboundedReceiver<ServerCrash>,
) {
    let reporter = CrashReporter {
        node,
        client,
        control,
        crashes: VecDeque::new(),
        // The clock makes the numbers of this process differ from its predecessor's.
        last_number: wall_clock::millis(),
        reports: 0,
    };
    actix_rt::spawn(reporter.run(crashes));
}

/// What became of a report.
enum ReportOutcome {
    /// A control instance took it.
    Taken,
    /// The node has turned to another control instance meanwhile.
    Left,
    /// The control instance did not answer.
    Failed,
}

impl CrashReporter {
    async fn run(mut self, mut crashes: mpsc::UnboundedReceiver<ServerCrash>) {
        let mut pause = REPEAT_INTERVAL;
        loop {
            let received = if self.crashes.is_empty() {
                crashes.recv().await.map(Some)
            } else {
                let next = actix_rt::time::timeout(pause, crashes.recv()).await;
                next.map_or(Some(None), |received| received.map(Some))
            };
            let Some(received) = received else {
                return;
            };
            if let Some(crash) = received {
                self.keep(crash);
            }
            while let Ok(crash) = crashes.try_recv() {
                self.keep(crash);
            }
            self.forget_old();
            pause = match self.report().await {
                ReportOutcome::Taken => REPEAT_INTERVAL,
                ReportOutcome::Left => Duration::ZERO,
                ReportOutcome::Failed => RETRY_DELAY,
            };
        }
    }

    fn keep(&mut self, crash: ServerCrash) {
        if crash.calls.is_empty() {
            return;
        }
        self.last_number += 1;
        self.crashes.push_back(KeptCrash {
            number: self.last_number,
            at: BootInstant::now(),
            calls: crash.calls.into_iter().map(ReportedCall::from).collect(),
            cold: crash.cold,
        });
        if self.crashes.len() > NODE_CRASHES_MAX {
            self.crashes.pop_front();
        }
    }

    fn forget_old(&mut self) {
        let is_old = |crash: &KeptCrash| crash.at.elapsed() >= CRASH_WINDOW;
        while self.crashes.front().is_some_and(is_old) {
            self.crashes.pop_front();
        }
    }

    /// Sends the recent crashes, or all that count.
    async fn report(&mut self) -> ReportOutcome {
        let whole = self.reports.is_multiple_of(WHOLE_REPORT_EVERY);
        let mut crashes = Vec::new();
        for crash in &self.crashes {
            if whole || crash.at.elapsed() < RECENT_AGE {
                crashes.push(crash.record());
            }
        }
        self.reports += 1;
        if crashes.is_empty() {
            return ReportOutcome::Taken;
        }
        let call = CrashCall {
            reports: vec![CrashReport {
                node: Arc::clone(&self.node),
                crashes,
            }],
            shared: false,
        };
        let address = *self.control.borrow();
        let other = control_watch::wait_for_other(&self.control, address);
        let sent = self
            .client
            .send_unless(address, &call, REPORT_TIMEOUT, other);
        match sent.await {
            Ok(Some(())) => ReportOutcome::Taken,
            Ok(None) => ReportOutcome::Left,
            Err(error) => {
                warn!(
                    "event=crashes-failed process=node control={address} error={}",
                    LogValue(error)
                );
                ReportOutcome::Failed
            }
        }
    }
}
