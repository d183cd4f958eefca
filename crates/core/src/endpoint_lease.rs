//! Leases of endpoints, which detect backend servers that have died.
//!
//! Single servers die without notice every hour and a rack every week.
//! Sometimes the leader also loses contact with servers that are healthy,
//! because of a partition or a dead relay. Without leases dead servers would
//! stay listed permanently; with leases alone a partition would empty the
//! directory, and every caller would be refused although the fleet is up. So
//! a lease that is not renewed removes its endpoint, unless too many leases
//! expire together. That is taken as a loss of contact: nothing is removed,
//! and entry nodes rely on their own observations.
//!
//! Only the leader expires leases. A new leader renews all of them before it
//! checks any.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time without a renewal after which a lease expires. Renewals come every
/// [`NodePresence::refresh`](crate::node_presence::NodePresence::refresh), so three
/// in a row are missing. Together with the five seconds for which a relay still
/// reports a silent node, all nodes know of a death within 16 seconds.
pub const LEASE_TIME: Duration = Duration::from_secs(10);

/// Number of leases that may expire together in a fleet of any size: two
/// servers may die at the same time by chance.
pub const EXPIRED_ALWAYS: usize = 2;

/// Percentage of leases above which expiry is taken as a loss of contact and
/// no endpoint is removed. The users' fleets have 9 servers in 3 failure
/// domains: a whole domain, 33 %, must count as a loss of contact, and 2 of
/// 9 servers as deaths.
pub const FREEZE_PERCENT: usize = 25;

/// Result of a check for expired leases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiryOutcome {
    /// Endpoints to remove because their leases have expired.
    pub expired: Vec<Arc<str>>,
    /// Number of expired leases that are kept because too many expired at
    /// once.
    pub frozen: usize,
}

/// Leases by instance, also ordered by their last renewal.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    renewed: BTreeMap<Arc<str>, Duration>,
    by_age: BTreeSet<(Duration, Arc<str>)>,
}

impl LeaseTable {
    /// Grants or renews the lease of `instance`.
    pub fn renew(&mut self, now: Duration, instance: &Arc<str>) {
        self.release(instance);
        self.renewed.insert(Arc::clone(instance), now);
        self.by_age.insert((now, Arc::clone(instance)));
    }

    /// Renews the lease of `instance` if it has one.
    pub fn touch(&mut self, now: Duration, instance: &Arc<str>) {
        if self.renewed.contains_key(instance) {
            self.renew(now, instance);
        }
    }

    /// Removes the lease of an endpoint that has announced its departure.
    pub fn release(&mut self, instance: &Arc<str>) {
        if let Some(renewed_at) = self.renewed.remove(instance) {
            self.by_age.remove(&(renewed_at, Arc::clone(instance)));
        }
    }

    /// Renews every lease; a new leader calls this once.
    pub fn renew_all(&mut self, now: Duration) {
        let names: Vec<Arc<str>> = self.renewed.keys().cloned().collect();
        for instance in names {
            self.renew(now, &instance);
        }
    }

    /// Removes the leases that have expired at `now`, unless too many have.
    pub fn expire(&mut self, now: Duration) -> ExpiryOutcome {
        let mut expired = Vec::new();
        for (renewed_at, instance) in &self.by_age {
            if now.saturating_sub(*renewed_at) <= LEASE_TIME {
                break;
            }
            expired.push(Arc::clone(instance));
        }
        let share_max = self.renewed.len() * FREEZE_PERCENT / 100;
        // Removing live servers after a loss of contact would make a healthy
        // fleet refuse callers. Servers usually die one at a time; many
        // leases that expire together point to a network fault. They are
        // kept until they are renewed or only a few expired ones remain.
        if expired.len() > share_max.max(EXPIRED_ALWAYS) {
            return ExpiryOutcome {
                frozen: expired.len(),
                expired: Vec::new(),
            };
        }
        for instance in &expired {
            self.release(instance);
        }
        ExpiryOutcome { expired, frozen: 0 }
    }

    /// Number of leases.
    pub fn len(&self) -> usize {
        self.renewed.len()
    }

    /// True if there are no leases.
    pub fn is_empty(&self) -> bool {
        self.renewed.is_empty()
    }
}
