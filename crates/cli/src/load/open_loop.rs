//! Sends calls at their due times, whether or not earlier calls have ended.

use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use awc::Client;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_wire::http_client;
use cowslip_wire::http_client::ClientConfig;

use super::call_tally::CallOutcome;
use super::call_tally::CallTally;

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections are closed well before the server closes them at 75 s, so
/// that no call is lost to a connection closing under it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout for the calls in flight after the last one was sent.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between checks for calls in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Twice the resolution of the event loop's timer.
const TIMER_MARGIN: Duration = Duration::from_millis(2);

/// Targets, calls and rate of a run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// URLs, called in turn.
    pub targets: Vec<String>,
    /// Another URL to compare with. It gets the calls of every other second: if
    /// both were called at once they would slow each other down, and the tool
    /// itself would distort the difference.
    pub baseline: Option<String>,
    /// HTTP method of each call.
    pub method: Method,
    /// Size of each request body, in bytes.
    pub body_bytes: usize,
    /// Number of customers, named `customer-0` and so on, used in turn; 0 sends
    /// no customer.
    pub customers: u32,
    /// Deadline sent with each call, if any.
    pub deadline: Option<Duration>,
    /// Calls per second over all threads.
    pub rate: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Maximum number of calls over all threads.
    pub calls_max: u64,
    /// Maximum number of calls in flight, per thread; calls due beyond it are
    /// counted as unsent.
    pub in_flight_max: usize,
    /// Number of sending threads.
    pub threads: u32,
    /// Seed of the intervals between calls.
    pub seed: u64,
}

/// Results of a run, for the targets and for the URL compared with.
#[derive(Clone, Debug, Default)]
pub struct RunTallies {
    /// Calls to the targets.
    pub calls: CallTally,
    /// Calls to the URL to compare with.
    pub baseline: CallTally,
}

/// Runs the plan to its end, with one client and one event loop per thread.
pub fn run(plan: &LoadPlan) -> RunTallies {
    let mut senders = Vec::new();
    for number in 0..plan.threads.max(1) {
        let plan = plan.clone();
        senders.push(thread::spawn(move || {
            let sender = LoadSender::new(plan, number);
            actix_rt::System::new().block_on(sender.run())
        }));
    }
    let mut tallies = RunTallies::default();
    for sender in senders {
        match sender.join() {
            Ok(part) => {
                tallies.calls.merge(&part.calls);
                tallies.baseline.merge(&part.baseline);
            }
            Err(panic) => std::panic::resume_unwind(panic),
        }
    }
    tallies
}

/// Waits until `due` after `started`. The event loop's timer has a resolution of
/// one millisecond, an error that would appear in every latency. The last
/// milliseconds are therefore spent yielding, which keeps one core per sending
/// thread busy.
async fn wait_until(started: Instant, due: Duration) {
    while let Some(wait) = due.checked_sub(started.elapsed()) {
        match wait.checked_sub(TIMER_MARGIN) {
            Some(sleep) if !sleep.is_zero() => actix_rt::time::sleep(sleep).await,
            _ => tokio::task::yield_now().await,
        }
    }
}

struct LoadSender {
    plan: Rc<LoadPlan>,
    client: Client,
    body: Bytes,
    rng: SmallRng,
    tallies: Rc<RefCell<RunTallies>>,
}

impl LoadSender {
    fn new(plan: LoadPlan, number: u32) -> Self {
        let client = http_client::build(ClientConfig {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            connections_max: plan.in_flight_max,
        });
        Self {
            client,
            body: Bytes::from(vec![b'x'; plan.body_bytes]),
            rng: SmallRng::seed_from_u64(plan.seed ^ u64::from(number)),
            tallies: Rc::default(),
            plan: Rc::new(plan),
        }
    }

    async fn run(mut self) -> RunTallies {
        let threads = f64::from(self.plan.threads.max(1));
        let calls_max = self.plan.calls_max / u64::from(self.plan.threads.max(1));
        let mean_gap = threads / self.plan.rate;
        let started = Instant::now();
        let mut due = Duration::ZERO;
        let mut sent = 0;
        while due < self.plan.duration && sent < calls_max {
            wait_until(started, due).await;
            self.send(started, due, sent);
            sent += 1;
            // Exponential intervals (Poisson arrivals), as independent callers
            // produce them: an even rate would hide a server that cannot
            // cope with bursts.
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-uniform.ln() * mean_gap);
        }
        self.wait_for_in_flight().await;
        self.tallies.borrow().clone()
    }

    fn send(&self, started: Instant, due: Duration, number: u64) {
        let to_baseline = self.plan.baseline.is_some() && due.as_secs() % 2 == 1;
        if Rc::strong_count(&self.tallies) > self.plan.in_flight_max {
            self.tallies.borrow_mut().tally_mut(to_baseline).unsent += 1;
            return;
        }
        let tallies = Rc::clone(&self.tallies);
        let plan = Rc::clone(&self.plan);
        let client = self.client.clone();
        let body = self.body.clone();
        actix_rt::spawn(async move {
            let target = plan.target(to_baseline, number);
            let outcome = send_call(&client, &plan, target, body, number).await;
            let latency = started.elapsed().saturating_sub(due);
            let mut tallies = tallies.borrow_mut();
            tallies.tally_mut(to_baseline).record(due, latency, outcome);
        });
    }

    async fn wait_for_in_flight(&self) {
        let ended = Instant::now();
        while Rc::strong_count(&self.tallies) > 1 && ended.elapsed() < IN_FLIGHT_TIMEOUT {
            actix_rt::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
        }
    }
}

impl LoadPlan {
    fn target(&self, to_baseline: bool, number: u64) -> &str {
        match &self.baseline {
            Some(baseline) if to_baseline => baseline,
            _ => &self.targets[number as usize % self.targets.len()],
        }
    }
}

impl RunTallies {
    fn tally_mut(&mut self, to_baseline: bool) -> &mut CallTally {
        if to_baseline {
            return &mut self.baseline;
        }
        &mut self.calls
    }
}

async fn send_call(
    client: &Client,
    plan: &LoadPlan,
    target: &str,
    body: Bytes,
    number: u64,
) -> CallOutcome {
    let mut request = client.request(plan.method.clone(), target);
    if plan.customers > 0 {
        let customer = number % u64::from(plan.customers);
        request =
            request.insert_header(("cowslip-customer", format!("customer-{customer}")));
    }
    if let Some(deadline) = plan.deadline {
        let millis = deadline.as_millis().to_string();
        request = request.insert_header(("cowslip-deadline-ms", millis));
    }
    let failed = |reason: &str| CallOutcome {
        status: 0,
        verdict: "none".to_owned(),
        reason: reason.to_owned(),
    };
    let mut response = match request.send_body(body).await {
        Ok(response) => response,
        Err(_) => return failed("no-answer"),
    };
    if response.body().limit(usize::MAX).await.is_err() {
        return failed("cut-answer");
    }
    let text = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    CallOutcome {
        status: response.status().as_u16(),
        verdict: text("cowslip-verdict").unwrap_or_else(|| "none".to_owned()),
        reason: text("cowslip-reason").unwrap_or_default(),
    }
}
