//! Builds the answers of a source; followers that would get equal answers
//! share one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::directory_follower::DirectoryPosition;
use crate::directory_follower::DirectoryUpdate;
use crate::follow_exchange::FollowAnswer;
use crate::follow_exchange::FollowReply;
use crate::follower_queue::DueFollower;
use crate::follower_queue::FollowerId;
use crate::follower_queue::FollowerState;
use crate::source_proof::SourceProof;
use crate::version::ConfigVersion;

use super::SharedAnswer;
use super::UpdateSource;

impl UpdateSource {
    pub(super) fn position(&self) -> DirectoryPosition {
        DirectoryPosition {
            run: self.identity.run,
            revision: self.directory.revision(),
        }
    }

    fn proof(&self, now: Duration, requested_at: Duration) -> SourceProof {
        SourceProof {
            instance: Arc::clone(&self.identity.instance),
            failure_domain: Arc::clone(&self.identity.failure_domain),
            version: self.history.current().version,
            fresh_ms: self.freshness.fresh_for(now).as_millis() as u64,
            confirmed: self.freshness.confirms(requested_at),
        }
    }

    pub(super) fn answer_one(&mut self, now: Duration, id: FollowerId) {
        let due = self.queue.take(id);
        self.answer(now, due.into_iter().collect());
    }

    /// Answers a single follower with a directory update made for it.
    pub(super) fn answer_with_directory(
        &mut self,
        now: Duration,
        id: FollowerId,
        directory: DirectoryUpdate,
    ) {
        let Some(due) = self.queue.remove_one(id) else {
            return;
        };
        let key = self.key(&due);
        self.names.remove(&id);
        let reply = self.reply(now, &due, &key, directory);
        self.ready.push(SharedAnswer {
            followers: vec![id],
            reply,
        });
    }

    /// Sends `reply` to a follower and removes it from the queue.
    pub(super) fn answer_with_reply(&mut self, id: FollowerId, reply: FollowReply) {
        self.queue.remove_one(id);
        self.names.remove(&id);
        self.ready.push(SharedAnswer {
            followers: vec![id],
            reply,
        });
    }

    /// Answers followers; those in the same state share one answer.
    pub(super) fn answer(&mut self, now: Duration, due: Vec<DueFollower>) {
        let mut grouped: BTreeMap<AnswerKey, Vec<DueFollower>> = BTreeMap::new();
        for follower in due {
            let key = self.key(&follower);
            self.names.remove(&follower.id);
            grouped.entry(key).or_default().push(follower);
        }
        for (key, followers) in grouped {
            let directory = DirectoryUpdate {
                records: self.directory.since(key.state.revision),
                batched: key.state.reads_batches,
                position: Some(self.position()),
                parts: None,
            };
            let reply = self.reply(now, &followers[0], &key, directory);
            let followers = followers.iter().map(|follower| follower.id).collect();
            self.ready.push(SharedAnswer { followers, reply });
        }
    }

    fn key(&self, follower: &DueFollower) -> AnswerKey {
        let starting = follower.state.held == ConfigVersion::ZERO;
        let name = self.names.get(&follower.id).filter(|_| starting);
        AnswerKey {
            state: follower.state,
            confirmed: self.freshness.confirms(follower.requested_at),
            acknowledged: name.and_then(|name| self.applied.get(name)),
        }
    }

    fn reply(
        &mut self,
        now: Duration,
        follower: &DueFollower,
        key: &AnswerKey,
        directory: DirectoryUpdate,
    ) -> FollowReply {
        let config = self.history.update_for(&key.state);
        FollowReply::Update(Box::new(FollowAnswer {
            source: self.proof(now, follower.requested_at),
            chunk: self.history.first_chunk(&config),
            config,
            acknowledged: key.acknowledged,
            directory,
        }))
    }
}

/// Followers with equal keys get the same answer.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AnswerKey {
    state: FollowerState,
    confirmed: bool,
    acknowledged: Option<ConfigVersion>,
}
