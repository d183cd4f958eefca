//! Numbers the records of a node's own endpoint.
//!
//! Records are ordered by incarnation and sequence alone. The incarnation
//! starts from the wall clock, which may have gone back between two starts
//! of the process; then everything the new process says would lose against
//! the old one's last record, and a server that is up would stay drained or
//! gone for ever. So the node looks at what the directory holds of it, and
//! goes above whatever it did not say itself.

use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;

/// Incarnation and sequence of a node's own endpoint.
#[derive(Clone, Debug)]
pub struct EndpointAnnouncer {
    incarnation: u64,
    sequence: u64,
    said: Option<EndpointRecord>,
}

impl EndpointAnnouncer {
    /// Begins with `incarnation`, milliseconds of the wall clock.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            said: None,
        }
    }

    /// Numbers a new record of the endpoint.
    pub fn announce(&mut self, mut record: EndpointRecord) -> EndpointRecord {
        self.sequence += 1;
        record.incarnation = self.incarnation;
        record.sequence = self.sequence;
        self.said = Some(record.clone());
        record
    }

    /// The last record, to be sent again to a source that may not have it.
    pub fn last(&self) -> Option<&EndpointRecord> {
        self.said.as_ref()
    }

    /// Looks at a record of this endpoint that came from the directory, and
    /// gives the one to send where the directory is wrong.
    pub fn reconcile(&mut self, seen: &EndpointRecord) -> Option<EndpointRecord> {
        let own = (self.incarnation, self.sequence);
        let theirs = (seen.incarnation, seen.sequence);
        if theirs > own {
            self.incarnation = self.incarnation.max(seen.incarnation + 1);
            self.sequence = 0;
        }
        let Some(said) = self.said.clone() else {
            return self.withdraw(seen);
        };
        if theirs > own {
            return Some(self.announce(said));
        }
        // Guards against a lease that ended although the node was alive:
        // the directory's tombstone has the number of the last record.
        if theirs == own && seen.standing != said.standing {
            return Some(self.announce(said));
        }
        None
    }

    /// Guards against a server that died with its node and did not announce
    /// itself to the new process: the node's renewals alone would keep the
    /// old record alive, and callers would be sent to nobody.
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
