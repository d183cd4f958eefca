//! Entries of the agreed log.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::member_list::MemberList;
use crate::change::ChangeEntry;
use crate::change::ConfigChange;
use crate::version::ConfigVersion;

/// Estimated size of a small change or of one part of a document, in bytes.
const PART_BYTES: usize = 256;

/// One entry; its version is its term and its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that made it, and index.
    pub version: ConfigVersion,
    /// What it says.
    pub body: EntryBody,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// Nothing; a leader's first entry, which commits those before it.
    Blank,
    /// A change by an operator, shared and never edited.
    Change(Arc<ChangeEntry>),
    /// The members from here on.
    Members(MemberList),
}

impl LogEntry {
    /// Rough size on the wire, for bounding messages.
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
            _ => 0,
        };
        PART_BYTES * (parts + 1)
    }
}
