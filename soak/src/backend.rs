//! Backend servers that record the requests that reach them.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::Request;
use actix_http::StatusCode;
use awc::Client;
use rand::Rng;

use cowslip_node::call_headers::LEAVING;
use cowslip_node::call_headers::RATE_LIMIT;
use cowslip_node::call_headers::REQUEST_ID;
use cowslip_node::call_headers::SERVER_RUN;
use cowslip_node::local_handler::AnnounceBody;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;

use crate::observations::Observations;
use crate::observations::ServerArrival;
use crate::observations::ServerCrash;
use crate::observations::StatementKind;
use crate::observations::StatementSpan;

/// Service of all backend servers.
pub const SERVICE: &str = "records";

/// Version of all backend servers.
pub const VERSION: &str = "v1";

/// Start of the path of a request that crashes the server; the time from which on it does
/// follows, in milliseconds from the start of the run.
pub const CRASHING_PATH: &str = "/work/crash-";

/// Header of an answer with the indexes of the statement spans it belongs to,
/// separated by commas.
pub const STATEMENTS_HEADER: &str = "soak-statements";

/// Slots of each server, far more than the callers use.
const SLOTS: u32 = 50;

/// Maximum number of connections that each server accepts.
const CONNECTIONS_MAX: usize = 400;

/// Upper bound of the simulated work of a request, in milliseconds.
const WORK_MS_MAX: u64 = 60;

/// Share of the calls that a failing server answers with a failure.
const FAILED_SHARE: f64 = 0.5;

/// Maximum size of a request body, in bytes.
const BODY_BYTES_MAX: usize = 1024 * 1024;

/// Time after an acknowledged drain in which requests may still arrive. Nodes
/// learn of a drain within two of their waits for updates.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Delay between attempts to announce a server to its node.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Timeout of a request to the node.
const NODE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running backend server.
pub struct RecordingServer {
    listener: HttpListener,
    state: Rc<ServerState>,
}

/// State that a server shares with its request handler.
struct ServerState {
    number: usize,
    started: Instant,
    observations: Rc<RefCell<Observations>>,
    drained_at: Cell<Option<Duration>>,
    /// Number of the current run.
    run: Cell<u32>,
    /// Index of the span in which the server states a limit.
    limit_span: Cell<Option<usize>>,
    /// Index of the span in which the server states that it is leaving.
    leaving_span: Cell<Option<usize>>,
    /// Set while the server has crashed and is not back.
    crashed: Cell<bool>,
    /// Set while the server fails calls.
    failing: Cell<bool>,
}

impl RecordingServer {
    /// Starts server `number` at `listen`. Recorded times count from `started`.
    pub fn bind(
        number: usize,
        listen: SocketAddr,
        started: Instant,
        observations: Rc<RefCell<Observations>>,
    ) -> io::Result<Self> {
        let state = Rc::new(ServerState {
            number,
            started,
            observations,
            drained_at: Cell::new(None),
            run: Cell::new(0),
            limit_span: Cell::new(None),
            leaving_span: Cell::new(None),
            crashed: Cell::new(false),
            failing: Cell::new(false),
        });
        let handler = Rc::new(RecordingHandler(Rc::clone(&state)));
        let listener = HttpListener::bind(listen, CONNECTIONS_MAX, handler)?;
        Ok(Self { listener, state })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Announces the server at `address` to its node, and retries until the node
    /// accepts it.
    pub async fn announce(&self, node: SocketAddr, address: SocketAddr) {
        let client = Client::builder().timeout(NODE_TIMEOUT).finish();
        loop {
            let body = AnnounceBody {
                cold_ms: None,
                run: Some(self.state.run_name()),
                service: SERVICE.into(),
                version: VERSION.into(),
                address,
                slots: SLOTS,
            };
            let body = serde_json::to_vec(&body).unwrap_or_default();
            // Requests may arrive as soon as the node has read the announcement,
            // before its answer.
            self.state.drained_at.set(None);
            let sent = client.post(format!("http://{node}/announce"));
            let answer = sent.send_body(body).await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            actix_rt::time::sleep(ANNOUNCE_RETRY_DELAY).await;
        }
    }

    /// Starts or ends a time in which the server states a limit.
    pub fn state_limit(&self, calls_per_second: Option<f64>) {
        let kind = calls_per_second.map(StatementKind::CallsPerSecond);
        self.state.change_span(&self.state.limit_span, kind);
    }

    /// States from now on that the server is leaving.
    pub fn state_leaving(&self) {
        let kind = Some(StatementKind::Leaving);
        self.state.change_span(&self.state.leaving_span, kind);
    }

    /// Starts or ends a time in which the server fails calls.
    pub fn set_failing(&self, failing: bool) {
        self.state.failing.set(failing);
    }

    /// Ends the run of the server and begins another, which states nothing.
    pub fn begin_run(&self) {
        self.state.run.set(self.state.run.get() + 1);
        self.state.crashed.set(false);
        self.state.change_span(&self.state.limit_span, None);
        self.state.change_span(&self.state.leaving_span, None);
    }

    /// Whether a request has crashed the server, so that it needs another run.
    pub fn has_crashed(&self) -> bool {
        self.state.crashed.get()
    }

    /// Asks the node to drain the server; returns whether the node accepted.
    pub async fn drain(&self, node: SocketAddr) -> bool {
        let client = Client::builder().timeout(NODE_TIMEOUT).finish();
        let sent = client.post(format!("http://{node}/drain?anyway"));
        let answer = sent.send().await;
        let accepted = answer.is_ok_and(|answer| answer.status() == StatusCode::OK);
        if accepted {
            self.state
                .drained_at
                .set(Some(self.state.started.elapsed()));
        }
        accepted
    }
}

struct RecordingHandler(Rc<ServerState>);

impl HttpHandler for RecordingHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let state = Rc::clone(&self.0);
        Box::pin(async move { serve(&state, request).await })
    }
}

async fn serve(state: &ServerState, mut request: Request) -> HttpReply {
    let id: Arc<str> = http_reply::header(&request, REQUEST_ID)
        .unwrap_or_default()
        .into();
    let run = http_reply::header(&request, SERVER_RUN);
    if run.is_some_and(|run| *run != *state.run_name()) {
        let status = StatusCode::MISDIRECTED_REQUEST;
        return http_reply::text(status, "another run of this server");
    }
    state.record_request(&id);
    if let Some(from_ms) = crashing_request(request.path()) {
        if state.started.elapsed() >= Duration::from_millis(from_ms) {
            state.crash(from_ms);
            // The crash breaks the connection.
            std::future::pending::<()>().await;
        }
    }
    let body = match http_reply::read_body(&mut request, BODY_BYTES_MAX).await {
        Ok(body) => body,
        Err(error) => {
            return http_reply::text(StatusCode::BAD_REQUEST, error.to_string())
        }
    };
    let work = rand::rng().random_range(1..WORK_MS_MAX);
    actix_rt::time::sleep(Duration::from_millis(work)).await;
    let text = String::from_utf8_lossy(&body);
    let mut reply = http_reply::text(StatusCode::OK, format!("{id} {text}"));
    if state.failing.get() && rand::rng().random_bool(FAILED_SHARE) {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        reply = http_reply::text(status, "this server fails calls");
    }
    if let Ok(echoed) = HeaderValue::from_str(&id) {
        let name = HeaderName::from_static(REQUEST_ID);
        reply.head_mut().headers_mut().insert(name, echoed);
    }
    state.add_statements(&mut reply);
    reply
}

/// Returns the time in the path of a request that crashes servers.
fn crashing_request(path: &str) -> Option<u64> {
    path.strip_prefix(CRASHING_PATH)?.parse().ok()
}

impl ServerState {
    fn run_name(&self) -> Arc<str> {
        format!("server-{}-run-{}", self.number, self.run.get()).into()
    }

    /// Ends the span in `current`, and begins one of `kind` if there is one.
    fn change_span(&self, current: &Cell<Option<usize>>, kind: Option<StatementKind>) {
        let now = self.started.elapsed();
        let spans = &mut self.observations.borrow_mut().statements;
        if let Some(ended) = current.get() {
            spans[ended].until = Some(now);
        }
        current.set(kind.map(|kind| {
            spans.push(StatementSpan {
                server: self.number,
                kind,
                from: now,
                until: None,
            });
            spans.len() - 1
        }));
    }

    /// Adds the headers of what the server states now to an answer.
    fn add_statements(&self, reply: &mut HttpReply) {
        let mut indexes = Vec::new();
        if let Some(at) = self.limit_span.get() {
            let kind = self.observations.borrow().statements[at].kind;
            if let StatementKind::CallsPerSecond(rate) = kind {
                http_reply::set_header(reply, RATE_LIMIT, &rate.to_string());
                indexes.push(at.to_string());
            }
        }
        if let Some(at) = self.leaving_span.get() {
            http_reply::set_header(reply, LEAVING, "1");
            indexes.push(at.to_string());
        }
        if !indexes.is_empty() {
            http_reply::set_header(reply, STATEMENTS_HEADER, &indexes.join(","));
        }
    }

    fn crash(&self, from_ms: u64) {
        self.crashed.set(true);
        let crashes = &mut self.observations.borrow_mut().crashes;
        crashes.entry(from_ms).or_default().push(ServerCrash {
            server: self.number,
            at: self.started.elapsed(),
        });
    }

    fn record_request(&self, id: &Arc<str>) {
        let now = self.started.elapsed();
        let mut observations = self.observations.borrow_mut();
        let executions = observations.executions.entry(Arc::clone(id));
        executions.or_default().push(now);
        observations.arrivals.push(ServerArrival {
            server: self.number,
            id: Arc::clone(id),
            at: now,
        });
        let drained_at = self.drained_at.get();
        if drained_at.is_some_and(|at| now > at + DRAIN_GRACE) {
            let late_request = (self.number, Arc::clone(id), now);
            observations.after_drain.push(late_request);
        }
    }
}
