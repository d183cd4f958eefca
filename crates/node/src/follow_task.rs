//! Follows control instances and tells them of this node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory_follower::DirectoryFollower;
use cowslip_core::directory_follower::DirectoryUpdate;
use cowslip_core::move_tracker::NodeReport;
use cowslip_core::reconnect_backoff::ReconnectBackoff;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_core::source_ring::SourceRing;
use cowslip_core::version::ConfigVersion;
use cowslip_core::version_follower::FollowStep;
use cowslip_core::version_follower::VersionFollower;
use cowslip_wire::follow_messages::ChunkCall;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::FollowReply;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;
use cowslip_wire::process_log::LogValue;

use crate::entry_task::EntryMessage;
use crate::follow_metrics::FollowMetrics;
use crate::gate_task::GateMessage;

/// An answer is given up on this long after it was due, and the next
/// instance is asked; for short waits sooner.
const ANSWER_MARGIN_MAX: Duration = Duration::from_secs(2);
const ANSWER_MARGIN_MIN: Duration = Duration::from_millis(200);

/// Longest wait after failures, in multiples of the wait for news.
const BACKOFF_FACTOR: f64 = 2.5;

/// Part of the wait for news that a node without any configuration waits after
/// a failure at most. A source that is up holds its question that whole wait,
/// so that only refused connections follow each other this quickly.
const STARTUP_DIVISOR: u32 = 2;

/// How a node paces its questions.
#[derive(Clone, Copy, Debug)]
struct FollowPace {
    wait: Duration,
    answer_timeout: Duration,
    backoff_max: Duration,
    startup_backoff_max: Duration,
}

impl FollowPace {
    fn of(wait: Duration) -> Self {
        Self {
            wait,
            answer_timeout: wait + (wait + ANSWER_MARGIN_MIN).min(ANSWER_MARGIN_MAX),
            backoff_max: wait.mul_f64(BACKOFF_FACTOR),
            startup_backoff_max: wait / STARTUP_DIVISOR,
        }
    }
}

/// A report or a chunk is answered at once; so it is given up on earlier.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What following needs.
pub struct FollowOptions {
    /// Name of the node's instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Control instances; they may change.
    pub controls: watch::Receiver<Vec<SocketAddr>>,
    /// Spreads the nodes over them, and their waits.
    pub seed: u64,
    /// Wait that is asked of them where they have no news.
    pub wait: Duration,
    /// Sends messages to them.
    pub client: PeerClient,
    /// Where news go.
    pub entry: mpsc::Sender<EntryMessage>,
    /// Where records of the node's own endpoint go.
    pub gate: mpsc::UnboundedSender<GateMessage>,
    /// Counters of what is passed over.
    pub metrics: FollowMetrics,
}

/// Follows news for ever; which control instance is followed can be watched.
pub fn spawn(options: FollowOptions) -> watch::Receiver<SocketAddr> {
    let first = options.seed as usize;
    let domain = Arc::clone(&options.failure_domain);
    let ring = SourceRing::new(domain, &options.controls.borrow(), first);
    let (current, watched) = watch::channel(ring.current());
    let pace = FollowPace::of(options.wait);
    let follower = ControlFollower {
        pace,
        backoff: ReconnectBackoff::new(options.seed).bounded(pace.backoff_max),
        options,
        ring,
        current,
        versions: VersionFollower::new(Duration::ZERO),
        directory: DirectoryFollower::default(),
        waited: false,
        started: Instant::now(),
    };
    actix_rt::spawn(follower.run());
    watched
}

struct ControlFollower {
    options: FollowOptions,
    pace: FollowPace,
    ring: SourceRing,
    current: watch::Sender<SocketAddr>,
    versions: VersionFollower,
    directory: DirectoryFollower,
    waited: bool,
    backoff: ReconnectBackoff,
    started: Instant,
}

/// What follows a question.
enum PollOutcome {
    /// The source answered and stays in use.
    Stay,
    /// The source answered and cannot help, or another is nearer.
    Switch,
    /// The source answered and cannot tell whether it is behind.
    Unconfirmed,
    /// The source said when to come back.
    RetryAfter(Duration),
}

impl ControlFollower {
    async fn run(mut self) {
        while !self.options.entry.is_closed() {
            self.update_controls();
            let outcome = self.poll().await;
            self.options.metrics.update(self.versions.counts());
            let wait = match outcome {
                Ok(PollOutcome::Stay) => {
                    self.backoff.reset();
                    continue;
                }
                Ok(PollOutcome::RetryAfter(after)) => {
                    self.waited = true;
                    self.options.metrics.count_later();
                    info!(
                        "event=follow-later process=node control={} held={} after_ms={}",
                        self.ring.current(),
                        self.versions.held(),
                        after.as_millis()
                    );
                    self.backoff.retry_after(after)
                }
                Ok(PollOutcome::Switch) => self.switch_source(),
                Ok(PollOutcome::Unconfirmed) => {
                    self.options.metrics.count_later();
                    self.switch_source();
                    self.backoff.reset();
                    self.pace.wait / 2
                }
                Err(failure) => {
                    self.options.metrics.count_failure();
                    warn!(
                        "event=follow-failed process=node control={} error={}",
                        self.ring.current(),
                        LogValue(failure)
                    );
                    self.switch_source()
                }
            };
            actix_rt::time::sleep(wait).await;
        }
    }

    /// Guards against a node whose control instances were all replaced while
    /// it slept: it would ask addresses that nobody serves any more for ever.
    fn update_controls(&mut self) {
        // An error means that nobody can change them any more.
        if !self.options.controls.has_changed().unwrap_or(false) {
            return;
        }
        let controls = self.options.controls.borrow_and_update().clone();
        self.ring.replace(self.started.elapsed(), &controls);
        self.current.send_replace(self.ring.current());
    }

    fn switch_source(&mut self) -> Duration {
        self.waited = false;
        self.ring.failed(self.started.elapsed());
        self.current.send_replace(self.ring.current());
        if self.versions.held() == ConfigVersion::ZERO {
            self.backoff
                .next_starting_wait(self.pace.startup_backoff_max)
        } else {
            self.backoff.next_wait()
        }
    }

    /// One question and what it brings.
    async fn poll(&mut self) -> Result<PollOutcome, PeerError> {
        let call = FollowCall {
            follower: Arc::clone(&self.options.instance),
            held: self.versions.held(),
            refused: self.versions.refused(),
            whole: self.versions.needs_snapshot(),
            waited: self.waited,
            directory: self.directory.request(),
            wait_ms: self.pace.wait.as_millis() as u64,
            node_domain: Some(Arc::clone(&self.options.failure_domain)),
        };
        let address = self.ring.current();
        let client = &self.options.client;
        let answer = match client
            .send(address, &call, self.pace.answer_timeout)
            .await?
        {
            FollowReply::News(answer) => *answer,
            FollowReply::Later(after_ms) => {
                return Ok(PollOutcome::RetryAfter(Duration::from_millis(after_ms)))
            }
        };
        self.waited = false;
        self.update_directory(answer.directory).await;
        let domain = Arc::clone(&answer.source.failure_domain);
        let unconfirmed = answer.source.fresh_ms == 0;
        let now = self.started.elapsed();
        let step = self.versions.handle_update(
            now,
            answer.source,
            answer.acknowledged,
            answer.config,
        );
        match self.fetch(address, step, answer.chunk).await? {
            FollowStep::Offer(snapshot) => self.offer(snapshot).await,
            FollowStep::AskElsewhere => return Ok(PollOutcome::Switch),
            FollowStep::Ask | FollowStep::Fetch { .. } => {}
        }
        // The entry task ends only with the node.
        let _ = self.options.entry.send(EntryMessage::Heard).await;
        if self.ring.answered(self.started.elapsed(), &domain) {
            self.current.send_replace(self.ring.current());
        }
        // Guards against a node that stays with an instance cut off from the
        // leader: it answers well, and never has news.
        if unconfirmed {
            return Ok(PollOutcome::Unconfirmed);
        }
        Ok(PollOutcome::Stay)
    }

    async fn update_directory(&mut self, news: DirectoryUpdate) {
        let run = self.directory.place().run;
        let changed = self.directory.take(news);
        if self.directory.place().run != run {
            // The gate's task ends only with the node.
            let _ = self.options.gate.send(GateMessage::Republish);
        }
        for record in &changed {
            if record.instance == self.options.instance {
                let seen = Box::new(record.clone());
                let _ = self.options.gate.send(GateMessage::Reconcile(seen));
            }
        }
        if changed.is_empty() {
            return;
        }
        let news = EntryMessage::Install(None, changed);
        // The entry task ends only with the node.
        let _ = self.options.entry.send(news).await;
    }

    /// Fetches chunks as long as the follower wants them, after the one that
    /// came along.
    async fn fetch(
        &mut self,
        address: SocketAddr,
        mut step: FollowStep,
        first_chunk: Option<Bytes>,
    ) -> Result<FollowStep, PeerError> {
        if let (FollowStep::Fetch { at: 0, .. }, Some(chunk)) = (&step, first_chunk) {
            let now = self.started.elapsed();
            step = self.versions.chunk(now, Some(&chunk));
        }
        while let FollowStep::Fetch { version, at } = step {
            let call = ChunkCall { version, at };
            let client = &self.options.client;
            let answer = client.send(address, &call, REQUEST_TIMEOUT).await?;
            let now = self.started.elapsed();
            step = self.versions.chunk(now, answer.chunk.as_deref());
        }
        Ok(step)
    }

    /// Hands a snapshot to the routing, which validates it and swaps, and
    /// hears what became of it.
    async fn offer(&mut self, snapshot: ConfigSnapshot) {
        let news = EntryMessage::Install(Some(snapshot), Vec::new());
        if self.options.entry.send(news).await.is_err() {
            return;
        }
        if let Some(report) = request_report(&self.options.entry).await {
            self.versions.record_outcome(report.applied, report.refused);
        }
    }
}

async fn request_report(entry: &mpsc::Sender<EntryMessage>) -> Option<NodeReport> {
    let (reply, report) = oneshot::channel();
    entry.send(EntryMessage::Report(reply)).await.ok()?;
    report.await.ok()
}

/// Tells the control instance in use of each new record of the node's own
/// endpoint; of several that wait, the last.
pub async fn publish(
    control: watch::Receiver<SocketAddr>,
    seed: u64,
    client: PeerClient,
    mut records: mpsc::UnboundedReceiver<EndpointRecord>,
) {
    let mut backoff = ReconnectBackoff::new(seed);
    while let Some(mut record) = records.recv().await {
        loop {
            while let Ok(newer) = records.try_recv() {
                record = newer;
            }
            let batch = ReportBatch {
                groups: Vec::new(),
                endpoints: vec![record.clone()],
            };
            let address = *control.borrow();
            let call = ReportCall { batch };
            let Err(failure) = client.send(address, &call, REQUEST_TIMEOUT).await else {
                break;
            };
            warn!(
                "event=report-failed process=node control={address} error={}",
                LogValue(failure)
            );
            actix_rt::time::sleep(backoff.next_wait()).await;
        }
        backoff.reset();
    }
}
