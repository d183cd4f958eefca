//! Tasks that connect a control instance to the leader while another instance
//! leads: they follow the leader's updates and send reports to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::control_roster::ControlSeat;
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
use cowslip_wire::watched_value;

use crate::fanout_task::FanoutMessage;
use crate::fanout_task::InstalledUpdate;
use crate::leader_view::LeaderView;
use crate::leader_view::LeaderWatch;

/// How long the leader may hold a poll while it has no updates. Each answer
/// renews the proof that this instance is up to date, and a starting node waits
/// for the next answer. With this value, 17 instances send the leader 34 polls
/// a second.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);

/// Replaces [`FOLLOW_WAIT`] while starting nodes wait for a confirmation. The
/// shorter wait lets them start sooner; many nodes starting at once cost the
/// leader 20 polls a second from each instance.
const CONFIRM_WAIT: Duration = Duration::from_millis(50);

/// Timeout of a call to the leader: four times [`FOLLOW_WAIT`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the first answer of a leader before the endpoints that it does not
/// list are reported to it. Their nodes announce them sooner if they are live.
const UNLISTED_DELAY: Duration = Duration::from_secs(5);

/// Pause after a failed call, so that an unreachable leader costs little.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Returns the leader's address if another instance leads.
fn remote_leader(leader: &LeaderWatch) -> Option<SocketAddr> {
    let view = leader.borrow();
    if view.is_leading() {
        return None;
    }
    view.address
}

/// Waits until an instance other than the one at `address` is known to lead. Whoever
/// waited longer for an old leader that is cut off would follow nobody meanwhile.
async fn wait_for_other_leader(leader: &LeaderWatch, address: SocketAddr) {
    let is_other = |view: &LeaderView| {
        view.is_leading() || view.address.is_some_and(|known| known != address)
    };
    watched_value::wait_until(leader, is_other).await;
}

/// Follows the current leader, which learns `seat` from it, and installs its updates.
pub async fn follow(
    seat: ControlSeat,
    leader: LeaderWatch,
    client: PeerClient,
    fanout: mpsc::Sender<FanoutMessage>,
) {
    let mut follower = LeaderFollower {
        seat,
        leader: leader.clone(),
        client,
        fanout,
        versions: VersionFollower::new(Duration::ZERO),
        waited: false,
        directory: DirectoryFollower::default(),
        started: BootInstant::now(),
    };
    let mut changes = leader.clone();
    loop {
        let Some(address) = remote_leader(&leader) else {
            // Wakes up as soon as the leader changes: a node that starts at this
            // instance waits for the first answer of a new leader.
            let changed = changes.changed();
            if let Ok(Err(_)) = actix_rt::time::timeout(RETRY_PAUSE, changed).await {
                return;
            }
            continue;
        };
        match follower.poll(address).await {
            Ok(true) => continue,
            Ok(false) => return,
            Err(error) => warn!(
                "event=follow-failed process=control leader={address} error={}",
                LogValue(error)
            ),
        }
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}

struct LeaderFollower {
    seat: ControlSeat,
    leader: LeaderWatch,
    client: PeerClient,
    fanout: mpsc::Sender<FanoutMessage>,
    versions: VersionFollower,
    waited: bool,
    directory: DirectoryFollower,
    started: BootInstant,
}

impl LeaderFollower {
    /// Polls the leader once and installs its answer. Returns false once the
    /// fan-out task has ended.
    async fn poll(&mut self, address: SocketAddr) -> Result<bool, PeerError> {
        let (reply, state) = oneshot::channel();
        if self
            .fanout
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
        self.versions.adopt(state.snapshot);
        let call = FollowCall {
            follower: Arc::clone(&self.seat.instance),
            held: self.versions.held(),
            refused: self.versions.refused(),
            whole: self.versions.needs_snapshot(),
            waited: self.waited,
            directory: self.directory.request(),
            wait_ms: wait.as_millis() as u64,
            node_domain: None,
            control: Some(self.seat.clone()),
            needs_roster: false,
        };
        let sent_at = BootInstant::now();
        let other = wait_for_other_leader(&self.leader, address);
        let sent = self.client.send_unless(address, &call, CALL_TIMEOUT, other);
        let answer = match sent.await? {
            None => {
                self.waited = false;
                return Ok(true);
            }
            Some(FollowReply::Update(answer)) => *answer,
            Some(FollowReply::Roster(_)) => {
                let problem = "a roster that was not asked for";
                return Err(PeerError::NoResponse(problem.to_owned()));
            }
            Some(FollowReply::RetryAfter(after_ms)) => {
                self.waited = true;
                info!(
                    "event=follow-later process=control leader={address} held={} after_ms={after_ms}",
                    self.versions.held()
                );
                let after = Duration::from_millis(after_ms);
                let other = wait_for_other_leader(&self.leader, address);
                // Ends early if the one that asked for the wait does not lead.
                let _ = actix_rt::time::timeout(after, other).await;
                return Ok(true);
            }
        };
        self.waited = false;
        let source = answer.source.clone();
        let step = self.versions.handle_update(
            self.started.elapsed(),
            answer.source,
            answer.acknowledged,
            answer.config,
        );
        let snapshot = self.fetch_snapshot(address, step, answer.chunk).await?;
        let endpoints = self.directory.take(answer.directory);
        let now = self.started.elapsed();
        let unlisted = self.directory.take_unlisted(now, UNLISTED_DELAY);
        if !unlisted.is_empty() {
            info!(
                "event=unlisted-reported process=control control={address} endpoints={}",
                unlisted.len()
            );
            let reported = FanoutMessage::ReportUnlisted(unlisted);
            if self.fanout.send(reported).await.is_err() {
                return Ok(false);
            }
        }
        let update = InstalledUpdate {
            sent_at,
            source,
            snapshot,
            endpoints,
            run: self.directory.position().run,
        };
        let sent = self
            .fanout
            .send(FanoutMessage::Install(Box::new(update)))
            .await;
        Ok(sent.is_ok())
    }

    /// Fetches the chunks that the follower asks for, starting with
    /// `first_chunk` if the answer included it. Returns the resulting snapshot if
    /// it is valid and newer.
    async fn fetch_snapshot(
        &mut self,
        address: SocketAddr,
        mut step: FollowStep,
        first_chunk: Option<Bytes>,
    ) -> Result<Option<ConfigSnapshot>, PeerError> {
        if let (FollowStep::Fetch { at: 0, .. }, Some(chunk)) = (&step, first_chunk) {
            let now = self.started.elapsed();
            step = self.versions.chunk(now, Some(&chunk));
        }
        while let FollowStep::Fetch { version, at } = step {
            let call = ChunkCall { version, at };
            let other = wait_for_other_leader(&self.leader, address);
            let sent = self.client.send_unless(address, &call, CALL_TIMEOUT, other);
            let Some(answer) = sent.await? else {
                return Ok(None);
            };
            let now = self.started.elapsed();
            step = self.versions.chunk(now, answer.chunk.as_deref());
        }
        let FollowStep::Offer(snapshot) = step else {
            return Ok(None);
        };
        if validate(&snapshot.document).is_empty() {
            self.versions.record_outcome(snapshot.version, None);
            return Ok(Some(snapshot));
        }
        warn!(
            "event=version-refused process=control instance={} version={}",
            self.seat.instance, snapshot.version
        );
        let held = self.versions.held();
        self.versions.record_outcome(held, Some(snapshot.version));
        Ok(None)
    }
}

/// Sends collected reports to the leader. While this instance leads, its reports
/// have already arrived.
pub async fn send_reports(
    leader: LeaderWatch,
    client: PeerClient,
    fanout: mpsc::Sender<FanoutMessage>,
) {
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        let Some(address) = remote_leader(&leader) else {
            continue;
        };
        let (reply, batch) = oneshot::channel();
        let sent = fanout.send(FanoutMessage::TakeReports(reply)).await;
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
        let other = wait_for_other_leader(&leader, address);
        let sent = client
            .send_unless(address, &call, CALL_TIMEOUT, other)
            .await;
        if let Ok(Some(())) = sent {
            continue;
        }
        // Fails only at shutdown, when both tasks end.
        let _ = fanout.send(FanoutMessage::ReturnReports(call.batch)).await;
        if let Err(error) = sent {
            warn!(
                "event=report-failed process=control leader={address} error={}",
                LogValue(error)
            );
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}
