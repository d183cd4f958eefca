//! Simulates one move with a virtual clock: the replicated state, the leader's
//! driver and the nodes' guards.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ControlState;
use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::ServiceSpec;
use cowslip_core::move_tracker::NodeReport;
use cowslip_core::rollout::evidence::EvidenceReport;
use cowslip_core::rollout::evidence::MeasuredTry;
use cowslip_core::rollout::evidence_totals::EvidenceTotals;
use cowslip_core::rollout::fleet_snapshot::FleetMonitor;
use cowslip_core::rollout::node_guard::EndedTry;
use cowslip_core::rollout::node_guard::NodeGuard;
use cowslip_core::rollout::node_guard::EVALUATION_INTERVAL;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_change::MoveDue;
use cowslip_core::rollout::rollout_change::StepWait;
use cowslip_core::rollout::rollout_driver::RolloutDriver;
use cowslip_core::rollout::rollout_judge::RolloutJudge;
use cowslip_core::rollout::rollout_judge::TestFactory;
use cowslip_core::rollout::rollout_judge::FALSE_ALARM_FLEET;
use cowslip_core::rollout::rollout_record::RolloutEnd;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_core::rollout::share_plan::DoublingPlan;
use cowslip_core::rollout::share_plan::QuietChoice;
use cowslip_core::rollout::share_plan::SharePlan;
use cowslip_core::version::ConfigVersion;

use super::traffic::Behaviour;
use super::traffic::CallPoint;
use super::traffic::COLD_CALLS;
use super::traffic::ROUTES;

/// Number of entry nodes.
pub const NODES: usize = 4;

/// Servers of each version.
const SERVERS: usize = 6;

/// Wall clock at the start of the simulation.
const EPOCH: Duration = Duration::from_secs(1_000_000);

/// Maximum time for an accepted version to reach a node.
const SPREAD_TIME: Duration = Duration::from_millis(500);

/// Time for a proposed change to be committed.
const AGREE_TIME: Duration = Duration::from_millis(200);

/// One case of the study.
#[derive(Clone, Copy, Debug)]
pub struct StudyCase {
    /// Behaviour of the new version.
    pub behaviour: Behaviour,
    /// Calls of the service per second.
    pub rate: f64,
    /// Time window of the move, in seconds.
    pub window_s: u64,
    /// Probability that a report is lost, and probability that it is
    /// duplicated.
    pub report_faults: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Components and failures that differ between runs.
#[derive(Clone, Copy, Default)]
pub struct StudyParts {
    /// Plan, created from the first share; `None` for the driver's own plan.
    pub plan: Option<fn(u16) -> Box<dyn SharePlan>>,
    /// Test of the leader. If it is set, the nodes do not judge on their own.
    pub test: Option<TestFactory>,
    /// Time at which the leader is replaced, in seconds.
    pub leader_lost_s: Option<u64>,
    /// Time from which no control instance is reachable, in seconds.
    pub source_away_s: Option<u64>,
    /// Time from which the control instances are reachable again, in seconds.
    pub source_back_s: Option<u64>,
}

/// Result of a move. Times count from its start.
#[derive(Clone, Debug, Default)]
pub struct StudyOutcome {
    /// Time at which the move was done on every node.
    pub done_after: Option<Duration>,
    /// Time at which the move was taken back.
    pub taken_back_after: Option<Duration>,
    /// Time of the first call affected by a fault of the new version.
    pub first_harm: Option<Duration>,
    /// Time of the last call of the new version on any node.
    pub last_new_call: Duration,
    /// Longest time between a node's own stop and its last call of the new
    /// version.
    pub stop_lag: Duration,
    /// Nodes that stopped the version on their own.
    pub nodes_stopped: usize,
    /// All calls of the service.
    pub calls: u64,
    /// Calls affected by a fault of the new version.
    pub harmed: u64,
    /// Total bytes of all reports sent.
    pub bytes: u64,
    /// Accepted changes of the move.
    pub changes: usize,
    /// What the driver waited for last.
    pub wait: Option<StepWait>,
    /// Record of the move at the end.
    pub record: Option<RolloutRecord>,
}

struct StudyNode {
    name: Arc<str>,
    guard: NodeGuard,
    document: Arc<FleetDocument>,
    version: ConfigVersion,
    pending_documents: VecDeque<(Duration, ConfigVersion, Arc<FleetDocument>)>,
    due_calls: f64,
    stopped_at: Option<Duration>,
}

/// Shared names, allocated once because every call needs them.
struct StudyNames {
    service: Arc<str>,
    new: Arc<str>,
    routes: Vec<Arc<str>>,
}

struct StudyFleet {
    names: StudyNames,
    case: StudyCase,
    parts: StudyParts,
    rng: SmallRng,
    state: ControlState,
    index: u64,
    term: u64,
    nodes: Vec<StudyNode>,
    in_flight: Vec<(Duration, EvidenceReport)>,
    proposed: VecDeque<(Duration, MoveChange)>,
    totals: EvidenceTotals,
    monitor: FleetMonitor,
    driver: RolloutDriver,
    servers: Vec<EndpointRecord>,
    served: [u32; SERVERS],
    outcome: StudyOutcome,
}

/// Runs one case until its move is over, or until a quarter of the time window
/// past the deadline.
pub fn run(case: StudyCase, parts: StudyParts) -> StudyOutcome {
    let mut fleet = StudyFleet::begin(case, parts);
    let whole = Duration::from_secs(case.window_s);
    let mut now = Duration::ZERO;
    while now < whole + whole / 4 {
        now += EVALUATION_INTERVAL;
        fleet.tick(now);
        if fleet.is_over() {
            break;
        }
    }
    fleet.outcome.record = fleet.record().cloned();
    fleet.outcome.wait = fleet.driver.wait();
    fleet.outcome
}

fn servers() -> Vec<EndpointRecord> {
    let mut servers = Vec::new();
    for version in ["v1", "v2"] {
        for number in 0..SERVERS {
            servers.push(EndpointRecord {
                instance: format!("{version}-{number}").into(),
                service: "ledger".into(),
                version: version.into(),
                failure_domain: "co-central-1".into(),
                address: ([127, 0, 0, 1], 1).into(),
                slots: 5,
                standing: EndpointStanding::Serving,
                incarnation: 1,
                sequence: 1,
            });
        }
    }
    servers
}

fn first_document() -> FleetDocument {
    let mut document = FleetDocument::default();
    let spec = ServiceSpec {
        version: "v1".into(),
        candidate: None,
        ..ServiceSpec::default()
    };
    document.services.insert("ledger".into(), spec);
    document
}

impl StudyFleet {
    fn begin(case: StudyCase, parts: StudyParts) -> Self {
        let mut state = ControlState::default();
        let apply = ConfigChange::Apply(first_document());
        state.apply(ConfigVersion::new(1, 1), &entry("apply", 0, apply));
        let start = MoveChange::Start {
            service: "ledger".into(),
            to: "v2".into(),
            due: MoveDue::Within(case.window_s * 1_000),
            reason: "study".to_owned(),
            if_quiet: QuietChoice::Finish,
        };
        let at_ms = EPOCH.as_millis() as u64;
        let start = entry("start", at_ms, ConfigChange::Move(start));
        state.apply(ConfigVersion::new(1, 2), &start);
        let mut nodes = Vec::new();
        for number in 0..NODES {
            nodes.push(StudyNode {
                name: format!("node-{number}").into(),
                guard: NodeGuard::default(),
                document: Arc::default(),
                version: ConfigVersion::ZERO,
                pending_documents: VecDeque::new(),
                due_calls: 0.0,
                stopped_at: None,
            });
        }
        let record = state.rollouts().running().next().expect("a running move");
        let driver = driver(&parts, record);
        let names = StudyNames {
            service: "ledger".into(),
            new: "v2".into(),
            routes: ROUTES.iter().map(|(path, _)| (*path).into()).collect(),
        };
        let mut fleet = Self {
            names,
            case,
            parts,
            rng: SmallRng::seed_from_u64(case.seed),
            state,
            index: 2,
            term: 1,
            nodes,
            in_flight: Vec::new(),
            proposed: VecDeque::new(),
            totals: EvidenceTotals::default(),
            monitor: FleetMonitor::default(),
            driver,
            servers: servers(),
            served: [0; SERVERS],
            outcome: StudyOutcome::default(),
        };
        fleet.publish(Duration::ZERO);
        fleet
    }

    fn record(&self) -> Option<&RolloutRecord> {
        self.state.rollouts().all().next()
    }

    fn publish(&mut self, now: Duration) {
        let snapshot = self.state.snapshot();
        for node in &mut self.nodes {
            let jitter = SPREAD_TIME.mul_f64(self.rng.random::<f64>());
            let update = (now + jitter, snapshot.version, snapshot.document.clone());
            node.pending_documents.push_back(update);
        }
    }

    fn is_over(&mut self) -> bool {
        if self.outcome.taken_back_after.is_some() {
            return self
                .nodes
                .iter()
                .all(|node| node.pending_documents.is_empty());
        }
        self.outcome.done_after.is_some()
    }

    fn tick(&mut self, now: Duration) {
        let reached = |at: Option<u64>| at.is_some_and(|at| now.as_secs() >= at);
        let back = reached(self.parts.source_back_s);
        let away = reached(self.parts.source_away_s) && !back;
        for at in 0..self.nodes.len() {
            self.install(now, at);
            self.call(now, at);
            self.judge(now, at);
            if now.subsec_millis() == 0 && !away {
                self.report(now, at);
            }
        }
        if !away {
            self.run_leader(now);
        }
    }

    fn install(&mut self, now: Duration, at: usize) {
        let node = &mut self.nodes[at];
        while node
            .pending_documents
            .front()
            .is_some_and(|(due, _, _)| *due <= now)
        {
            let Some((_, version, document)) = node.pending_documents.pop_front() else {
                continue;
            };
            if version > node.version {
                node.version = version;
                node.document = document;
                node.guard.install(&node.document);
            }
        }
    }

    fn call(&mut self, now: Duration, at: usize) {
        let node = &mut self.nodes[at];
        let Some(spec) = node.document.services.get("ledger") else {
            return;
        };
        let candidate = spec.candidate.as_ref();
        let share = candidate.map_or(0, |candidate| candidate.share_per_mille);
        let share = f64::from(share) / 1_000.0;
        let spread = 0.5 + self.rng.random::<f64>();
        let calls_per_tick =
            self.case.rate / NODES as f64 * EVALUATION_INTERVAL.as_secs_f64();
        node.due_calls += calls_per_tick * spread;
        while node.due_calls >= 1.0 {
            node.due_calls -= 1.0;
            let drawn = self.rng.random::<f64>() < share;
            let new = drawn && node.guard.admits("ledger", "v2");
            let route = draw_route(&mut self.rng);
            let server = self.rng.random_range(0..SERVERS);
            let served = self.served[server];
            self.served[server] += u32::from(new);
            let point = CallPoint {
                part: now.as_secs_f64() / self.case.window_s as f64,
                served,
                server,
                share,
                route,
                new,
            };
            let call = self.case.behaviour.draw(&point, &mut self.rng);
            let version = if new { &self.names.new } else { &spec.version };
            let ended = EndedTry {
                service: Arc::clone(&self.names.service),
                route: Arc::clone(&self.names.routes[route]),
                version: Arc::clone(version),
                measured: MeasuredTry {
                    took: call.took,
                    outcome: call.outcome,
                    warm: !new || served >= COLD_CALLS,
                },
            };
            node.guard.record(&ended);
            self.outcome.calls += 1;
            if !new {
                continue;
            }
            self.outcome.last_new_call = now;
            if let Some(stopped_at) = node.stopped_at {
                let late = now - stopped_at;
                self.outcome.stop_lag = self.outcome.stop_lag.max(late);
            }
            if call.harmed {
                self.outcome.harmed += 1;
                self.outcome.first_harm.get_or_insert(now);
            }
        }
    }

    fn judge(&mut self, now: Duration, at: usize) {
        let node = &mut self.nodes[at];
        if self.parts.test.is_some() {
            return;
        }
        if !node.guard.tick(now).is_empty() {
            node.stopped_at = Some(now);
            self.outcome.nodes_stopped += 1;
        }
    }

    fn report(&mut self, now: Duration, at: usize) {
        let node = &mut self.nodes[at];
        let Some(report) = node.guard.report(now, &node.name, 1) else {
            return;
        };
        let bytes = rmp_serde::to_vec_named(&report).expect("reports encode");
        self.outcome.bytes += bytes.len() as u64;
        let faults = self.case.report_faults;
        if self.rng.random_bool(faults) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(faults));
        for _ in 0..copies {
            let late = Duration::from_millis(self.rng.random_range(5..1_500));
            self.in_flight.push((now + late, report.clone()));
        }
    }

    fn run_leader(&mut self, now: Duration) {
        if self.parts.leader_lost_s.map(Duration::from_secs) == Some(now) {
            self.change_leader();
        }
        let (arrived, still) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(due, _)| *due <= now);
        self.in_flight = still;
        for (_, report) in Vec::<(Duration, EvidenceReport)>::from_iter(arrived) {
            self.totals.record_report(EPOCH + now, report);
        }
        self.accept(now);
        if now.subsec_millis().is_multiple_of(500) {
            self.evaluate_move(now);
        }
    }

    /// Replaces the leader. The new one has nothing but the log.
    fn change_leader(&mut self) {
        self.term += 1;
        self.totals = EvidenceTotals::default();
        self.monitor = FleetMonitor::default();
        self.in_flight.clear();
        if let Some(record) = self.state.rollouts().running().next() {
            self.driver = driver(&self.parts, record);
        }
    }

    fn accept(&mut self, now: Duration) {
        while self.proposed.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, change)) = self.proposed.pop_front() else {
                continue;
            };
            let id = change.request_id().expect("the leader proposes no start");
            self.index += 1;
            let version = ConfigVersion::new(self.term, self.index);
            let at_ms = (EPOCH + now).as_millis() as u64;
            let before = self.state.snapshot().version;
            let entry = entry(&id, at_ms, ConfigChange::Move(change));
            self.state.apply(version, &entry);
            if self.state.snapshot().version > before {
                self.outcome.changes += 1;
                self.publish(now);
            }
        }
    }

    fn evaluate_move(&mut self, now: Duration) {
        let wall = EPOCH + now;
        self.monitor.record_servers(wall, self.servers.iter());
        let mut nodes = Vec::new();
        for node in &self.nodes {
            nodes.push(NodeReport {
                node: node.name.clone(),
                failure_domain: "co-central-1".into(),
                applied: node.version,
                refused: None,
            });
        }
        if let Some(record) = self.state.rollouts().running().next() {
            let servers = self.servers.iter();
            let snapshot =
                self.monitor
                    .snapshot(wall, record, servers, &nodes, &self.totals);
            let change = self.driver.evaluate(wall, record, &snapshot, &self.totals);
            if let Some(change) = change {
                self.proposed.push_back((now + AGREE_TIME, change));
            }
            return;
        }
        let Some(record) = self.record() else {
            return;
        };
        let last = record.last_version();
        match record.end {
            Some(RolloutEnd::TakenBack { .. }) => {
                self.outcome.taken_back_after.get_or_insert(now);
            }
            Some(RolloutEnd::Finished { .. }) => {
                let applied = nodes.iter().all(|node| node.applied >= last);
                let done = &mut self.outcome.done_after;
                *done = done.or(applied.then_some(now));
            }
            None => {}
        }
    }
}

fn driver(parts: &StudyParts, record: &RolloutRecord) -> RolloutDriver {
    let first = record.steps[0].share_per_mille;
    let judge = match parts.test {
        Some(test) => RolloutJudge::with_test(FALSE_ALARM_FLEET, test),
        None => RolloutJudge::new(FALSE_ALARM_FLEET),
    };
    match parts.plan {
        Some(plan) => RolloutDriver::with_parts(plan(first), judge),
        None if parts.test.is_none() => RolloutDriver::new(record),
        None => RolloutDriver::with_parts(Box::new(DoublingPlan { first }), judge),
    }
}

fn entry(id: &str, at_ms: u64, change: ConfigChange) -> ChangeEntry {
    ChangeEntry {
        request_id: id.into(),
        expected: None,
        at_ms,
        change,
    }
}

fn draw_route(rng: &mut SmallRng) -> usize {
    let mut drawn = rng.random::<f64>();
    for (at, (_, part)) in ROUTES.iter().enumerate() {
        if drawn < *part {
            return at;
        }
        drawn -= part;
    }
    0
}
