//! Selects a server for a call among the servers of one service and version.
//!
//! Load pattern: many entry nodes choose among the same servers with stale load
//! data. If each picks the least loaded server, all pick the same one at once;
//! a random choice leaves some servers with about twice the load of others.
//! Power of two choices, taking the less loaded of two random servers, keeps
//! the maximum load near the mean without messages between entry nodes. No key
//! is bound to a server, so a hot key spreads like any other load.
//!
//! Servers in the entry node's own failure domain are preferred, since every
//! other hop costs 1.5 ms. Servers in other failure domains are considered once
//! the near ones are loaded. The choice does not widen with the time a call has
//! waited, because calls wait at the servers.
//!
//! The cost of a choice does not depend on the number of servers, be it three
//! or hundreds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::call_try::ServerTry;
use crate::directory::EndpointRecord;
use crate::document::EvacuationTable;
use crate::load::answer_value::AnswerValue;
use crate::load::outlier_detector::OutcomeCounts;
use crate::load::outlier_detector::OutlierDetector;
use crate::load::server_load::ReportedLoad;
use crate::load::server_load::ServerLoad;

/// Score of the better near server above which far servers are considered as
/// well: three quarters of its slots, before calls begin to queue there.
const WIDEN_SCORE: f64 = 0.75;

/// Random draws among the near or the far servers before they are scanned in
/// order from a random start.
const DRAWS_MAX: usize = 4;

/// Divisor for the share of servers that may be ejected at the same time. With
/// a third ejected, the rest get half as much load again, which a fleet sized
/// for the loss of one of three failure domains can take.
const EJECTED_DIVISOR: usize = 3;

/// How long a server that reported that it is leaving is skipped, until the
/// directory reports it too.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(2);

/// Servers examined for a free slot among the near and among the far ones each.
/// Two, as in the choice by score, so that nodes with the same data do not all
/// pick the same server.
const FREE_SLOT_DRAWS: usize = 2;

/// Servers examined among the near and among the far ones each if the call will
/// wait at the chosen one. More than [`FREE_SLOT_DRAWS`], because the servers'
/// nodes have just reported their waits.
const WAIT_DRAWS: usize = 8;

/// Fraction of one server's load by which the servers chosen for a small
/// traffic share may exceed their normal load before another server is added.
const SHARE_EXCESS: f64 = 0.1;

/// Which servers are eligible for a call, and how one is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ServerCriteria<'a> {
    /// Instances that already failed the call.
    pub tried: &'a [Arc<str>],
    /// Whether the call may be a trial of an ejected server.
    pub idempotent: bool,
    /// How a server with a slot is searched for.
    pub search: SlotSearch<'a>,
    /// Instances that the call may go to; `None` allows all.
    pub allowed: Option<&'a [Arc<str>]>,
    /// Failure domains whose servers get no calls.
    pub evacuations: &'a EvacuationTable,
}

/// How a server with a slot is searched for.
///
/// Load pattern: at 70 % of capacity, with servers of unequal speed and about
/// twenty entry nodes that each know only their own calls, a call that waits at
/// the server it was first sent to waits behind others while slots are free
/// elsewhere. This happened to a third of all calls. When it is asked for a
/// slot that is free at once, the server's node answers within a round trip and
/// the next server can be asked. Only if none has a free slot does the call
/// wait, where the wait is shortest.
#[derive(Clone, Copy, Debug)]
pub enum SlotSearch<'a> {
    /// Uses only this node's own load data; the call waits at the server it is
    /// sent to.
    ByScore,
    /// A slot that is free at once, or a near server whose expected wait is
    /// acceptable.
    Free(SearchCosts<'a>),
    /// The server with the least expected loss of value; the call waits there.
    LeastLoss(SearchCosts<'a>),
}

/// Inputs that a search weighs.
#[derive(Clone, Copy, Debug)]
pub struct SearchCosts<'a> {
    /// Instances that recently had no free slot for this call.
    pub full: &'a [Arc<str>],
    /// Path of the call's route.
    pub route: &'a str,
    /// Expected duration of the job at a server whose node has reported none.
    pub default_work: Duration,
    /// Value of the answer over time.
    pub value: AnswerValue,
}

impl ServerCriteria<'_> {
    fn allows(&self, record: &EndpointRecord) -> bool {
        let allowed = self
            .allowed
            .is_none_or(|allowed| allowed.contains(&record.instance));
        allowed && !self.evacuations.contains_key(&record.failure_domain)
    }
}

/// What a try showed about its server; see
/// [`crate::rollout::evidence::TryOutcome`] for the version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerOutcome {
    /// The server answered; the response time as a multiple of the route's
    /// baseline.
    Answered(f64),
    /// The try failed, or the server's node could not be reached.
    Failed,
    /// The server's node had no capacity left, or the server itself shed the
    /// call.
    Full,
    /// The server is leaving or was not there.
    Unavailable,
    /// The try says nothing about the server, for example because the caller
    /// disconnected.
    Unknown,
}

#[derive(Debug)]
struct PooledServer {
    record: EndpointRecord,
    load: ServerLoad,
    detector: OutlierDetector,
    unavailable_until: Duration,
}

impl PooledServer {
    fn admits(&self, now: Duration, criteria: &ServerCriteria<'_>) -> bool {
        now >= self.unavailable_until
            && self
                .detector
                .admits(now, self.load.outstanding(), criteria.idempotent)
            && !criteria.tried.contains(&self.record.instance)
            && criteria.allows(&self.record)
    }
}

#[derive(Clone, Copy, Debug)]
struct ScoredServer {
    position: PoolPosition,
    score: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PoolPosition {
    side: usize,
    index: usize,
}

const NEAR: usize = 0;
const FAR: usize = 1;

/// The best server that a search found.
#[derive(Clone, Copy, Debug)]
struct FoundServer {
    position: PoolPosition,
    work: Duration,
    loss: f64,
    /// Expected loss at the best far server; 1 if there is none.
    far_loss: f64,
}

impl FoundServer {
    /// How long the call waits at this server before it is offered elsewhere:
    /// at a near server until the best far one would lose less, at a far server
    /// not at all.
    fn wait_max(&self, costs: &SearchCosts<'_>) -> Duration {
        if self.position.side == FAR {
            return Duration::ZERO;
        }
        costs.value.wait_for(self.work, self.far_loss)
    }
}

/// Servers of one service and version.
#[derive(Debug, Default)]
pub struct ServerPool {
    sides: [Vec<PooledServer>; 2],
    positions: HashMap<Arc<str>, PoolPosition>,
    outcomes: OutcomeCounts,
}

impl ServerPool {
    /// Number of servers in the pool.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// True if the pool has no servers.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// True if the pool has servers and all of them are in evacuated failure
    /// domains.
    pub fn is_evacuated(&self, evacuations: &EvacuationTable) -> bool {
        let mut servers = self.sides.iter().flatten();
        let all =
            servers.all(|server| evacuations.contains_key(&server.record.failure_domain));
        all && !self.is_empty()
    }

    /// Number of servers that are ejected or on trial.
    pub fn ejected(&self) -> usize {
        let all = self.sides.iter().flatten();
        all.filter(|server| server.detector.is_ejected()).count()
    }

    /// Adds or updates a server. Its load data are reset if the instance is new
    /// or has restarted.
    pub fn put(&mut self, now: Duration, record: EndpointRecord, near: bool) {
        let side = if near { NEAR } else { FAR };
        if let Some(held) = self.get_mut(&record.instance) {
            if held.record.incarnation == record.incarnation {
                held.record = record;
                return;
            }
        }
        self.remove(&record.instance);
        let position = PoolPosition {
            side,
            index: self.sides[side].len(),
        };
        self.positions
            .insert(Arc::clone(&record.instance), position);
        self.sides[side].push(PooledServer {
            load: ServerLoad::new(record.slots, now),
            detector: OutlierDetector::default(),
            unavailable_until: Duration::ZERO,
            record,
        });
    }

    /// Returns the first servers by name, as many as `share_per_mille` of the
    /// traffic of the whole pool needs, at least one. Servers in evacuated failure
    /// domains are left out.
    ///
    /// Load pattern: a new version that fails only under load is tried with a
    /// small traffic share. Spread over all of its servers, the share loads
    /// none of them, and the fault shows only when nearly all calls go there:
    /// one such version received 668 calls where 272 were allowed. On a few
    /// servers, each gets its later load even at a small share. A server is
    /// therefore not added for a small excess over what the servers before it
    /// are meant to take: a share of 256 per mille on two of four servers would
    /// load neither fully.
    pub fn subset_for_share(
        &self,
        share_per_mille: u16,
        evacuations: &EvacuationTable,
    ) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for server in self.sides.iter().flatten() {
            if !evacuations.contains_key(&server.record.failure_domain) {
                names.push(Arc::clone(&server.record.instance));
            }
        }
        names.sort_unstable();
        let wanted = names.len() as f64 * f64::from(share_per_mille) / 1_000.0;
        let count = (wanted - SHARE_EXCESS).ceil().max(1.0);
        names.truncate(count as usize);
        names
    }

    /// Removes a server.
    pub fn remove(&mut self, instance: &str) {
        let Some(position) = self.positions.remove(instance) else {
            return;
        };
        let side = &mut self.sides[position.side];
        side.swap_remove(position.index);
        if let Some(moved) = side.get(position.index) {
            let name = Arc::clone(&moved.record.instance);
            self.positions.insert(name, position);
        }
    }

    /// Chooses a server and counts the call as outstanding there until
    /// [`ServerPool::end`]; `None` if all servers have been tried.
    pub fn choose(
        &mut self,
        now: Duration,
        criteria: &ServerCriteria<'_>,
        rng: &mut SmallRng,
    ) -> Option<ServerTry> {
        match criteria.search {
            SlotSearch::ByScore => {}
            SlotSearch::Free(costs) => {
                let found = self.search_least_loss(now, criteria, &costs, true, rng)?;
                return Some(self.begin_at(found.position, Some(found.wait_max(&costs))));
            }
            SlotSearch::LeastLoss(costs) => {
                let found = self.search_least_loss(now, criteria, &costs, false, rng);
                let position = found.map(|found| found.position);
                let position = position.or_else(|| self.last_resort(criteria))?;
                return Some(self.begin_at(position, None));
            }
        }
        let near = self.draw(NEAR, now, criteria, rng);
        let mut best = near;
        if near.is_none_or(|near| near.score > WIDEN_SCORE) {
            let far = self.draw(FAR, now, criteria, rng);
            best = lower_score(near, far);
        }
        let position = match best {
            Some(best) => best.position,
            None => self.last_resort(criteria)?,
        };
        Some(self.begin_at(position, None))
    }

    fn begin_at(
        &mut self,
        position: PoolPosition,
        wait_max: Option<Duration>,
    ) -> ServerTry {
        let server = &mut self.sides[position.side][position.index];
        server.load.begin();
        ServerTry {
            instance: Arc::clone(&server.record.instance),
            address: server.record.address,
            version: Arc::clone(&server.record.version),
            wait_max,
        }
    }

    /// Finds the server with the least expected loss among some drawn from the
    /// near and some from the far ones. With `free` set, only servers that
    /// recently had a free slot, or near ones whose wait is acceptable, are
    /// considered.
    fn search_least_loss(
        &self,
        now: Duration,
        criteria: &ServerCriteria<'_>,
        costs: &SearchCosts<'_>,
        free: bool,
        rng: &mut SmallRng,
    ) -> Option<FoundServer> {
        let mut best: Option<FoundServer> = None;
        let mut best_far_loss: Option<f64> = None;
        for side in [NEAR, FAR] {
            let servers = &self.sides[side];
            let draws = if free { FREE_SLOT_DRAWS } else { WAIT_DRAWS };
            let first = rng.random_range(0..servers.len().max(1));
            let mut drawn = 0;
            for step in 0..servers.len() {
                let index = (first + step) % servers.len();
                let server = &servers[index];
                let wait = server.load.reported_wait(now);
                let was_full = costs.full.contains(&server.record.instance);
                let far_and_full = side == FAR && !wait.is_zero();
                if !server.admits(now, criteria) || free && (was_full || far_and_full) {
                    continue;
                }
                let work = server.load.work(now, costs.route, costs.default_work);
                let loss = costs.value.loss(wait, work, side == FAR);
                if side == FAR {
                    best_far_loss =
                        Some(best_far_loss.map_or(loss, |least| least.min(loss)));
                }
                if best.is_none_or(|best| loss < best.loss) {
                    let position = PoolPosition { side, index };
                    best = Some(FoundServer {
                        position,
                        work,
                        loss,
                        far_loss: 1.0,
                    });
                }
                drawn += 1;
                if drawn == draws {
                    break;
                }
            }
        }
        let mut best = best?;
        best.far_loss = best_far_loss.unwrap_or(1.0);
        Some(best)
    }

    /// Records the load that a server's node reported.
    pub fn record_load(
        &mut self,
        now: Duration,
        instance: &str,
        route: &Arc<str>,
        load: ReportedLoad,
    ) {
        if let Some(server) = self.get_mut(instance) {
            server.load.record_load(now, route, load);
        }
    }

    fn draw(
        &self,
        side: usize,
        now: Duration,
        criteria: &ServerCriteria<'_>,
        rng: &mut SmallRng,
    ) -> Option<ScoredServer> {
        let first = self.draw_one(side, None, now, criteria, rng);
        let second =
            self.draw_one(side, first.map(|one| one.position), now, criteria, rng);
        lower_score(first, second)
    }

    fn draw_one(
        &self,
        side: usize,
        excluded: Option<PoolPosition>,
        now: Duration,
        criteria: &ServerCriteria<'_>,
        rng: &mut SmallRng,
    ) -> Option<ScoredServer> {
        let servers = &self.sides[side];
        if servers.is_empty() {
            return None;
        }
        let mut index = 0;
        for step in 0..DRAWS_MAX * 2 {
            index = if step < DRAWS_MAX {
                rng.random_range(0..servers.len())
            } else {
                (index + 1) % servers.len()
            };
            let position = PoolPosition { side, index };
            if excluded == Some(position) || !servers[index].admits(now, criteria) {
                continue;
            }
            let score = servers[index].load.score(now);
            return Some(ScoredServer { position, score });
        }
        None
    }

    /// Returns the first untried server if none is eligible. It may have
    /// recovered, and refusing the call without asking it would be no better.
    fn last_resort(&self, criteria: &ServerCriteria<'_>) -> Option<PoolPosition> {
        for (side, servers) in self.sides.iter().enumerate() {
            for (index, server) in servers.iter().enumerate() {
                let record = &server.record;
                if !criteria.tried.contains(&record.instance) && criteria.allows(record) {
                    return Some(PoolPosition { side, index });
                }
            }
        }
        None
    }

    /// Ends a try and records its outcome.
    pub fn end(&mut self, now: Duration, instance: &str, outcome: ServerOutcome) {
        let ejected = self.ejected_if_failed(outcome);
        let ejected_max = self.ejected_max();
        let mut outcomes = self.outcomes;
        let Some(server) = self.get_mut(instance) else {
            return;
        };
        server.load.end();
        match outcome {
            ServerOutcome::Answered(ratio) => {
                outcomes.add(now, false);
                server.load.answered(now, ratio);
                if server.detector.answered(now) {
                    server.load.restart(now);
                }
            }
            ServerOutcome::Failed => {
                outcomes.add(now, true);
                server.load.failed(now);
                let already_ejected = server.detector.is_ejected();
                let may_eject = already_ejected || ejected < ejected_max;
                if server.detector.failed(now, &outcomes) && may_eject {
                    server.detector.eject(now);
                }
            }
            ServerOutcome::Full => server.load.overloaded(now),
            ServerOutcome::Unavailable => {
                server.unavailable_until = now + UNAVAILABLE_TIME
            }
            ServerOutcome::Unknown => {}
        }
        self.outcomes = outcomes;
    }

    fn ejected_if_failed(&self, outcome: ServerOutcome) -> usize {
        match outcome {
            ServerOutcome::Failed => self.ejected(),
            _ => 0,
        }
    }

    /// A third of the servers, but one of two, and never the only one.
    fn ejected_max(&self) -> usize {
        match self.len() {
            0 | 1 => 0,
            len => (len / EJECTED_DIVISOR).max(1),
        }
    }

    fn get_mut(&mut self, instance: &str) -> Option<&mut PooledServer> {
        let position = self.positions.get(instance)?;
        self.sides[position.side].get_mut(position.index)
    }
}

fn lower_score(
    first: Option<ScoredServer>,
    second: Option<ScoredServer>,
) -> Option<ScoredServer> {
    match (first, second) {
        (Some(one), Some(other)) if other.score < one.score => Some(other),
        (Some(one), _) => Some(one),
        (None, other) => other,
    }
}
