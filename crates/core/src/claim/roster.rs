//! The roster that assigns keys to their holders.
//!
//! The roster is part of the replicated configuration, so that every entry
//! node chooses the same holders for a key. It changes in two steps, each a
//! change of the configuration, similar to joint consensus. Between the steps
//! the roster contains both the old and the new seats, and a claim needs a
//! majority of each. The second step follows only after every claim made under
//! the old seats has expired, and after the lease of every entry node that
//! missed the first step has expired, so that such a node no longer claims
//! keys.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::KeyDigest;
use super::KEY_RETENTION;
use super::ROSTER_LEASE;
use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;
use crate::rendezvous;

/// Number of holders of a key.
const HOLDERS_PER_KEY: usize = 3;

/// Largest number of seats in one failure domain. At the fleet size planned
/// for in two years each seat handles about 400 claim messages a second, and
/// the roster stays below 64 KB.
const SEATS_PER_DOMAIN_MAX: usize = 256;

/// The serving nodes in the directory must stay unchanged for this long before
/// the first roster is proposed, so that it contains the whole fleet and not
/// only the node that started first.
const DIRECTORY_QUIET_TIME: Duration = Duration::from_secs(2);

/// How long a holder that has left keeps its seat, so that a node that is
/// restarted, or replaced under the same name, does not need a new roster.
const GONE_GRACE: Duration = Duration::from_secs(600);

/// Time between the two steps of a change. It covers the lease of an entry
/// node that missed the first step and the retention of the keys that the node
/// claimed before its lease expired.
const JOINT_TIME: Duration = ROSTER_LEASE.saturating_add(KEY_RETENTION);

/// A node that holds keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderSeat {
    /// Instance of the node.
    pub instance: Arc<str>,
    /// Failure domain of the node.
    pub failure_domain: Arc<str>,
}

/// The nodes that hold keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRoster {
    /// Old seats while the roster changes; empty otherwise.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub before: Vec<HolderSeat>,
    /// Present seats, or the new ones while the roster changes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seats: Vec<HolderSeat>,
}

impl HolderRoster {
    /// True if no node holds keys yet.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// The sets of holders of a key; a claim needs a majority of each.
    pub fn holder_sets(&self, key: &KeyDigest) -> Vec<Vec<Arc<str>>> {
        let set = choose_holders(&self.seats, key);
        if self.before.is_empty() {
            return vec![set];
        }
        let before = choose_holders(&self.before, key);
        if before == set {
            return vec![set];
        }
        vec![set, before]
    }
}

/// A seat with its rank for a key.
struct RankedSeat<'a> {
    rank: u64,
    seat: &'a HolderSeat,
}

/// The seats with the highest rank, from different failure domains as far as
/// there are enough of them.
fn choose_holders(seats: &[HolderSeat], key: &KeyDigest) -> Vec<Arc<str>> {
    let mut best_per_domain: BTreeMap<&str, RankedSeat<'_>> = BTreeMap::new();
    let mut others = Vec::new();
    for seat in seats {
        let rank = rendezvous::rank(&seat.instance, key.leading_u64());
        let ranked = RankedSeat { rank, seat };
        let Some(best) = best_per_domain.get_mut(&*seat.failure_domain) else {
            best_per_domain.insert(&seat.failure_domain, ranked);
            continue;
        };
        if best.rank < rank {
            others.push(std::mem::replace(best, ranked));
        } else {
            others.push(ranked);
        }
    }
    let mut chosen: Vec<RankedSeat<'_>> = best_per_domain.into_values().collect();
    chosen.sort_by_key(|ranked| std::cmp::Reverse(ranked.rank));
    if chosen.len() < HOLDERS_PER_KEY {
        others.sort_by_key(|ranked| std::cmp::Reverse(ranked.rank));
        chosen.append(&mut others);
    }
    let mut set = Vec::with_capacity(HOLDERS_PER_KEY);
    for ranked in chosen.into_iter().take(HOLDERS_PER_KEY) {
        set.push(Arc::clone(&ranked.seat.instance));
    }
    set
}

/// Runs on the leader and decides when the roster has to change. The timers
/// start from zero on a new leader, which only delays a change.
#[derive(Debug, Default)]
pub struct RosterPlanner {
    /// Seats for the first roster, and since when they have been unchanged.
    candidate: Vec<HolderSeat>,
    candidate_since: Duration,
    joint_since: Option<Duration>,
    gone_since: BTreeMap<Arc<str>, Duration>,
}

impl RosterPlanner {
    /// Compares the roster in force with the directory. Returns the roster to
    /// propose if it has to change.
    pub fn plan(
        &mut self,
        now: Duration,
        roster: &HolderRoster,
        records: &[EndpointRecord],
    ) -> Option<HolderRoster> {
        self.track_gone(now, records);
        if roster.is_empty() {
            return self.first_roster(now, records);
        }
        if !roster.before.is_empty() {
            let since = *self.joint_since.get_or_insert(now);
            if now < since + JOINT_TIME {
                return None;
            }
            return Some(HolderRoster {
                before: Vec::new(),
                seats: roster.seats.clone(),
            });
        }
        self.joint_since = None;
        let seats = self.target_seats(now, &roster.seats, records);
        if seats == roster.seats || seats.is_empty() {
            return None;
        }
        Some(HolderRoster {
            before: roster.seats.clone(),
            seats,
        })
    }

    fn first_roster(
        &mut self,
        now: Duration,
        records: &[EndpointRecord],
    ) -> Option<HolderRoster> {
        let seats = self.target_seats(now, &[], records);
        if seats != self.candidate {
            self.candidate = seats;
            self.candidate_since = now;
            return None;
        }
        if self.candidate.is_empty() || now < self.candidate_since + DIRECTORY_QUIET_TIME
        {
            return None;
        }
        Some(HolderRoster {
            before: Vec::new(),
            seats: self.candidate.clone(),
        })
    }

    fn track_gone(&mut self, now: Duration, records: &[EndpointRecord]) {
        for record in records {
            if record.standing == EndpointStanding::Gone {
                self.gone_since
                    .entry(Arc::clone(&record.instance))
                    .or_insert(now);
            } else {
                self.gone_since.remove(&record.instance);
            }
        }
    }

    /// The present seats, without those whose node left more than
    /// [`GONE_GRACE`] ago, and further serving nodes up to the limit of their
    /// failure domain.
    fn target_seats(
        &self,
        now: Duration,
        seats: &[HolderSeat],
        records: &[EndpointRecord],
    ) -> Vec<HolderSeat> {
        let mut targets = Vec::new();
        let mut per_domain: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for seat in seats {
            let gone = self.gone_since.get(&seat.instance);
            if gone.is_some_and(|since| now >= *since + GONE_GRACE) {
                continue;
            }
            *per_domain
                .entry(Arc::clone(&seat.failure_domain))
                .or_default() += 1;
            targets.push(seat.clone());
        }
        for record in records {
            let seat = HolderSeat {
                instance: Arc::clone(&record.instance),
                failure_domain: Arc::clone(&record.failure_domain),
            };
            let domain_seats = per_domain
                .entry(Arc::clone(&seat.failure_domain))
                .or_default();
            let serving = record.standing == EndpointStanding::Serving;
            let seated = seats
                .iter()
                .any(|present| present.instance == seat.instance);
            if !serving || seated || *domain_seats >= SEATS_PER_DOMAIN_MAX {
                continue;
            }
            *domain_seats += 1;
            targets.push(seat);
        }
        targets.sort();
        targets
    }
}
