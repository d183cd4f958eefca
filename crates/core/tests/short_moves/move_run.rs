//! Simulates one short move of a small service: calls with a timeout on servers of
//! unlike speed, a sound or a bad new version, and a leader that judges by what the
//! entry nodes report.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::EvacuationTable;
use cowslip_core::load::server_pool::ServerPool;
use cowslip_core::rollout::evidence::EvidenceReport;
use cowslip_core::rollout::evidence::MeasuredTry;
use cowslip_core::rollout::evidence::RolloutEvidence;
use cowslip_core::rollout::evidence::RolloutTally;
use cowslip_core::rollout::evidence::RouteEvidence;
use cowslip_core::rollout::evidence::TryOutcome;
use cowslip_core::rollout::evidence_totals::EvidenceTotals;
use cowslip_core::rollout::fleet_snapshot::FleetSnapshot;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_change::MoveCounts;
use cowslip_core::rollout::rollout_driver::RolloutDriver;
use cowslip_core::rollout::rollout_driver::DRIVER_INTERVAL;
use cowslip_core::rollout::rollout_record::ExposureBound;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_core::rollout::rollout_record::ShareStep;
use cowslip_core::rollout::share_plan::QuietChoice;
use cowslip_core::version::ConfigVersion;

const MOVE: ConfigVersion = ConfigVersion { term: 1, index: 2 };

/// Speeds of the servers of each version, as a multiple of the usual one.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];

/// Requests that a server runs at a time.
const SLOTS: usize = 6;

/// Time after the order at which the new servers start.
const NEW_SERVERS_AT: Duration = Duration::from_millis(1_400);

/// How long a new server is cold, and how many times as long its work then takes.
const COLD_TIME: Duration = Duration::from_secs(3);
const COLD_FACTOR: f64 = 2.0;

/// Median of the work of a request, in milliseconds, and the standard deviation of
/// its logarithm.
const WORK_MEDIAN_MS: f64 = 165.0;
const WORK_SPREAD: f64 = 0.7;

/// Time from a proposed step until it is in force on every node, and from the end
/// of a call until the leader counts it.
const LAG: Duration = Duration::from_millis(200);

/// Allowed calls of a bad version.
const BOUND: ExposureBound = ExposureBound {
    percent: 10,
    calls: 50,
};

/// What the new version does to its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing: it is as good as the old version.
    None,
    /// A part of its calls takes this many times as long.
    Slow { part: f64, factor: f64 },
    /// It fails a part of its calls.
    Fails { part: f64 },
    /// It fails a part of its calls from a fraction of the move's time on.
    FailsLate { part: f64, from: f64 },
}

/// One case.
#[derive(Clone, Debug)]
pub struct MoveCase {
    pub fault: Fault,
    /// Calls of the service per second.
    pub rate: f64,
    /// Time given to the move.
    pub whole: Duration,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Fraction of its calls that every version fails.
    pub base_failures: f64,
    /// Fraction that both versions fail while the fleet has a problem.
    pub trouble_failures: f64,
    /// When the fleet has a problem, as fractions of the move's time.
    pub trouble: Range<f64>,
    /// Short-lived routes that get a call now and then.
    pub rare_routes: usize,
    pub seed: u64,
}

impl MoveCase {
    /// A service with `rate` calls per second in a quiet fleet.
    pub fn new(fault: Fault, rate: f64, seed: u64) -> Self {
        Self {
            fault,
            rate,
            whole: Duration::from_secs(14),
            timeout: Duration::from_millis(1_150),
            base_failures: 0.015,
            trouble_failures: 0.0,
            trouble: 0.0..0.0,
            rare_routes: 20,
            seed,
        }
    }
}

/// Result of a move.
#[derive(Clone, Copy, Debug, Default)]
pub struct MoveEnd {
    /// All calls from the order to the deadline.
    pub calls: u64,
    /// Calls that reached the new version.
    pub new_calls: u64,
    pub finished: bool,
    pub taken_back: bool,
}

impl MoveEnd {
    /// Used fraction of the calls that a bad version may get.
    pub fn used_fraction(&self) -> f64 {
        let allowed = self.calls * BOUND.percent / 100 + BOUND.calls;
        self.new_calls as f64 / allowed as f64
    }

    /// Whether the new version got more calls than a bad one may get.
    pub fn is_exposed(&self) -> bool {
        self.used_fraction() > 1.0
    }
}

struct SimServer {
    speed: f64,
    in_flight: usize,
    waiting: VecDeque<SimCall>,
    starts_at: Duration,
    /// Whether an answer has said that the server is warm.
    known_warm: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SimCall {
    began: Duration,
    route: usize,
    fails: bool,
    slowed_us: u64,
}

/// A running call: its end, whether the new version runs it, its server.
type RunningCall = (Reverse<Duration>, bool, usize, SimCall, bool);

struct SimMove {
    case: MoveCase,
    rng: SmallRng,
    old: Vec<SimServer>,
    new: Vec<SimServer>,
    pool: ServerPool,
    running: BinaryHeap<RunningCall>,
    routes: Vec<Arc<str>>,
    tally: RolloutTally,
    end: MoveEnd,
}

/// Runs one case to its deadline.
pub fn run(case: MoveCase) -> MoveEnd {
    let whole = case.whole;
    let mut record = record(whole);
    let mut driver = RolloutDriver::new(&record);
    let mut totals = EvidenceTotals::default();
    let mut sim = SimMove::new(case);
    let mut shares = VecDeque::from([(Duration::ZERO, record.share())]);
    let mut share = 0;
    let mut reports = VecDeque::new();
    let mut now = Duration::ZERO;
    let mut sequence = 0;
    while now < whole {
        let next = now + DRIVER_INTERVAL;
        while shares.front().is_some_and(|(from, _)| *from <= now) {
            share = shares.pop_front().map_or(share, |(_, share)| share);
        }
        sim.run_until(now, next, share);
        now = next;
        sequence += 1;
        reports.push_back((now + LAG, sim.report(now, sequence)));
        while reports.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, report)) = reports.pop_front() {
                totals.record_report(now, report);
            }
        }
        totals.refresh_pending(now);
        if sim.end.taken_back || sim.end.finished {
            continue;
        }
        let fleet = sim.fleet(now);
        let proposed = match driver.evaluate(now, &record, &fleet, &totals) {
            Some(MoveChange::Step {
                share_per_mille, ..
            }) => {
                record.steps.push(ShareStep {
                    version: ConfigVersion::new(1, 2 + sequence),
                    at_ms: now.as_millis() as u64,
                    share_per_mille,
                });
                share_per_mille
            }
            Some(MoveChange::TakeBack { .. }) => {
                sim.end.taken_back = true;
                0
            }
            Some(MoveChange::Finish { .. }) => {
                sim.end.finished = true;
                1_000
            }
            None | Some(MoveChange::Start { .. }) => continue,
        };
        shares.push_back((now + LAG, proposed));
    }
    sim.end
}

fn record(whole: Duration) -> RolloutRecord {
    RolloutRecord {
        exposure: Some(BOUND),
        rollout: MOVE,
        service: "records".into(),
        from: "v1".into(),
        to: "v2".into(),
        reason: String::new(),
        if_quiet: QuietChoice::Finish,
        step_calls: 5,
        started_ms: 0,
        due_ms: whole.as_millis() as u64,
        steps: vec![ShareStep {
            version: MOVE,
            at_ms: 0,
            share_per_mille: 32,
        }],
        end: None,
        ended: None,
        counts: MoveCounts::default(),
    }
}

impl SimMove {
    fn new(case: MoveCase) -> Self {
        let mut rng = SmallRng::seed_from_u64(case.seed);
        let servers = |rng: &mut SmallRng, starts_at| {
            let mut speeds = SPEEDS;
            for at in (1..speeds.len()).rev() {
                speeds.swap(at, rng.random_range(0..=at));
            }
            let server = |speed| SimServer {
                speed,
                in_flight: 0,
                waiting: VecDeque::new(),
                starts_at,
                known_warm: false,
            };
            speeds.map(server).into()
        };
        let old = servers(&mut rng, Duration::ZERO);
        let new = servers(&mut rng, NEW_SERVERS_AT);
        let mut routes = vec![Arc::<str>::from("/lookup"), Arc::from("/files")];
        for route in 0..case.rare_routes {
            routes.push(format!("/rare-{route}").into());
        }
        Self {
            rng,
            old,
            new,
            pool: new_servers(),
            running: BinaryHeap::new(),
            routes,
            tally: RolloutTally::default(),
            end: MoveEnd::default(),
            case,
        }
    }

    fn fleet(&self, now: Duration) -> FleetSnapshot {
        let slots = (SPEEDS.len() * SLOTS) as u32;
        let new_slots = if now < NEW_SERVERS_AT { 0 } else { slots };
        FleetSnapshot {
            old_slots: slots,
            new_slots,
            nodes: 16,
            nodes_silent: 0,
            nodes_behind: 0,
        }
    }

    fn run_until(&mut self, from: Duration, until: Duration, share: u16) {
        let due = self.case.rate * (until - from).as_secs_f64() * 2.0;
        let arriving = (0..due.round() as u64).filter(|_| self.rng.random_bool(0.5));
        let mut arrivals: Vec<Duration> = Vec::new();
        for _ in 0..arriving.count() {
            arrivals.push(from + (until - from).mul_f64(self.rng.random::<f64>()));
        }
        arrivals.sort();
        for at in arrivals {
            self.end_calls(at);
            self.begin_call(at, share);
        }
        self.end_calls(until);
    }

    fn begin_call(&mut self, now: Duration, share: u16) {
        self.end.calls += 1;
        let drawn = self.rng.random_range(0..1_000) < share;
        let mut new = drawn && now >= NEW_SERVERS_AT && share > 0;
        let mut at = self.choose(new, share);
        // A call for the new version goes to the old one if no slot is free.
        if new && share < 1_000 && self.new[at].in_flight >= SLOTS {
            new = false;
            at = self.choose(new, share);
        }
        let call = self.draw_call(now, new);
        self.end.new_calls += u64::from(new);
        let servers = if new { &mut self.new } else { &mut self.old };
        if servers[at].in_flight >= SLOTS {
            servers[at].waiting.push_back(call);
            return;
        }
        self.start(now, new, at, call);
    }

    /// Chooses the less loaded of two servers, as entry nodes do.
    fn choose(&mut self, new: bool, share: u16) -> usize {
        let servers = if new { &self.new } else { &self.old };
        let used = if new && share < 1_000 {
            let subset = self.pool.subset_for_share(share, &EvacuationTable::new());
            subset.len()
        } else {
            servers.len()
        };
        let draws = [0; 2].map(|_| self.rng.random_range(0..used));
        let load = |at: &usize| {
            let server = &servers[*at];
            (server.in_flight + server.waiting.len()) as f64 / server.speed
        };
        if load(&draws[0]) <= load(&draws[1]) {
            draws[0]
        } else {
            draws[1]
        }
    }

    fn draw_call(&mut self, now: Duration, new: bool) -> SimCall {
        let fraction = now.as_secs_f64() / self.case.whole.as_secs_f64();
        let mut fails = self.rng.random_bool(self.case.base_failures);
        if self.case.trouble.contains(&fraction) {
            fails |= self.rng.random_bool(self.case.trouble_failures);
        }
        let mut factor = 1.0;
        if new {
            match self.case.fault {
                Fault::Slow {
                    part,
                    factor: slower,
                } if self.rng.random_bool(part) => factor = slower,
                Fault::Fails { part } => fails |= self.rng.random_bool(part),
                Fault::FailsLate { part, from } if fraction >= from => {
                    fails |= self.rng.random_bool(part);
                }
                _ => {}
            }
        }
        let millis = WORK_MEDIAN_MS * (WORK_SPREAD * normal(&mut self.rng)).exp();
        let rare = self.rng.random_bool(0.03) && self.routes.len() > 2;
        let route = match rare {
            true => self.rng.random_range(2..self.routes.len()),
            false => usize::from(self.rng.random_bool(0.25)),
        };
        SimCall {
            began: now,
            route,
            fails,
            slowed_us: (millis * factor * 1_000.0) as u64,
        }
    }

    /// Runs a call that has got a slot.
    fn start(&mut self, now: Duration, new: bool, at: usize, call: SimCall) {
        let server = if new {
            &mut self.new[at]
        } else {
            &mut self.old[at]
        };
        server.in_flight += 1;
        let cold = new && now < server.starts_at + COLD_TIME;
        let factor = if cold { COLD_FACTOR } else { 1.0 } / server.speed;
        let work = Duration::from_micros((call.slowed_us as f64 * factor) as u64);
        let timeout_at = call.began + self.case.timeout;
        let warm = !cold;
        let ends_at = (now + work).min(timeout_at.max(now));
        self.running.push((Reverse(ends_at), new, at, call, warm));
    }

    fn end_calls(&mut self, now: Duration) {
        while self.running.peek().is_some_and(|(at, ..)| at.0 <= now) {
            let Some((Reverse(at), new, server, call, warm)) = self.running.pop() else {
                return;
            };
            self.record(at, new, &call, warm);
            let servers = if new { &mut self.new } else { &mut self.old };
            servers[server].in_flight -= 1;
            servers[server].known_warm |= warm;
            if let Some(next) = servers[server].waiting.pop_front() {
                self.start(at, new, server, next);
            }
        }
    }

    fn record(&mut self, now: Duration, new: bool, call: &SimCall, warm: bool) {
        let took = now - call.began;
        let outcome = if took >= self.case.timeout {
            TryOutcome::TimedOut
        } else if call.fails {
            TryOutcome::Failed
        } else {
            TryOutcome::Answered
        };
        let measured = MeasuredTry {
            took,
            outcome,
            warm,
        };
        self.tally.record(&self.routes[call.route], new, &measured);
    }

    fn count_pending(&mut self, now: Duration) {
        self.tally.clear_pending();
        let mut pending = Vec::new();
        for (_, new, server, call, _) in &self.running {
            if !new || self.new[*server].known_warm {
                pending.push((*new, *call));
            }
        }
        for (servers, new) in [(&self.old, false), (&self.new, true)] {
            for server in servers.iter().filter(|server| server.known_warm || !new) {
                pending.extend(server.waiting.iter().map(|call| (new, *call)));
            }
        }
        for (new, call) in pending {
            let route = &self.routes[call.route];
            self.tally.record_pending(route, new, now - call.began);
        }
    }

    fn report(&mut self, now: Duration, sequence: u64) -> EvidenceReport {
        self.count_pending(now);
        let mut routes = Vec::new();
        for (route, tally) in &self.tally.routes {
            routes.push(RouteEvidence {
                route: Arc::clone(route),
                old: tally.old.report(),
                new: tally.new.report(),
            });
        }
        EvidenceReport {
            node: "node-1".into(),
            incarnation: 1,
            sequence,
            rollouts: vec![RolloutEvidence {
                rollout: MOVE,
                routes,
                stop: None,
            }],
        }
    }
}

fn new_servers() -> ServerPool {
    let mut pool = ServerPool::default();
    for server in 0..SPEEDS.len() {
        let record = EndpointRecord {
            instance: format!("server-{server}").into(),
            service: "records".into(),
            version: "v2".into(),
            failure_domain: "hardanger".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
            slots: SLOTS as u32,
            standing: EndpointStanding::Serving,
            incarnation: 1,
            sequence: 1,
        };
        pool.put(Duration::ZERO, record, true);
    }
    pool
}

/// Draws from the standard normal distribution (Box–Muller transform).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
