//! Routing of one entry node: from a call's head to the server that gets
//! it, and from a failed try to the next step.
//!
//! Holds one whole configuration snapshot and the directory; the snapshot is
//! swapped in one step, never edited, so a route never outlives its service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use crate::claim::KeyDigest;
use crate::control_state::ConfigSnapshot;
use crate::directory::EndpointDirectory;
use crate::directory::EndpointRecord;
use crate::document::validate_edit;
use crate::document::CallPlace;
use crate::document::DocumentFault;
use crate::document::FleetDocument;
use crate::document::RepeatRule;
use crate::document::RouteSpec;
use crate::document::ServiceSpec;
use crate::load::answer_value::AnswerValue;
use crate::load::fleet_servers::FleetServers;
use crate::load::repeat_probability::RepeatProbability;
use crate::load::retry_budget::BudgetConfig;
use crate::load::server_load::ReportedLoad;
use crate::load::server_pool::SearchCosts;
use crate::load::server_pool::ServerCriteria;
use crate::load::server_pool::SlotSearch;
use crate::load::server_pool::TryOutcome;
use crate::load::service_load::ServiceLoad;
use crate::refusal::RefusalReason;
use crate::rollout::last_server::is_last_of_old;
use crate::rollout::node_guard::NodeGuard;
use crate::route_table::RouteTable;
use crate::server_gate::QueueBounds;
use crate::tuning::TuningKey;
use crate::verdict::CallVerdict;
use crate::version::ConfigVersion;

use self::call_plan::TryAllowance;

mod call_plan;

pub use self::call_plan::CallPlan;
pub use crate::call_try::NextStep;
pub use crate::call_try::ServerTry;
pub use crate::call_try::TryFailure;
pub use crate::call_try::TryReport;

/// Thousandths, the unit of traffic shares.
const WHOLE_PER_MILLE: u16 = 1_000;

/// Parts of an answer's worth in which costs are set.
const WORTH_PARTS: f64 = 1_000.0;

/// Who sent a call to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller on the callers' listener.
    Outside,
    /// The backend server beside this node.
    Backend,
}

/// What routing needs of a call's head.
#[derive(Clone, Debug)]
pub struct CallHead<'a> {
    /// Host that the caller names, without a port; empty where it names none.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Listener it came in by.
    pub origin: CallOrigin,
    /// Customer it is made for; empty where the caller names none.
    pub customer: &'a str,
    /// True where its method says that running it twice does no harm; the
    /// route's own rule goes before it.
    pub idempotent: bool,
    /// Time the caller gives it, if it says.
    pub deadline: Option<Duration>,
}

/// Status by which a backend server says that it has no room.
const STATUS_SHED: u16 = 503;

/// Statuses by which a backend server says that it failed; others of the
/// 500s say that it does not know the request.
const STATUS_FAILED: [u16; 3] = [500, 502, 504];

/// State of one entry node's routing.
#[derive(Debug)]
pub struct EntryRouter {
    failure_domain: Arc<str>,
    snapshot: ConfigSnapshot,
    routes: RouteTable,
    directory: EndpointDirectory,
    servers: FleetServers,
    service_loads: HashMap<Arc<str>, ServiceLoad>,
    guard: NodeGuard,
    rng: SmallRng,
}

impl EntryRouter {
    /// A router that knows nothing yet, in `failure_domain`.
    pub fn new(failure_domain: Arc<str>, seed: u64) -> Self {
        Self {
            failure_domain,
            snapshot: ConfigSnapshot::default(),
            routes: RouteTable::default(),
            directory: EndpointDirectory::default(),
            servers: FleetServers::default(),
            service_loads: HashMap::new(),
            guard: NodeGuard::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Version in use; `ZERO` before the first.
    pub fn version(&self) -> ConfigVersion {
        self.snapshot.version
    }

    /// The document in use.
    pub fn document(&self) -> &FleetDocument {
        &self.snapshot.document
    }

    /// The directory as this node knows it.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// The sets of nodes that hold a key's claim; none where no node holds
    /// claims yet.
    pub fn holder_sets(&self, key: &KeyDigest) -> Vec<Vec<Arc<str>>> {
        let roster = &self.snapshot.document.holders;
        if roster.is_empty() {
            return Vec::new();
        }
        roster.sets(key)
    }

    /// Swaps in a snapshot whole. `Ok(false)` where it is not newer than the
    /// one in use; the faults where it is invalid, and then nothing changes.
    pub fn swap(&mut self, snapshot: ConfigSnapshot) -> Result<bool, Vec<DocumentFault>> {
        // Guards against late answers and instances cut off with an old
        // configuration: routes would go back in time. No way leads into
        // the snapshot in use but this one.
        if snapshot.version <= self.snapshot.version {
            return Ok(false);
        }
        let faults = validate_edit(&self.snapshot.document, &snapshot.document);
        if !faults.is_empty() {
            return Err(faults);
        }
        self.routes = RouteTable::new(&snapshot.document);
        self.guard.install(&snapshot.document);
        self.snapshot = snapshot;
        let services = &self.snapshot.document.services;
        self.service_loads
            .retain(|name, _| services.contains_key(name));
        Ok(true)
    }

    /// Counts and verdicts of the services under a move.
    pub fn guard(&mut self) -> &mut NodeGuard {
        &mut self.guard
    }

    /// True where `instance` must stay until a move is done.
    pub fn is_last_of_old(&self, instance: &str) -> bool {
        is_last_of_old(&self.snapshot.document, &self.directory, instance)
    }

    /// Takes directory records; older ones than those held are passed over.
    pub fn merge(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        for record in records {
            if !self.directory.merge(record.clone()) {
                continue;
            }
            let near = record.failure_domain == self.failure_domain;
            self.servers.put(now, record, near);
        }
    }

    /// Bounds of the queue in front of a backend server of `service`.
    pub fn queue_bounds(&self, service: &str) -> QueueBounds {
        let place = CallPlace {
            service,
            route: "",
            failure_domain: &self.failure_domain,
        };
        let document = &self.snapshot.document;
        let wait_ms = document.tuning(TuningKey::QueueWaitMs, &place);
        QueueBounds {
            slots_floor: document.tuning(TuningKey::SlotsFloor, &place) as u32,
            calls: document.tuning(TuningKey::QueueCalls, &place) as usize,
            wait: Duration::from_millis(wait_ms),
        }
    }

    /// Names of the services of the snapshot in use.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.snapshot.document.services.keys()
    }

    /// Matches a call to its route and deadline, or says why not.
    pub fn plan(
        &mut self,
        now: Duration,
        head: &CallHead<'_>,
    ) -> Result<CallPlan, RefusalReason> {
        if self.snapshot.version == ConfigVersion::ZERO {
            return Err(RefusalReason::NoConfiguration);
        }
        let route = self.routes.find(head.host, head.path);
        let route = route.ok_or(RefusalReason::NoRoute)?;
        if route.internal && head.origin == CallOrigin::Outside {
            return Err(RefusalReason::InternalOnly);
        }
        let service = draw_service(route, &mut self.rng);
        let place = CallPlace {
            service,
            route: &route.path,
            failure_domain: &self.failure_domain,
        };
        let document = &self.snapshot.document;
        let default_ms = document.tuning(TuningKey::DeadlineMs, &place);
        let allowed = head.deadline.unwrap_or(Duration::from_millis(default_ms));
        let timeout = route.timeout_ms.map(Duration::from_millis);
        let allowed = allowed.min(timeout.unwrap_or(allowed));
        let percent = document.tuning(TuningKey::RetryPercent, &place);
        let burst = document.tuning(TuningKey::RetryBurst, &place);
        let tries = document.tuning(TuningKey::TriesMax, &place);
        let probes = document.tuning(TuningKey::SlotProbes, &place);
        let idempotent = match route.repeat {
            Some(rule) => rule == RepeatRule::Idempotent,
            None => head.idempotent,
        };
        let service_load = self.service_loads.entry(Arc::clone(service));
        let service_load = service_load.or_default();
        let age = head.deadline.map_or(Duration::ZERO, |deadline| {
            service_load.age(now, &route.path, deadline)
        });
        let target = route.target_ms.map(Duration::from_millis);
        if let Some(target) = target {
            service_load.add_prior(&route.path, target);
        }
        let plan = CallPlan {
            service: Arc::clone(service),
            route: Arc::clone(&route.path),
            priority: route.priority,
            customer: head.customer.into(),
            arrived_at: now,
            deadline_at: now + allowed,
            verdict: CallVerdict::NotRun,
            idempotent,
            origin: head.origin,
            repeats: RepeatProbability::FIRST,
            asked_at: now.saturating_sub(age),
            caller_until: head.deadline.map(|deadline| now + deadline),
            target_at: target.map(|target| now + target.saturating_sub(age)),
            tries: TryAllowance::of(route, tries),
            seeks_slots: probes > 0,
            probes_left: probes,
            far_cost_per_kb: document.tuning(TuningKey::FarCostPerKb, &place),
            version: None,
            full: Vec::new(),
            tried: Vec::new(),
            failed_for: None,
        };
        // Guards against overload that feeds itself: a call that a server makes
        // for a request already running takes the work of that request with it
        // when it is refused, and its caller asks for all of it again.
        let admitted =
            service_load.admit(now, &plan.customer, plan.priority, &mut self.rng);
        if !admitted && plan.origin == CallOrigin::Outside {
            self.turned_away(now, &plan);
            return Err(RefusalReason::CustomerLimit);
        }
        let terms = BudgetConfig::of(percent, burst, self.directory.len());
        service_load.budget.earn(now, terms);
        Ok(plan)
    }

    /// A request that is itself a repeat makes this call, as likely as
    /// `repeats` says: it counts among the retries of the called service.
    pub fn charge_repeats(&mut self, plan: &mut CallPlan, repeats: RepeatProbability) {
        plan.repeats = repeats;
        if let Some(service_load) = self.service_loads.get_mut(&plan.service) {
            service_load.budget.charge(repeats);
        }
    }

    fn turned_away(&mut self, now: Duration, plan: &CallPlan) {
        let Some(until) = plan.caller_until else {
            return;
        };
        if let Some(service_load) = self.service_loads.get_mut(&plan.service) {
            service_load.record_refusal(now, &plan.route, plan.asked_at, until);
        }
    }

    /// Chooses the server for the plan's next try and counts it outstanding
    /// there until one of [`EntryRouter::failed`], [`EntryRouter::ended`] and
    /// [`EntryRouter::abandoned`].
    pub fn begin(
        &mut self,
        now: Duration,
        plan: &mut CallPlan,
    ) -> Result<ServerTry, RefusalReason> {
        let begun = self.begin_at_server(now, plan);
        if begun.is_err() {
            self.turned_away(now, plan);
        }
        begun
    }

    fn begin_at_server(
        &mut self,
        now: Duration,
        plan: &mut CallPlan,
    ) -> Result<ServerTry, RefusalReason> {
        if now >= plan.deadline_at {
            return Err(RefusalReason::DeadlinePassed);
        }
        let Some(spec) = self.snapshot.document.services.get(&plan.service) else {
            return Err(RefusalReason::NoEndpoint);
        };
        let service_load = self.service_loads.entry(Arc::clone(&plan.service));
        let service_load = service_load.or_default();
        let kilobytes = service_load.kilobytes(&plan.route);
        let costs = SearchCosts {
            full: &plan.full,
            default_work: service_load.mean_time(&plan.route),
            route: &plan.route,
            value: AnswerValue {
                target_left: plan.target_left(now),
                left: plan.deadline_at.saturating_sub(now),
                far: kilobytes * plan.far_cost_per_kb as f64 / WORTH_PARTS,
            },
        };
        let mut searches = vec![SlotSearch::ByScore];
        if plan.seeks_slots {
            searches = vec![SlotSearch::LeastLoss(costs)];
        }
        if plan.probes_left > 0 {
            searches.insert(0, SlotSearch::Free(costs));
        }
        // Guards against a version on trial that gets several times its share
        // while the servers of the old one are full: a call is offered to
        // several servers, and a draw for each would add up.
        let drawn = plan.version.take();
        let mut version = drawn.unwrap_or_else(|| draw_version(spec, &mut self.rng));
        if !self.guard.admits(&plan.service, &version) {
            version = Arc::clone(&spec.version);
        }
        plan.version = Some(Arc::clone(&version));
        let mut chosen = None;
        for version in [&version, &spec.version] {
            let pool = if spec.takes_any_version() {
                self.servers.largest_pool(&plan.service)
            } else {
                self.servers.pool(&plan.service, version)
            };
            let Some(pool) = pool else {
                continue;
            };
            let share = spec.candidate.as_ref().and_then(|candidate| {
                let on_trial = candidate.version == *version;
                on_trial.then_some(candidate.share_per_mille)
            });
            let among = share.map(|share| pool.subset_for_share(share));
            for search in &searches {
                let need = ServerCriteria {
                    tried: &plan.tried,
                    idempotent: plan.idempotent,
                    search: *search,
                    allowed: among.as_deref(),
                };
                chosen = chosen.or_else(|| pool.choose(now, &need, &mut self.rng));
            }
        }
        // Where every server has been tried, the last refusal says more.
        let none = plan.failed_for.unwrap_or(RefusalReason::NoEndpoint);
        let chosen = chosen.ok_or(none)?;
        if chosen.wait_max.is_none() {
            plan.tried.push(Arc::clone(&chosen.instance));
        } else {
            plan.probes_left -= 1;
            plan.full.push(Arc::clone(&chosen.instance));
        }
        Ok(chosen)
    }

    /// A try failed: what follows. Only a try that did not run is repeated,
    /// unless the call is idempotent.
    pub fn failed(
        &mut self,
        now: Duration,
        plan: &mut CallPlan,
        server: &ServerTry,
        failure: TryFailure,
    ) -> NextStep {
        let next = self.next_step(now, plan, server, failure);
        if let NextStep::Refuse(_) = next {
            self.turned_away(now, plan);
        }
        next
    }

    fn next_step(
        &mut self,
        now: Duration,
        plan: &mut CallPlan,
        server: &ServerTry,
        failure: TryFailure,
    ) -> NextStep {
        let evidence = evidence_of(failure);
        self.servers.end(now, &server.instance, evidence);
        plan.verdict = plan.verdict.max(failure.verdict);
        plan.failed_for = Some(failure.reason);
        if server.wait_max.is_some() && failure.reason != RefusalReason::NoFreeSlot {
            // It refused or failed for another reason than want of a slot.
            plan.tried.push(Arc::clone(&server.instance));
        }
        let service_load = self.service_loads.entry(Arc::clone(&plan.service));
        let service_load = service_load.or_default();
        if evidence == TryOutcome::Full {
            service_load.record_overload(now, &mut self.rng);
        }
        if failure.reached_server() {
            // Failed by a version on trial, it is not for that one again.
            let spec = self.snapshot.document.services.get(&plan.service);
            plan.version = spec.map(|spec| Arc::clone(&spec.version));
            plan.repeats = RepeatProbability::REPEAT;
        }
        plan.tries.spend(failure);
        let tries_left = !plan.tries.is_spent();
        let time_left = now < plan.deadline_at;
        let wanted = failure.reason.retry();
        let Some(reason) = wanted.filter(|_| tries_left && time_left) else {
            return NextStep::Refuse(failure.reason);
        };
        if !plan.is_harmless(failure.verdict) {
            return NextStep::Refuse(failure.reason);
        }
        // A refusal by a server's node reaches no server. Where calls seek slots
        // it is part of the search, whose length the tries bound.
        let full = evidence == TryOutcome::Full && !plan.seeks_slots;
        let costs = failure.reached_server() || full;
        if costs && !service_load.budget.spend(&mut self.rng) {
            return NextStep::Refuse(match plan.verdict {
                // Its caller may come back sooner than to a full service.
                CallVerdict::NotRun if failure.reason == RefusalReason::ServerRefused => {
                    failure.reason
                }
                CallVerdict::NotRun => RefusalReason::RetryBudget,
                // The caller must read what happened to a request that
                // may have run in this or an earlier try.
                _ => failure.reason,
            });
        }
        NextStep::Retry(reason)
    }

    /// A try's answer has been passed on, or given up after its head.
    pub fn ended(&mut self, now: Duration, report: &TryReport) {
        let service_load = self.service_loads.entry(Arc::clone(&report.service));
        let service_load = service_load.or_default();
        let evidence = match report.status {
            STATUS_SHED => {
                service_load.record_overload(now, &mut self.rng);
                TryOutcome::Full
            }
            status => {
                service_load.accepted(now, &report.customer, report.priority);
                if let Some(bytes) = report.bytes {
                    service_load.record_size(&report.route, bytes);
                }
                service_load.outcome(report, STATUS_FAILED.contains(&status))
            }
        };
        self.servers.end(now, &report.instance, evidence);
    }

    /// A server's node told of its load, with an answer to a call on `route`.
    pub fn told(
        &mut self,
        now: Duration,
        instance: &str,
        route: &Arc<str>,
        load: ReportedLoad,
    ) {
        self.servers.record_load(now, instance, route, load);
    }

    /// A try was given up by its caller before any answer.
    pub fn abandoned(&mut self, now: Duration, instance: &str) {
        self.servers.end(now, instance, TryOutcome::Nothing);
    }
}

/// What a failure says of its server.
fn evidence_of(failure: TryFailure) -> TryOutcome {
    match failure.reason {
        RefusalReason::QueueFull
        | RefusalReason::QueueTimeout
        | RefusalReason::ServerRefused => TryOutcome::Full,
        RefusalReason::Draining
        | RefusalReason::Stopping
        | RefusalReason::NotAnnounced => TryOutcome::Unavailable,
        RefusalReason::ConnectFailed
        | RefusalReason::ConnectionBroken
        | RefusalReason::ServerFailed => TryOutcome::Failed,
        // No answer in time; a refusal for want of time says nothing.
        RefusalReason::DeadlinePassed if failure.verdict != CallVerdict::NotRun => {
            TryOutcome::Failed
        }
        _ => TryOutcome::Nothing,
    }
}

/// The service for one call: by weight where the route splits its calls.
fn draw_service<'a>(route: &'a RouteSpec, rng: &mut SmallRng) -> &'a Arc<str> {
    let whole: u32 = route.split.iter().map(|part| part.weight).sum();
    if whole == 0 {
        return &route.service;
    }
    let mut drawn = rng.random_range(0..whole);
    for part in &route.split {
        if drawn < part.weight {
            return &part.service;
        }
        drawn -= part.weight;
    }
    &route.service
}

/// The version for one call: the candidate with its share, else the one in
/// service.
fn draw_version(spec: &ServiceSpec, rng: &mut SmallRng) -> Arc<str> {
    let Some(candidate) = &spec.candidate else {
        return Arc::clone(&spec.version);
    };
    if rng.random_range(0..WHOLE_PER_MILLE) < candidate.share_per_mille {
        return Arc::clone(&candidate.version);
    }
    Arc::clone(&spec.version)
}
