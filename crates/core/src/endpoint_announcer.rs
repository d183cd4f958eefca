//! Assigns incarnation and sequence to the records of a node's own endpoint.
//!
//! Records are ordered by incarnation and sequence alone. The incarnation is
//! taken from the wall clock, which may have been set back between two starts
//! of the process. Every record of the new process would then be older than
//! the last record of the previous one, and a running server would stay
//! drained or gone permanently. So the node compares the directory's record
//! of its endpoint with its own and, if it did not announce that record
//! itself, continues with a higher incarnation.

use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;

/// Incarnation, sequence and last record of a node's own endpoint.
#[derive(Clone, Debug)]
pub struct EndpointAnnouncer {
    incarnation: u64,
    sequence: u64,
    announced: Option<EndpointRecord>,
}

impl EndpointAnnouncer {
    /// Creates an announcer that starts with `incarnation`, the wall clock in
    /// milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            announced: None,
        }
    }

    /// Assigns incarnation and sequence to a new record of the endpoint and
    /// keeps the record.
    pub fn announce(&mut self, mut record: EndpointRecord) -> EndpointRecord {
        self.sequence += 1;
        record.incarnation = self.incarnation;
        record.sequence = self.sequence;
        self.announced = Some(record.clone());
        record
    }

    /// The last announced record, to be sent again to a source that may not
    /// have it.
    pub fn last(&self) -> Option<&EndpointRecord> {
        self.announced.as_ref()
    }

    /// Compares a record of this endpoint from the directory with the last
    /// announced one, and returns the record to send if the directory is
    /// wrong.
    pub fn reconcile(&mut self, seen: &EndpointRecord) -> Option<EndpointRecord> {
        let own = (self.incarnation, self.sequence);
        let theirs = (seen.incarnation, seen.sequence);
        if theirs > own {
            self.incarnation = self.incarnation.max(seen.incarnation + 1);
            self.sequence = 0;
        }
        let Some(announced) = self.announced.clone() else {
            return self.withdraw(seen);
        };
        if theirs > own {
            return Some(self.announce(announced));
        }
        // The lease expired although the node was alive: the directory's
        // tombstone has the incarnation and sequence of the last record.
        if theirs == own && seen.standing != announced.standing {
            return Some(self.announce(announced));
        }
        None
    }

    /// Marks the endpoint as gone if its server died with the previous node
    /// process and has not announced itself to this one. The node's lease
    /// renewals alone would keep the old record alive, and callers would be
    /// routed to a server that does not exist.
    fn withdraw(&mut self, seen: &EndpointRecord) -> Option<EndpointRecord> {
        if seen.standing == EndpointStanding::Gone {
            return None;
        }
        let mut record = seen.clone();
        record.standing = EndpointStanding::Gone;
        self.sequence += 1;
        record.incarnation = self.incarnation;
        record.sequence = self.sequence;
        Some(record)
    }
}
