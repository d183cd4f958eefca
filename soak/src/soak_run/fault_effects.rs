//! Which nodes a fault may affect.

use crate::fault_plan::CutScope;
use crate::fault_plan::Fault;
use crate::fault_plan::Link;
use crate::fault_plan::ProcessId;

/// Returns the index of a node; `None` for a control instance.
pub(super) fn node_index(id: ProcessId) -> Option<usize> {
    match id {
        ProcessId::Node(at) => Some(at),
        ProcessId::Control(_) => None,
    }
}

/// Returns the only node that a fault affects; `None` if it may affect the whole
/// fleet.
pub(super) fn disrupted_node(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Pause(id, _) | Fault::Kill(id, _) => node_index(id),
        Fault::Link(Link::ToServer(at), ..) => Some(at),
        _ => None,
    }
}

/// Returns the only node that a fault may keep changes from, `Some(None)` if these are
/// all nodes, or `None` if the fault has nothing to do with changes.
pub(super) fn affected_node(fault: Fault) -> Option<Option<usize>> {
    match fault {
        Fault::Pause(id, _) | Fault::Kill(id, _) | Fault::Stop(id, _) => {
            Some(node_index(id))
        }
        Fault::Cut(CutScope::Node(at), ..) => Some(Some(at)),
        Fault::Cut(CutScope::Nodes(..), ..) => None,
        Fault::Cut(..)
        | Fault::TornWrite(..)
        | Fault::Wipe(..)
        | Fault::Replace(..)
        | Fault::ReplaceAndKillAll(..)
        | Fault::Link(Link::ToControl(_), ..)
        | Fault::KillAll(_) => Some(None),
        Fault::Link(Link::ToServer(_), ..)
        | Fault::Reload(_)
        | Fault::Drain(..)
        | Fault::Limit(..)
        | Fault::Leave(..)
        | Fault::Evacuate(..)
        | Fault::FailCalls(_)
        | Fault::CrashingRequest(..) => None,
    }
}
