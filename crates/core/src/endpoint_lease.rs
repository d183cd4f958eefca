//! Leases of endpoints: which backend servers are still there.
//!
//! Load pattern: single servers die without a word every hour, a rack every
//! week; and now and then this side stops hearing of servers that are alive
//! and well, because a partition or a dead relay lies between. Without
//! leases dead servers stay listed for ever; with leases alone, a partition
//! would empty the directory and every caller would be refused by a fleet
//! that is up. So a lease that is not renewed ends its endpoint, unless too
//! many end together: then it is this side that is blind, nothing is
//! removed, and entry nodes go by what they see themselves.
//!
//! Only the leader ends leases. After it changes, the new one grants all of
//! them anew before it judges any.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time without a renewal after which a lease has ended. Renewals come every
/// [`NodePresence::refresh`](crate::node_presence::NodePresence::refresh), so three in a row
/// are missing; with the five seconds that a relay still names a silent
/// node, a death is on every node within 16 seconds.
pub const LEASE_TIME: Duration = Duration::from_secs(10);

/// Ended leases up to which servers are taken for dead, whatever the size
/// of the fleet: two may die together by chance.
pub const DEATHS_MIN: usize = 2;

/// Ended leases per hundred above which this side is taken for blind. The
/// users' fleets have 9 servers in 3 failure domains: a whole domain, 33 in
/// 100, must count as blindness, and 2 servers of 9 as deaths.
pub const BLIND_PERCENT: usize = 25;

/// What the leases say now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseVerdict {
    /// Endpoints whose leases have ended: to be removed.
    pub ended: Vec<Arc<str>>,
    /// Leases that have ended but are held, because too many did at once.
    pub frozen: usize,
}

/// Leases by instance.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    renewed: BTreeMap<Arc<str>, Duration>,
    by_age: BTreeSet<(Duration, Arc<str>)>,
}

impl LeaseTable {
    /// Grants the lease of `instance`, or renews it.
    pub fn renew(&mut self, now: Duration, instance: &Arc<str>) {
        self.release(instance);
        self.renewed.insert(Arc::clone(instance), now);
        self.by_age.insert((now, Arc::clone(instance)));
    }

    /// Renews the lease of `instance` where it has one.
    pub fn touch(&mut self, now: Duration, instance: &Arc<str>) {
        if self.renewed.contains_key(instance) {
            self.renew(now, instance);
        }
    }

    /// Ends the lease of an endpoint that said itself that it has left.
    pub fn release(&mut self, instance: &Arc<str>) {
        if let Some(renewed_at) = self.renewed.remove(instance) {
            self.by_age.remove(&(renewed_at, Arc::clone(instance)));
        }
    }

    /// Grants every lease anew, at the start of leading.
    pub fn renew_all(&mut self, now: Duration) {
        let names: Vec<Arc<str>> = self.renewed.keys().cloned().collect();
        for instance in names {
            self.renew(now, &instance);
        }
    }

    /// Takes out the leases that have ended at `now`, unless too many have.
    pub fn expire(&mut self, now: Duration) -> LeaseVerdict {
        let mut ended = Vec::new();
        for (renewed_at, instance) in &self.by_age {
            if now.saturating_sub(*renewed_at) <= LEASE_TIME {
                break;
            }
            ended.push(Arc::clone(instance));
        }
        let part_max = self.renewed.len() * BLIND_PERCENT / 100;
        // Guards against removing live servers when this side has lost
        // sight of them: callers would be refused by a fleet that is up.
        // Servers die singly; many leases ending together are a fault on
        // the way, and stay until renewed or until few are left over.
        if ended.len() > part_max.max(DEATHS_MIN) {
            return LeaseVerdict {
                frozen: ended.len(),
                ended: Vec::new(),
            };
        }
        for instance in &ended {
            self.release(instance);
        }
        LeaseVerdict { ended, frozen: 0 }
    }

    /// Number of leases.
    pub fn len(&self) -> usize {
        self.renewed.len()
    }

    /// True where there is none.
    pub fn is_empty(&self) -> bool {
        self.renewed.is_empty()
    }
}
