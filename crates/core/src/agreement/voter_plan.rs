//! Planning of membership changes that keep the number of voters at a target.
//!
//! The leader makes one change at a time; each is committed before the next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::member_list::MemberRole;
use crate::agreement::membership::MemberChange;
use crate::agreement::timing::ABSENT_AFTER;

/// A member as observed by its leader.
#[derive(Clone, Debug)]
pub(super) struct ObservedMember {
    pub(super) instance: Arc<str>,
    pub(super) role: MemberRole,
    /// Time since its last answer to the leader, at most the time since the
    /// leader's election.
    pub(super) silent: Duration,
}

impl ObservedMember {
    fn is_present(&self) -> bool {
        self.silent < ABSENT_AFTER
    }
}

/// An instance that sends hellos and is not a member with its current data
/// folder.
#[derive(Clone, Debug)]
pub(super) struct JoinCandidate {
    pub(super) instance: Arc<str>,
    pub(super) address: SocketAddr,
    /// False if its folder holds entries that are not known to be from this
    /// log.
    pub(super) admissible: bool,
}

/// The leader's next step in maintaining its voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanVerdict {
    /// No instance waits to join and no member is to be removed.
    Keep,
    /// Add or remove one member.
    Change(MemberChange),
    /// This instance sends hellos but is not added now.
    Waits(Arc<str>, WaitReason),
}

/// Why an instance that sends hellos is not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Enough members are present.
    Enough,
    /// Its data folder holds entries that are not known to be from this log.
    NotEmpty,
}

impl WaitReason {
    /// The reason as written to the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Enough => "enough-members",
            Self::NotEmpty => "folder-not-empty",
        }
    }
}

/// A verdict together with the inputs that led to it.
#[derive(Clone, Debug)]
pub struct PlanNote {
    /// The verdict.
    pub verdict: PlanVerdict,
    /// Target number of voters.
    pub wanted: usize,
    /// Number of members.
    pub members: usize,
    /// The member that has been silent the longest, and for how long.
    pub silent: Option<(Arc<str>, Duration)>,
}

/// Decides on the next membership change.
///
/// Guards against an instance that is lost for good and is never replaced:
/// after further losses no member would hold the log. A replacement is added
/// while the silent member is still listed, and that member is removed only
/// once there are enough voters without it. If it returns before that, nothing
/// is lost.
pub(super) fn decide(
    wanted: usize,
    members: &[ObservedMember],
    candidates: &[JoinCandidate],
) -> PlanVerdict {
    if let Some(redundant) = redundant_member(wanted, members) {
        let instance = Arc::clone(&redundant.instance);
        return PlanVerdict::Change(MemberChange::Remove { instance });
    }
    let present = members.iter().filter(|member| member.is_present());
    let short = present.count() < wanted;
    let mut verdict = PlanVerdict::Keep;
    for candidate in candidates {
        let instance = Arc::clone(&candidate.instance);
        if !candidate.admissible {
            verdict = PlanVerdict::Waits(instance, WaitReason::NotEmpty);
            continue;
        }
        let returned = members.iter().any(|member| member.instance == instance);
        if returned || short {
            let address = candidate.address;
            return PlanVerdict::Change(MemberChange::Add { instance, address });
        }
        verdict = PlanVerdict::Waits(instance, WaitReason::Enough);
    }
    verdict
}

/// The member silent for longest, if the fleet has enough voters without it.
fn redundant_member(
    wanted: usize,
    members: &[ObservedMember],
) -> Option<&ObservedMember> {
    let present = members.iter().filter(|member| member.is_present());
    let voters = present.filter(|member| member.role == MemberRole::Voter);
    if members.len() <= wanted || voters.count() < wanted {
        return None;
    }
    let silent = members.iter().filter(|member| !member.is_present());
    silent.max_by_key(|member| member.silent)
}

/// The member that has been silent the longest, and for how long.
pub(super) fn most_silent(members: &[ObservedMember]) -> Option<(Arc<str>, Duration)> {
    let most = members.iter().max_by_key(|member| member.silent)?;
    Some((Arc::clone(&most.instance), most.silent))
}
