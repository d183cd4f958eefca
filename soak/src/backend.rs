//! Backend servers that write down what reaches them.

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

use cowslip_node::call_headers::REQUEST_ID;
use cowslip_node::local_handler::AnnounceBody;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;

use crate::sightings::Sightings;

/// The service that all of them run.
pub const SERVICE: &str = "records";

/// The version that they run.
pub const VERSION: &str = "v1";

/// Slots of each, far more than the callers use.
const SLOTS: u32 = 50;

/// Connections that each takes.
const CONNECTIONS_MAX: usize = 400;

/// Longest work of a request, in milliseconds.
const WORK_MS_MAX: u64 = 60;

/// Longest body taken, in bytes.
const BODY_BYTES_MAX: usize = 1024 * 1024;

/// Time after an acknowledged drain in which requests may still arrive: a
/// node hears of it within two of its waits for news.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Pause between tries to announce a server to its node.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(150);

/// Wait for an answer of the node.
const NODE_PATIENCE: Duration = Duration::from_secs(2);

/// A running backend server.
pub struct WatchedServer {
    listener: HttpListener,
    state: Rc<ServerState>,
}

/// What is shared with its handler.
struct ServerState {
    number: usize,
    started: Instant,
    sightings: Rc<RefCell<Sightings>>,
    drained_at: Cell<Option<Duration>>,
}

impl WatchedServer {
    /// Starts server `number` at `listen`; times count from `started`.
    pub fn bind(
        number: usize,
        listen: SocketAddr,
        started: Instant,
        sightings: Rc<RefCell<Sightings>>,
    ) -> io::Result<Self> {
        let state = Rc::new(ServerState {
            number,
            started,
            sightings,
            drained_at: Cell::new(None),
        });
        let handler = Rc::new(WatchedHandler(Rc::clone(&state)));
        let listener = HttpListener::bind(listen, CONNECTIONS_MAX, handler)?;
        Ok(Self { listener, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Announces it at `address` to its node until the node takes it.
    pub async fn announce(&self, node: SocketAddr, address: SocketAddr) {
        let body = AnnounceBody {
            service: SERVICE.into(),
            version: VERSION.into(),
            address,
            slots: SLOTS,
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let client = Client::builder().timeout(NODE_PATIENCE).finish();
        loop {
            // Work may come from the moment at which the node reads this.
            self.state.drained_at.set(None);
            let sent = client.post(format!("http://{node}/announce"));
            let answer = sent.send_body(body.clone()).await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return;
            }
            actix_rt::time::sleep(ANNOUNCE_PAUSE).await;
        }
    }

    /// Tells its node that it leaves; true where the node took it.
    pub async fn drain(&self, node: SocketAddr) -> bool {
        let client = Client::builder().timeout(NODE_PATIENCE).finish();
        let sent = client.post(format!("http://{node}/drain?anyway"));
        let answer = sent.send().await;
        let taken = answer.is_ok_and(|answer| answer.status() == StatusCode::OK);
        if taken {
            self.state
                .drained_at
                .set(Some(self.state.started.elapsed()));
        }
        taken
    }
}

struct WatchedHandler(Rc<ServerState>);

impl HttpHandler for WatchedHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let state = Rc::clone(&self.0);
        Box::pin(async move { serve(&state, request).await })
    }
}

async fn serve(state: &ServerState, mut request: Request) -> HttpReply {
    let id: Arc<str> = http_reply::header(&request, REQUEST_ID)
        .unwrap_or_default()
        .into();
    state.note(&id);
    let body = match http_reply::read_body(&mut request, BODY_BYTES_MAX).await {
        Ok(body) => body,
        Err(fault) => {
            return http_reply::text(StatusCode::BAD_REQUEST, fault.to_string())
        }
    };
    let work = rand::rng().random_range(1..WORK_MS_MAX);
    actix_rt::time::sleep(Duration::from_millis(work)).await;
    let text = String::from_utf8_lossy(&body);
    let mut reply = http_reply::text(StatusCode::OK, format!("{id} {text}"));
    if let Ok(echoed) = HeaderValue::from_str(&id) {
        let name = HeaderName::from_static(REQUEST_ID);
        reply.head_mut().headers_mut().insert(name, echoed);
    }
    reply
}

impl ServerState {
    fn note(&self, id: &Arc<str>) {
        let now = self.started.elapsed();
        let mut sightings = self.sightings.borrow_mut();
        let begun = sightings.begun.entry(Arc::clone(id));
        begun.or_default().push(now);
        let left = self.drained_at.get();
        if left.is_some_and(|at| now > at + DRAIN_BOUND) {
            let seen = (self.number, Arc::clone(id), now);
            sightings.after_drain.push(seen);
        }
    }
}
