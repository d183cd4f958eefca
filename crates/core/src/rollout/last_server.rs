//! Protects the last server of the old version while a move is in progress.

use crate::directory::EndpointDirectory;
use crate::directory::EndpointStanding;
use crate::document::FleetDocument;

/// Returns whether `instance` is the last serving backend server of the old
/// version of a service under a move.
///
/// Operators may drain the old servers once most traffic has moved. If the new
/// version is then found bad, the move cannot be taken back and callers are
/// left without any server.
pub fn is_last_old_server(
    document: &FleetDocument,
    directory: &EndpointDirectory,
    instance: &str,
) -> bool {
    let Some(own) = directory.get(instance) else {
        return false;
    };
    let Some(spec) = document.services.get(&own.service) else {
        return false;
    };
    if spec.candidate.is_none() || own.version != spec.version {
        return false;
    }
    for record in directory.records() {
        let serving = record.standing == EndpointStanding::Serving;
        let same = record.service == own.service && record.version == own.version;
        if serving && same && record.instance != own.instance {
            return false;
        }
    }
    true
}
