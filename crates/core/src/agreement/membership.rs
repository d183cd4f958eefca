//! Membership changes, one member at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::agreement::bootstrap::ReceivedHello;
use crate::agreement::log_entry::EntryBody;
use crate::agreement::member::AgreementMember;
use crate::agreement::member::ElectionState;
use crate::agreement::member_list::MemberList;
use crate::agreement::member_list::MemberRecord;
use crate::agreement::member_list::MemberRole;
use crate::agreement::timing::HELLO_MAX_AGE;
use crate::agreement::voter_plan;
use crate::agreement::voter_plan::JoinCandidate;
use crate::agreement::voter_plan::ObservedMember;
use crate::agreement::voter_plan::PlanNote;
use crate::agreement::voter_plan::PlanVerdict;
use crate::version::ConfigVersion;

/// Maximum number of live members, all of which become voters. Each voter costs
/// the leader another copy of every change, and five voters already tolerate
/// two failures.
const LIVE_MEMBERS_MAX: usize = 7;

/// A change of membership requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Add an instance that runs with an empty data folder, or replace a member
    /// of the same name whose folder is lost.
    Add {
        /// Instance name.
        instance: Arc<str>,
        /// Address at which the instance listens.
        address: SocketAddr,
    },
    /// Remove a member.
    Remove {
        /// Instance name.
        instance: Arc<str>,
    },
}

/// Why a membership change was refused; nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum MemberRefusal {
    /// Another membership change is not committed yet.
    #[error("another membership change is under way; retry when it is done")]
    UnderWay,
    /// The leader has received no recent hello from the instance.
    #[error("the instance has not been heard of; start it with an empty data folder and these members in its settings first")]
    NotHeard,
    /// The instance's data folder holds entries and is not known to be from
    /// this log.
    #[error("the instance's data folder is not empty; stop it, remove the folder, start it and retry")]
    NotEmpty,
    /// No member has this name.
    #[error("no member has this name")]
    NotMember,
    /// The instance is already a member with its current data folder.
    #[error("the instance is already a member")]
    AlreadyMember,
    /// Less than a majority of the voters would be live.
    #[error("less than a majority of the voters would be live afterwards")]
    TooFewLive,
    /// There are already as many live members as allowed.
    #[error("the maximum number of live members is reached")]
    TooMany,
}

impl MemberRefusal {
    /// Every reason.
    pub const ALL: &'static [Self] = &[
        Self::UnderWay,
        Self::NotHeard,
        Self::NotEmpty,
        Self::NotMember,
        Self::AlreadyMember,
        Self::TooFewLive,
        Self::TooMany,
    ];

    /// The reason as a metric label.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::UnderWay => "under-way",
            Self::NotHeard => "not-heard",
            Self::NotEmpty => "not-empty",
            Self::NotMember => "not-member",
            Self::AlreadyMember => "already-member",
            Self::TooFewLive => "too-few-live",
            Self::TooMany => "too-many",
        }
    }
}

/// Result of a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberAnswer {
    /// The change is in the log at this version. A new member votes once it
    /// holds the log.
    Accepted(ConfigVersion),
    /// Nothing changed.
    Refused(MemberRefusal),
}

/// One member as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// Instance name.
    pub instance: Arc<str>,
    /// Address at which the instance listens.
    pub address: SocketAddr,
    /// Whether it votes.
    pub role: MemberRole,
    /// True for the leader.
    pub leads: bool,
    /// True if the leader received an answer from it within the last second.
    pub live: bool,
    /// Last index that it is known to have synced.
    pub synced: u64,
}

impl AgreementMember {
    /// Starts a membership change. The caller has checked that this member
    /// leads and holds the lease. Returns `None` if the entry cannot be
    /// appended.
    pub fn change_members(
        &mut self,
        now: Duration,
        change: &MemberChange,
    ) -> Option<MemberAnswer> {
        let members = match self.changed_members(now, change) {
            Ok(members) => members,
            Err(refusal) => return Some(MemberAnswer::Refused(refusal)),
        };
        let version = self.propose(now, EntryBody::Members(members))?;
        if let MemberChange::Add { instance, .. } = change {
            // The instance is about to hold entries, so its hello is outdated.
            self.received_hellos.remove(instance);
        }
        Some(MemberAnswer::Accepted(version))
    }

    fn changed_members(
        &self,
        now: Duration,
        change: &MemberChange,
    ) -> Result<MemberList, MemberRefusal> {
        if self.log.members_index() > self.commit {
            return Err(MemberRefusal::UnderWay);
        }
        let mut members = self.log.members().clone();
        match change {
            MemberChange::Add { instance, address } => {
                let record = self.new_record(now, instance, *address)?;
                members.set(Arc::clone(instance), record);
            }
            MemberChange::Remove { instance } => {
                if members.get(instance).is_none() {
                    return Err(MemberRefusal::NotMember);
                }
                members.remove(instance);
            }
        }
        let live = members.voters().filter(|voter| self.is_live(now, voter));
        if live.count() < members.quorum() {
            return Err(MemberRefusal::TooFewLive);
        }
        Ok(members)
    }

    fn new_record(
        &self,
        now: Duration,
        instance: &Arc<str>,
        address: SocketAddr,
    ) -> Result<MemberRecord, MemberRefusal> {
        let hello = self.received_hellos.get(instance);
        let recent = hello.filter(|hello| now < hello.at + HELLO_MAX_AGE);
        let hello = recent.ok_or(MemberRefusal::NotHeard)?;
        let members = self.log.members();
        if members.contains(instance, hello.folder) {
            return Err(MemberRefusal::AlreadyMember);
        }
        if !self.is_admissible(hello) {
            return Err(MemberRefusal::NotEmpty);
        }
        let live = members.iter().filter(|(name, _)| self.is_live(now, name));
        if members.get(instance).is_none() && live.count() >= LIVE_MEMBERS_MAX {
            return Err(MemberRefusal::TooMany);
        }
        Ok(MemberRecord {
            address,
            folder: hello.folder,
            role: MemberRole::Learner,
        })
    }

    /// True if the data folder is empty, or belonged to a former member and so
    /// holds a prefix of this log.
    ///
    /// Without the second case a member that was replaced while it was
    /// partitioned could never return, and the fleet would run out of
    /// candidates.
    fn is_admissible(&self, hello: &ReceivedHello) -> bool {
        hello.fresh || self.log.members().was_member(hello.folder)
    }

    /// Makes a learner that has synced all committed entries a voter.
    ///
    /// Guards against a second loss right after a repair: a repaired member
    /// that voted before it held the log could form a majority with the one
    /// instance that misses the last changes.
    pub(super) fn promote_learner(&mut self, now: Duration) {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return;
        };
        let settled = self.log.members_index() <= self.commit;
        if !settled || !leadership.is_fresh(self, now) {
            return;
        }
        let mut members = self.log.members().clone();
        let ready = members.iter().find(|(name, record)| {
            let peer = leadership.peers.get(*name);
            let holds =
                peer.is_some_and(|peer| peer.matched >= self.commit && peer.is_live(now));
            record.role == MemberRole::Learner && holds
        });
        let Some((name, record)) = ready else {
            return;
        };
        let (name, mut record) = (Arc::clone(name), record.clone());
        record.role = MemberRole::Voter;
        members.set(name, record);
        self.propose(now, EntryBody::Members(members));
    }

    /// Keeps the number of voters at the target without an operator.
    ///
    /// Load pattern: instances lose their disks or are replaced for good at any
    /// time. Without this the loss of one more voter would stop all changes
    /// until an operator adds the returned instance by hand.
    pub(super) fn maintain_voters(&mut self, now: Duration) {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return;
        };
        let settled = self.log.members_index() <= self.commit;
        if self.voter_target == 0 || !settled || !leadership.is_fresh(self, now) {
            return;
        }
        let verdict = self.plan_voter_change(now);
        if let PlanVerdict::Change(change) = verdict {
            // Refused if too few voters are live; the next tick tries again.
            let _ = self.change_members(now, &change);
        }
    }

    /// Decides on the next membership change, and records a verdict that
    /// differs from the last one.
    fn plan_voter_change(&mut self, now: Duration) -> PlanVerdict {
        let members = self.observed_members(now);
        let candidates = self.join_candidates(now);
        let verdict = voter_plan::decide(self.voter_target, &members, &candidates);
        if self.last_plan_verdict != verdict {
            self.last_plan_verdict = verdict.clone();
            self.plan_notes.push(PlanNote {
                verdict: verdict.clone(),
                wanted: self.voter_target,
                members: members.len(),
                silent: voter_plan::most_silent(&members),
            });
        }
        verdict
    }

    fn observed_members(&self, now: Duration) -> Vec<ObservedMember> {
        let ElectionState::Leader(leadership) = &self.election_state else {
            return Vec::new();
        };
        let mut observed = Vec::new();
        for (instance, record) in self.log.members().iter() {
            let answered_at = if *instance == self.identity.instance {
                Some(now)
            } else {
                self.progress(instance).and_then(|peer| peer.answered_at())
            };
            let since = answered_at
                .unwrap_or(Duration::ZERO)
                .max(leadership.since());
            observed.push(ObservedMember {
                instance: Arc::clone(instance),
                role: record.role,
                silent: now.saturating_sub(since),
            });
        }
        observed
    }

    fn join_candidates(&self, now: Duration) -> Vec<JoinCandidate> {
        let members = self.log.members();
        let mut candidates = Vec::new();
        for (instance, hello) in &self.received_hellos {
            let recent = now < hello.at + HELLO_MAX_AGE;
            if !recent || members.contains(instance, hello.folder) {
                continue;
            }
            // A delayed hello, sent before the member returned, must not
            // replace the data folder that the member has now.
            let answered_at = self.progress(instance).and_then(|peer| peer.answered_at());
            if answered_at.is_some_and(|answered_at| answered_at > hello.at) {
                continue;
            }
            candidates.push(JoinCandidate {
                instance: Arc::clone(instance),
                address: hello.address,
                admissible: self.is_admissible(hello),
            });
        }
        candidates
    }

    /// The members as seen by the leader.
    pub fn member_lines(&self, now: Duration) -> Vec<MemberLine> {
        let mut lines = Vec::new();
        for (instance, record) in self.log.members().iter() {
            let own = *instance == self.identity.instance;
            let synced = if own {
                self.output.synced_index()
            } else {
                self.progress(instance).map_or(0, |peer| peer.matched)
            };
            lines.push(MemberLine {
                instance: Arc::clone(instance),
                address: record.address,
                role: record.role,
                leads: own && self.is_leader(),
                live: self.is_live(now, instance),
                synced,
            });
        }
        lines
    }

    fn is_live(&self, now: Duration, instance: &Arc<str>) -> bool {
        let own = *instance == self.identity.instance;
        own || self
            .progress(instance)
            .is_some_and(|peer| peer.is_live(now))
    }
}
