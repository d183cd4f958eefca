//! Keeps the old version's servers until a move is done.

use crate::directory::EndpointDirectory;
use crate::directory::EndpointStanding;
use crate::document::FleetDocument;

/// True where `instance` is the last serving backend server of a version in
/// service from which a move is on its way.
///
/// Guards against operators who drain the old servers when most traffic has
/// moved: a new version found bad then would leave callers without any
/// server, because there is nothing to take the move back to.
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
