//! Fetches configuration and directory updates from control instances, and
//! publishes the node's own endpoint record to them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use cowslip_core::control_roster::ControlRoster;
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
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::follow_messages::ChunkCall;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::FollowReply;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;
use cowslip_wire::process_log::LogValue;

use crate::control_watch;
use crate::control_watch::ControlWatch;
use crate::crash_task;
use crate::crash_task::ServerCrash;
use crate::entry_task::EntryMessage;
use crate::follow_metrics::FollowMetrics;
use crate::gate_messages::GateMessage;

/// Longest time past the poll wait before an answer counts as lost and the next
/// control instance is tried.
const ANSWER_MARGIN_MAX: Duration = Duration::from_secs(2);

/// Margin past the poll wait, in addition to the wait itself, where that is
/// shorter than [`ANSWER_MARGIN_MAX`].
const ANSWER_MARGIN_MIN: Duration = Duration::from_millis(200);

/// Longest backoff after failures, in multiples of the poll wait.
const BACKOFF_FACTOR: f64 = 2.5;

/// Divisor of the poll wait that gives the longest backoff of a node without
/// any configuration. A control instance that is up holds a poll for the whole
/// wait, so that only refused connections are retried this quickly.
const STARTUP_DIVISOR: u32 = 2;

/// Minimum time after the first answer of a control instance before the endpoints
/// that it does not list are reported to it.
const UNLISTED_DELAY_MIN: Duration = Duration::from_secs(5);

/// Spread of these reports over the nodes.
const UNLISTED_SPREAD: Duration = Duration::from_secs(5);

/// Timing of a node's polls.
#[derive(Clone, Copy, Debug)]
struct PollTiming {
    wait: Duration,
    answer_timeout: Duration,
    backoff_max: Duration,
    startup_backoff_max: Duration,
}

impl PollTiming {
    fn new(wait: Duration) -> Self {
        Self {
            wait,
            answer_timeout: wait + (wait + ANSWER_MARGIN_MIN).min(ANSWER_MARGIN_MAX),
            backoff_max: wait.mul_f64(BACKOFF_FACTOR),
            startup_backoff_max: wait / STARTUP_DIVISOR,
        }
    }
}

/// Timeout of reports and chunk requests. They are answered at once, so it is
/// shorter than that of a poll.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time past the poll wait after which a poll is logged as late.
const POLL_DELAY_LOGGED: Duration = Duration::from_millis(200);

/// Options of the follow task.
pub struct FollowOptions {
    /// Name of the node's instance.
    pub instance: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Addresses of the control instances; they may change.
    pub controls: watch::Receiver<Vec<SocketAddr>>,
    /// Seed that spreads the nodes over the control instances, and jitters the
    /// backoff.
    pub seed: u64,
    /// How long a control instance holds a poll while it has no updates.
    pub wait: Duration,
    /// Key of the messages to the control instances.
    pub system_key: AccessKey,
    /// Channel to the entry task, which gets the updates.
    pub entry: mpsc::Sender<EntryMessage>,
    /// Channel to the gate task, which gets the directory's records of the node's
    /// own endpoint.
    pub gate: mpsc::UnboundedSender<GateMessage>,
    /// Counters of skipped updates and failed polls.
    pub metrics: FollowMetrics,
}

/// What a node reports about its backend server.
pub struct ServerNews {
    /// Each change of the endpoint's record.
    pub records: mpsc::UnboundedReceiver<EndpointRecord>,
    /// Each crash of the server.
    pub crashes: mpsc::UnboundedReceiver<ServerCrash>,
}

/// Starts following and reporting on a thread of its own, which ends with the entry
/// task. The returned channel holds the address of the control instance in use.
///
/// Load pattern: calls arrive faster than a node can handle them. Polls, versions and
/// reports would take turns with hundreds of calls on the calls' thread.
pub fn spawn(options: FollowOptions, news: ServerNews) -> io::Result<ControlWatch> {
    let domain = Arc::clone(&options.failure_domain);
    let ring = SourceRing::new(domain, &options.controls.borrow(), options.seed);
    let (current, watched) = watch::channel(ring.current());
    let timing = PollTiming::new(options.wait);
    // The first node to report spares the others the same report.
    let spread_ms = options.seed % UNLISTED_SPREAD.as_millis() as u64;
    let unlisted_delay = UNLISTED_DELAY_MIN + Duration::from_millis(spread_ms);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let thread = thread::Builder::new().name("follow".to_owned());
    let control = watched.clone();
    thread.spawn(move || {
        let (report_returns, returned_reports) = mpsc::unbounded_channel();
        let follower = ControlFollower {
            timing,
            backoff: ReconnectBackoff::new(options.seed).bounded(timing.backoff_max),
            client: PeerClient::new(options.system_key.clone()),
            options,
            ring,
            current,
            versions: VersionFollower::new(Duration::ZERO),
            directory: DirectoryFollower::default(),
            unlisted_delay,
            report_returns,
            returned_reports,
            waited: false,
            started: Instant::now(),
        };
        actix_rt::Runtime::from(runtime).block_on(async {
            spawn_reports(&follower, control, news);
            follower.run_until_closed().await;
        });
    })?;
    Ok(watched)
}

/// Starts the tasks that report to the control instance in use.
fn spawn_reports(follower: &ControlFollower, control: ControlWatch, news: ServerNews) {
    let options = &follower.options;
    let client = PeerClient::new(options.system_key.clone());
    crash_task::spawn(
        Arc::clone(&options.instance),
        client.clone(),
        control.clone(),
        news.crashes,
    );
    actix_rt::spawn(publish(control, options.seed, client, news.records));
}

struct ControlFollower {
    options: FollowOptions,
    client: PeerClient,
    timing: PollTiming,
    ring: SourceRing,
    current: watch::Sender<SocketAddr>,
    versions: VersionFollower,
    directory: DirectoryFollower,
    /// Time for live servers to announce themselves to a control instance before
    /// this node reports those that are missing there.
    unlisted_delay: Duration,
    /// Where the tasks that send reports return those that failed.
    report_returns: mpsc::UnboundedSender<UnlistedReport>,
    returned_reports: mpsc::UnboundedReceiver<UnlistedReport>,
    waited: bool,
    backoff: ReconnectBackoff,
    started: Instant,
}

/// A report of endpoints that a control instance does not list.
struct UnlistedReport {
    /// Run of that control instance.
    run: u64,
    endpoints: Vec<EndpointRecord>,
}

/// Result of a poll that was answered.
enum PollOutcome {
    /// Keep polling the same control instance.
    Stay,
    /// The control instance cannot help, or another is nearer.
    Switch,
    /// The control instance cannot tell whether its state is current.
    Unconfirmed,
    /// The control instance asked for the next poll after this time.
    RetryAfter(Duration),
}

impl ControlFollower {
    /// Follows until the entry task has ended.
    async fn run_until_closed(self) {
        let entry = self.options.entry.clone();
        tokio::select! {
            biased;
            () = entry.closed() => {}
            () = self.run() => {}
        }
    }

    async fn run(mut self) {
        loop {
            self.update_controls();
            let control = self.ring.current();
            let asked = Instant::now();
            let outcome = self.poll().await;
            let took = asked.elapsed();
            if took > self.timing.wait + POLL_DELAY_LOGGED {
                self.log_late_poll(control, took);
            }
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
                Ok(PollOutcome::Switch) => self.switch_source("no-usable-version"),
                Ok(PollOutcome::Unconfirmed) => {
                    self.options.metrics.count_later();
                    self.switch_source("unconfirmed");
                    self.backoff.reset();
                    // Any other control instance may be in touch with the leader.
                    if !self.ring.is_exhausted(self.started.elapsed()) {
                        continue;
                    }
                    self.timing.wait / 2
                }
                Err(error) => {
                    self.options.metrics.count_failure();
                    warn!(
                        "event=follow-failed process=node control={} held={} took_ms={} error={}",
                        self.ring.current(),
                        self.versions.held(),
                        took.as_millis(),
                        LogValue(error)
                    );
                    self.switch_source("failed")
                }
            };
            actix_rt::time::sleep(wait).await;
        }
    }

    /// Logs a poll that ended later than a control instance holds it: a delay of the
    /// instance, of the network or of this node.
    fn log_late_poll(&self, control: SocketAddr, took: Duration) {
        info!(
            "event=poll-late process=node control={control} held={} took_ms={} wait_ms={}",
            self.versions.held(),
            took.as_millis(),
            self.timing.wait.as_millis()
        );
    }

    /// Applies changed addresses.
    ///
    /// Guards against a node whose control instances were all replaced while it
    /// waited: it would keep polling addresses that no instance serves any more.
    fn update_controls(&mut self) {
        // An error means that the sender is gone and the addresses are final.
        if !self.options.controls.has_changed().unwrap_or(false) {
            return;
        }
        let controls = self.options.controls.borrow_and_update().clone();
        self.ring.replace(self.started.elapsed(), &controls);
        self.publish_source("settings");
    }

    /// Applies the roster of control instances of a new configuration.
    fn learn_controls(&mut self, roster: &ControlRoster) {
        if self.ring.learn(self.started.elapsed(), roster) {
            self.publish_source("roster");
        }
    }

    /// Publishes the address of the control instance in use, and logs it with the
    /// reason if it has changed. The connections to the one before are closed: after a
    /// mass start those of all nodes would stay open at the few that settings name.
    fn publish_source(&mut self, reason: &str) {
        let address = self.ring.current();
        let previous = self.current.send_replace(address);
        if previous == address {
            return;
        }
        self.client = PeerClient::new(self.options.system_key.clone());
        info!(
            "event=source-changed process=node control={address} previous={previous} reason={reason} held={}",
            self.versions.held()
        );
    }

    fn switch_source(&mut self, reason: &str) -> Duration {
        self.waited = false;
        self.ring.failed(self.started.elapsed());
        self.publish_source(reason);
        if self.versions.held() == ConfigVersion::ZERO {
            self.backoff
                .next_starting_wait(self.timing.startup_backoff_max)
        } else {
            self.backoff.next_wait()
        }
    }

    /// Polls the control instance in use and applies its answer.
    async fn poll(&mut self) -> Result<PollOutcome, PeerError> {
        let call = FollowCall {
            follower: Arc::clone(&self.options.instance),
            held: self.versions.held(),
            refused: self.versions.refused(),
            whole: self.versions.needs_snapshot(),
            waited: self.waited,
            directory: self.directory.request(),
            wait_ms: self.timing.wait.as_millis() as u64,
            node_domain: Some(Arc::clone(&self.options.failure_domain)),
            control: None,
            needs_roster: self.ring.needs_roster(),
        };
        let address = self.ring.current();
        let client = &self.client;
        let answer = match client
            .send(address, &call, self.timing.answer_timeout)
            .await?
        {
            FollowReply::Update(answer) => *answer,
            FollowReply::RetryAfter(after_ms) => {
                return Ok(PollOutcome::RetryAfter(Duration::from_millis(after_ms)))
            }
            FollowReply::Roster(roster) if roster.is_empty() => {
                return Ok(PollOutcome::Switch);
            }
            FollowReply::Roster(roster) => {
                self.learn_controls(&roster);
                return Ok(PollOutcome::Stay);
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
        let _ = self.options.entry.send(EntryMessage::SourceConfirmed).await;
        if self.ring.current() != address {
            // A roster in the answer named a nearer control instance.
            return Ok(PollOutcome::Stay);
        }
        if self.ring.answered(self.started.elapsed(), &domain) {
            self.publish_source("nearer");
        }
        // Guards against staying with a control instance that is cut off from
        // the leader: it answers, but never has updates.
        if unconfirmed {
            return Ok(PollOutcome::Unconfirmed);
        }
        Ok(PollOutcome::Stay)
    }

    async fn update_directory(&mut self, update: DirectoryUpdate) {
        let run = self.directory.position().run;
        let changed = self.directory.take(update);
        if self.directory.position().run != run {
            // The gate task ends only with the node.
            let _ = self.options.gate.send(GateMessage::Republish);
        }
        self.report_unlisted();
        for record in &changed {
            if record.instance == self.options.instance {
                let current = Box::new(record.clone());
                let _ = self.options.gate.send(GateMessage::Reconcile(current));
            }
        }
        if changed.is_empty() {
            return;
        }
        let update = EntryMessage::Install(None, changed);
        // The entry task ends only with the node.
        let _ = self.options.entry.send(update).await;
    }

    /// Reports the endpoints that only this node and others like it remember. Does
    /// not wait for the answer: versions must not wait for it.
    fn report_unlisted(&mut self) {
        let run = self.directory.position().run;
        while let Ok(returned) = self.returned_reports.try_recv() {
            if returned.run == run {
                self.directory.return_unlisted(&returned.endpoints);
            }
        }
        let now = self.started.elapsed();
        let endpoints = self.directory.take_unlisted(now, self.unlisted_delay);
        if endpoints.is_empty() {
            return;
        }
        let address = self.ring.current();
        info!(
            "event=unlisted-reported process=node control={address} endpoints={}",
            endpoints.len()
        );
        let batch = ReportBatch {
            groups: Vec::new(),
            endpoints,
        };
        let call = ReportCall { batch };
        let client = self.client.clone();
        let report_returns = self.report_returns.clone();
        actix_rt::spawn(async move {
            let sent = client.send(address, &call, REQUEST_TIMEOUT).await;
            if let Err(error) = sent {
                warn!(
                    "event=report-failed process=node control={address} error={}",
                    LogValue(error)
                );
                let endpoints = call.batch.endpoints;
                // The follower is gone only when the node stops.
                let _ = report_returns.send(UnlistedReport { run, endpoints });
            }
        });
    }

    /// Fetches chunks until the follower needs no more. `first_chunk` is the one
    /// that came with the answer.
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
            let client = &self.client;
            let answer = client.send(address, &call, REQUEST_TIMEOUT).await?;
            let now = self.started.elapsed();
            step = self.versions.chunk(now, answer.chunk.as_deref());
        }
        Ok(step)
    }

    /// Sends a snapshot to the entry task, which validates and installs it, and
    /// records the outcome.
    async fn offer(&mut self, snapshot: ConfigSnapshot) {
        let offered = snapshot.version;
        let document = Arc::clone(&snapshot.document);
        let update = EntryMessage::Install(Some(snapshot), Vec::new());
        if self.options.entry.send(update).await.is_err() {
            return;
        }
        if let Some(report) = request_report(&self.options.entry).await {
            self.versions.record_outcome(report.applied, report.refused);
            if report.applied == offered {
                self.learn_controls(&document.controls);
            }
        }
    }
}

async fn request_report(entry: &mpsc::Sender<EntryMessage>) -> Option<NodeReport> {
    let (reply, report) = oneshot::channel();
    entry.send(EntryMessage::Report(reply)).await.ok()?;
    report.await.ok()
}

/// Reports each new record of the node's own endpoint to the control instance in
/// use. Of several waiting records only the last is sent.
pub async fn publish(
    control: ControlWatch,
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
            let other = control_watch::wait_for_other(&control, address);
            let sent = client.send_unless(address, &call, REQUEST_TIMEOUT, other);
            let error = match sent.await {
                Ok(Some(())) => break,
                Ok(None) => continue,
                Err(error) => error,
            };
            warn!(
                "event=report-failed process=node control={address} error={}",
                LogValue(error)
            );
            actix_rt::time::sleep(backoff.next_wait()).await;
        }
        backoff.reset();
    }
}
