//! Routing at an entry node: matches a call's head to a route, chooses a
//! server for each try, and decides whether a failed try is retried.
//!
//! The router holds one complete configuration snapshot and the endpoint
//! directory. A snapshot is replaced as a whole and never edited, so a route
//! cannot outlive its service.

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
use crate::document::CallContext;
use crate::document::DocumentFault;
use crate::document::FleetDocument;
use crate::document::RepeatRule;
use crate::document::RouteSpec;
use crate::document::ServiceSpec;
use crate::load::answer_value::AnswerValue;
use crate::load::cold_limit::ColdRule;
use crate::load::fleet_servers::FleetServers;
use crate::load::repeat_probability::RepeatProbability;
use crate::load::retry_budget::BudgetConfig;
use crate::load::retry_budget::RetryCredit;
use crate::load::server_load::ReportedLoad;
use crate::load::server_pool::SearchCosts;
use crate::load::server_pool::ServerCriteria;
use crate::load::server_pool::ServerOutcome;
use crate::load::server_pool::SlotSearch;
use crate::load::service_load::ServiceLoad;
use crate::refusal::RefusalReason;
use crate::rollout::last_server::is_last_old_server;
use crate::rollout::node_guard::NodeGuard;
use crate::route_table::PathMatch;
use crate::route_table::RouteTable;
use crate::server_gate::QueueBounds;
use crate::server_notice::ServerNotices;
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

/// All traffic, in per mille.
const WHOLE_PER_MILLE: u16 = 1_000;

/// Divisor of the cost settings, which are in thousandths of an answer's
/// value.
const COST_DIVISOR: f64 = 1_000.0;

/// Sender of a call to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller on the callers' listener.
    Outside,
    /// The backend server that this node serves.
    Backend,
}

/// The parts of a call's head that routing needs.
#[derive(Clone, Debug)]
pub struct CallHead<'a> {
    /// Requested host without a port; empty if the caller names none.
    pub host: &'a str,
    /// Requested path without the query.
    pub path: &'a str,
    /// Listener on which the call arrived.
    pub origin: CallOrigin,
    /// Customer that the call is made for; empty if the caller names none.
    pub customer: &'a str,
    /// True if the call's method is idempotent; a repeat rule of the route
    /// takes precedence.
    pub idempotent: bool,
    /// Time that the caller allows for the call, if it states one.
    pub deadline: Option<Duration>,
}

/// Status of a backend server that sheds load.
const STATUS_SHED: u16 = 503;

/// Statuses that count as failures of the backend server. Other 5xx statuses,
/// except `STATUS_SHED`, say that it does not support the request.
const STATUS_FAILED: [u16; 3] = [500, 502, 504];

/// Routing state of one entry node.
#[derive(Debug)]
pub struct EntryRouter {
    failure_domain: Arc<str>,
    snapshot: ConfigSnapshot,
    routes: RouteTable,
    path_match: PathMatch,
    directory: EndpointDirectory,
    servers: FleetServers,
    service_loads: HashMap<Arc<str>, ServiceLoad>,
    guard: NodeGuard,
    notices: ServerNotices,
    /// The most nodes that this one has known, or that the configuration names as
    /// holders of keys. They share the retry budget; nodes that cannot be seen now
    /// still spend their shares.
    nodes_max: usize,
    rng: SmallRng,
}

impl EntryRouter {
    /// Creates a router in `failure_domain` without a configuration and with an
    /// empty directory. `seed` seeds its random choices.
    pub fn new(failure_domain: Arc<str>, seed: u64) -> Self {
        Self {
            failure_domain,
            snapshot: ConfigSnapshot::default(),
            routes: RouteTable::default(),
            path_match: PathMatch::default(),
            directory: EndpointDirectory::default(),
            servers: FleetServers::default(),
            service_loads: HashMap::new(),
            guard: NodeGuard::default(),
            notices: ServerNotices::default(),
            nodes_max: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets which paths the routes of later snapshots match.
    #[must_use]
    pub fn with_path_match(mut self, path_match: PathMatch) -> Self {
        self.path_match = path_match;
        self
    }

    /// Version of the configuration in use; `ZERO` before the first one.
    pub fn version(&self) -> ConfigVersion {
        self.snapshot.version
    }

    /// Document of the configuration in use.
    pub fn document(&self) -> &FleetDocument {
        &self.snapshot.document
    }

    /// This node's copy of the endpoint directory.
    pub fn directory(&self) -> &EndpointDirectory {
        &self.directory
    }

    /// Sets of nodes that hold the claim on a key; empty if the configuration
    /// names no claim holders yet.
    pub fn holder_sets(&self, key: &KeyDigest) -> Vec<Vec<Arc<str>>> {
        let roster = &self.snapshot.document.holders;
        if roster.is_empty() {
            return Vec::new();
        }
        roster.holder_sets(key)
    }

    /// Replaces the snapshot in use. Returns `Ok(false)` if the new one is not
    /// newer.
    ///
    /// # Errors
    ///
    /// Returns the faults of an invalid snapshot and keeps the one in use.
    pub fn swap(&mut self, snapshot: ConfigSnapshot) -> Result<bool, Vec<DocumentFault>> {
        // Late answers, and sources that were cut off while they held an old
        // configuration, must not revert the routes. Only this function
        // replaces the snapshot in use.
        if snapshot.version <= self.snapshot.version {
            return Ok(false);
        }
        let faults = validate_edit(&self.snapshot.document, &snapshot.document);
        if !faults.is_empty() {
            return Err(faults);
        }
        self.routes = RouteTable::new(&snapshot.document, self.path_match);
        self.guard.install(&snapshot.document);
        self.snapshot = snapshot;
        let services = &self.snapshot.document.services;
        self.service_loads
            .retain(|name, _| services.contains_key(name));
        Ok(true)
    }

    /// Guard that counts the calls and outcomes of services under a move.
    pub fn guard(&mut self) -> &mut NodeGuard {
        &mut self.guard
    }

    /// Statements of the servers whose answers this node passed on.
    pub fn notices(&mut self) -> &mut ServerNotices {
        &mut self.notices
    }

    /// True if `instance` is the last server of the old version and must run
    /// until the move ends.
    pub fn is_last_old_server(&self, instance: &str) -> bool {
        is_last_old_server(&self.snapshot.document, &self.directory, instance)
    }

    /// Merges records into the directory; records older than those held are
    /// ignored.
    pub fn merge(&mut self, now: Duration, records: Vec<EndpointRecord>) {
        for record in records {
            if !self.directory.merge(record.clone()) {
                continue;
            }
            let near = record.failure_domain == self.failure_domain;
            self.servers.put(now, record, near);
        }
    }

    /// Bounds of the queue at a backend server of `service`.
    pub fn queue_bounds(&self, service: &str) -> QueueBounds {
        let context = CallContext {
            service,
            route: "",
            failure_domain: &self.failure_domain,
        };
        let document = &self.snapshot.document;
        let wait_ms = document.tuning(TuningKey::QueueWaitMs, &context);
        QueueBounds {
            cold: self.cold_rule(service, &context),
            slots_floor: document.tuning(TuningKey::SlotsFloor, &context) as u32,
            calls: document.tuning(TuningKey::QueueCalls, &context) as usize,
            wait: Duration::from_millis(wait_ms),
        }
    }

    /// Limit on calls to a cold backend server of `service`, if its document sets
    /// one.
    fn cold_rule(&self, service: &str, context: &CallContext<'_>) -> Option<ColdRule> {
        let document = &self.snapshot.document;
        let cold_start = document.services.get(service)?.cold_start?;
        let percent = document.tuning(TuningKey::ColdPercent, context);
        let burst = document.tuning(TuningKey::ColdBurst, context);
        Some(ColdRule::of(cold_start, percent, burst))
    }

    /// True if the backend servers of this node's failure domain get no calls.
    pub fn is_evacuated(&self) -> bool {
        self.snapshot.document.is_evacuated(&self.failure_domain)
    }

    /// Names of the services in the configuration in use.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.snapshot.document.services.keys()
    }

    /// Matches a call to its route, service and deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no configuration, no route serves the
    /// call, its route is internal and the call comes from outside, or the
    /// customer's throttle refuses it.
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
        let context = CallContext {
            service,
            route: &route.path,
            failure_domain: &self.failure_domain,
        };
        let document = &self.snapshot.document;
        let default_ms = document.tuning(TuningKey::DeadlineMs, &context);
        let allowed = head.deadline.unwrap_or(Duration::from_millis(default_ms));
        let timeout = route.timeout_ms.map(Duration::from_millis);
        let allowed = allowed.min(timeout.unwrap_or(allowed));
        let percent = document.tuning(TuningKey::RetryPercent, &context);
        let burst = document.tuning(TuningKey::RetryBurst, &context);
        let seats = document.holders.seats.len();
        let known = self.directory.len().max(seats);
        self.nodes_max = self.nodes_max.max(known);
        let config = BudgetConfig::of(percent, burst, self.nodes_max);
        let tries = document.tuning(TuningKey::TriesMax, &context);
        let probes = document.tuning(TuningKey::SlotProbes, &context);
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
            retry_credit: RetryCredit::default(),
            first_sent_at: now.saturating_sub(age),
            caller_deadline_at: head.deadline.map(|deadline| now + deadline),
            target_at: target.map(|target| now + target.saturating_sub(age)),
            tries: TryAllowance::of(route, tries),
            probes_slots: probes > 0,
            probes_left: probes,
            far_cost_per_kb: document.tuning(TuningKey::FarCostPerKb, &context),
            version: None,
            probed_servers: Vec::new(),
            tried_servers: Vec::new(),
            last_failure: None,
        };
        // Guards against self-sustaining overload: when a call that a server
        // makes for a running request is refused, the work already done for
        // that request is lost, and its caller retries all of it. The throttle
        // therefore refuses only calls from outside.
        let admitted =
            service_load.admit(now, &plan.customer, plan.priority, &mut self.rng);
        if !admitted && plan.origin == CallOrigin::Outside {
            self.record_refusal(now, &plan);
            return Err(RefusalReason::CustomerLimit);
        }
        service_load.budget.earn(now, config);
        Ok(plan)
    }

    /// Charges a call to the retry budget of the called service in proportion
    /// to `repeats`, the probability that the request that makes it is itself a
    /// repeat.
    pub fn charge_repeats(&mut self, plan: &mut CallPlan, repeats: RepeatProbability) {
        plan.repeats = repeats;
        if let Some(service_load) = self.service_loads.get_mut(&plan.service) {
            service_load.budget.charge(repeats);
        }
    }

    fn record_refusal(&mut self, now: Duration, plan: &CallPlan) {
        let Some(until) = plan.caller_deadline_at else {
            return;
        };
        if let Some(service_load) = self.service_loads.get_mut(&plan.service) {
            service_load.record_refusal(now, &plan.route, plan.first_sent_at, until);
        }
    }

    /// Chooses the server for the call's next try. The try counts as
    /// outstanding at that server until [`EntryRouter::failed`],
    /// [`EntryRouter::ended`] or [`EntryRouter::abandoned`] is called.
    ///
    /// # Errors
    ///
    /// Returns the reason if the deadline has passed or no server is left.
    pub fn begin(
        &mut self,
        now: Duration,
        plan: &mut CallPlan,
    ) -> Result<ServerTry, RefusalReason> {
        let begun = self.begin_at_server(now, plan);
        if begun.is_err() {
            self.record_refusal(now, plan);
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
            full: &plan.probed_servers,
            default_work: service_load.mean_time(&plan.route),
            route: &plan.route,
            value: AnswerValue {
                target_left: plan.target_left(now),
                left: plan.deadline_at.saturating_sub(now),
                far: kilobytes * plan.far_cost_per_kb as f64 / COST_DIVISOR,
            },
        };
        let mut searches = vec![SlotSearch::ByScore];
        if plan.probes_slots {
            searches = vec![SlotSearch::LeastLoss(costs)];
        }
        if plan.probes_left > 0 {
            searches.insert(0, SlotSearch::Free(costs));
        }
        // Guards against a candidate version that gets several times its share
        // while the servers of the old version are full: a call is offered to
        // several servers, and drawing the version for each offer would add to
        // the candidate's share.
        let evacuations = &self.snapshot.document.evacuations;
        let drawn = plan.version.take();
        let mut version = drawn.unwrap_or_else(|| draw_version(spec, &mut self.rng));
        if !self.guard.admits(&plan.service, &version) {
            version = Arc::clone(&spec.version);
        }
        plan.version = Some(Arc::clone(&version));
        let mut chosen = None;
        let mut all_evacuated = false;
        let versions = [&version, &spec.version];
        let distinct = if version == spec.version { 1 } else { 2 };
        // A call waits at the candidate version only if no server of the old version
        // has a free slot: the few servers that a small share goes to may be slow.
        for search in &searches {
            for version in &versions[..distinct] {
                let pool = if spec.takes_any_version() {
                    self.servers.largest_pool(&plan.service)
                } else {
                    self.servers.pool(&plan.service, version)
                };
                let Some(pool) = pool else {
                    continue;
                };
                all_evacuated = pool.is_evacuated(evacuations);
                let share = spec.candidate.as_ref().and_then(|candidate| {
                    let is_candidate = candidate.version == **version;
                    is_candidate.then_some(candidate.share_per_mille)
                });
                let allowed =
                    share.map(|share| pool.subset_for_share(share, evacuations));
                let criteria = ServerCriteria {
                    tried: &plan.tried_servers,
                    idempotent: plan.idempotent,
                    search: *search,
                    allowed: allowed.as_deref(),
                    evacuations,
                };
                chosen = chosen.or_else(|| pool.choose(now, &criteria, &mut self.rng));
            }
        }
        // If every server has been tried, the last failure is more specific
        // than `NoEndpoint`.
        let refusal = match plan.last_failure {
            Some(reason) => reason,
            None if all_evacuated => RefusalReason::Evacuated,
            None => RefusalReason::NoEndpoint,
        };
        let chosen = chosen.ok_or(refusal)?;
        if chosen.wait_max.is_none() {
            plan.tried_servers.push(Arc::clone(&chosen.instance));
        } else {
            plan.probes_left -= 1;
            plan.probed_servers.push(Arc::clone(&chosen.instance));
        }
        Ok(chosen)
    }

    /// Records a failed try and decides what follows. A retry needs remaining
    /// tries, time and retry budget; a call that may have run is retried only
    /// if it is idempotent and came from outside.
    pub fn failed(
        &mut self,
        now: Duration,
        plan: &mut CallPlan,
        server: &ServerTry,
        failure: TryFailure,
    ) -> NextStep {
        let next = self.next_step(now, plan, server, failure);
        if let NextStep::Refuse(_) = next {
            self.record_refusal(now, plan);
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
        let outcome = server_outcome(failure);
        self.servers.end(now, &server.instance, outcome);
        plan.verdict = plan.verdict.max(failure.verdict);
        plan.last_failure = Some(failure.reason);
        if server.wait_max.is_some() && failure.reason != RefusalReason::NoFreeSlot {
            // The probe failed for a reason other than the lack of a free slot,
            // so the server is not tried again.
            plan.tried_servers.push(Arc::clone(&server.instance));
        }
        let service_load = self.service_loads.entry(Arc::clone(&plan.service));
        let service_load = service_load.or_default();
        if outcome == ServerOutcome::Full {
            service_load.record_overload(now, &mut self.rng);
        }
        if failure.reached_server() {
            // The retry must not go to the candidate version that failed.
            let spec = self.snapshot.document.services.get(&plan.service);
            plan.version = spec.map(|spec| Arc::clone(&spec.version));
            plan.repeats = RepeatProbability::REPEAT;
        }
        plan.tries.spend(failure);
        let tries_left = !plan.tries.is_spent();
        let time_left = now < plan.deadline_at;
        let retry_reason = failure.reason.retry_reason();
        let Some(reason) = retry_reason.filter(|_| tries_left && time_left) else {
            return NextStep::Refuse(failure.reason);
        };
        if !plan.may_repeat(failure.verdict) {
            return NextStep::Refuse(failure.reason);
        }
        // A call that a server's node refuses does not reach the server. If
        // the call probes for slots, the refusal is part of the search, which
        // the allowed tries bound, and does not use the retry budget.
        let full = outcome == ServerOutcome::Full && !plan.probes_slots;
        let uses_budget = failure.reached_server() || full;
        if uses_budget && !service_load.budget.spend(&mut self.rng) {
            return NextStep::Refuse(match plan.verdict {
                // The caller may retry sooner than after a refusal by a full
                // service.
                CallVerdict::NotRun if failure.reason == RefusalReason::ServerRefused => {
                    failure.reason
                }
                CallVerdict::NotRun => RefusalReason::RetryBudget,
                // If the request may have run in this or an earlier try, the
                // caller must learn how it failed.
                _ => failure.reason,
            });
        }
        plan.retry_credit = service_load.budget.credit();
        NextStep::Retry(reason)
    }

    /// Records a try whose answer was passed on, or abandoned after its head.
    pub fn ended(&mut self, now: Duration, report: &TryReport) {
        let service_load = self.service_loads.entry(Arc::clone(&report.service));
        let service_load = service_load.or_default();
        let outcome = match report.status {
            STATUS_SHED => {
                service_load.record_overload(now, &mut self.rng);
                ServerOutcome::Full
            }
            status => {
                service_load.accepted(now, &report.customer, report.priority);
                if let Some(bytes) = report.bytes {
                    service_load.record_size(&report.route, bytes);
                }
                service_load.outcome(report, STATUS_FAILED.contains(&status))
            }
        };
        self.servers.end(now, &report.instance, outcome);
    }

    /// Records the load that a server's node reported with its answer to a call
    /// on `route`.
    pub fn record_load(
        &mut self,
        now: Duration,
        instance: &str,
        route: &Arc<str>,
        load: ReportedLoad,
    ) {
        self.servers.record_load(now, instance, route, load);
    }

    /// Records a try whose caller disconnected before any answer.
    pub fn abandoned(&mut self, now: Duration, instance: &str) {
        self.servers.end(now, instance, ServerOutcome::Unknown);
    }
}

/// What a failed try shows about its server.
fn server_outcome(failure: TryFailure) -> ServerOutcome {
    match failure.reason {
        RefusalReason::QueueFull
        | RefusalReason::QueueTimeout
        | RefusalReason::ServerRefused => ServerOutcome::Full,
        RefusalReason::Draining
        | RefusalReason::Evacuated
        | RefusalReason::Stopping
        | RefusalReason::NotAnnounced => ServerOutcome::Unavailable,
        RefusalReason::ConnectFailed
        | RefusalReason::ConnectionBroken
        | RefusalReason::ServerFailed => ServerOutcome::Failed,
        // The server did not answer in time. A call refused because its
        // deadline had passed says nothing about the server.
        RefusalReason::DeadlinePassed if failure.verdict != CallVerdict::NotRun => {
            ServerOutcome::Failed
        }
        _ => ServerOutcome::Unknown,
    }
}

/// Draws the service for a call, by weight if the route splits its traffic.
fn draw_service<'a>(route: &'a RouteSpec, rng: &mut SmallRng) -> &'a Arc<str> {
    let weights = route.split.iter().map(|part| u64::from(part.weight));
    let weight_sum: u64 = weights.sum();
    if weight_sum == 0 {
        return &route.service;
    }
    let mut drawn = rng.random_range(0..weight_sum);
    for part in &route.split {
        let weight = u64::from(part.weight);
        if drawn < weight {
            return &part.service;
        }
        drawn -= weight;
    }
    &route.service
}

/// Draws the version for a call: the candidate with the probability of its
/// share, otherwise the current version.
fn draw_version(spec: &ServiceSpec, rng: &mut SmallRng) -> Arc<str> {
    let Some(candidate) = &spec.candidate else {
        return Arc::clone(&spec.version);
    };
    if rng.random_range(0..WHOLE_PER_MILLE) < candidate.share_per_mille {
        return Arc::clone(&candidate.version);
    }
    Arc::clone(&spec.version)
}
