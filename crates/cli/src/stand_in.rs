//! A stand-in for a backend server, with a limited number of slots and a slow
//! start.
//!
//! It echoes its service and version and the request's path and body, so that a
//! caller can check that the answer is complete and belongs to its request.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_http::header::HeaderValue;
use actix_http::Request;
use actix_http::StatusCode;
use awc::Client;
use bytes::BytesMut;

use cowslip_core::server_statement::ServerStatement;
use cowslip_core::server_statement::StatedRate;
use cowslip_node::call_headers;
use cowslip_node::local_handler::AnnounceBody;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;
use cowslip_wire::wall_clock;

use crate::call_chain::CallChain;

/// Maximum size of a request body, in bytes.
const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Maximum number of connections that a backend server accepts, as the users' servers do.
pub const CONNECTIONS_MAX: usize = 100;

/// Number of first requests that take `cold_start_time` longer.
const COLD_START_REQUESTS: u32 = 10;

/// Number of stand-ins that this process has started.
static RUNS: AtomicU64 = AtomicU64::new(0);

/// Largest number of arrival times that are held.
const ARRIVALS_MAX: usize = 65_536;

/// Request header with extra processing time, in milliseconds.
pub const DELAY_HEADER: &str = "stand-in-wait-ms";

/// Identity and behavior of a stand-in.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    /// Name of its instance.
    pub instance: Arc<str>,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Backend server version it reports.
    pub version: Arc<str>,
    /// Requests it processes at once; further ones are shed with status 503.
    pub slots: u32,
    /// Connections it accepts at once; further ones wait in the backlog.
    pub connections_max: usize,
    /// Processing time of a request.
    pub work_time: Duration,
    /// Extra processing time of each of the first `COLD_START_REQUESTS` requests.
    pub cold_start_time: Duration,
}

/// A running stand-in.
pub struct StandIn {
    listener: HttpListener,
    /// Name of this run, unique among the stand-ins of all processes.
    run: Arc<str>,
    config: StandInConfig,
    counts: Rc<StandInCounts>,
    chain: Rc<CallChain>,
}

/// Request counters of a stand-in.
#[derive(Debug, Default)]
pub struct StandInCounts {
    /// Requests admitted to a slot.
    pub begun: Cell<u32>,
    /// Requests in progress.
    pub running: Cell<u32>,
    /// Requests shed because no slot was free.
    pub shed: Cell<u32>,
    /// Percentage of requests that it answers with status 500. Set by tests.
    pub failing_percent: Cell<u32>,
    /// Requests admitted to a slot, by idempotency key.
    pub by_key: RefCell<HashMap<String, u32>>,
    /// What it states in its answers. Set by tests.
    pub statement: Cell<ServerStatement>,
    /// When the latest requests arrived, shed ones included.
    pub arrivals: RefCell<VecDeque<Instant>>,
}

impl StandIn {
    /// Starts serving on a free loopback port.
    pub fn spawn(config: StandInConfig) -> io::Result<Self> {
        let counts = Rc::new(StandInCounts::default());
        let chain = Rc::new(CallChain::default());
        let began_ms = wall_clock::millis();
        let number = RUNS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let run = format!("{}-{began_ms}-{process}-{number}", config.instance);
        let run = Arc::<str>::from(run);
        let handler = StandInHandler {
            config: Rc::new(config.clone()),
            run: Arc::clone(&run),
            counts: Rc::clone(&counts),
            chain: Rc::clone(&chain),
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener =
            HttpListener::bind(address, config.connections_max, Rc::new(handler))?;
        Ok(Self {
            listener,
            run,
            config,
            counts,
            chain,
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the request counters.
    pub fn counts(&self) -> &StandInCounts {
        &self.counts
    }

    /// Announces the stand-in to its node. Fails if the node refuses or cannot be
    /// reached.
    pub async fn announce(&self, node: SocketAddr) -> io::Result<()> {
        self.chain.set_addresses(node, self.listener.address());
        let body = AnnounceBody {
            service: Arc::clone(&self.config.service),
            version: Arc::clone(&self.config.version),
            address: self.listener.address(),
            slots: self.config.slots,
            cold_ms: None,
            run: Some(Arc::clone(&self.run)),
        };
        let sent = Client::default().post(format!("http://{node}/announce"));
        let response = sent.send_body(serde_json::to_vec(&body)?).await;
        let response = response.map_err(|error| io::Error::other(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(io::Error::other(response.status().to_string()));
        }
        Ok(())
    }
}

struct StandInHandler {
    config: Rc<StandInConfig>,
    run: Arc<str>,
    counts: Rc<StandInCounts>,
    chain: Rc<CallChain>,
}

impl HttpHandler for StandInHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        if is_for_another_run(&request, &self.run) {
            let status = StatusCode::MISDIRECTED_REQUEST;
            let reply = http_reply::text(status, "another run of this server");
            return Box::pin(async move { reply });
        }
        let config = Rc::clone(&self.config);
        let counts = Rc::clone(&self.counts);
        let chain = Rc::clone(&self.chain);
        Box::pin(async move {
            counts.count_arrival();
            let mut reply = serve(&config, &counts, &chain, request).await;
            add_statement(&mut reply, counts.statement.get());
            reply
        })
    }
}

async fn serve(
    config: &StandInConfig,
    counts: &Rc<StandInCounts>,
    chain: &CallChain,
    mut request: Request,
) -> HttpReply {
    if counts.running.get() >= config.slots {
        counts.shed.set(counts.shed.get() + 1);
        return http_reply::text(StatusCode::SERVICE_UNAVAILABLE, "shed");
    }
    let _slot = SlotGuard::begin(counts);
    counts.count_key(&request);
    let path = request.path().to_owned();
    let delay = requested_delay(&request);
    let body = match http_reply::read_body(&mut request, BODY_BYTES_MAX).await {
        Ok(body) => body,
        Err(error) => {
            return http_reply::text(StatusCode::BAD_REQUEST, error.to_string())
        }
    };
    let cold = counts.begun.get() <= COLD_START_REQUESTS;
    let extra = if cold {
        config.cold_start_time
    } else {
        Duration::ZERO
    };
    let work = config.work_time + extra + delay;
    // A sleep of zero would still wait for the timer's next millisecond.
    if !work.is_zero() {
        actix_rt::time::sleep(work).await;
    }
    if !chain.make_next_call(&path).await {
        return http_reply::text(StatusCode::BAD_GATEWAY, "the chain broke");
    }
    if counts.begun.get() % 100 < counts.failing_percent.get() {
        return http_reply::text(StatusCode::INTERNAL_SERVER_ERROR, "failed");
    }
    let mut answer = BytesMut::new();
    let head = format!("{} {} {path}\n", config.service, config.version);
    answer.extend_from_slice(head.as_bytes());
    answer.extend_from_slice(&body);
    let content_type = HeaderValue::from_static("application/octet-stream");
    http_reply::with_content_type(StatusCode::OK, content_type, answer.freeze())
}

/// Returns whether the request is meant for a run other than `run`.
fn is_for_another_run(request: &Request, run: &str) -> bool {
    let meant_for = http_reply::header(request, call_headers::SERVER_RUN);
    meant_for.is_some_and(|meant_for| meant_for != run)
}

/// Adds the headers of `statement` to an answer.
fn add_statement(reply: &mut HttpReply, statement: ServerStatement) {
    if let StatedRate::CallsPerSecond(rate) = statement.rate {
        http_reply::set_header(reply, call_headers::RATE_LIMIT, &rate.to_string());
    }
    if statement.leaving {
        http_reply::set_header(reply, call_headers::LEAVING, "1");
    }
}

/// Returns the extra processing time that the caller requested in
/// `DELAY_HEADER`.
fn requested_delay(request: &Request) -> Duration {
    let millis = http_reply::header(request, DELAY_HEADER);
    let millis = millis.and_then(|text| text.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}

impl StandInCounts {
    fn count_arrival(&self) {
        let mut arrivals = self.arrivals.borrow_mut();
        if arrivals.len() == ARRIVALS_MAX {
            arrivals.pop_front();
        }
        arrivals.push_back(Instant::now());
    }

    fn count_key(&self, request: &Request) {
        let Some(key) = http_reply::header(request, call_headers::IDEMPOTENCY_KEY) else {
            return;
        };
        *self.by_key.borrow_mut().entry(key.to_owned()).or_default() += 1;
    }
}

/// Occupies a slot until it is dropped, also when the caller disconnects.
struct SlotGuard(Rc<StandInCounts>);

impl SlotGuard {
    fn begin(counts: &Rc<StandInCounts>) -> Self {
        counts.begun.set(counts.begun.get() + 1);
        counts.running.set(counts.running.get() + 1);
        Self(Rc::clone(counts))
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}
