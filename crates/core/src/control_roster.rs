//! The control instances that nodes follow, as the configuration names them.
//!
//! Load pattern: a thousand nodes whose settings name the same three control
//! instances. Those three serve every node while the other instances are idle, and
//! the nodes of all other failure domains follow across domains.
//!
//! The roster is part of the replicated configuration. If each instance handed out
//! the list of those that it sees, the two sides of a partition would name
//! different ones, and nodes would switch back and forth between the sides. A node
//! takes a roster only with a higher configuration version, so it never goes back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The live instances must stay unchanged for this long before a roster is
/// proposed, so that instances that start together take one version.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// How long an instance that sends no requests keeps its seat. Nodes pass over it
/// by their own failed requests, and a partition must not take seats away.
const ABSENT_GRACE: Duration = Duration::from_secs(600);

/// Largest number of seats. Those absent the longest are dropped beyond it, so that
/// instances that are replaced at new addresses do not fill the roster.
const SEATS_MAX: usize = 64;

/// A control instance that nodes may follow.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSeat {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
}

/// The control instances that nodes may follow, by instance name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ControlRoster {
    /// One seat for each instance, ordered by name.
    pub seats: Vec<ControlSeat>,
}

impl ControlRoster {
    /// True before the leader has proposed the first roster.
    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }
}

/// Runs at the leader and decides when the roster has to change. The timers start
/// from zero at a new leader, which only delays a change.
#[derive(Debug, Default)]
pub struct ControlPlanner {
    candidate: Vec<ControlSeat>,
    candidate_since: Duration,
    absent_since: BTreeMap<Arc<str>, Duration>,
}

impl ControlPlanner {
    /// Compares the roster in force with the `live` instances, the leader among
    /// them. Returns the roster to propose if it has to change.
    pub fn plan(
        &mut self,
        now: Duration,
        roster: &ControlRoster,
        live: &[ControlSeat],
    ) -> Option<ControlRoster> {
        let seats = self.target_seats(now, roster, live);
        if seats != self.candidate {
            self.candidate = seats;
            self.candidate_since = now;
            return None;
        }
        let is_quiet = now >= self.candidate_since + QUIET_TIME;
        if !is_quiet || self.candidate == roster.seats {
            return None;
        }
        Some(ControlRoster {
            seats: self.candidate.clone(),
        })
    }

    /// The live instances, and those of the present seats that have not been absent
    /// for too long.
    fn target_seats(
        &mut self,
        now: Duration,
        roster: &ControlRoster,
        live: &[ControlSeat],
    ) -> Vec<ControlSeat> {
        let mut targets = BTreeMap::new();
        for seat in live {
            // A wildcard address is not one that other machines can reach.
            if seat.address.ip().is_unspecified() {
                continue;
            }
            targets.insert(Arc::clone(&seat.instance), seat.clone());
        }
        self.absent_since
            .retain(|instance, _| !targets.contains_key(instance));
        let mut absent = Vec::new();
        for seat in &roster.seats {
            if targets.contains_key(&seat.instance) {
                continue;
            }
            let instance = Arc::clone(&seat.instance);
            let since = *self.absent_since.entry(instance).or_insert(now);
            if now < since + ABSENT_GRACE {
                absent.push((since, seat));
            }
        }
        absent.sort_by_key(|(since, _)| std::cmp::Reverse(*since));
        absent.truncate(SEATS_MAX.saturating_sub(targets.len()));
        for (_, seat) in absent {
            targets.insert(Arc::clone(&seat.instance), seat.clone());
        }
        targets.into_values().collect()
    }
}
