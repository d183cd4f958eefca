//! Greetings, and the founding of a new log.
//!
//! An instance that is no member greets the voters of its settings, and
//! learns from their answers who leads. A new log is founded only by the
//! first of the settings, once all the others have answered it with empty
//! folders. An instance that lost its folder therefore never founds a
//! second log while any of the others still holds the first one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::contact_book::ContactPlace;
use crate::agreement::leadership::PeerProgress;
use crate::agreement::log_entry::EntryBody;
use crate::agreement::member::AgreementMember;
use crate::agreement::member::MemberStage;
use crate::agreement::member_list::MemberList;
use crate::agreement::member_list::MemberRecord;
use crate::agreement::member_list::MemberRole;
use crate::agreement::member_message::MemberMessage;
use crate::agreement::member_message::MessageBody;
use crate::agreement::saved_state::HardState;
use crate::agreement::timing::GREETING_FRESH;
use crate::agreement::timing::HELLO_PAUSE;
use crate::agreement::timing::STEP_DOWN;
use crate::version::ConfigVersion;

/// Instances remembered by their greetings; the fleet has 18 at most.
const GREETINGS_MAX: usize = 64;

/// Term of the founder's leadership.
const FIRST_TERM: u64 = 1;

/// An instance's last greeting.
#[derive(Clone, Debug)]
pub(super) struct Greeting {
    pub(super) address: SocketAddr,
    pub(super) folder: u64,
    pub(super) fresh: bool,
    pub(super) at: Duration,
}

impl Greeting {
    fn of(at: Duration, message: &MemberMessage, fresh: bool) -> Self {
        Self {
            address: message.address,
            folder: message.folder,
            fresh,
            at,
        }
    }
}

impl AgreementMember {
    /// Greets where there is nobody to follow, and founds where all are
    /// there.
    pub(super) fn greet(&mut self, now: Duration) {
        if now < self.hello_at || self.is_served(now) {
            return;
        }
        self.hello_at = now + HELLO_PAUSE;
        let fresh = self.is_unfounded();
        for (name, address) in self.greeted() {
            let body = MessageBody::Hello { fresh };
            let message = self.message(&name, None, body);
            self.output.send((address, message));
        }
        self.try_found(now);
    }

    /// True for a leader, and for a member that hears from one.
    fn is_served(&self, now: Duration) -> bool {
        if self.is_leader() {
            return true;
        }
        let heard = self.leader_heard.is_some_and(|at| now < at + STEP_DOWN);
        let own = &self.identity;
        heard && self.takes_part() && self.log.members().holds(&own.instance, own.folder)
    }

    fn is_unfounded(&self) -> bool {
        self.log.last() == ConfigVersion::ZERO && self.hard == HardState::default()
    }

    fn greeted(&self) -> BTreeMap<Arc<str>, SocketAddr> {
        let mut greeted: BTreeMap<_, _> = self.founders.iter().cloned().collect();
        for (name, record) in self.log.members().iter() {
            greeted.insert(Arc::clone(name), record.address);
        }
        // Without this an instance whose seeds are no members any more, though
        // they run and know the leader, would never be heard of by the leader.
        if let Some((leader, _)) = &self.hint {
            greeted.insert(Arc::clone(&leader.instance), leader.address);
        }
        for (name, address) in self.contacts.iter() {
            greeted.entry(Arc::clone(name)).or_insert(address);
        }
        greeted.remove(&self.identity.instance);
        greeted
    }

    pub(super) fn take_hello(
        &mut self,
        now: Duration,
        message: &MemberMessage,
        fresh: bool,
    ) {
        self.note_greeting(now, message, fresh);
        let fresh = self.is_unfounded();
        if fresh && self.greetings.contains_key(&message.from) {
            let founder = Arc::clone(&message.from);
            self.answered.insert(founder, message.folder);
        }
        let body = MessageBody::HelloAnswer {
            leader: self.standing(now).leader,
            fresh,
            greeted: message.start,
            contacts: self.known_places(),
        };
        self.answer(message, body);
    }

    /// The members, and where none is known yet the contacts.
    fn known_places(&self) -> Vec<ContactPlace> {
        let mut places = Vec::new();
        for (name, record) in self.log.members().iter() {
            let (instance, address) = (Arc::clone(name), record.address);
            places.push(ContactPlace { instance, address });
        }
        if !places.is_empty() {
            return places;
        }
        for (name, address) in self.contacts.iter() {
            let instance = Arc::clone(name);
            places.push(ContactPlace { instance, address });
        }
        places
    }

    fn note_greeting(&mut self, now: Duration, message: &MemberMessage, fresh: bool) {
        self.greetings
            .retain(|_, greeting| now < greeting.at + GREETING_FRESH);
        let known = self.greetings.contains_key(&message.from);
        if known || self.greetings.len() < GREETINGS_MAX {
            let greeting = Greeting::of(now, message, fresh);
            self.greetings.insert(Arc::clone(&message.from), greeting);
        }
    }

    pub(super) fn take_hello_answer(&mut self, now: Duration, message: MemberMessage) {
        let MessageBody::HelloAnswer {
            leader,
            fresh,
            greeted,
            contacts,
        } = &message.body
        else {
            return;
        };
        if let Some(leader) = leader {
            self.hint = Some((leader.clone(), now));
        }
        self.contacts.learn(now, contacts);
        if *greeted != self.identity.start {
            return;
        }
        // An instance that lost its folder tells it here as well: its own
        // greeting may have been sent before this one listened.
        self.note_greeting(now, &message, *fresh);
        if !self.founders.iter().any(|(name, _)| *name == message.from) {
            return;
        }
        let fresh = *fresh;
        let greeting = Greeting::of(now, &message, fresh);
        self.founding_answers.insert(message.from, greeting);
        self.try_found(now);
    }

    /// True for entries of a founder that has lost its folder since.
    ///
    /// Guards against a founder whose folder is lost right after the
    /// founding, and that founds again: some members would hold the first
    /// entry of the one log, some of the other. Each founding counts only
    /// answers to its own start's greetings, and whoever answered takes no
    /// entry of an earlier folder.
    pub(super) fn is_from_lost_folder(&self, message: &MemberMessage) -> bool {
        let answered = self.answered.get(&message.from);
        let other = answered.is_some_and(|folder| *folder != message.folder);
        other && self.is_unfounded()
    }

    fn try_found(&mut self, now: Duration) {
        let first = self.founders.first().map(|(name, _)| name);
        let allowed = self.may_found && self.takes_part();
        if first != Some(&self.identity.instance) || !allowed {
            return;
        }
        if !self.is_unfounded() {
            return;
        }
        let Some(members) = self.founding_members(now) else {
            return;
        };
        self.set_hard(HardState {
            term: FIRST_TERM,
            voted_for: Some(Arc::clone(&self.identity.instance)),
            barred: false,
        });
        self.begin_leadership(now);
        self.append_own(EntryBody::Members(members));
        // They are about to hold entries: no greeting holds any longer.
        self.greetings.clear();
    }

    /// All voters of the settings, once each answered with an empty folder.
    fn founding_members(&self, now: Duration) -> Option<MemberList> {
        let mut members = MemberList::default();
        for (name, address) in &self.founders {
            let own = *name == self.identity.instance;
            let folder = if own {
                self.identity.folder
            } else {
                let greeting = self.founding_answers.get(name)?;
                if !greeting.fresh || now >= greeting.at + GREETING_FRESH {
                    return None;
                }
                greeting.folder
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
        let MemberStage::Leader(leadership) = &self.stage else {
            return None;
        };
        leadership.peers.get(instance)
    }
}
