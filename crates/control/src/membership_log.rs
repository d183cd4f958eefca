//! Log lines about the member list and the leader's decisions on it.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use cowslip_core::agreement::AgreementMember;
use cowslip_core::agreement::MemberChange;
use cowslip_core::agreement::MemberList;
use cowslip_core::agreement::MemberRole;
use cowslip_core::agreement::PlanNote;
use cowslip_core::agreement::PlanVerdict;

/// Logs a changed member list of `agreement`. The entry that changed the list
/// may not be committed yet.
pub fn members(instance: &Arc<str>, members: &MemberList, agreement: &AgreementMember) {
    info!(
        "event=members-changed process=control instance={instance} last={} commit={} voters={} learners={}",
        agreement.last(),
        agreement.commit_index(),
        names(members, MemberRole::Voter),
        names(members, MemberRole::Learner),
    );
}

/// Logs a new decision of the leader on the member list.
pub fn plan(instance: &Arc<str>, note: &PlanNote) {
    let (verdict, subject, reason) = match &note.verdict {
        PlanVerdict::Keep => ("keep", "none", "settled"),
        PlanVerdict::Change(MemberChange::Add { instance, .. }) => {
            ("add", &**instance, "greeted")
        }
        PlanVerdict::Change(MemberChange::Remove { instance }) => {
            ("remove", &**instance, "silent")
        }
        PlanVerdict::Waits(instance, reason) => ("wait", &**instance, reason.as_str()),
    };
    let silent = note.silent.as_ref();
    info!(
        "event=members-planned process=control instance={instance} verdict={verdict} subject={subject} reason={reason} wanted={} members={} silent={} silent_ms={}",
        note.wanted,
        note.members,
        silent.map_or("none", |(silent, _)| &**silent),
        silent.map_or(Duration::ZERO, |(_, time)| *time).as_millis(),
    );
}

fn names(members: &MemberList, role: MemberRole) -> String {
    let mut names = Vec::new();
    for (name, record) in members.iter() {
        if record.role == role {
            names.push(&**name);
        }
    }
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(",")
}
