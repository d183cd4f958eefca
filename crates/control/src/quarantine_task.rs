//! Task that quarantines requests under which backend servers crash.
//!
//! On the leader it counts the crashes that nodes report, proposes quarantines to the
//! agreement and ends them. On other instances it forwards the reports to the leader.
//! All instances keep them, and the leader shares what it learns: a leader that is lost
//! together with nodes takes no count with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::crash_tally::CrashTally;
use cowslip_core::crash_tally::RepeatedCrash;
use cowslip_core::crash_tally::TallyTime;
use cowslip_core::document::FleetDocument;
use cowslip_core::quarantine::QuarantineChange;
use cowslip_core::quarantine::QuarantineEntry;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::crash_messages::CrashCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementHandle;
use crate::agreement_task::AgreementMessage;
use crate::leader_forward;

/// Capacity of the task's queue. While it is full, senders wait.
const QUEUE_CAPACITY: usize = 1_024;

/// Interval at which the leader looks for quarantines to end, and shares crashes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a proposal; after it, the change may be proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a message to another instance.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Channel to the running task.
pub type QuarantineHandle = mpsc::Sender<CrashCall>;

struct QuarantineTask {
    instance: Arc<str>,
    agreement: AgreementHandle,
    client: PeerClient,
    tally: CrashTally,
    started: BootInstant,
}

/// Starts the task.
pub fn spawn(
    instance: Arc<str>,
    agreement: AgreementHandle,
    client: PeerClient,
) -> QuarantineHandle {
    let task = QuarantineTask {
        instance,
        agreement,
        client,
        tally: CrashTally::default(),
        started: BootInstant::now(),
    };
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    actix_rt::spawn(task.run(receiver));
    sender
}

impl QuarantineTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<CrashCall>) {
        let mut check_tick = actix_rt::time::interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                call = receiver.recv() => match call {
                    Some(call) => self.record(call).await,
                    None => return,
                },
                _ = check_tick.tick() => {
                    self.share().await;
                    self.check().await;
                }
            }
        }
    }

    async fn record(&mut self, call: CrashCall) {
        let view = *self.agreement.leader.borrow();
        let now = self.now();
        for report in &call.reports {
            let repeated = self.tally.record_report(now, report.clone());
            if view.is_leading() {
                self.log_repeated(&report.node, &repeated);
            }
        }
        if view.is_leading() {
            self.check().await;
            return;
        }
        let Some(address) = view.address.filter(|_| !call.shared) else {
            return;
        };
        leader_forward::spawn(self.client.clone(), address, call, "crashes-failed");
    }

    fn now(&self) -> TallyTime {
        TallyTime {
            wall_ms: wall_clock::millis(),
            elapsed: self.started.elapsed(),
        }
    }

    fn log_repeated(&self, node: &str, repeated: &[RepeatedCrash]) {
        for RepeatedCrash {
            call,
            crashes,
            evidence,
        } in repeated
        {
            info!(
                "event=crash-counted process=control instance={} node={node} fingerprint={} service={} route={} crashes={crashes} since_completed={} completed={} repeated={} conclusive={}",
                self.instance,
                call.fingerprint,
                call.service,
                LogValue(&call.route),
                evidence.crashes,
                evidence.completed,
                evidence.repeated,
                evidence.is_conclusive()
            );
        }
    }

    /// Proposes the changes that are due, if this instance leads.
    async fn check(&mut self) {
        if !self.agreement.leader.borrow().is_leading() {
            return;
        }
        let Some(document) = self.document().await else {
            return;
        };
        let now_ms = wall_clock::millis();
        for change in self.tally.changes_due(now_ms, &document.quarantines) {
            let known = document.quarantines.get(&change.fingerprint());
            self.propose(change, known).await;
        }
    }

    /// Tells the other instances what this one has learned, if it leads.
    async fn share(&mut self) {
        let now = self.now();
        self.tally.forget_old(now.wall_ms);
        if !self.agreement.leader.borrow().is_leading() {
            return;
        }
        let Some(document) = self.document().await else {
            return;
        };
        let reports = self.tally.take_unshared(now);
        if reports.is_empty() {
            return;
        }
        for seat in &document.controls.seats {
            if seat.instance == self.instance {
                continue;
            }
            let call = CrashCall {
                reports: reports.clone(),
                shared: true,
            };
            spawn_share(self.client.clone(), seat.address, call);
        }
    }

    async fn document(&self) -> Option<Arc<FleetDocument>> {
        let (reply, answer) = oneshot::channel();
        let message = AgreementMessage::Current("".into(), reply);
        self.agreement.task.send(message).await.ok()?;
        match answer.await.ok()? {
            LeaderAnswer::Answered(current) => Some(current.snapshot.document),
            LeaderAnswer::NotLeader(_) | LeaderAnswer::Unknown => None,
        }
    }

    async fn propose(&self, change: QuarantineChange, known: Option<&QuarantineEntry>) {
        info!(
            "event=quarantine-step process=control instance={} change={} times={}",
            self.instance,
            LogValue(change.summary()),
            known.map_or(0, |entry| entry.times)
        );
        let at_ms = wall_clock::millis();
        let entry = ChangeEntry {
            request_id: request_id(&change, at_ms),
            expected: None,
            at_ms,
            change: ConfigChange::Quarantine(change),
        };
        let (reply, answer) = oneshot::channel();
        let message = AgreementMessage::Change(Box::new(entry), reply);
        let proposal = async {
            self.agreement.task.send(message).await.ok()?;
            answer.await.ok()
        };
        match actix_rt::time::timeout(PROPOSAL_TIMEOUT, proposal).await {
            Ok(Some(LeaderAnswer::Answered(ChangeOutcome::Accepted { .. }))) => {}
            Ok(Some(LeaderAnswer::Answered(_))) => {
                warn!("event=quarantine-step-refused process=control");
            }
            Ok(_) | Err(_) => {
                warn!("event=quarantine-step-unanswered process=control");
            }
        }
    }
}

/// Sends crashes to another instance in a task of its own. They are not sent again: the
/// nodes report them to the next leader as well, unless they are lost with this one.
fn spawn_share(client: PeerClient, address: SocketAddr, call: CrashCall) {
    actix_rt::spawn(async move {
        if let Err(error) = client.send(address, &call, SHARE_TIMEOUT).await {
            warn!(
                "event=crashes-unshared process=control to={address} error={}",
                LogValue(error)
            );
        }
    });
}

/// Returns the request ID of a step. A step that two leaders propose is refused the
/// second time, because it no longer fits the table.
fn request_id(change: &QuarantineChange, at_ms: u64) -> Arc<str> {
    let fingerprint = change.fingerprint();
    let step = match change {
        QuarantineChange::Start { .. } => "start",
        QuarantineChange::End { .. } => "end",
        QuarantineChange::Forget { .. } => "forget",
    };
    format!("quarantine-{fingerprint}-{step}-{at_ms}").into()
}
