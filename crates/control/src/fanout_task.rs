//! The task that feeds followers: nodes, and control instances below this.
//!
//! It owns the [`UpdateSource`], which decides; the task encodes each answer
//! once and hands the same bytes to all followers that get it. What is
//! agreed comes from the agreed task as [`FanoutMessage::Publish`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

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

/// Followers' questions waiting for the task; more are pushed back to
/// their sockets.
const QUEUE_CAPACITY: usize = 1_024;

/// How often time is let pass where no message comes.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// What others ask of the task.
#[derive(Debug)]
pub enum FanoutMessage {
    /// The configuration in force, from the agreed task.
    Publish(ConfigSnapshot),
    /// The configuration in force is asked for.
    Snapshot(oneshot::Sender<ConfigSnapshot>),
    /// What the next question to the leader needs is asked for.
    UplinkState(oneshot::Sender<UplinkState>),
    /// How these changes stand among the nodes.
    Moves(Vec<AcceptedChange>, oneshot::Sender<Vec<MoveLine>>),
    /// How far one version has come among the nodes.
    Progress(ConfigVersion, oneshot::Sender<VersionProgress>),
    /// The fleet.
    Status(oneshot::Sender<FleetStatus>),
    /// The directory of backend servers.
    Endpoints(oneshot::Sender<Vec<EndpointRecord>>),
    /// A follower waits for news; the answer comes encoded.
    Follow(FollowCall, oneshot::Sender<Bytes>),
    /// A follower fetches a chunk of a snapshot.
    Chunk(ChunkCall, oneshot::Sender<ChunkAnswer>),
    /// Reports of nodes and endpoints.
    Report(ReportBatch),
    /// What the leader is to be told is asked for.
    TakeReports(oneshot::Sender<ReportBatch>),
    /// Reports that did not reach the leader.
    ReturnReports(ReportBatch),
    /// News that this instance, a follower itself, received.
    Install(Box<InstalledNews>),
    /// Who leads; sent once, before anything else.
    WatchLeader(LeaderWatch),
    /// How long nodes count as live; sent once, where settings say so.
    SetPresence(NodePresence),
}

/// How far a version has come among the nodes.
#[derive(Clone, Copy, Debug)]
pub struct VersionProgress {
    /// Nodes that have applied it.
    pub progress: MoveProgress,
    /// Time from acceptance until done, in milliseconds, once done.
    pub done_after_ms: Option<u64>,
}

/// What the next question to the leader needs.
#[derive(Debug)]
pub struct UplinkState {
    /// The configuration in force here.
    pub snapshot: ConfigSnapshot,
    /// True where starting followers wait for a confirmation.
    pub wants_confirmation: bool,
}

/// News that came from the leader.
#[derive(Debug)]
pub struct InstalledNews {
    /// When the question was sent.
    pub sent_at: BootInstant,
    /// What the answer proves.
    pub source: SourceProof,
    /// The configuration, checked whole, where it is newer.
    pub snapshot: Option<ConfigSnapshot>,
    /// Directory records that changed.
    pub endpoints: Vec<EndpointRecord>,
    /// The leader's run.
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

/// Asks the task; `None` once it has ended, with the process.
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
                    self.source.note_delay(ticked.elapsed().saturating_sub(TICK_INTERVAL));
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
        // A reply that nobody waits for any more is dropped: its caller
        // has given up and will ask again.
        match message {
            FanoutMessage::Publish(snapshot) => self.source.publish(now, snapshot),
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
            FanoutMessage::Follow(call, reply) => {
                let id = self.source.follow(now, call);
                self.replies.insert(id, reply);
            }
            FanoutMessage::Chunk(call, reply) => {
                let chunk = self.source.chunk(call.version, call.at);
                let _ = reply.send(ChunkAnswer { chunk });
            }
            FanoutMessage::Report(batch) => self.source.report(now, batch),
            FanoutMessage::TakeReports(reply) => {
                if let Err(batch) = reply.send(self.source.take_reports(now)) {
                    self.source.put_back(batch);
                }
            }
            FanoutMessage::ReturnReports(batch) => self.source.put_back(batch),
            FanoutMessage::Install(news) => self.install(now, *news),
            FanoutMessage::SetPresence(presence) => self.source.set_presence(presence),
            FanoutMessage::WatchLeader(leader) => self.leader = Some(leader),
        }
    }

    fn install(&mut self, now: Duration, news: InstalledNews) {
        let sent_at = news.sent_at.saturating_duration_since(self.started);
        let news = LeaderUpdate {
            sent_at,
            source: news.source,
            snapshot: news.snapshot,
            endpoints: news.endpoints,
            run: news.run,
        };
        self.source.install(now, news);
    }

    fn moves(&self, changes: Vec<AcceptedChange>) -> Vec<MoveLine> {
        let board = self.source.board();
        let mut lines = Vec::with_capacity(changes.len());
        for change in changes {
            let done_after = board.done_after(change.version);
            lines.push(MoveLine {
                version: change.version,
                summary: change.summary,
                at_ms: change.at_ms,
                progress: board.progress(change.version),
                done_after_ms: done_after.map(|after| after.as_millis() as u64),
            });
        }
        lines
    }

    fn progress(&self, version: ConfigVersion) -> VersionProgress {
        let board = self.source.board();
        let done_after = board.done_after(version);
        VersionProgress {
            progress: board.progress(version),
            done_after_ms: done_after.map(|after| after.as_millis() as u64),
        }
    }

    fn status(&self, now: Duration) -> FleetStatus {
        let mut nodes = Vec::new();
        for (age, report) in self.source.board().live(now) {
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
            // Writing to memory cannot fail; an empty answer would not
            // decode, and its receiver would ask elsewhere.
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
