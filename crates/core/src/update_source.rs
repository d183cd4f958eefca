//! A source of news: what a control instance does for its followers.
//!
//! Followers are nodes, and at the leader also the other control instances.
//! Whatever happens, the work is bounded by what changed: a change wakes
//! each waiting follower once, with an answer made once for all at the same
//! place; a report costs a few tree steps; silence costs nothing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::applied_versions::AppliedVersions;
use crate::config_history::ConfigHistory;
use crate::control_state::ConfigSnapshot;
use crate::directory::EndpointDirectory;
use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;
use crate::directory_follower::DirectoryUpdate;
use crate::directory_follower::DirectoryWay;
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

/// Longest wait that a follower may ask for.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Bytes of an encoded directory record.
const RECORD_BYTES: u64 = 160;

/// How often leases are judged; a tenth of their time.
const LEASE_TICK: Duration = Duration::from_secs(1);

/// Which source this is.
#[derive(Clone, Debug)]
pub struct SourceIdentity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Differs between any two processes.
    pub run: u64,
}

/// News that came from the leader.
#[derive(Clone, Debug)]
pub struct LeaderUpdate {
    /// When the question was sent.
    pub sent_at: Duration,
    /// What the answer proves.
    pub source: SourceProof,
    /// The configuration, checked whole, where it is newer.
    pub snapshot: Option<ConfigSnapshot>,
    /// Directory records that changed.
    pub endpoints: Vec<EndpointRecord>,
    /// The leader's run, where the directory came from.
    pub run: u64,
}

/// One answer for any number of followers.
#[derive(Clone, Debug)]
pub struct NewsAnswer {
    /// Who gets it.
    pub followers: Vec<FollowerId>,
    /// What they get.
    pub reply: FollowReply,
}

/// Counters of one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceCounts {
    /// First questions taken.
    pub admitted: u64,
    /// First questions told to come back later.
    pub told_later: u64,
    /// Endpoints ended because nobody renewed their lease.
    pub leases_ended: u64,
    /// Leases that have ended and are held, because too many did at once.
    pub leases_frozen: u64,
}

/// State of one source.
#[derive(Debug)]
pub struct UpdateSource {
    identity: SourceIdentity,
    history: ConfigHistory,
    directory: EndpointDirectory,
    leases: LeaseTable,
    board: MoveTracker,
    acks: AppliedVersions,
    queue: FollowerQueue,
    names: HashMap<FollowerId, Arc<str>>,
    ready: Vec<NewsAnswer>,
    gather: ReportAggregator,
    freshness: SourceFreshness,
    admission: ReconnectAdmission,
    leading: bool,
    leader_run: u64,
    judge_at: Duration,
    counts: SourceCounts,
}

impl UpdateSource {
    /// A source that holds nothing yet.
    pub fn new(identity: SourceIdentity) -> Self {
        Self {
            identity,
            history: ConfigHistory::default(),
            directory: EndpointDirectory::default(),
            leases: LeaseTable::default(),
            board: MoveTracker::default(),
            acks: AppliedVersions::default(),
            queue: FollowerQueue::default(),
            names: HashMap::new(),
            ready: Vec::new(),
            gather: ReportAggregator::default(),
            freshness: SourceFreshness::default(),
            admission: ReconnectAdmission::default(),
            leading: false,
            leader_run: 0,
            judge_at: Duration::ZERO,
            counts: SourceCounts::default(),
        }
    }

    /// Sets how long nodes count as live.
    pub fn set_presence(&mut self, presence: NodePresence) {
        self.board.set_presence(presence);
        self.gather.keep(presence);
    }

    /// The configuration in force.
    pub fn current(&self) -> &ConfigSnapshot {
        self.history.current()
    }

    /// Which nodes have applied what.
    pub fn board(&self) -> &MoveTracker {
        &self.board
    }

    /// The directory of backend servers.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// Counters so far.
    pub fn counts(&self) -> SourceCounts {
        self.counts
    }

    /// True where a starting follower waits for what is in force here to be
    /// confirmed, so that the leader should be asked again soon.
    pub fn wants_confirmation(&self) -> bool {
        self.queue.has_starting() && self.current().version > ConfigVersion::ZERO
    }

    /// A chunk of the snapshot that an answer named.
    pub fn chunk(&self, version: ConfigVersion, at: usize) -> Option<Bytes> {
        self.history.chunk(version, at)
    }

    /// Tells whether this instance leads and its lease holds.
    pub fn set_leading(&mut self, now: Duration, leading: bool) {
        // Guards against a new leader that ends leases which were renewed
        // at the old one only: live servers would leave the directory.
        if leading && !self.leading {
            self.leases.renew_all(now);
        }
        self.leading = leading;
        self.freshness.lead(leading);
    }

    /// Puts a newer configuration in force.
    pub fn publish(&mut self, now: Duration, snapshot: ConfigSnapshot) {
        let version = snapshot.version;
        if self.history.publish(snapshot) {
            self.board.await_version(now, version);
            self.queue.note_news();
        }
    }

    /// Takes a follower's question; its answer comes from
    /// [`UpdateSource::tick`] under the id.
    pub fn follow(&mut self, now: Duration, call: FollowCall) -> FollowerId {
        // A question is a sign of life, also where it is not answered yet.
        if let Some(report) = call.report() {
            self.gather.hear(now, &report);
            self.acks.remember(&report.node, report.applied);
            self.leases.touch(now, &report.node);
            self.board.record_report(now, report);
        }
        let way =
            DirectoryWay::choose(&self.directory, self.identity.run, &call.directory);
        let revision = match &way {
            DirectoryWay::Since(revision) => *revision,
            DirectoryWay::Records(_) | DirectoryWay::NeedsParts => {
                self.directory.revision()
            }
        };
        let place = FollowerState {
            held: call.held,
            refused: call.refused.unwrap_or_default(),
            whole: call.whole,
            revision,
        };
        let wait = Duration::from_millis(call.wait_ms).min(WAIT_MAX);
        let id = self.queue.wait(now, now + wait, place);
        self.names.insert(id, Arc::clone(&call.follower));
        if let Err(after) = self.admit(now, &call, &place) {
            self.dismiss(id, FollowReply::Later(after.as_millis() as u64));
            return id;
        }
        match way {
            DirectoryWay::Since(_) if self.has_news(now, &place) => {
                self.answer_one(now, id)
            }
            DirectoryWay::Since(_) => {}
            DirectoryWay::Records(records) => {
                let place = Some(self.place());
                self.answer_with(now, id, DirectoryUpdate { records, place });
            }
            DirectoryWay::NeedsParts => {
                let records = Vec::new();
                let place = None;
                self.answer_with(now, id, DirectoryUpdate { records, place });
            }
        }
        id
    }

    /// Admission of a follower's first question to this source.
    fn admit(
        &mut self,
        now: Duration,
        call: &FollowCall,
        place: &FollowerState,
    ) -> Result<(), Duration> {
        if call.directory.place.run == self.identity.run {
            self.admission.caught_up(now, &call.follower);
            return Ok(());
        }
        if call.directory.parts.is_some() {
            return Ok(());
        }
        let empty = call.directory.digest == 0 && !self.directory.is_empty();
        let light = !empty && self.history.is_light(place);
        let cost = if light {
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

    /// True where a follower that asks now need not wait. One that starts
    /// waits for an answer that proves what was accepted before it asked.
    fn has_news(&self, now: Duration, place: &FollowerState) -> bool {
        let known = place.revision >= self.directory.revision();
        if known && self.history.is_current(place) {
            return false;
        }
        place.held > ConfigVersion::ZERO || self.freshness.confirms(now)
    }

    /// Takes reports of nodes and endpoints.
    pub fn report(&mut self, now: Duration, batch: ReportBatch) {
        for report in batch.reports() {
            self.acks.remember(&report.node, report.applied);
            self.leases.touch(now, &report.node);
            self.board.record_report(now, report);
        }
        for record in batch.endpoints {
            if self.merge(now, record.clone()) && !self.leading {
                self.gather.record(record);
            }
        }
    }

    fn merge(&mut self, now: Duration, record: EndpointRecord) -> bool {
        let instance = Arc::clone(&record.instance);
        let gone = record.standing == EndpointStanding::Gone;
        if !self.directory.merge(record) {
            return false;
        }
        self.queue.note_news();
        if gone {
            self.leases.release(&instance);
        } else {
            self.leases.renew(now, &instance);
        }
        true
    }

    /// Takes the leader's news.
    pub fn install(&mut self, now: Duration, news: LeaderUpdate) {
        self.freshness.prove(news.sent_at, &news.source);
        if let Some(snapshot) = news.snapshot {
            self.publish(now, snapshot);
        }
        for record in news.endpoints {
            self.merge(now, record);
        }
        // Guards against records that only the old leader had been told:
        // after each change of leader the new one gets those of all
        // followers here again, and both directories converge.
        if news.run != self.leader_run {
            self.leader_run = news.run;
            self.gather.resend(&self.directory);
        }
        let held = self.history.current().version;
        if held > ConfigVersion::ZERO && self.freshness.confirms(news.sent_at) {
            let due = self.queue.confirmed(news.sent_at);
            self.answer(now, due);
        }
    }

    /// What the leader is to be told; empty where nothing is.
    pub fn take_reports(&mut self, now: Duration) -> ReportBatch {
        self.gather.take(now)
    }

    /// A batch did not reach the leader.
    pub fn put_back(&mut self, batch: ReportBatch) {
        self.gather.put_back(batch);
    }

    /// The process was late by `lag` with a tick.
    pub fn note_delay(&mut self, lag: Duration) {
        self.queue.late(lag);
    }

    /// Lets time pass, and gives the answers that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<NewsAnswer> {
        self.board.mark_done(now);
        self.judge_leases(now);
        let due = self.queue.due(now, &self.freshness);
        self.answer(now, due);
        std::mem::take(&mut self.ready)
    }

    fn judge_leases(&mut self, now: Duration) {
        if !self.leading || now < self.judge_at {
            return;
        }
        self.judge_at = now + LEASE_TICK;
        let verdict = self.leases.expire(now);
        self.counts.leases_frozen = verdict.frozen as u64;
        for instance in verdict.ended {
            self.counts.leases_ended += 1;
            if self.directory.end(&instance) {
                self.queue.note_news();
            }
        }
    }
}
