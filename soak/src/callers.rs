//! Callers that write down what became of each request.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_http::header::HeaderMap;
use awc::error::SendRequestError;
use awc::Client;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_node::call_headers;

use crate::sightings::Outcome;
use crate::sightings::SentCall;
use crate::sightings::Sightings;

/// Path of the work that the backend servers do.
pub const WORK_PATH: &str = "/work";

/// Time that callers give, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// Time after which they give up by themselves, well beyond it.
const PATIENCE: Duration = Duration::from_secs(4);

/// Longest pause between two requests of a caller, in milliseconds.
const PAUSE_MS_MAX: u64 = 120;

/// One request of so many asks for one of the operator's routes.
const PROBE_EVERY: u32 = 3;

/// What all callers share.
pub struct CallerPlan {
    /// Where the nodes take calls.
    pub nodes: Vec<SocketAddr>,
    /// Routes added so far.
    pub routes: Rc<Cell<u64>>,
    /// Set once no more calls are to be made.
    pub over: Rc<Cell<bool>>,
    /// Times count from here.
    pub started: Instant,
    /// Where outcomes go.
    pub sightings: Rc<RefCell<Sightings>>,
}

/// One caller's requests, one after the other, until the run is over. Its
/// connections stay open until the other side closes them.
pub async fn call_on(plan: Rc<CallerPlan>, seed: u64) {
    let client = Client::builder().timeout(PATIENCE).finish();
    let mut random = SmallRng::seed_from_u64(seed);
    while !plan.over.get() {
        let call = draw(&plan, &mut random);
        let sent = plan.started.elapsed();
        let outcome = send(&client, &plan, &call).await;
        plan.sightings.borrow_mut().calls.push(SentCall {
            id: call.id,
            node: call.node,
            once: call.once,
            probe: call.probe,
            sent,
            ended: plan.started.elapsed(),
            outcome,
        });
        let pause = random.random_range(1..PAUSE_MS_MAX);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
    }
}

struct DrawnCall {
    id: Arc<str>,
    node: usize,
    once: bool,
    probe: Option<u64>,
    body: String,
}

fn draw(plan: &CallerPlan, random: &mut SmallRng) -> DrawnCall {
    let id: u64 = random.random();
    let routes = plan.routes.get();
    let probing = routes > 0 && random.random_ratio(1, PROBE_EVERY);
    // Mostly the newest: those are what a node may not know yet.
    let newest = random.random_range(0..3.min(routes.max(1)));
    DrawnCall {
        id: format!("{id:016x}").into(),
        node: random.random_range(0..plan.nodes.len()),
        once: !probing && random.random_bool(0.5),
        probe: probing.then_some(routes.saturating_sub(newest)),
        body: "x".repeat(random.random_range(0..4_000)),
    }
}

async fn send(client: &Client, plan: &CallerPlan, call: &DrawnCall) -> Outcome {
    let node = plan.nodes[call.node];
    let url = match call.probe {
        Some(route) => format!("http://{node}/route-{route}"),
        None => format!("http://{node}{WORK_PATH}"),
    };
    let request = if call.once {
        client.post(url)
    } else {
        client.get(url)
    };
    let request = request
        .insert_header((call_headers::REQUEST_ID, call.id.to_string()))
        .insert_header((call_headers::DEADLINE_MS, DEADLINE_MS.to_string()));
    let body = if call.once { call.body.as_str() } else { "" };
    match request.send_body(body.to_owned()).await {
        Ok(mut response) => {
            let answer = AnswerHead {
                status: response.status().as_u16(),
                headers: response.headers().clone(),
            };
            let got = response.body().await.ok();
            outcome(&answer, got.as_deref(), &format!("{} {body}\n", call.id))
        }
        Err(SendRequestError::Connect(_)) => Outcome::NoConnection,
        Err(_) => Outcome::NoAnswer,
    }
}

/// The outcome of an answer of which the head came.
fn outcome(answer: &AnswerHead, body: Option<&[u8]>, expected: &str) -> Outcome {
    let Some(body) = body else {
        return Outcome::Cut;
    };
    if answer.status == 200 {
        return Outcome::Answered(body == expected.as_bytes());
    }
    Outcome::Refused {
        status: answer.status,
        verdict: answer.text(call_headers::VERDICT),
        reason: answer.text(call_headers::REASON),
    }
}

struct AnswerHead {
    status: u16,
    headers: HeaderMap,
}

impl AnswerHead {
    fn text(&self, name: &str) -> String {
        let value = self.headers.get(name);
        let value = value.and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }
}
