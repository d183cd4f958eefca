//! Followers with an open long-poll request at a source.
//!
//! Hundreds of followers wait at each source, and most waits end without an
//! update. A change concerns all of them, and sometimes several changes come
//! within milliseconds. Checking every follower on every message would cost
//! (messages x followers), and waking them for each change of a burst would
//! cost (changes x followers) answers. So followers are checked only when
//! there is an update or when their wait ends, and updates within
//! [`BATCH_TIME`] of a wake are sent together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::source_proof::SourceFreshness;
use crate::version::ConfigVersion;

/// Shortest time between two wakes. The first update after a pause is sent
/// at once. A burst of changes causes at most 20 wakes a second, and the
/// delay is 1/200 of the ten seconds allowed for a change.
pub const BATCH_TIME: Duration = Duration::from_millis(50);

/// Longest time between two wakes of a busy source: all nodes must learn of
/// a leaving server within one or two seconds.
const BATCH_MAX: Duration = Duration::from_millis(400);

/// Time between two wakes as a multiple of the delay that the last one caused,
/// so that answering waiting followers uses at most a quarter of the CPU.
const BATCH_FACTOR: u32 = 4;

/// Identifies a request that waits at one source.
pub type FollowerId = u64;

/// What a follower holds. Followers in the same state share one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerState {
    /// Version in force at the follower.
    pub held: ConfigVersion,
    /// Version refused by the follower, or `ZERO`.
    pub refused: ConfigVersion,
    /// True if the follower needs a whole snapshot, not a delta.
    pub whole: bool,
    /// Last revision of this source's directory that the follower has read.
    pub revision: u64,
    /// True if the follower decodes records that are encoded as a batch.
    pub reads_batches: bool,
}

/// A follower whose request is to be answered now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueFollower {
    /// Id of its request.
    pub id: FollowerId,
    /// What the follower holds.
    pub state: FollowerState,
    /// When the request was made.
    pub requested_at: Duration,
}

/// Waiting followers, indexed by the end of their wait.
#[derive(Debug, Default)]
pub struct FollowerQueue {
    waiting: BTreeMap<FollowerId, WaitingFollower>,
    ends: BTreeSet<(Duration, FollowerId)>,
    starting: BTreeSet<FollowerId>,
    next: FollowerId,
    update_pending: bool,
    woken_at: Option<Duration>,
    wake_interval: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingFollower {
    state: FollowerState,
    requested_at: Duration,
    until: Duration,
}

impl FollowerQueue {
    /// Adds a follower that waits until `until`, and returns a new id.
    pub fn enqueue(
        &mut self,
        requested_at: Duration,
        until: Duration,
        state: FollowerState,
    ) -> FollowerId {
        self.next += 1;
        let id = self.next;
        let follower = WaitingFollower {
            state,
            requested_at,
            until,
        };
        self.waiting.insert(id, follower);
        self.ends.insert((until, id));
        if state.held == ConfigVersion::ZERO {
            self.starting.insert(id);
        }
        id
    }

    /// Records that the source has been late by `lag` since the last wake,
    /// which shows that it is still busy with the answers, and delays the next
    /// wake.
    ///
    /// This happens when hundreds of servers come back within seconds: each
    /// change wakes all followers, and answering them takes longer than the
    /// time to the next wake.
    pub fn note_delay(&mut self, lag: Duration) {
        let wanted = (lag * BATCH_FACTOR).clamp(BATCH_TIME, BATCH_MAX);
        let held = self.wake_interval.unwrap_or(BATCH_TIME);
        self.wake_interval = Some(wanted.max(held));
    }

    /// Records that there is an update for every waiting follower.
    pub fn note_update(&mut self) {
        self.update_pending = true;
    }

    /// Number of waiting followers.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if a starting follower waits for a confirmed answer.
    pub fn has_starting(&self) -> bool {
        !self.starting.is_empty()
    }

    /// True if no follower waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When [`FollowerQueue::due`] will next return a follower unless there
    /// is a new update before; `None` if no follower waits.
    pub fn next_due(&self) -> Option<Duration> {
        let end = self.ends.first().map(|(until, _)| *until)?;
        if !self.update_pending {
            return Some(end);
        }
        Some(end.min(self.wake_at()))
    }

    /// Removes a follower that can be answered at once; `None` if a pending
    /// batch of updates will answer it. A starting follower does not wait for
    /// the batch, because its callers are refused until it is answered.
    pub fn take(&mut self, id: FollowerId) -> Option<DueFollower> {
        if self.update_pending && !self.starting.contains(&id) {
            return None;
        }
        self.remove(&[id]).pop()
    }

    /// Removes a follower that gets an answer of its own.
    pub fn remove_one(&mut self, id: FollowerId) -> Option<DueFollower> {
        self.remove(&[id]).pop()
    }

    /// Removes the followers to answer at `now`: all of them if an update is
    /// pending and the batch interval has passed, otherwise those whose wait
    /// has ended. A pending update leaves starting followers in the queue if
    /// their answer would not be confirmed.
    pub fn due(
        &mut self,
        now: Duration,
        freshness: &SourceFreshness,
    ) -> Vec<DueFollower> {
        if self.update_pending && now >= self.wake_at() {
            self.update_pending = false;
            self.woken_at = Some(now);
            self.wake_interval = None;
            return self.wake(freshness);
        }
        let mut ended = Vec::new();
        for (until, id) in &self.ends {
            if *until > now {
                break;
            }
            ended.push(*id);
        }
        self.remove(&ended)
    }

    /// Removes the starting followers whose request was made at `proved_at`
    /// or before.
    pub fn take_confirmed(&mut self, proved_at: Duration) -> Vec<DueFollower> {
        let mut ready = Vec::new();
        for id in &self.starting {
            let follower = self.waiting.get(id);
            if follower.is_some_and(|follower| follower.requested_at <= proved_at) {
                ready.push(*id);
            }
        }
        self.remove(&ready)
    }

    fn wake(&mut self, freshness: &SourceFreshness) -> Vec<DueFollower> {
        let mut ready = Vec::with_capacity(self.waiting.len());
        for (id, follower) in &self.waiting {
            let starting = follower.state.held == ConfigVersion::ZERO;
            if !starting || freshness.confirms(follower.requested_at) {
                ready.push(*id);
            }
        }
        self.remove(&ready)
    }

    fn wake_at(&self) -> Duration {
        let wake_interval = self.wake_interval.unwrap_or(BATCH_TIME);
        self.woken_at
            .map_or(Duration::ZERO, |at| at + wake_interval)
    }

    fn remove(&mut self, ids: &[FollowerId]) -> Vec<DueFollower> {
        let mut due = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(follower) = self.waiting.remove(id) else {
                continue;
            };
            self.ends.remove(&(follower.until, *id));
            self.starting.remove(id);
            due.push(DueFollower {
                id: *id,
                state: follower.state,
                requested_at: follower.requested_at,
            });
        }
        due
    }
}
