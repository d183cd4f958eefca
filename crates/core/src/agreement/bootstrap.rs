//! Discovery of the leader, and bootstrap of a new log.
//!
//! An instance that is not a member sends hellos to the seeds in its
//! settings, and learns from their answers who leads. Only the first seed
//! bootstraps a new log, and only once all other seeds have answered it with
//! empty data folders. An instance that lost its folder therefore never
//! bootstraps a second log while any other seed still holds the first one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::contact_book::PeerContact;
use crate::agreement::leadership::PeerProgress;
use crate::agreement::log_entry::EntryBody;
use crate::agreement::member::AgreementMember;
use crate::agreement::member::ElectionState;
use crate::agreement::member_list::MemberList;
use crate::agreement::member_list::MemberRecord;
use crate::agreement::member_list::MemberRole;
use crate::agreement::member_message::LeaderContact;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::member_message::MessageBody;
use crate::agreement::saved_state::HardState;
use crate::agreement::timing::HELLO_INTERVAL;
use crate::agreement::timing::HELLO_MAX_AGE;
use crate::agreement::timing::STEP_DOWN_TIMEOUT;
use crate::version::ConfigVersion;

/// Maximum number of instances whose hellos are kept; a fleet has at most 18.
const HELLOS_MAX: usize = 64;

/// Term of the instance that bootstraps the log.
const FIRST_TERM: u64 = 1;

/// The last hello received from an instance.
#[derive(Clone, Debug)]
pub(super) struct ReceivedHello {
    pub(super) address: SocketAddr,
    pub(super) folder: u64,
    pub(super) fresh: bool,
    pub(super) at: Duration,
}

impl ReceivedHello {
    fn from_message(at: Duration, message: &MemberMessage, fresh: bool) -> Self {
        Self {
            address: message.address,
            folder: message.folder,
            fresh,
            at,
        }
    }
}

impl AgreementMember {
    /// Sends hellos while there is no leader, and bootstraps the log once all
    /// seeds have answered.
    pub(super) fn send_hellos(&mut self, now: Duration) {
        if now < self.next_hello_at || self.has_leader(now) {
            return;
        }
        self.next_hello_at = now + HELLO_INTERVAL;
        let fresh = self.has_no_history();
        for (name, address) in self.hello_targets() {
            let body = MessageBody::Hello { fresh };
            let message = self.message(&name, None, body);
            self.output.send((address, message));
        }
        self.try_bootstrap(now);
    }

    /// True if this instance leads, or is a member that receives messages from
    /// a leader.
    fn has_leader(&self, now: Duration) -> bool {
        if self.is_leader() {
            return true;
        }
        let leader_live = self
            .leader_message_at
            .is_some_and(|at| now < at + STEP_DOWN_TIMEOUT);
        let own = &self.identity;
        leader_live
            && self.can_participate()
            && self.log.members().contains(&own.instance, own.folder)
    }

    fn has_no_history(&self) -> bool {
        self.log.last() == ConfigVersion::ZERO && self.hard == HardState::default()
    }

    fn hello_targets(&self) -> BTreeMap<Arc<str>, SocketAddr> {
        let mut targets: BTreeMap<_, _> = self.seeds.iter().cloned().collect();
        for (name, record) in self.log.members().iter() {
            targets.insert(Arc::clone(name), record.address);
        }
        // Without this the leader would never learn of an instance whose seeds
        // run and know the leader, but are no longer members.
        if let Some((leader, _)) = &self.leader_hint {
            targets.insert(Arc::clone(&leader.instance), leader.address);
        }
        for (name, address) in self.contacts.iter() {
            targets.entry(Arc::clone(name)).or_insert(address);
        }
        targets.remove(&self.identity.instance);
        targets
    }

    pub(super) fn handle_hello(
        &mut self,
        now: Duration,
        message: &MemberMessage,
        fresh: bool,
    ) {
        self.record_hello(now, message, fresh);
        let fresh = self.has_no_history();
        if fresh && self.received_hellos.contains_key(&message.from) {
            let founder = Arc::clone(&message.from);
            self.answered_folders.insert(founder, message.folder);
        }
        let heard = self.heard_leader(now).filter(|_| !self.is_leader());
        let age = heard.map(|(_, at)| now.saturating_sub(at));
        let body = MessageBody::HelloAnswer {
            leader: self.leader_status(now).leader,
            leader_age_ms: age.unwrap_or_default().as_millis() as u64,
            fresh,
            greeted: message.start,
            contacts: self.known_contacts(),
        };
        self.answer(message, body);
    }

    /// Addresses of the members or, if none is known yet, of the contacts.
    fn known_contacts(&self) -> Vec<PeerContact> {
        let mut contacts = Vec::new();
        for (name, record) in self.log.members().iter() {
            let (instance, address) = (Arc::clone(name), record.address);
            contacts.push(PeerContact { instance, address });
        }
        if !contacts.is_empty() {
            return contacts;
        }
        for (name, address) in self.contacts.iter() {
            let instance = Arc::clone(name);
            contacts.push(PeerContact { instance, address });
        }
        contacts
    }

    fn record_hello(&mut self, now: Duration, message: &MemberMessage, fresh: bool) {
        self.received_hellos
            .retain(|_, hello| now < hello.at + HELLO_MAX_AGE);
        let known = self.received_hellos.contains_key(&message.from);
        if known || self.received_hellos.len() < HELLOS_MAX {
            let hello = ReceivedHello::from_message(now, message, fresh);
            self.received_hellos
                .insert(Arc::clone(&message.from), hello);
        }
    }

    pub(super) fn handle_hello_answer(&mut self, now: Duration, message: MemberMessage) {
        let MessageBody::HelloAnswer {
            leader,
            leader_age_ms,
            fresh,
            greeted,
            contacts,
        } = &message.body
        else {
            return;
        };
        if let Some(leader) = leader {
            let age = Duration::from_millis(*leader_age_ms);
            self.record_leader_hint(leader, now.saturating_sub(age));
        }
        self.contacts.merge(now, contacts);
        if *greeted != self.identity.start {
            return;
        }
        // The answer also shows whether its sender lost its folder: the
        // sender's own hello may have been sent before this instance listened.
        self.record_hello(now, &message, *fresh);
        if !self.seeds.iter().any(|(name, _)| *name == message.from) {
            return;
        }
        let fresh = *fresh;
        let hello = ReceivedHello::from_message(now, &message, fresh);
        self.hello_answers.insert(message.from, hello);
        self.try_bootstrap(now);
    }

    /// Records a leader that another instance named. `heard_at` is when the message
    /// was received that shows that it leads: without it instances that hear from no
    /// leader would go on naming one to each other.
    fn record_leader_hint(&mut self, leader: &LeaderContact, heard_at: Duration) {
        let newer = self
            .leader_hint
            .as_ref()
            .is_none_or(|(_, at)| heard_at > *at);
        if newer && leader.instance != self.identity.instance {
            self.leader_hint = Some((leader.clone(), heard_at));
        }
    }

    /// True if `message` comes from a folder that its sender has lost since.
    ///
    /// Guards against an instance that bootstraps the log, loses its folder
    /// right afterwards and bootstraps again: some members would hold the first
    /// entry of one log and some that of the other. A bootstrap counts only
    /// answers to hellos of the same process start, and an instance that gave
    /// such an answer accepts no entries from an earlier folder.
    pub(super) fn is_from_lost_folder(&self, message: &MemberMessage) -> bool {
        let answered = self.answered_folders.get(&message.from);
        let other = answered.is_some_and(|folder| *folder != message.folder);
        other && self.has_no_history()
    }

    fn try_bootstrap(&mut self, now: Duration) {
        let first = self.seeds.first().map(|(name, _)| name);
        let allowed = self.may_bootstrap && self.can_participate();
        if first != Some(&self.identity.instance) || !allowed {
            return;
        }
        if !self.has_no_history() {
            return;
        }
        let Some(members) = self.bootstrap_members(now) else {
            return;
        };
        self.set_hard_state(HardState {
            term: FIRST_TERM,
            voted_for: Some(Arc::clone(&self.identity.instance)),
            barred: false,
        });
        self.begin_leadership(now);
        self.append_as_leader(EntryBody::Members(members));
        // The senders are about to hold entries, so their hellos are outdated.
        self.received_hellos.clear();
    }

    /// All seeds as voters, once each has answered with an empty data folder.
    fn bootstrap_members(&self, now: Duration) -> Option<MemberList> {
        let mut members = MemberList::default();
        for (name, address) in &self.seeds {
            let own = *name == self.identity.instance;
            let folder = if own {
                self.identity.folder
            } else {
                let hello = self.hello_answers.get(name)?;
                if !hello.fresh || now >= hello.at + HELLO_MAX_AGE {
                    return None;
                }
                hello.folder
            };
            let record = MemberRecord {
                address: *address,
                folder,
                role: MemberRole::Voter,
            };
            members.set(Arc::clone(name), record);
        }
        Some(members)
    }

    pub(super) fn progress(&self, instance: &str) -> Option<&PeerProgress> {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return None;
        };
        leadership.peers.get(instance)
    }
}
