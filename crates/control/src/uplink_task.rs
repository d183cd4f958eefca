//! What a control instance that does not lead does towards the leader:
//! follows its news and carries reports up to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory_follower::DirectoryFollower;
use cowslip_core::document::validate;
use cowslip_core::report_aggregator::REPORT_INTERVAL;
use cowslip_core::version_follower::FollowStep;
use cowslip_core::version_follower::VersionFollower;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::follow_messages::ChunkCall;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::FollowReply;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;
use cowslip_wire::process_log::LogValue;

use crate::fanout_task::FanoutMessage;
use crate::fanout_task::InstalledNews;
use crate::leader_view::LeaderWatch;

/// Wait that is asked of the leader where it has no news. Each answer
/// proves this instance fresh again, and a starting node waits for the
/// next; 17 instances ask the leader 34 times a second.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);

/// The same while starting nodes wait for a confirmation: they start that
/// much sooner, and a herd of them costs the leader 20 questions a second
/// from each instance.
const CONFIRM_WAIT: Duration = Duration::from_millis(50);

/// Answers later than this are given up on: four times the wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed try, so that a dead writer costs little.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The leader's address where it is another instance.
fn remote_leader(leader: &LeaderWatch) -> Option<SocketAddr> {
    let view = leader.borrow();
    if view.is_leading() {
        return None;
    }
    view.address
}

/// Follows the leader, whoever it is, and installs its news.
pub async fn follow(
    instance: Arc<str>,
    leader: LeaderWatch,
    client: PeerClient,
    task: mpsc::Sender<FanoutMessage>,
) {
    let mut follower = LeaderFollower {
        instance,
        client,
        task,
        follower: VersionFollower::new(Duration::ZERO),
        waited: false,
        directory: DirectoryFollower::default(),
        started: BootInstant::now(),
    };
    let mut changes = leader.clone();
    loop {
        let Some(address) = remote_leader(&leader) else {
            // A node that starts here waits for the first answer of a leader
            // just elected.
            let changed = changes.changed();
            if let Ok(Err(_)) = actix_rt::time::timeout(RETRY_PAUSE, changed).await {
                return;
            }
            continue;
        };
        match follower.poll(address).await {
            Ok(true) => continue,
            Ok(false) => return,
            Err(failure) => warn!(
                "event=follow-failed process=control error={}",
                LogValue(failure)
            ),
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

struct LeaderFollower {
    instance: Arc<str>,
    client: PeerClient,
    task: mpsc::Sender<FanoutMessage>,
    follower: VersionFollower,
    waited: bool,
    directory: DirectoryFollower,
    started: BootInstant,
}

impl LeaderFollower {
    /// One question and what it brings; false once the task is gone.
    async fn poll(&mut self, address: SocketAddr) -> Result<bool, PeerError> {
        let (reply, state) = oneshot::channel();
        if self
            .task
            .send(FanoutMessage::UplinkState(reply))
            .await
            .is_err()
        {
            return Ok(false);
        }
        let Ok(state) = state.await else {
            return Ok(false);
        };
        let wait = if state.wants_confirmation {
            CONFIRM_WAIT
        } else {
            FOLLOW_WAIT
        };
        self.follower.adopt(state.snapshot);
        let call = FollowCall {
            follower: Arc::clone(&self.instance),
            held: self.follower.held(),
            refused: self.follower.refused(),
            whole: self.follower.needs_snapshot(),
            waited: self.waited,
            directory: self.directory.request(),
            wait_ms: wait.as_millis() as u64,
            node_domain: None,
        };
        let sent_at = BootInstant::now();
        let reply = self.client.send(address, &call, CALL_TIMEOUT).await?;
        let answer = match reply {
            FollowReply::News(answer) => *answer,
            FollowReply::Later(after_ms) => {
                self.waited = true;
                actix_rt::time::sleep(Duration::from_millis(after_ms)).await;
                return Ok(true);
            }
        };
        self.waited = false;
        let source = answer.source.clone();
        let step = self.follower.handle_update(
            self.started.elapsed(),
            answer.source,
            answer.acknowledged,
            answer.config,
        );
        let snapshot = self.fetch_snapshot(address, step, answer.chunk).await?;
        let endpoints = self.directory.take(answer.directory);
        let news = InstalledNews {
            sent_at,
            source,
            snapshot,
            endpoints,
            run: self.directory.place().run,
        };
        let sent = self.task.send(FanoutMessage::Install(Box::new(news))).await;
        Ok(sent.is_ok())
    }

    /// Fetches chunks as long as the follower wants them, after the one that
    /// came along; the snapshot that
    /// is valid and newer, if one came of it.
    async fn fetch_snapshot(
        &mut self,
        address: SocketAddr,
        mut step: FollowStep,
        first_chunk: Option<Bytes>,
    ) -> Result<Option<ConfigSnapshot>, PeerError> {
        if let (FollowStep::Fetch { at: 0, .. }, Some(chunk)) = (&step, first_chunk) {
            let now = self.started.elapsed();
            step = self.follower.chunk(now, Some(&chunk));
        }
        while let FollowStep::Fetch { version, at } = step {
            let call = ChunkCall { version, at };
            let answer = self.client.send(address, &call, CALL_TIMEOUT).await?;
            let now = self.started.elapsed();
            step = self.follower.chunk(now, answer.chunk.as_deref());
        }
        let FollowStep::Offer(snapshot) = step else {
            return Ok(None);
        };
        if validate(&snapshot.document).is_empty() {
            self.follower.record_outcome(snapshot.version, None);
            return Ok(Some(snapshot));
        }
        warn!(
            "event=version-refused process=control instance={} version={}",
            self.instance, snapshot.version
        );
        let held = self.follower.held();
        self.follower.record_outcome(held, Some(snapshot.version));
        Ok(None)
    }
}

/// Carries reports up to the leader, gathered. Where this instance leads
/// they have arrived already.
pub async fn send_reports(
    leader: LeaderWatch,
    client: PeerClient,
    task: mpsc::Sender<FanoutMessage>,
) {
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        let Some(address) = remote_leader(&leader) else {
            continue;
        };
        let (reply, batch) = oneshot::channel();
        let sent = task.send(FanoutMessage::TakeReports(reply)).await;
        let Ok(batch) = batch.await else {
            return;
        };
        if sent.is_err() {
            return;
        }
        if batch.is_empty() {
            continue;
        }
        let call = ReportCall { batch };
        let Err(failure) = client.send(address, &call, CALL_TIMEOUT).await else {
            continue;
        };
        warn!(
            "event=report-failed process=control error={}",
            LogValue(failure)
        );
        // The task ends only with this one.
        let _ = task.send(FanoutMessage::ReturnReports(call.batch)).await;
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}
