//! Callers that send requests and record the outcome of each.

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

use crate::backend::STATEMENTS_HEADER;
use crate::observations::CallOutcome;
use crate::observations::Observations;
use crate::observations::SentCall;

/// Path of the requests that make up most of the traffic.
pub const WORK_PATH: &str = "/work";

/// Deadline that callers send with each request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;

/// Client-side timeout of a request, well beyond its deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum pause between two requests of a caller, in milliseconds.
const PAUSE_MS_MAX: u64 = 120;

/// Number of the newest routes that are probed. The operator adds them within
/// several times the time in which a change must be in force.
const PROBED_ROUTES: u64 = 12;

/// Average number of requests per probe of one of the operator's routes.
const PROBE_EVERY: u32 = 3;

/// State that all callers share.
pub struct CallerContext {
    /// Addresses at which the nodes accept calls.
    pub nodes: Vec<SocketAddr>,
    /// Number of routes that the operator has added so far.
    pub routes: Rc<Cell<u64>>,
    /// Set once no more requests are to be sent.
    pub finished: Rc<Cell<bool>>,
    /// Start of the run, from which all times count.
    pub started: Instant,
    /// Record of the outcomes.
    pub observations: Rc<RefCell<Observations>>,
}

/// Sends one caller's requests, one after the other, until the run is finished.
/// Its connections stay open until the other side closes them.
pub async fn run_caller(context: Rc<CallerContext>, seed: u64) {
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut random = SmallRng::seed_from_u64(seed);
    while !context.finished.get() {
        let call = draw_call(&context, &mut random);
        let sent = context.started.elapsed();
        let answer = send(&client, &context, &call).await;
        context.observations.borrow_mut().calls.push(SentCall {
            id: call.id,
            node: call.node,
            at_most_once: call.at_most_once,
            probe: call.probe,
            sent,
            ended: context.started.elapsed(),
            outcome: answer.outcome,
            statements: answer.statements,
        });
        let pause = random.random_range(1..PAUSE_MS_MAX);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
    }
}

struct DrawnCall {
    id: Arc<str>,
    node: usize,
    at_most_once: bool,
    probe: Option<u64>,
    body: String,
}

fn draw_call(context: &CallerContext, random: &mut SmallRng) -> DrawnCall {
    let id: u64 = random.random();
    let routes = context.routes.get();
    let is_probe = routes > 0 && random.random_ratio(1, PROBE_EVERY);
    let age = random.random_range(0..PROBED_ROUTES.min(routes.max(1)));
    DrawnCall {
        id: format!("{id:016x}").into(),
        node: random.random_range(0..context.nodes.len()),
        at_most_once: !is_probe && random.random_bool(0.5),
        probe: is_probe.then_some(routes.saturating_sub(age)),
        body: "x".repeat(random.random_range(0..4_000)),
    }
}

/// What a caller observed of the answer to a request.
struct ObservedAnswer {
    outcome: CallOutcome,
    statements: Vec<usize>,
}

impl From<CallOutcome> for ObservedAnswer {
    fn from(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            statements: Vec::new(),
        }
    }
}

async fn send(
    client: &Client,
    context: &CallerContext,
    call: &DrawnCall,
) -> ObservedAnswer {
    let node = context.nodes[call.node];
    let url = match call.probe {
        Some(route) => format!("http://{node}/route-{route}"),
        None => format!("http://{node}{WORK_PATH}"),
    };
    let request = if call.at_most_once {
        client.post(url)
    } else {
        client.get(url)
    };
    let request = request
        .insert_header((call_headers::REQUEST_ID, call.id.to_string()))
        .insert_header((call_headers::DEADLINE_MS, DEADLINE_MS.to_string()));
    let body = if call.at_most_once {
        call.body.as_str()
    } else {
        ""
    };
    match request.send_body(body.to_owned()).await {
        Ok(mut response) => {
            let answer = AnswerHead {
                status: response.status().as_u16(),
                headers: response.headers().clone(),
            };
            let answer_body = response.body().await.ok();
            let outcome = classify(
                &answer,
                answer_body.as_deref(),
                &format!("{} {body}\n", call.id),
            );
            let statements = answer.text(STATEMENTS_HEADER);
            let statements = statements.split(',');
            ObservedAnswer {
                outcome,
                statements: statements.flat_map(str::parse).collect(),
            }
        }
        Err(SendRequestError::Connect(_)) => CallOutcome::NoConnection.into(),
        Err(_) => CallOutcome::NoAnswer.into(),
    }
}

/// Returns the outcome of a request whose answer's head was received; `body` is
/// `None` if the answer broke off.
fn classify(answer: &AnswerHead, body: Option<&[u8]>, expected: &str) -> CallOutcome {
    let Some(body) = body else {
        return CallOutcome::Cut;
    };
    if answer.status == 200 {
        return CallOutcome::Answered(body == expected.as_bytes());
    }
    CallOutcome::Refused {
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
