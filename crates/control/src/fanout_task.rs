//! Task that sends updates to followers: nodes, and control instances that
//! follow this one.
//!
//! It owns the [`UpdateSource`], which decides what each follower gets. The
//! task encodes each answer once and sends the same bytes to all followers
//! that get it. Committed versions come from the agreement task as
//! [`FanoutMessage::Publish`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use cowslip_core::control_roster::ControlSeat;
use cowslip_core::control_state::AcceptedChange;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::follower_queue::FollowerId;
use cowslip_core::move_tracker::MoveProgress;
use cowslip_core::node_presence::NodePresence;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_core::source_proof::SourceProof;
use cowslip_core::update_source::LeaderUpdate;
use cowslip_core::update_source::SourceIdentity;
use cowslip_core::update_source::UpdateSource;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::codec;
use cowslip_wire::follow_messages::ChunkAnswer;
use cowslip_wire::follow_messages::ChunkCall;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::messages::FleetStatus;
use cowslip_wire::messages::MoveLine;
use cowslip_wire::messages::NodeLine;
use cowslip_wire::wall_clock;

use crate::leader_view::LeaderWatch;
use crate::source_metrics::SourceMetrics;

/// Capacity of the task's queue. While it is full, senders wait, which applies
/// backpressure to their connections.
const QUEUE_CAPACITY: usize = 1_024;

/// Interval at which the task runs when no message arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A message to the fan-out task.
#[derive(Debug)]
pub enum FanoutMessage {
    /// Publishes the configuration in force, from the agreement task.
    Publish(ConfigSnapshot),
    /// Returns the configuration in force.
    Snapshot(oneshot::Sender<ConfigSnapshot>),
    /// Returns the state needed for the next poll of the leader.
    UplinkState(oneshot::Sender<UplinkState>),
    /// Returns how far each of these changes has reached the nodes.
    Moves(Vec<AcceptedChange>, oneshot::Sender<Vec<MoveLine>>),
    /// Returns how far one version has reached the nodes.
    Progress(ConfigVersion, oneshot::Sender<VersionProgress>),
    /// Returns the live nodes and the versions that they applied.
    Status(oneshot::Sender<FleetStatus>),
    /// Returns the directory of backend servers.
    Endpoints(oneshot::Sender<Vec<EndpointRecord>>),
    /// Returns the control instances that follow this one; `None` while one of them
    /// states no seat.
    Controls(oneshot::Sender<Option<Vec<ControlSeat>>>),
    /// Waits for updates on behalf of a follower; the answer is encoded.
    Follow(FollowCall, oneshot::Sender<Bytes>),
    /// Returns a chunk of a snapshot.
    Chunk(ChunkCall, oneshot::Sender<ChunkAnswer>),
    /// Records reports of nodes and endpoints.
    Report(ReportBatch),
    /// Reports records to the leader that it does not list.
    ReportUnlisted(Vec<EndpointRecord>),
    /// Takes the reports that are to be sent to the leader.
    TakeReports(oneshot::Sender<ReportBatch>),
    /// Takes back reports that could not be sent to the leader.
    ReturnReports(ReportBatch),
    /// Installs an update that this instance received as a follower.
    Install(Box<InstalledUpdate>),
    /// Sets the watch that tells the task who leads; sent once, before any other
    /// message.
    WatchLeader(LeaderWatch),
    /// Sets how long nodes count as live; sent once, if the settings have it.
    SetPresence(NodePresence),
}

/// How far a version has reached the nodes.
#[derive(Clone, Copy, Debug)]
pub struct VersionProgress {
    /// State of the version and counts of nodes.
    pub progress: MoveProgress,
    /// Time from acceptance until all live nodes applied it, in milliseconds;
    /// `None` until then.
    pub done_after_ms: Option<u64>,
}

/// State needed for the next poll of the leader.
#[derive(Debug)]
pub struct UplinkState {
    /// The configuration in force at this instance.
    pub snapshot: ConfigSnapshot,
    /// True if starting followers wait for a confirmation.
    pub wants_confirmation: bool,
}

/// An update that came from the leader.
#[derive(Debug)]
pub struct InstalledUpdate {
    /// When the poll that this update answers was sent.
    pub sent_at: BootInstant,
    /// Proof of the source's version and freshness.
    pub source: SourceProof,
    /// The validated configuration, if it is newer.
    pub snapshot: Option<ConfigSnapshot>,
    /// Directory records that changed.
    pub endpoints: Vec<EndpointRecord>,
    /// Run number of the leader's update source; each start has a new one.
    pub run: u64,
}

struct FanoutTask {
    instance: Arc<str>,
    source: UpdateSource,
    replies: HashMap<FollowerId, oneshot::Sender<Bytes>>,
    leader: Option<LeaderWatch>,
    metrics: SourceMetrics,
    logged_frozen: u64,
    started: BootInstant,
}

/// Starts the task.
pub fn spawn(
    instance: Arc<str>,
    failure_domain: Arc<str>,
    metrics: SourceMetrics,
) -> mpsc::Sender<FanoutMessage> {
    let identity = SourceIdentity {
        instance: Arc::clone(&instance),
        failure_domain,
        run: wall_clock::since_epoch().as_nanos() as u64,
    };
    let task = FanoutTask {
        instance,
        source: UpdateSource::new(identity),
        replies: HashMap::new(),
        leader: None,
        metrics,
        logged_frozen: 0,
        started: BootInstant::now(),
    };
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    actix_rt::spawn(task.run(receiver));
    sender
}

/// Sends a message with a reply channel and awaits the answer; `None` once the
/// task has ended, which happens only at shutdown.
pub async fn ask<T>(
    fanout: &mpsc::Sender<FanoutMessage>,
    message: impl FnOnce(oneshot::Sender<T>) -> FanoutMessage,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    fanout.send(message(reply)).await.ok()?;
    answer.await.ok()
}

impl FanoutTask {
    async fn run(mut self, mut receiver: mpsc::Receiver<FanoutMessage>) {
        let mut tick = actix_rt::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticked = BootInstant::now();
        loop {
            let message = tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => Some(message),
                    None => return,
                },
                _ = tick.tick() => {
                    self.source
                        .note_delay(ticked.elapsed().saturating_sub(TICK_INTERVAL));
                    ticked = BootInstant::now();
                    None
                }
            };
            let now = self.started.elapsed();
            if let Some(leader) = &self.leader {
                self.source.set_leading(now, leader.borrow().is_leading());
            }
            if let Some(message) = message {
                self.handle_message(now, message);
            }
            self.send_answers(now);
        }
    }

    fn handle_message(&mut self, now: Duration, message: FanoutMessage) {
        // A reply whose receiver is gone is dropped: its caller has given up
        // and will ask again.
        match message {
            FanoutMessage::Publish(snapshot) => {
                let previous = self.source.current().version;
                self.source.publish(now, snapshot);
                self.log_version(previous, "agreement");
            }
            FanoutMessage::Snapshot(reply) => {
                let _ = reply.send(self.source.current().clone());
            }
            FanoutMessage::UplinkState(reply) => {
                let _ = reply.send(UplinkState {
                    snapshot: self.source.current().clone(),
                    wants_confirmation: self.source.wants_confirmation(),
                });
            }
            FanoutMessage::Moves(changes, reply) => {
                let _ = reply.send(self.moves(changes));
            }
            FanoutMessage::Progress(version, reply) => {
                let _ = reply.send(self.progress(version));
            }
            FanoutMessage::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            FanoutMessage::Endpoints(reply) => {
                let records = self.source.directory().records();
                let _ = reply.send(records.cloned().collect());
            }
            FanoutMessage::Controls(reply) => {
                let _ = reply.send(self.source.live_controls(now));
            }
            FanoutMessage::Follow(call, reply) => {
                let id = self.source.follow(now, call);
                self.replies.insert(id, reply);
            }
            FanoutMessage::Chunk(call, reply) => {
                let chunk = self.source.chunk(call.version, call.at);
                let _ = reply.send(ChunkAnswer { chunk });
            }
            FanoutMessage::Report(batch) => self.source.report(now, batch),
            FanoutMessage::ReportUnlisted(records) => {
                self.source.report_unlisted(records);
            }
            FanoutMessage::TakeReports(reply) => {
                if let Err(batch) = reply.send(self.source.take_reports(now)) {
                    self.source.requeue_reports(batch);
                }
            }
            FanoutMessage::ReturnReports(batch) => self.source.requeue_reports(batch),
            FanoutMessage::Install(update) => self.install(now, *update),
            FanoutMessage::SetPresence(presence) => self.source.set_presence(presence),
            FanoutMessage::WatchLeader(leader) => self.leader = Some(leader),
        }
    }

    fn install(&mut self, now: Duration, update: InstalledUpdate) {
        let sent_at = update.sent_at.saturating_duration_since(self.started);
        let update = LeaderUpdate {
            sent_at,
            source: update.source,
            snapshot: update.snapshot,
            endpoints: update.endpoints,
            run: update.run,
        };
        let previous = self.source.current().version;
        let proved = update.source.version;
        self.source.install(now, update);
        self.log_version(previous, "leader");
        let held = self.source.current().version;
        if held < proved {
            info!(
                "event=leader-ahead process=control instance={} held={held} leader_version={proved}",
                self.instance
            );
        }
    }

    /// Logs the version that followers are sent if it is another than `previous`.
    fn log_version(&self, previous: ConfigVersion, from: &str) {
        let version = self.source.current().version;
        if version == previous {
            return;
        }
        info!(
            "event=version-published process=control instance={} version={version} from={from}",
            self.instance
        );
    }

    fn moves(&self, changes: Vec<AcceptedChange>) -> Vec<MoveLine> {
        let tracker = self.source.move_tracker();
        let mut lines = Vec::with_capacity(changes.len());
        for change in changes {
            let done_after = tracker.done_after(change.version);
            lines.push(MoveLine {
                version: change.version,
                summary: change.summary,
                at_ms: change.at_ms,
                progress: tracker.progress(change.version),
                done_after_ms: done_after.map(|after| after.as_millis() as u64),
            });
        }
        lines
    }

    fn progress(&self, version: ConfigVersion) -> VersionProgress {
        let tracker = self.source.move_tracker();
        let done_after = tracker.done_after(version);
        VersionProgress {
            progress: tracker.progress(version),
            done_after_ms: done_after.map(|after| after.as_millis() as u64),
        }
    }

    fn status(&self, now: Duration) -> FleetStatus {
        let mut nodes = Vec::new();
        for (age, report) in self.source.move_tracker().live(now) {
            nodes.push(NodeLine {
                report: report.clone(),
                age_ms: age.as_millis() as u64,
            });
        }
        FleetStatus {
            instance: Arc::clone(&self.instance),
            version: self.source.current().version,
            nodes,
        }
    }

    fn send_answers(&mut self, now: Duration) {
        for answer in self.source.tick(now) {
            // Encoding to memory cannot fail. If it did, the empty answer would
            // not decode, and the follower would ask another instance.
            let encoded = codec::encode(&answer.reply).unwrap_or_default();
            let encoded = Bytes::from(encoded);
            for follower in answer.followers {
                let Some(reply) = self.replies.remove(&follower) else {
                    continue;
                };
                let _ = reply.send(encoded.clone());
            }
        }
        self.metrics.update(self.source.counts());
        self.log_frozen();
    }

    fn log_frozen(&mut self) {
        let frozen = self.source.counts().leases_frozen;
        if frozen == self.logged_frozen {
            return;
        }
        self.logged_frozen = frozen;
        info!(
            "event=leases-frozen process=control instance={} leases={frozen}",
            self.instance
        );
    }
}
