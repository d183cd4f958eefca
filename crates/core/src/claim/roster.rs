//! Which nodes hold which keys.
//!
//! The roster is part of the agreed configuration, so that every entry node
//! draws the same holders for a key. It changes in two agreed steps. Between
//! them both the seats before and the seats after stand in it, and a claim
//! needs a majority of each; the second step comes only when every claim
//! made under the seats before has outlived its time, and every entry node
//! that missed the first step has let its own claims rest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::KeyDigest;
use super::KEEP_TIME;
use super::ROSTER_LEASE;
use crate::directory::EndpointRecord;
use crate::directory::EndpointStanding;

/// Holders of a key.
const HOLDERS: usize = 3;

/// Seats of one failure domain at most: at the two-year size they bear about
/// 400 claim messages a second each, and the roster stays below 64 KB.
const SEATS_PER_DOMAIN: usize = 256;

/// The directory must have rested for this long before the first roster is
/// drawn, so that it holds the whole fleet and not its quickest node alone.
const FIRST_REST: Duration = Duration::from_secs(2);

/// A holder that has left is kept for this long: one that is restarted or
/// replaced by its own name needs no new roster.
const GONE_TIME: Duration = Duration::from_secs(600);

/// Time between the two steps.
const BOTH_TIME: Duration = ROSTER_LEASE.saturating_add(KEEP_TIME);

/// One node that holds keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HolderSeat {
    /// Its instance.
    pub instance: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
}

/// The nodes that hold keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRoster {
    /// Seats that are leaving duty, while a change is on its way.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub before: Vec<HolderSeat>,
    /// Seats on duty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seats: Vec<HolderSeat>,
}

impl HolderRoster {
    /// True where no node holds keys yet.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// The sets of holders of a key; a majority of each decides.
    pub fn holder_sets(&self, key: &KeyDigest) -> Vec<Vec<Arc<str>>> {
        let set = draw(&self.seats, key);
        if self.before.is_empty() {
            return vec![set];
        }
        let before = draw(&self.before, key);
        if before == set {
            return vec![set];
        }
        vec![set, before]
    }
}

/// One seat's rank for a key.
struct RankedSeat<'a> {
    rank: u64,
    seat: &'a HolderSeat,
}

/// The highest ranked seats, of different failure domains as far as there
/// are enough. Rendezvous hashing: a seat more or less moves only the keys
/// that it gains or loses.
fn draw(seats: &[HolderSeat], key: &KeyDigest) -> Vec<Arc<str>> {
    let mut best: BTreeMap<&str, RankedSeat<'_>> = BTreeMap::new();
    let mut rest = Vec::new();
    for seat in seats {
        let rank = mix(spread(&seat.instance) ^ key.spread());
        let ranked = RankedSeat { rank, seat };
        let Some(held) = best.get_mut(&*seat.failure_domain) else {
            best.insert(&seat.failure_domain, ranked);
            continue;
        };
        if held.rank < rank {
            rest.push(std::mem::replace(held, ranked));
        } else {
            rest.push(ranked);
        }
    }
    let mut chosen: Vec<RankedSeat<'_>> = best.into_values().collect();
    chosen.sort_by_key(|ranked| std::cmp::Reverse(ranked.rank));
    if chosen.len() < HOLDERS {
        rest.sort_by_key(|ranked| std::cmp::Reverse(ranked.rank));
        chosen.append(&mut rest);
    }
    let mut set = Vec::with_capacity(HOLDERS);
    for ranked in chosen.into_iter().take(HOLDERS) {
        set.push(Arc::clone(&ranked.seat.instance));
    }
    set
}

/// FNV-1a, 64 bits: the same in every process and version.
fn spread(text: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in text.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash
}

/// The finishing step of SplitMix64, so that near inputs rank far apart.
fn mix(input: u64) -> u64 {
    let mut mixed = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The leader's watch over the roster: says when it is to change. Its times
/// begin anew with each leader, which only makes a change later.
#[derive(Debug, Default)]
pub struct RosterPlanner {
    known: Vec<HolderSeat>,
    known_since: Duration,
    both_since: Option<Duration>,
    gone_since: BTreeMap<Arc<str>, Duration>,
}

impl RosterPlanner {
    /// Looks at the roster in force and the directory; the roster to propose,
    /// if it is to change.
    pub fn plan(
        &mut self,
        now: Duration,
        roster: &HolderRoster,
        records: &[EndpointRecord],
    ) -> Option<HolderRoster> {
        self.watch_gone(now, records);
        if roster.is_empty() {
            return self.first(now, records);
        }
        if !roster.before.is_empty() {
            let since = *self.both_since.get_or_insert(now);
            if now < since + BOTH_TIME {
                return None;
            }
            return Some(HolderRoster {
                before: Vec::new(),
                seats: roster.seats.clone(),
            });
        }
        self.both_since = None;
        let seats = self.wanted(now, &roster.seats, records);
        if seats == roster.seats || seats.is_empty() {
            return None;
        }
        Some(HolderRoster {
            before: roster.seats.clone(),
            seats,
        })
    }

    fn first(
        &mut self,
        now: Duration,
        records: &[EndpointRecord],
    ) -> Option<HolderRoster> {
        let seats = self.wanted(now, &[], records);
        if seats != self.known {
            self.known = seats;
            self.known_since = now;
            return None;
        }
        if self.known.is_empty() || now < self.known_since + FIRST_REST {
            return None;
        }
        Some(HolderRoster {
            before: Vec::new(),
            seats: self.known.clone(),
        })
    }

    fn watch_gone(&mut self, now: Duration, records: &[EndpointRecord]) {
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

    /// Seats in force that have not left for long, and others up to the
    /// limit of their failure domain.
    fn wanted(
        &self,
        now: Duration,
        seats: &[HolderSeat],
        records: &[EndpointRecord],
    ) -> Vec<HolderSeat> {
        let mut wanted = Vec::new();
        let mut per_domain: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for seat in seats {
            let gone = self.gone_since.get(&seat.instance);
            if gone.is_some_and(|since| now >= *since + GONE_TIME) {
                continue;
            }
            *per_domain
                .entry(Arc::clone(&seat.failure_domain))
                .or_default() += 1;
            wanted.push(seat.clone());
        }
        for record in records {
            let seat = HolderSeat {
                instance: Arc::clone(&record.instance),
                failure_domain: Arc::clone(&record.failure_domain),
            };
            let taken = per_domain
                .entry(Arc::clone(&seat.failure_domain))
                .or_default();
            let serving = record.standing == EndpointStanding::Serving;
            let held = seats.iter().any(|held| held.instance == seat.instance);
            if !serving || held || *taken >= SEATS_PER_DOMAIN {
                continue;
            }
            *taken += 1;
            wanted.push(seat);
        }
        wanted.sort();
        wanted
    }
}
