//! Chooses the server for a call among those of one service and version.
//!
//! Load pattern: many entry nodes choose among the same servers with old
//! knowledge. Choosing the least loaded of all makes every entry node run to
//! the same server at once; choosing at random loads some twice as much as
//! others. Two drawn at random and the less loaded taken keeps the greatest
//! load near the mean without a message between entry nodes. No key is bound
//! to a server, so a hot key spreads like any other load.
//!
//! The failure domain of the entry node comes first, since every other hop
//! costs 1.5 ms; others are looked at once the near servers are filled. The
//! choice does not widen with the time waited: calls wait at the servers.
//!
//! A choice costs the same for three servers and for hundreds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

use crate::call_try::ServerTry;
use crate::directory::EndpointRecord;
use crate::load::answer_value::AnswerValue;
use crate::load::outlier_detector::FailureShare;
use crate::load::outlier_detector::OutlierDetector;
use crate::load::server_load::ReportedLoad;
use crate::load::server_load::ServerLoad;

/// Score of the better near server from which others are looked at: three
/// quarters of its slots, before calls begin to wait there.
const WIDEN_AT: f64 = 0.75;

/// Draws before a side is walked through from a random place.
const DRAWS_MAX: usize = 4;

/// Part of the servers that may be ejected together. With a third gone the
/// rest gets half as much again, which a fleet sized for the loss of one
/// failure domain of three bears.
const EJECTED_PART: usize = 3;

/// A server that said it was leaving is passed over this long, until the
/// directory says it too.
const AWAY_TIME: Duration = Duration::from_secs(2);

/// Servers looked at on each side for a free slot: two, as in the choice by
/// score, so that nodes with the same knowledge do not run to one server.
const FREE_DRAWS: usize = 2;

/// Servers looked at on each side for the least wait; their nodes have told
/// their waits a moment ago.
const WAIT_DRAWS: usize = 8;

/// Part of a server's load that the servers of a small share take beyond
/// theirs before another is added.
const SHARE_EXCESS: f64 = 0.1;

/// What a call asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct ServerCriteria<'a> {
    /// Instances that failed it already.
    pub tried: &'a [Arc<str>],
    /// Whether it may be a trial of an ejected server.
    pub idempotent: bool,
    /// How the call seeks a slot.
    pub search: SlotSearch<'a>,
    /// Instances that it may go to; all where absent.
    pub allowed: Option<&'a [Arc<str>]>,
}

/// How a call seeks a slot.
///
/// Load pattern: at seven tenths of the capacity, servers of unlike speed and
/// some twenty entry nodes that each know their own calls alone. A call that
/// waits where it was sent first waits behind others while slots stand free
/// elsewhere: a third of all calls did. Asked for a slot that is free at
/// once, the server's node answers within a round trip, and the next one is
/// asked; only where none has one the call waits, where the wait is least.
#[derive(Clone, Copy, Debug)]
pub enum SlotSearch<'a> {
    /// By this node's own knowledge alone; the call waits where it is sent.
    ByScore,
    /// A slot that is free at once, or a near one that is worth a wait.
    Free(SearchCosts<'a>),
    /// Where the answer loses least; the call waits there.
    LeastWait(SearchCosts<'a>),
}

/// What a search weighs.
#[derive(Clone, Copy, Debug)]
pub struct SearchCosts<'a> {
    /// Instances that had no free slot for this call a moment ago.
    pub full: &'a [Arc<str>],
    /// Path of its route.
    pub route: &'a str,
    /// Usual time of the call's work, where its server's node told none.
    pub default_work: Duration,
    /// What its answer is worth.
    pub value: AnswerValue,
}

impl ServerCriteria<'_> {
    fn allows(&self, instance: &Arc<str>) -> bool {
        self.allowed
            .is_none_or(|allowed| allowed.contains(instance))
    }
}

/// What a try showed of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryOutcome {
    /// It answered, this many times as slowly as is usual for the route.
    Answered(f64),
    /// It failed, or its node could not be reached.
    Failed,
    /// Its node has no place left, or the server itself shed the call.
    Full,
    /// It is leaving or was not there.
    Unavailable,
    /// Nothing: the caller left.
    Nothing,
}

#[derive(Debug)]
struct PooledServer {
    record: EndpointRecord,
    load: ServerLoad,
    watch: OutlierDetector,
    away_until: Duration,
}

impl PooledServer {
    fn admits(&self, now: Duration, need: &ServerCriteria<'_>) -> bool {
        now >= self.away_until
            && self
                .watch
                .admits(now, self.load.outstanding(), need.idempotent)
            && !need.tried.contains(&self.record.instance)
            && need.allows(&self.record.instance)
    }
}

#[derive(Clone, Copy, Debug)]
struct ScoredPlace {
    place: PoolPlace,
    score: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PoolPlace {
    side: usize,
    at: usize,
}

const NEAR: usize = 0;
const FAR: usize = 1;

/// The best server that a search found.
#[derive(Clone, Copy, Debug)]
struct SoughtServer {
    place: PoolPlace,
    work: Duration,
    loss: f64,
    /// What the best far server would lose; all where there is none.
    far_loss: f64,
}

impl SoughtServer {
    /// How long the call waits there before it is offered elsewhere: at a near
    /// server until the best far one would lose less, at a far one not at all.
    fn wait_max(&self, costs: &SearchCosts<'_>) -> Duration {
        if self.place.side == FAR {
            return Duration::ZERO;
        }
        costs.value.wait_for(self.work, self.far_loss)
    }
}

/// Servers of one service and version.
#[derive(Debug, Default)]
pub struct ServerPool {
    sides: [Vec<PooledServer>; 2],
    places: HashMap<Arc<str>, PoolPlace>,
    outcomes: FailureShare,
}

impl ServerPool {
    /// Servers in the pool.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// True where there is none.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Servers that are ejected or on trial.
    pub fn ejected(&self) -> usize {
        let all = self.sides.iter().flatten();
        all.filter(|server| server.watch.is_ejected()).count()
    }

    /// Takes a new record of a server; one of an instance's new start, or of
    /// one not here before, begins its load anew.
    pub fn put(&mut self, now: Duration, record: EndpointRecord, near: bool) {
        let side = if near { NEAR } else { FAR };
        if let Some(held) = self.get_mut(&record.instance) {
            if held.record.incarnation == record.incarnation {
                held.record = record;
                return;
            }
        }
        self.remove(&record.instance);
        let place = PoolPlace {
            side,
            at: self.sides[side].len(),
        };
        self.places.insert(Arc::clone(&record.instance), place);
        self.sides[side].push(PooledServer {
            load: ServerLoad::new(record.slots, now),
            watch: OutlierDetector::default(),
            away_until: Duration::ZERO,
            record,
        });
    }

    /// The first servers by name, as many as take `share_per_mille` of the
    /// load that all of them are meant for; one at least.
    ///
    /// Load pattern: a version that fails only under load, on trial with a
    /// small share. Spread over all of its servers the share loads none, and
    /// what is wrong shows only when nearly all calls go there: one had got
    /// 668 calls where 272 were allowed. On a few servers each is loaded as
    /// it will be, from a small share on. So a server is not added for the
    /// little that a share exceeds what those before it are meant for: 256 of
    /// 1,000 on two of four servers fill none of them.
    pub fn subset_for_share(&self, share_per_mille: u16) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> = self.places.keys().cloned().collect();
        names.sort_unstable();
        let wanted = names.len() as f64 * f64::from(share_per_mille) / 1_000.0;
        let count = (wanted - SHARE_EXCESS).ceil().max(1.0);
        names.truncate(count as usize);
        names
    }

    /// Takes a server out.
    pub fn remove(&mut self, instance: &str) {
        let Some(place) = self.places.remove(instance) else {
            return;
        };
        let side = &mut self.sides[place.side];
        side.swap_remove(place.at);
        if let Some(moved) = side.get(place.at) {
            let name = Arc::clone(&moved.record.instance);
            self.places.insert(name, place);
        }
    }

    /// Chooses a server and counts the call there until
    /// [`ServerPool::end`]; `None` where all have been tried.
    pub fn choose(
        &mut self,
        now: Duration,
        need: &ServerCriteria<'_>,
        rng: &mut SmallRng,
    ) -> Option<ServerTry> {
        match need.search {
            SlotSearch::ByScore => {}
            SlotSearch::Free(costs) => {
                let found = self.seek(now, need, &costs, true, rng)?;
                return Some(self.begin_at(found.place, Some(found.wait_max(&costs))));
            }
            SlotSearch::LeastWait(costs) => {
                let found = self.seek(now, need, &costs, false, rng);
                let place = found.map(|found| found.place);
                let place = place.or_else(|| self.last_resort(need))?;
                return Some(self.begin_at(place, None));
            }
        }
        let near = self.draw(NEAR, now, need, rng);
        let mut best = near;
        if near.is_none_or(|near| near.score > WIDEN_AT) {
            let far = self.draw(FAR, now, need, rng);
            best = lighter(near, far);
        }
        let place = match best {
            Some(best) => best.place,
            None => self.last_resort(need)?,
        };
        Some(self.begin_at(place, None))
    }

    fn begin_at(&mut self, place: PoolPlace, wait_max: Option<Duration>) -> ServerTry {
        let server = &mut self.sides[place.side][place.at];
        server.load.begin();
        ServerTry {
            instance: Arc::clone(&server.record.instance),
            address: server.record.address,
            version: Arc::clone(&server.record.version),
            wait_max,
        }
    }

    /// The server where the answer is expected to lose least, of some drawn on
    /// each side. With `free` it is one that had a slot a moment ago, or a near
    /// one that is worth a wait.
    fn seek(
        &self,
        now: Duration,
        need: &ServerCriteria<'_>,
        costs: &SearchCosts<'_>,
        free: bool,
        rng: &mut SmallRng,
    ) -> Option<SoughtServer> {
        let mut best: Option<SoughtServer> = None;
        let mut least_far: Option<f64> = None;
        for side in [NEAR, FAR] {
            let servers = &self.sides[side];
            let draws = if free { FREE_DRAWS } else { WAIT_DRAWS };
            let first = rng.random_range(0..servers.len().max(1));
            let mut drawn = 0;
            for step in 0..servers.len() {
                let at = (first + step) % servers.len();
                let server = &servers[at];
                let wait = server.load.told_wait(now);
                let was_full = costs.full.contains(&server.record.instance);
                let far_and_full = side == FAR && !wait.is_zero();
                if !server.admits(now, need) || free && (was_full || far_and_full) {
                    continue;
                }
                let work = server.load.work(now, costs.route, costs.default_work);
                let loss = costs.value.loss(wait, work, side == FAR);
                if side == FAR {
                    least_far = Some(least_far.map_or(loss, |least| least.min(loss)));
                }
                if best.is_none_or(|best| loss < best.loss) {
                    let place = PoolPlace { side, at };
                    best = Some(SoughtServer {
                        place,
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
        best.far_loss = least_far.unwrap_or(1.0);
        Some(best)
    }

    /// A server's node told of its load.
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
        need: &ServerCriteria<'_>,
        rng: &mut SmallRng,
    ) -> Option<ScoredPlace> {
        let first = self.draw_one(side, None, now, need, rng);
        let second = self.draw_one(side, first.map(|one| one.place), now, need, rng);
        lighter(first, second)
    }

    fn draw_one(
        &self,
        side: usize,
        besides: Option<PoolPlace>,
        now: Duration,
        need: &ServerCriteria<'_>,
        rng: &mut SmallRng,
    ) -> Option<ScoredPlace> {
        let servers = &self.sides[side];
        if servers.is_empty() {
            return None;
        }
        let mut at = 0;
        for step in 0..DRAWS_MAX * 2 {
            at = if step < DRAWS_MAX {
                rng.random_range(0..servers.len())
            } else {
                (at + 1) % servers.len()
            };
            let place = PoolPlace { side, at };
            if besides == Some(place) || !servers[at].admits(now, need) {
                continue;
            }
            let score = servers[at].load.score(now);
            return Some(ScoredPlace { place, score });
        }
        None
    }

    /// Where no server admits the call, the first not tried: it may have
    /// come back, and refusing unasked would be no better.
    fn last_resort(&self, need: &ServerCriteria<'_>) -> Option<PoolPlace> {
        for (side, servers) in self.sides.iter().enumerate() {
            for (at, server) in servers.iter().enumerate() {
                let instance = &server.record.instance;
                if !need.tried.contains(instance) && need.allows(instance) {
                    return Some(PoolPlace { side, at });
                }
            }
        }
        None
    }

    /// A try is over.
    pub fn end(&mut self, now: Duration, instance: &str, evidence: TryOutcome) {
        let ejected = self.ejected_if_asked(evidence);
        let allowed = self.ejected_max();
        let mut pool = self.outcomes;
        let Some(server) = self.get_mut(instance) else {
            return;
        };
        server.load.end();
        match evidence {
            TryOutcome::Answered(ratio) => {
                pool.add(now, false);
                server.load.answered(now, ratio);
                if server.watch.answered(now) {
                    server.load.restart(now);
                }
            }
            TryOutcome::Failed => {
                pool.add(now, true);
                server.load.failed(now);
                let again = server.watch.is_ejected();
                let room = again || ejected < allowed;
                if server.watch.failed(now, &pool) && room {
                    server.watch.eject(now);
                }
            }
            TryOutcome::Full => server.load.full(now),
            TryOutcome::Unavailable => server.away_until = now + AWAY_TIME,
            TryOutcome::Nothing => {}
        }
        self.outcomes = pool;
    }

    fn ejected_if_asked(&self, evidence: TryOutcome) -> usize {
        match evidence {
            TryOutcome::Failed => self.ejected(),
            _ => 0,
        }
    }

    /// A third, one of two, and never the only one.
    fn ejected_max(&self) -> usize {
        match self.len() {
            0 | 1 => 0,
            len => (len / EJECTED_PART).max(1),
        }
    }

    fn get_mut(&mut self, instance: &str) -> Option<&mut PooledServer> {
        let place = self.places.get(instance)?;
        self.sides[place.side].get_mut(place.at)
    }
}

fn lighter(
    first: Option<ScoredPlace>,
    second: Option<ScoredPlace>,
) -> Option<ScoredPlace> {
    match (first, second) {
        (Some(one), Some(other)) if other.score < one.score => Some(other),
        (Some(one), _) => Some(one),
        (None, other) => other,
    }
}
