//! Checks that the leader makes before it proposes an operator's change of a
//! move, based on the directory, which is not part of the replicated state.

use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;
use crate::document::DocumentFault;
use crate::rollout::rollout_change::MoveChange;
use crate::rollout::rollout_change::TakeBackCause;

fn refuse(problem: String) -> Result<(), DocumentFault> {
    let path = "move".to_owned();
    Err(DocumentFault { path, problem })
}

/// Returns a fault if an operator may not make `change`, given the announced
/// `endpoints`.
pub fn check<'a>(
    change: &MoveChange,
    endpoints: impl Iterator<Item = &'a EndpointRecord>,
) -> Result<(), DocumentFault> {
    match change {
        MoveChange::Start { service, to, .. } => {
            if is_announced(service, to, endpoints) {
                return Ok(());
            }
            refuse(format!(
                "no serving backend server of {service} has announced version {to}"
            ))
        }
        MoveChange::TakeBack {
            cause: TakeBackCause::Operator { reason },
            ..
        } => {
            if reason.trim().is_empty() {
                return refuse("a move is taken back with a written reason".to_owned());
            }
            Ok(())
        }
        MoveChange::TakeBack { .. }
        | MoveChange::Step { .. }
        | MoveChange::Finish { .. } => {
            refuse("the leader alone decides this step of a move".to_owned())
        }
    }
}

fn is_announced<'a>(
    service: &str,
    version: &str,
    endpoints: impl Iterator<Item = &'a EndpointRecord>,
) -> bool {
    for record in endpoints {
        let serving = record.standing == EndpointStanding::Serving;
        if serving && *record.service == *service && *record.version == *version {
            return true;
        }
    }
    false
}
