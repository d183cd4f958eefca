//! How a follower handles the leader's messages.

use std::sync::Arc;
use std::time::Duration;

use crate::agreement::log_entry::LogEntry;
use crate::agreement::member::AgreementMember;
use crate::agreement::member_message::LeaderContact;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::member_message::MessageBody;
use crate::agreement::saved_state::ReplicaSnapshot;
use crate::version::ConfigVersion;

impl AgreementMember {
    pub(super) fn handle_leader_message(
        &mut self,
        now: Duration,
        message: MemberMessage,
    ) {
        if message.term < self.hard.term {
            // The higher term in the answer makes the old leader step down.
            let matched = Err(0);
            let sent_at = Duration::ZERO;
            self.answer(&message, MessageBody::AppendAnswer { matched, sent_at });
            return;
        }
        if self.is_from_lost_folder(&message) {
            return;
        }
        self.become_follower(now, message.term);
        self.record_leader(now, &message);
        match message.body {
            MessageBody::Append {
                previous,
                entries,
                commit,
                sent_at,
                marks,
            } => {
                self.watermarks.merge(&marks);
                self.leader_sent_at = self.leader_sent_at.max(sent_at);
                self.handle_entries(previous, entries, commit);
            }
            MessageBody::Install { snapshot, sent_at } => {
                self.leader_sent_at = self.leader_sent_at.max(sent_at);
                self.handle_snapshot(snapshot);
            }
            _ => {}
        }
    }

    fn record_leader(&mut self, now: Duration, message: &MemberMessage) {
        let changed = self
            .leader
            .as_ref()
            .is_none_or(|leader| leader.instance != message.from);
        if changed {
            // Clocks of different leaders are not comparable.
            self.leader_sent_at = Duration::ZERO;
        }
        self.leader_message_at = Some(now);
        self.leader_folder = message.folder;
        self.leader = Some(LeaderContact {
            instance: Arc::clone(&message.from),
            address: message.address,
        });
    }

    fn handle_entries(
        &mut self,
        previous: ConfigVersion,
        entries: Vec<LogEntry>,
        commit: u64,
    ) {
        // Committed entries are identical in both logs.
        let known = previous.index <= self.commit
            || self.log.version_at(previous.index) == Some(previous);
        if !known {
            self.reply(Err(self.commit));
            return;
        }
        let end = previous.index + entries.len() as u64;
        let mut appended = false;
        for entry in entries {
            appended |= self.append_if_new(entry);
        }
        self.matched_index = self.matched_index.max(end);
        self.commit = self.commit.max(commit.min(self.matched_index));
        // New entries are acknowledged once they are synced.
        if !appended {
            self.acknowledge();
        }
    }

    /// Appends an entry unless the log already holds it; cuts off conflicting
    /// entries first. Returns true if the entry was appended.
    fn append_if_new(&mut self, entry: LogEntry) -> bool {
        let index = entry.version.index;
        if index <= self.commit || self.log.version_at(index) == Some(entry.version) {
            return false;
        }
        if index <= self.log.last().index {
            self.cut_from(index);
        }
        self.append(entry);
        true
    }

    fn handle_snapshot(&mut self, snapshot: ReplicaSnapshot) {
        let index = snapshot.version.index;
        if index > self.commit {
            if self.log.version_at(index) == Some(snapshot.version) {
                // The log holds all that the snapshot includes.
                self.commit = index;
            } else {
                self.restore(snapshot);
            }
        }
        self.matched_index = self.matched_index.max(index);
        self.acknowledge();
    }

    /// Reports to the leader the last index that matches its log and is synced.
    pub(super) fn acknowledge(&mut self) {
        let matched = self.matched_index.min(self.output.synced_index());
        self.reply(Ok(matched));
    }

    fn reply(&mut self, matched: Result<u64, u64>) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        let body = MessageBody::AppendAnswer {
            matched,
            sent_at: self.leader_sent_at,
        };
        let folder = self.leader_folder;
        let answer = self.message(&leader.instance, Some(folder), body);
        self.output.send((leader.address, answer));
    }
}
