//! Followers that wait at a source for news.
//!
//! Load pattern: hundreds of followers wait at each source, nearly always
//! for nothing; then one change concerns them all, and now and then several
//! changes come within milliseconds. Looking at every follower on every
//! message would cost (messages x followers); waking them for each of a row
//! of quick changes would cost (changes x followers) answers. So followers
//! are looked at only when there is news or when their wait ends, and news
//! within [`BATCH_TIME`] of a wake goes out together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::source_proof::SourceFreshness;
use crate::version::ConfigVersion;

/// Least time between two wakes. The first news after a pause goes out at
/// once; 20 wakes a second are the most that a row of changes can cause,
/// and the delay is a two-hundredth of the ten seconds for a change.
pub const BATCH_TIME: Duration = Duration::from_millis(50);

/// Longest time between two wakes, however busy the source is: a leaving
/// server must be known everywhere within a second or two.
const BATCH_MAX: Duration = Duration::from_millis(400);

/// Time between two wakes in multiples of what the last one took: answers to
/// followers that wait take a quarter of the processor at most.
const BATCH_PART: u32 = 4;

/// Names a waiting follower within one source.
pub type FollowerId = u64;

/// What a follower holds. Followers at the same place get the same answer,
/// which is made once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FollowerState {
    /// Version in force there.
    pub held: ConfigVersion,
    /// Version refused there, or `ZERO`.
    pub refused: ConfigVersion,
    /// True where no delta may be sent.
    pub whole: bool,
    /// Revision of this source's directory that it has read up to.
    pub revision: u64,
}

/// A follower that gets its answer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueFollower {
    /// Which follower.
    pub id: FollowerId,
    /// What it holds.
    pub place: FollowerState,
    /// When it asked.
    pub asked_at: Duration,
}

/// Followers that wait, indexed by the end of their wait.
#[derive(Debug, Default)]
pub struct FollowerQueue {
    waiting: BTreeMap<FollowerId, WaitingFollower>,
    ends: BTreeSet<(Duration, FollowerId)>,
    starting: BTreeSet<FollowerId>,
    next: FollowerId,
    news: bool,
    woken_at: Option<Duration>,
    batch: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingFollower {
    place: FollowerState,
    asked_at: Duration,
    until: Duration,
}

impl FollowerQueue {
    /// Takes a follower that waits until `until`; its id is new.
    pub fn wait(
        &mut self,
        asked_at: Duration,
        until: Duration,
        place: FollowerState,
    ) -> FollowerId {
        self.next += 1;
        let id = self.next;
        let follower = WaitingFollower {
            place,
            asked_at,
            until,
        };
        self.waiting.insert(id, follower);
        self.ends.insert((until, id));
        if place.held == ConfigVersion::ZERO {
            self.starting.insert(id);
        }
        id
    }

    /// The source was late by `lag` with something it was to do since the
    /// last wake: it is still busy with the answers.
    ///
    /// Load pattern: hundreds of servers come back within seconds, each
    /// change wakes all followers, and answering them takes longer than the
    /// time to the next wake.
    pub fn late(&mut self, lag: Duration) {
        let wanted = (lag * BATCH_PART).clamp(BATCH_TIME, BATCH_MAX);
        let held = self.batch.unwrap_or(BATCH_TIME);
        self.batch = Some(wanted.max(held));
    }

    /// There is news for every waiting follower.
    pub fn note_news(&mut self) {
        self.news = true;
    }

    /// Number of followers that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True where a starting follower waits for a confirmation.
    pub fn has_starting(&self) -> bool {
        !self.starting.is_empty()
    }

    /// True where none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When [`FollowerQueue::due`] next has something to give, as far as is
    /// known now; `None` where nothing is waited for.
    pub fn next_due(&self) -> Option<Duration> {
        let end = self.ends.first().map(|(until, _)| *until)?;
        if !self.news {
            return Some(end);
        }
        Some(end.min(self.wake_at()))
    }

    /// Takes out one follower that need not wait; `None` where news is about
    /// to go out in a batch, which then answers it too. One that starts does
    /// not wait for the batch: its callers are refused until it is answered.
    pub fn take(&mut self, id: FollowerId) -> Option<DueFollower> {
        if self.news && !self.starting.contains(&id) {
            return None;
        }
        self.remove(&[id]).pop()
    }

    /// Takes out one follower that gets an answer of its own.
    pub fn remove_one(&mut self, id: FollowerId) -> Option<DueFollower> {
        self.remove(&[id]).pop()
    }

    /// Takes out the followers to be answered at `now`: all of them where
    /// there is news and the batch is over, else those whose wait has ended.
    /// Starting ones that cannot be answered as confirmed wait on.
    pub fn due(
        &mut self,
        now: Duration,
        freshness: &SourceFreshness,
    ) -> Vec<DueFollower> {
        if self.news && now >= self.wake_at() {
            self.news = false;
            self.woken_at = Some(now);
            self.batch = None;
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

    /// Takes out the starting followers that asked at `proved_at` or before.
    pub fn confirmed(&mut self, proved_at: Duration) -> Vec<DueFollower> {
        let mut ready = Vec::new();
        for id in &self.starting {
            let follower = self.waiting.get(id);
            if follower.is_some_and(|follower| follower.asked_at <= proved_at) {
                ready.push(*id);
            }
        }
        self.remove(&ready)
    }

    fn wake(&mut self, freshness: &SourceFreshness) -> Vec<DueFollower> {
        let mut ready = Vec::with_capacity(self.waiting.len());
        for (id, follower) in &self.waiting {
            let starting = follower.place.held == ConfigVersion::ZERO;
            if !starting || freshness.confirms(follower.asked_at) {
                ready.push(*id);
            }
        }
        self.remove(&ready)
    }

    fn wake_at(&self) -> Duration {
        let batch = self.batch.unwrap_or(BATCH_TIME);
        self.woken_at.map_or(Duration::ZERO, |at| at + batch)
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
                place: follower.place,
                asked_at: follower.asked_at,
            });
        }
        due
    }
}
