//! Which instances become members where a fleet sees to its voters itself.
//!
//! The leader asks one step at a time; each is committed before the next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::membership::MemberChange;

/// A member silent for this long gives its place to one that greets: far
/// longer than a restart or a partition of some seconds, whose member comes
/// back with all that it held.
const LOST_AFTER: Duration = Duration::from_secs(12);

/// A member as its leader sees it.
#[derive(Clone, Debug)]
pub(super) struct SeenMember {
    pub(super) instance: Arc<str>,
    /// Time since anything came from it under this leader.
    pub(super) silent: Duration,
}

/// An instance that greets and is no member with the folder that it shows.
#[derive(Clone, Debug)]
pub(super) struct SeenNewcomer {
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
pub(super) fn decide(
    wanted: usize,
    members: &[SeenMember],
    newcomers: &[SeenNewcomer],
) -> PlanVerdict {
    let mut verdict = PlanVerdict::Keep;
    for newcomer in newcomers {
        let instance = Arc::clone(&newcomer.instance);
        if !newcomer.admissible {
            verdict = PlanVerdict::Waits(instance, WaitReason::NotEmpty);
            continue;
        }
        let returned = members.iter().any(|member| member.instance == instance);
        if returned || members.len() < wanted {
            let address = newcomer.address;
            return PlanVerdict::Change(MemberChange::Add { instance, address });
        }
        let lost = members.iter().find(|member| member.silent >= LOST_AFTER);
        if let Some(lost) = lost {
            let instance = Arc::clone(&lost.instance);
            return PlanVerdict::Change(MemberChange::Remove { instance });
        }
        verdict = PlanVerdict::Waits(instance, WaitReason::Enough);
    }
    verdict
}

/// The member that was silent for longest.
pub(super) fn most_silent(members: &[SeenMember]) -> Option<(Arc<str>, Duration)> {
    let most = members.iter().max_by_key(|member| member.silent)?;
    Some((Arc::clone(&most.instance), most.silent))
}
