//! The state of a control instance that sends configuration and directory
//! updates to its followers.
//!
//! Followers are nodes and, at the leader, the other control instances
//! ("relays"). The cost is proportional to what changed: a change wakes each
//! waiting follower once, and followers in the same state share one answer;
//! a report costs a few tree operations; an idle follower costs nothing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::applied_versions::AppliedVersions;
use crate::config_history::ConfigHistory;
use crate::control_presence::ControlPresence;
use crate::control_roster::ControlRoster;
use crate::control_roster::ControlSeat;
use crate::control_state::ConfigSnapshot;
use crate::directory::EndpointDirectory;
use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;
use crate::directory_follower::DirectorySync;
use crate::directory_follower::DirectoryUpdate;
use crate::endpoint_lease::LeaseTable;
use crate::follow_exchange::FollowCall;
use crate::follow_exchange::FollowReply;
use crate::follower_queue::FollowerId;
use crate::follower_queue::FollowerQueue;
use crate::follower_queue::FollowerState;
use crate::move_tracker::MoveTracker;
use crate::node_presence::NodePresence;
use crate::reconnect_admission::ReconnectAdmission;
use crate::reconnect_admission::ReconnectCost;
use crate::report_aggregator::ReportAggregator;
use crate::report_aggregator::ReportBatch;
use crate::source_proof::SourceFreshness;
use crate::source_proof::SourceProof;
use crate::version::ConfigVersion;

mod answers;

/// Longest long-poll wait that a follower may request.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Approximate size of a directory record in a batch, in bytes.
const RECORD_BYTES: u64 = 64;

/// Interval between checks for expired leases: a tenth of the lease time.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Identity of a source.
#[derive(Clone, Debug)]
pub struct SourceIdentity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Identifies the process: unique to each run of any instance.
    pub run: u64,
}

/// An update received from the leader.
#[derive(Clone, Debug)]
pub struct LeaderUpdate {
    /// When the request was sent.
    pub sent_at: Duration,
    /// What the answer proves about its freshness.
    pub source: SourceProof,
    /// The configuration, complete and verified, if it is newer.
    pub snapshot: Option<ConfigSnapshot>,
    /// Directory records that changed.
    pub endpoints: Vec<EndpointRecord>,
    /// Run of the leader that the directory records came from.
    pub run: u64,
}

/// One reply shared by any number of followers.
#[derive(Clone, Debug)]
pub struct SharedAnswer {
    /// Followers that receive the reply.
    pub followers: Vec<FollowerId>,
    /// The reply.
    pub reply: FollowReply,
}

/// Counters of one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceCounts {
    /// Followers admitted with their first request to this run.
    pub admitted: u64,
    /// First requests that were deferred to a later time.
    pub told_later: u64,
    /// Endpoints marked gone because their lease expired.
    pub leases_ended: u64,
    /// Expired leases that are kept because too many expired at once.
    pub leases_frozen: u64,
}

/// State of one source.
#[derive(Debug)]
pub struct UpdateSource {
    identity: SourceIdentity,
    history: ConfigHistory,
    directory: EndpointDirectory,
    leases: LeaseTable,
    move_tracker: MoveTracker,
    applied: AppliedVersions,
    queue: FollowerQueue,
    names: HashMap<FollowerId, Arc<str>>,
    controls: ControlPresence,
    ready: Vec<SharedAnswer>,
    aggregator: ReportAggregator,
    freshness: SourceFreshness,
    admission: ReconnectAdmission,
    leading: bool,
    leader_run: u64,
    leases_due_at: Duration,
    counts: SourceCounts,
}

impl UpdateSource {
    /// Creates a source with no configuration and an empty directory.
    pub fn new(identity: SourceIdentity) -> Self {
        Self {
            identity,
            history: ConfigHistory::default(),
            directory: EndpointDirectory::default(),
            leases: LeaseTable::default(),
            move_tracker: MoveTracker::default(),
            applied: AppliedVersions::default(),
            queue: FollowerQueue::default(),
            names: HashMap::new(),
            controls: ControlPresence::default(),
            ready: Vec::new(),
            aggregator: ReportAggregator::default(),
            freshness: SourceFreshness::default(),
            admission: ReconnectAdmission::default(),
            leading: false,
            leader_run: 0,
            leases_due_at: Duration::ZERO,
            counts: SourceCounts::default(),
        }
    }

    /// Sets how long nodes count as live after their last report.
    pub fn set_presence(&mut self, presence: NodePresence) {
        self.move_tracker.set_presence(presence);
        self.aggregator.set_presence(presence);
    }

    /// The configuration in force.
    pub fn current(&self) -> &ConfigSnapshot {
        self.history.current()
    }

    /// The tracker of the version that each node has applied.
    pub fn move_tracker(&self) -> &MoveTracker {
        &self.move_tracker
    }

    /// The directory of backend servers.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// Control instances that follow this one at `now`; `None` while one of them
    /// states no seat.
    pub fn live_controls(&self, now: Duration) -> Option<Vec<ControlSeat>> {
        self.controls.live(now)
    }

    /// Counters so far.
    pub fn counts(&self) -> SourceCounts {
        self.counts
    }

    /// True if a starting follower waits until the configuration in force
    /// here is confirmed, so the leader should be asked again soon.
    pub fn wants_confirmation(&self) -> bool {
        self.queue.has_starting() && self.current().version > ConfigVersion::ZERO
    }

    /// Chunk number `at` of the snapshot of `version`; `None` if that
    /// snapshot is no longer held or has no such chunk.
    pub fn chunk(&self, version: ConfigVersion, at: usize) -> Option<Bytes> {
        self.history.chunk(version, at)
    }

    /// Records whether this instance leads and its leader lease is valid.
    pub fn set_leading(&mut self, now: Duration, leading: bool) {
        // A new leader has not seen the renewals that only the old leader
        // received; without this, it would remove live servers.
        if leading && !self.leading {
            self.leases.renew_all(now);
        }
        self.leading = leading;
        self.freshness.set_leading(leading);
    }

    /// Puts a newer configuration in force.
    pub fn publish(&mut self, now: Duration, snapshot: ConfigSnapshot) {
        let version = snapshot.version;
        if self.history.publish(snapshot) {
            self.move_tracker.await_version(now, version);
            self.queue.note_update();
        }
    }

    /// Accepts a follower's request. [`UpdateSource::tick`] returns its
    /// answer, now or later, under the returned id.
    pub fn follow(&mut self, now: Duration, call: FollowCall) -> FollowerId {
        // A request shows that the node is alive, even if it is deferred.
        if let Some(report) = call.report() {
            self.aggregator.record_report(now, &report);
            self.applied.record(&report.node, report.applied);
            self.leases.touch(now, &report.node);
            self.move_tracker.record_report(now, report);
        }
        if call.node_domain.is_none() {
            self.controls.record(now, call.control.as_ref());
        }
        let sync =
            DirectorySync::choose(&self.directory, self.identity.run, &call.directory);
        let revision = match &sync {
            DirectorySync::Since(revision) => *revision,
            DirectorySync::Records(_) | DirectorySync::NeedsDigests => {
                self.directory.revision()
            }
        };
        let state = FollowerState {
            held: call.held,
            refused: call.refused.unwrap_or_default(),
            whole: call.whole,
            revision,
            reads_batches: call.directory.reads_batches,
        };
        let wait = Duration::from_millis(call.wait_ms).min(WAIT_MAX);
        let id = self.queue.enqueue(now, now + wait, state);
        self.names.insert(id, Arc::clone(&call.follower));
        if let Some(roster) = self.roster_for(&call) {
            self.answer_with_reply(id, FollowReply::Roster(roster));
            return id;
        }
        let is_cut_off = self.is_cut_off(now, &call);
        if !is_cut_off {
            if let Err(after) = self.admit(now, &call, &state) {
                let after_ms = after.as_millis() as u64;
                self.answer_with_reply(id, FollowReply::RetryAfter(after_ms));
                return id;
            }
        }
        match sync {
            DirectorySync::Since(_) if is_cut_off || self.has_update(now, &state) => {
                self.answer_one(now, id)
            }
            DirectorySync::Since(_) => {}
            DirectorySync::Records(records) => {
                let update = DirectoryUpdate {
                    records,
                    batched: state.reads_batches,
                    position: Some(self.position()),
                    parts: Some(self.directory.digest().clone()),
                };
                self.answer_with_directory(now, id, update);
            }
            DirectorySync::NeedsDigests => {
                let update = DirectoryUpdate {
                    records: Vec::new(),
                    batched: state.reads_batches,
                    position: None,
                    parts: None,
                };
                self.answer_with_directory(now, id, update);
            }
        }
        id
    }

    /// The roster for a node that knows only the instances in its settings.
    ///
    /// Load pattern: a thousand nodes start at once and all ask the same few
    /// instances, whose links their copies of the directory would fill for seconds.
    fn roster_for(&self, call: &FollowCall) -> Option<ControlRoster> {
        let roster = &self.current().document.controls;
        let is_told = call.needs_roster && !roster.is_empty();
        is_told.then(|| roster.clone())
    }

    /// True if a running node has to turn to another source, because this one is out
    /// of touch with the leader.
    ///
    /// Guards against nodes that lose a poll's wait at each source on one side of a
    /// partition, and hold an old configuration for seconds.
    fn is_cut_off(&self, now: Duration, call: &FollowCall) -> bool {
        let is_running = call.node_domain.is_some() && !call.is_starting();
        is_running && self.freshness.fresh_for(now).is_zero()
    }

    /// Applies admission control to a follower's first request to this run.
    /// An error holds the time after which the follower shall retry.
    fn admit(
        &mut self,
        now: Duration,
        call: &FollowCall,
        state: &FollowerState,
    ) -> Result<(), Duration> {
        if call.directory.position.run == self.identity.run {
            self.admission.caught_up(now, &call.follower);
            return Ok(());
        }
        if call.directory.parts.is_some() {
            return Ok(());
        }
        let empty = call.directory.digest == 0 && !self.directory.is_empty();
        let small = !empty && self.history.is_update_small(state);
        let cost = if small {
            ReconnectCost::Light
        } else {
            let config = self.history.snapshot_bytes();
            ReconnectCost::Heavy(config + self.directory.len() as u64 * RECORD_BYTES)
        };
        let follower = &call.follower;
        let admitted = self.admission.admit(now, follower, cost, call.waited);
        match admitted {
            Ok(()) => self.counts.admitted += 1,
            Err(_) => self.counts.told_later += 1,
        }
        admitted
    }

    /// True if a request made at `now` can be answered immediately. A
    /// starting follower waits for an answer that includes everything
    /// accepted before its request.
    fn has_update(&self, now: Duration, state: &FollowerState) -> bool {
        let known = state.revision >= self.directory.revision();
        if known && self.history.is_current(state) {
            return false;
        }
        state.held > ConfigVersion::ZERO || self.freshness.confirms(now)
    }

    /// Processes reports of nodes and endpoints.
    pub fn report(&mut self, now: Duration, batch: ReportBatch) {
        for report in batch.reports() {
            self.applied.record(&report.node, report.applied);
            self.leases.touch(now, &report.node);
            self.move_tracker.record_report(now, report);
        }
        for record in batch.endpoints {
            if self.merge(now, record.clone()) && !self.leading {
                self.aggregator.record_endpoint(record);
            }
        }
    }

    /// Queues records for the leader that it does not list, although this instance
    /// does.
    pub fn report_unlisted(&mut self, records: Vec<EndpointRecord>) {
        for record in records {
            self.aggregator.record_endpoint(record);
        }
    }

    fn merge(&mut self, now: Duration, record: EndpointRecord) -> bool {
        let instance = Arc::clone(&record.instance);
        let gone = record.standing == EndpointStanding::Gone;
        if !self.directory.merge(record) {
            return false;
        }
        self.queue.note_update();
        if gone {
            self.leases.release(&instance);
        } else {
            self.leases.renew(now, &instance);
        }
        true
    }

    /// Applies an update from the leader.
    pub fn install(&mut self, now: Duration, update: LeaderUpdate) {
        if let Some(snapshot) = update.snapshot {
            self.publish(now, snapshot);
        }
        // The leader's version may not have come along, as when its snapshot was damaged
        // or is no longer held. Its proof says nothing about the version held here.
        if self.current().version >= update.source.version {
            self.freshness.record_proof(update.sent_at, &update.source);
        }
        for record in update.endpoints {
            self.merge(now, record);
        }
        // Some records may have reached only the old leader. After each
        // change of leader the records of all followers of this instance
        // are sent again, so that its directory and the leader's converge.
        if update.run != self.leader_run {
            self.leader_run = update.run;
            self.aggregator.resend(&self.directory);
        }
        let held = self.history.current().version;
        if held > ConfigVersion::ZERO && self.freshness.confirms(update.sent_at) {
            let due = self.queue.take_confirmed(update.sent_at);
            self.answer(now, due);
        }
    }

    /// Takes the reports to send to the leader; empty if there are none.
    pub fn take_reports(&mut self, now: Duration) -> ReportBatch {
        self.aggregator.take(now)
    }

    /// Queues a batch that did not reach the leader, to be sent again.
    pub fn requeue_reports(&mut self, batch: ReportBatch) {
        self.aggregator.requeue_reports(batch);
    }

    /// Records that the process was late by `lag` with a tick.
    pub fn note_delay(&mut self, lag: Duration) {
        self.queue.note_delay(lag);
    }

    /// Advances the time to `now` and returns the answers that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<SharedAnswer> {
        self.move_tracker.mark_done(now);
        self.expire_leases(now);
        let due = self.queue.due(now, &self.freshness);
        self.answer(now, due);
        std::mem::take(&mut self.ready)
    }

    fn expire_leases(&mut self, now: Duration) {
        if !self.leading || now < self.leases_due_at {
            return;
        }
        self.leases_due_at = now + LEASE_CHECK_INTERVAL;
        let outcome = self.leases.expire(now);
        self.counts.leases_frozen = outcome.frozen as u64;
        for instance in outcome.expired {
            self.counts.leases_ended += 1;
            if self.directory.expire(&instance) {
                self.queue.note_update();
            }
        }
    }
}
