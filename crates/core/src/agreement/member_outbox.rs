//! What a member sends, to whom, and whom it trusts.

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

    /// Sends to a member of the list.
    pub(super) fn send(&mut self, to: &Arc<str>, body: MessageBody) {
        let Some(record) = self.log.members().get(to) else {
            return;
        };
        let (address, folder) = (record.address, record.folder);
        let message = self.message(to, Some(folder), body);
        self.output.send((address, message));
    }

    /// Answers the sender of `message`, member of the own list or not: the
    /// list may lag behind the sender's.
    pub(super) fn answer(&mut self, message: &MemberMessage, body: MessageBody) {
        let answer = self.message(&message.from, Some(message.folder), body);
        self.output.send((message.address, answer));
    }

    /// The other members that entries go to, and their folders.
    ///
    /// A learner whose addition is not committed gets nothing yet: should a
    /// later leader undo the addition, its folder is still empty and it can
    /// be added again.
    pub(super) fn replication_targets(&self) -> Vec<(Arc<str>, u64)> {
        let settled = self.log.members_index() <= self.commit;
        let mut replication_targets = Vec::new();
        for (name, record) in self.log.members().iter() {
            let waits = record.role == MemberRole::Learner && !settled;
            if *name != self.identity.instance && !waits {
                replication_targets.push((Arc::clone(name), record.folder));
            }
        }
        replication_targets
    }

    /// Checks what a sender shows against what its folder must hold.
    pub(super) fn trusts(&mut self, message: &MemberMessage) -> bool {
        let shown = FolderWatermark {
            start: message.start,
            synced: message.synced,
            term: message.term,
        };
        let Some(mark) = self.watermarks.observe(message.folder, shown) else {
            return true;
        };
        self.answer(message, MessageBody::Distrust { mark });
        false
    }

    pub(super) fn handle_distrust(&mut self, now: Duration, mark: FolderWatermark) {
        let synced = self.output.synced_index();
        if !mark.proves_loss(self.identity.start, synced, self.hard.term) {
            return;
        }
        self.set_hard(HardState {
            barred: true,
            ..self.hard.clone()
        });
        self.election_state = ElectionState::Follower;
        self.reset_election_timer(now);
    }
}
