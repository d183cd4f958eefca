//! Entries of the replicated log.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::member_list::MemberList;
use crate::change::ChangeEntry;
use crate::change::ConfigChange;
use crate::encoded_size;
use crate::version::ConfigVersion;

/// Estimated size of a small change or of one part of a document, in bytes.
const PART_BYTES: usize = 256;

/// One log entry; its version is its term and index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created the entry, and the entry's index.
    pub version: ConfigVersion,
    /// Contents of the entry.
    pub body: EntryBody,
}

/// Contents of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// No contents; a leader's first entry, with which earlier ones commit.
    Blank,
    /// A change by an operator; immutable and shared.
    Change(Arc<ChangeEntry>),
    /// The member list from this entry on.
    Members(MemberList),
}

impl LogEntry {
    /// Size of the encoded entry in bytes.
    pub fn encoded_bytes(&self) -> usize {
        encoded_size::of(self)
    }

    /// Estimated size on the wire in bytes, for limiting message sizes.
    pub fn estimated_bytes(&self) -> usize {
        let EntryBody::Change(entry) = &self.body else {
            return PART_BYTES;
        };
        let parts = match &entry.change {
            ConfigChange::Apply(document) => {
                document.services.len()
                    + document.routes.len()
                    + document.exceptions.len()
            }
            ConfigChange::SetHolders(roster) => roster.before.len() + roster.seats.len(),
            ConfigChange::SetControls(roster) => roster.seats.len(),
            _ => 0,
        };
        PART_BYTES * (parts + 1)
    }
}
