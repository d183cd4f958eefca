//! Entries of the replicated log.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::agreement::member_list::MemberList;
use crate::change::ChangeEntry;
use crate::departure::Departure;
use crate::encoded_size;
use crate::version::ConfigVersion;

/// One log entry; its version is its term and index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created the entry, and the entry's index.
    pub version: ConfigVersion,
    /// Contents of the entry.
    pub body: EntryBody,
    /// A departure that the entry records besides. Earlier builds skip it, and see an
    /// entry without contents.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub departure: Option<Arc<Departure>>,
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
    /// An entry with these contents and no departure.
    pub fn new(version: ConfigVersion, body: EntryBody) -> Self {
        Self {
            version,
            body,
            departure: None,
        }
    }

    /// An entry that only records a departure.
    pub fn of_departure(version: ConfigVersion, departure: Departure) -> Self {
        Self {
            version,
            body: EntryBody::Blank,
            departure: Some(Arc::new(departure)),
        }
    }

    /// Size of the encoded entry in bytes.
    pub fn encoded_bytes(&self) -> usize {
        encoded_size::of(self)
    }
}
