//! Sending of messages, and the check of their senders.

use std::sync::Arc;
use std::time::Duration;

use crate::agreement::folder_watermarks::FolderWatermark;
use crate::agreement::member::AgreementMember;
use crate::agreement::member::ElectionState;
use crate::agreement::member_list::MemberRole;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::member_message::MessageBody;
use crate::agreement::saved_state::HardState;

impl AgreementMember {
    pub(super) fn message(
        &self,
        to: &Arc<str>,
        to_folder: Option<u64>,
        body: MessageBody,
    ) -> MemberMessage {
        MemberMessage {
            from: Arc::clone(&self.identity.instance),
            address: self.identity.address,
            folder: self.identity.folder,
            start: self.identity.start,
            synced: self.output.synced_index(),
            term: self.hard.term,
            to: Arc::clone(to),
            to_folder,
            body,
        }
    }

    /// Sends a message to a member; does nothing if `to` is not a member.
    pub(super) fn send(&mut self, to: &Arc<str>, body: MessageBody) {
        let Some(record) = self.log.members().get(to) else {
            return;
        };
        let (address, folder) = (record.address, record.folder);
        let message = self.message(to, Some(folder), body);
        self.output.send((address, message));
    }

    /// Answers the sender of `message`, even if it is not in this member's
    /// list, which may lag behind the sender's.
    pub(super) fn answer(&mut self, message: &MemberMessage, body: MessageBody) {
        let answer = self.message(&message.from, Some(message.folder), body);
        self.output.send((message.address, answer));
    }

    /// The other members that receive entries, with their data folders.
    ///
    /// A learner whose addition is not committed receives nothing yet: if a
    /// later leader drops the addition, the learner's folder is still empty and
    /// it can be added again.
    pub(super) fn replication_targets(&self) -> Vec<(Arc<str>, u64)> {
        let settled = self.log.members_index() <= self.commit;
        let mut targets = Vec::new();
        for (name, record) in self.log.members().iter() {
            let waits = record.role == MemberRole::Learner && !settled;
            if *name != self.identity.instance && !waits {
                targets.push((Arc::clone(name), record.folder));
            }
        }
        targets
    }

    /// True if the sender's data folder holds at least what it acknowledged.
    /// Otherwise informs the sender that it has lost entries.
    pub(super) fn trusts(&mut self, message: &MemberMessage) -> bool {
        let reported = FolderWatermark {
            start: message.start,
            synced: message.synced,
            term: message.term,
        };
        let Some(mark) = self.watermarks.observe(message.folder, reported) else {
            return true;
        };
        self.answer(message, MessageBody::Distrust { mark });
        false
    }

    /// Bars this member if `mark` proves that its data folder has lost
    /// acknowledged entries.
    pub(super) fn handle_distrust(&mut self, now: Duration, mark: FolderWatermark) {
        let synced = self.output.synced_index();
        if !mark.proves_loss(self.identity.start, synced, self.hard.term) {
            return;
        }
        self.set_hard_state(HardState {
            barred: true,
            ..self.hard.clone()
        });
        self.election_state = ElectionState::Follower;
        self.reset_election_timer(now);
    }
}
