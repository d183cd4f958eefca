//! The load patterns, each defined by a fleet and the calls offered to it, and
//! summaries of the callers' results.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_core::document::CallPriority;
use cowslip_core::load::queue_order::QueueOrder;

use crate::fake_fleet::CallerRequest;
use crate::fake_fleet::CallerResult;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FleetPlan;
use crate::fake_fleet::PolicyKind;
use crate::fake_fleet::WorkFactor;
use crate::fake_fleet::START;

pub const PRICES: usize = 0;
pub const QUOTA: usize = 1;
pub const EXPORT: usize = 2;

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Three servers with five slots each. With jobs of 10 ms their capacity is
/// 1,500 calls a second.
pub fn fleet(policy: PolicyKind) -> FleetPlan {
    FleetPlan {
        policy,
        servers: 3,
        slots: 5,
        entries: 6,
        routes: vec![
            ("/prices", CallPriority::High, millis(10)),
            ("/quota", CallPriority::Low, millis(10)),
            ("/export", CallPriority::Low, millis(400)),
        ],
        work_factor: |_, _, _| Some(1.0),
        resends: 0,
        order: QueueOrder::OldestFirst,
        joins_after: None,
    }
}

/// A Poisson stream of calls.
#[derive(Clone, Debug)]
pub struct CallStream {
    pub from: Duration,
    pub until: Duration,
    pub per_second: f64,
    pub customers: u32,
    pub name: &'static str,
    pub route: usize,
    pub deadline: Duration,
}

impl CallStream {
    /// `per_second` calls from ten customers for three seconds.
    pub fn steady(per_second: f64, route: usize) -> Self {
        Self {
            from: Duration::ZERO,
            until: Duration::from_secs(3),
            per_second,
            customers: 10,
            name: "grower",
            route,
            deadline: millis(200),
        }
    }

    /// Limits the stream to the milliseconds after [`START`] from `from` to `until`.
    pub fn between(mut self, from: u64, until: u64) -> Self {
        self.from = millis(from);
        self.until = millis(until);
        self
    }

    /// Spreads the calls over `customers` customers, named `name` and a number.
    pub fn with_customers(mut self, name: &'static str, customers: u32) -> Self {
        self.name = name;
        self.customers = customers;
        self
    }

    /// Sets the deadline of each call, in milliseconds.
    pub fn with_deadline(mut self, deadline: u64) -> Self {
        self.deadline = millis(deadline);
        self
    }
}

/// The calls of all streams, ordered by time.
pub fn offered_calls(streams: &[CallStream]) -> Vec<CallerRequest> {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut calls = Vec::new();
    for stream in streams {
        let mut names: Vec<Arc<str>> = Vec::new();
        for number in 0..stream.customers {
            names.push(format!("{}-{number}", stream.name).into());
        }
        let mut at = stream.from.as_secs_f64();
        while at < stream.until.as_secs_f64() {
            let customer = &names[rng.random_range(0..names.len())];
            calls.push(CallerRequest {
                at: START + Duration::from_secs_f64(at),
                customer: Arc::clone(customer),
                route: stream.route,
                deadline: stream.deadline,
            });
            at += -(1.0 - rng.random::<f64>()).ln() / stream.per_second;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// Summary of the results of a group of callers.
#[derive(Clone, Debug)]
pub struct ResultSummary {
    pub offered: usize,
    /// Share of the calls that got a successful answer within the deadline.
    pub in_time: f64,
    pub p50: Duration,
    pub p99: Duration,
    /// 99th percentile of the time until the final answer of calls that were
    /// refused or failed.
    pub refused_p99: Duration,
    pub tries: f64,
}

impl CallerResult {
    pub fn is_answered(&self) -> bool {
        self.refused.is_none() && self.status < 500
    }
}

fn quantile(times: &mut [Duration], share: f64) -> Duration {
    times.sort_unstable();
    let at = (times.len() as f64 * share) as usize;
    let last = times.len().saturating_sub(1);
    times.get(at.min(last)).copied().unwrap_or_default()
}

pub fn summarize<'a>(
    received: impl IntoIterator<Item = &'a CallerResult>,
) -> ResultSummary {
    let mut answered = Vec::new();
    let mut refused = Vec::new();
    let mut tries = 0;
    for result in received {
        tries += result.tries;
        if result.is_answered() {
            answered.push(result.took);
        } else {
            refused.push(result.took);
        }
    }
    let offered = answered.len() + refused.len();
    ResultSummary {
        offered,
        in_time: answered.len() as f64 / offered.max(1) as f64,
        p50: quantile(&mut answered, 0.5),
        p99: quantile(&mut answered, 0.99),
        refused_p99: quantile(&mut refused, 0.99),
        tries: f64::from(tries) / offered.max(1) as f64,
    }
}

/// The results of the customers whose name starts with `name`.
pub fn by_customer<'a>(
    received: &'a [CallerResult],
    name: &'a str,
) -> impl Iterator<Item = &'a CallerResult> {
    let matching = move |result: &&CallerResult| result.call.customer.starts_with(name);
    received.iter().filter(matching)
}

pub fn by_route(
    received: &[CallerResult],
    route: usize,
) -> impl Iterator<Item = &CallerResult> {
    received
        .iter()
        .filter(move |result| result.call.route == route)
}

fn run(plan: &FleetPlan, streams: &[CallStream]) -> Vec<CallerResult> {
    FakeFleet::run(plan, offered_calls(streams)).0
}

/// The results of calls made at least `from` milliseconds after [`START`].
pub fn called_since(received: Vec<CallerResult>, from: u64) -> Vec<CallerResult> {
    let mut kept = received;
    kept.retain(|result| result.call.at >= START + millis(from));
    kept
}

/// 200 calls within 10 ms on top of a load of two fifths of the capacity.
pub fn burst(policy: PolicyKind) -> Vec<CallerResult> {
    let spike = CallStream::steady(20_000.0, PRICES).between(1_000, 1_010);
    run(&fleet(policy), &[CallStream::steady(600.0, PRICES), spike])
}

/// Twenty small customers below the capacity, and one customer that sends four
/// times the capacity.
pub fn hot_customer(policy: PolicyKind) -> Vec<CallerResult> {
    let small = CallStream::steady(400.0, PRICES).with_customers("small", 20);
    let hot = CallStream::steady(6_000.0, PRICES).with_customers("hot", 1);
    run(
        &fleet(policy),
        &[small.between(0, 2_000), hot.between(0, 2_000)],
    )
}

/// Buyers below the capacity, and growers at twice the capacity.
pub fn priorities(policy: PolicyKind) -> Vec<CallerResult> {
    let buyers = CallStream::steady(400.0, PRICES).between(0, 2_000);
    let growers = CallStream::steady(3_000.0, QUOTA).between(0, 2_000);
    run(&fleet(policy), &[buyers, growers])
}

fn six_servers(policy: PolicyKind, work_factor: WorkFactor) -> FleetPlan {
    FleetPlan {
        servers: 6,
        work_factor,
        ..fleet(policy)
    }
}

/// One server of six takes ten times as long as the others.
pub fn slow_server(policy: PolicyKind) -> Vec<CallerResult> {
    let slow: WorkFactor = |server, _, _| Some(if server == 0 { 10.0 } else { 1.0 });
    let stream = CallStream::steady(1_500.0, PRICES).between(0, 4_000);
    called_since(run(&six_servers(policy, slow), &[stream]), 1_000)
}

/// One server of six fails each call within 1 ms.
pub fn fails_fast(policy: PolicyKind) -> Vec<CallerResult> {
    let fails: WorkFactor = |server, _, _| (server != 0).then_some(1.0);
    run(
        &six_servers(policy, fails),
        &[CallStream::steady(1_500.0, PRICES)],
    )
}

/// Every server fails for half a second, and then none. Returns the results of
/// calls made after that.
pub fn all_fail(policy: PolicyKind) -> Vec<CallerResult> {
    let fails: WorkFactor = |_, since, _| (since > millis(500)).then_some(1.0);
    let stream = CallStream::steady(1_500.0, PRICES).between(0, 2_000);
    called_since(run(&six_servers(policy, fails), &[stream]), 600)
}

/// Jobs of 400 ms that need one and a half times the capacity, mixed with jobs
/// of 10 ms that need a fifth of it.
pub fn long_jobs(policy: PolicyKind) -> Vec<CallerResult> {
    let short = CallStream::steady(300.0, PRICES).between(0, 8_000);
    let long = CallStream::steady(56.0, EXPORT)
        .between(0, 8_000)
        .with_deadline(5_000);
    called_since(run(&fleet(policy), &[short, long]), 3_000)
}

/// A load of `times` the capacity.
pub fn overload(policy: PolicyKind, times: f64) -> Vec<CallerResult> {
    let stream = CallStream::steady(1_500.0 * times, PRICES);
    run(&fleet(policy), &[stream.between(0, 2_000)])
}

/// A load of `times` the capacity with the given queue order and deadline in
/// milliseconds.
pub fn with_queue_order(
    order: QueueOrder,
    times: f64,
    deadline: u64,
) -> Vec<CallerResult> {
    let plan = FleetPlan {
        order,
        ..fleet(PolicyKind::Real)
    };
    let stream = CallStream::steady(1_500.0 * times, PRICES).with_deadline(deadline);
    run(&plan, &[stream.between(0, 2_000)])
}

/// Half a second at three times the capacity, where refused callers resend up
/// to five times. Returns the results of calls made from one second after its
/// end.
pub fn after_storm(policy: PolicyKind) -> Vec<CallerResult> {
    let plan = FleetPlan {
        resends: 5,
        ..fleet(policy)
    };
    let steady = CallStream::steady(500.0, PRICES).between(0, 4_000);
    let storm = CallStream::steady(4_000.0, PRICES).between(500, 1_000);
    called_since(
        run(&plan, &[steady, storm.with_customers("storm", 50)]),
        2_000,
    )
}

/// All calls enter in one failure domain and need one and a half times the
/// capacity of its server; the other servers are idle.
pub fn hot_domain(policy: PolicyKind) -> Vec<CallerResult> {
    let plan = FleetPlan {
        entries: 1,
        ..fleet(policy)
    };
    run(&plan, &[CallStream::steady(750.0, PRICES)])
}

/// A cold server joins five others that are loaded to nine tenths of their
/// capacity. Its jobs take 30 times as long for half a second. Returns the
/// results of calls made in that time.
pub fn cold_join(policy: PolicyKind) -> Vec<CallerResult> {
    let cold: WorkFactor = |server, since, _| {
        let warm = server > 0 || since > millis(1_500);
        Some(if warm { 1.0 } else { 30.0 })
    };
    let plan = FleetPlan {
        joins_after: Some(millis(1_000)),
        ..six_servers(policy, cold)
    };
    let stream = CallStream::steady(2_250.0, PRICES).between(0, 1_500);
    called_since(run(&plan, &[stream]), 1_000)
}

/// Calls with one routing key, its customer, at half of the capacity. Returns the
/// number of calls started at each server.
pub fn hot_key(policy: PolicyKind) -> Vec<u32> {
    let plan = six_servers(policy, |_, _, _| Some(1.0));
    let stream = CallStream::steady(1_500.0, PRICES).with_customers("hot", 1);
    FakeFleet::run(&plan, offered_calls(&[stream])).1
}

/// Servers announce sixteen slots but can run only four jobs at once. Beyond
/// four every job slows down all others, so that twice as many concurrent jobs
/// complete half as much work. The load is one and a half times the capacity
/// with four concurrent jobs.
pub fn overstated_slots(policy: PolicyKind) -> Vec<CallerResult> {
    let thrashing: WorkFactor = |_, _, running| {
        let over = (running as f64 / 4.0).max(1.0);
        Some(over * over)
    };
    let plan = FleetPlan {
        slots: 16,
        work_factor: thrashing,
        ..fleet(policy)
    };
    let light = CallStream::steady(500.0, PRICES).between(0, 1_000);
    let heavy = CallStream::steady(1_800.0, PRICES).between(1_000, 6_000);
    called_since(run(&plan, &[light, heavy]), 2_000)
}
