//! Which instances become members where a fleet sees to its voters itself.
//!
//! The leader asks one step at a time; each is committed before the next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::member_list::MemberRole;
use crate::agreement::membership::MemberChange;
use crate::agreement::timing::ABSENT_AFTER;

/// A member as its leader sees it.
#[derive(Clone, Debug)]
pub(super) struct ObservedMember {
    pub(super) instance: Arc<str>,
    pub(super) role: MemberRole,
    /// Time since anything came from it under this leader.
    pub(super) silent: Duration,
}

impl ObservedMember {
    fn is_present(&self) -> bool {
        self.silent < ABSENT_AFTER
    }
}

/// An instance that greets and is no member with the folder that it shows.
#[derive(Clone, Debug)]
pub(super) struct JoinCandidate {
    pub(super) instance: Arc<str>,
    pub(super) address: SocketAddr,
    /// False where its folder holds a log that is not known to be this one.
    pub(super) admissible: bool,
}

/// What the leader does about its members next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanVerdict {
    /// Nobody waits and nobody has to go.
    Keep,
    /// A change of one member.
    Change(MemberChange),
    /// This instance greets and is not taken in now.
    Waits(Arc<str>, WaitReason),
}

/// Why a greeting instance is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// There are as many members as wanted.
    Enough,
    /// Its folder holds entries of some other log.
    NotEmpty,
}

impl WaitReason {
    /// The reason as logs name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Enough => "enough-members",
            Self::NotEmpty => "folder-not-empty",
        }
    }
}

/// A verdict with the inputs that decided it.
#[derive(Clone, Debug)]
pub struct PlanNote {
    /// The verdict.
    pub verdict: PlanVerdict,
    /// How many voters are wanted.
    pub wanted: usize,
    /// How many members there are.
    pub members: usize,
    /// The member that was silent for longest, and for how long.
    pub silent: Option<(Arc<str>, Duration)>,
}

/// Decides on the next change of members.
///
/// Guards against an instance that is lost for good and keeps the place of its
/// successor: with the next loss nobody is left that holds the log. A successor
/// is taken in beside the silent member, which loses its place only once there
/// are voters enough without it; should it come back first, nothing is lost.
pub(super) fn decide(
    wanted: usize,
    members: &[ObservedMember],
    candidates: &[JoinCandidate],
) -> PlanVerdict {
    if let Some(spare) = redundant_member(wanted, members) {
        let instance = Arc::clone(&spare.instance);
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

/// The silent member that the fleet can do without, if there is one.
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

/// The member that was silent for longest.
pub(super) fn most_silent(members: &[ObservedMember]) -> Option<(Arc<str>, Duration)> {
    let most = members.iter().max_by_key(|member| member.silent)?;
    Some((Arc::clone(&most.instance), most.silent))
}
