//! Handler of the listener for the backend server, which announces itself,
//! requests a drain and sends its outbound calls there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Method;
use actix_http::Request;
use actix_http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::announced_server::SLOTS_MAX;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::server_presence::PresenceRefusal;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;

use crate::departure_keeper::DepartureKeeper;
use crate::entry_handler::EntryProxy;
use crate::gate_messages::GateMessage;
use crate::gate_messages::ServerAnnouncement;
use crate::node_stage::StopProgress;

/// Largest accepted announcement, in bytes. Announcements are a few lines of
/// JSON.
const ANNOUNCE_BYTES_MAX: usize = 16 * 1024;

/// JSON body that a backend server posts to `/announce`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceBody {
    /// Service of the server.
    pub service: Arc<str>,
    /// Backend server version.
    pub version: Arc<str>,
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// How many more milliseconds the server stays cold; a server that does not
    /// say is taken to be cold when it starts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u64>,
    /// Name of this run of the server, which no other run has. A server that names
    /// its runs gets the name with each request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<Arc<str>>,
}

/// HTTP handler for the backend server's requests.
pub struct LocalHandler {
    gate: mpsc::UnboundedSender<GateMessage>,
    entry: Rc<EntryProxy>,
    departures: DepartureKeeper,
}

impl LocalHandler {
    /// Creates a handler that sends announcements to `gate`, outbound calls to `entry`
    /// and departures to `departures`.
    pub fn new(
        gate: mpsc::UnboundedSender<GateMessage>,
        entry: Rc<EntryProxy>,
        departures: DepartureKeeper,
    ) -> Self {
        Self {
            gate,
            entry,
            departures,
        }
    }
}

impl HttpHandler for LocalHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let gate = self.gate.clone();
        let entry = Rc::clone(&self.entry);
        let departures = self.departures.clone();
        Box::pin(async move {
            match (request.method(), request.path()) {
                (&Method::POST, "/announce") => announce(gate, request).await,
                (&Method::POST, "/drain") => {
                    drain(&gate, &entry, &departures, &request).await
                }
                _ => {
                    let _guard = OutboundGuard::begin(gate);
                    // The server's work for other nodes needs its calls to the end.
                    let progress = StopProgress::default();
                    entry.serve(request, CallOrigin::Backend, &progress).await
                }
            }
        })
    }
}

/// Counts an outbound call at the gate until it ends, even if the server
/// cancels it.
struct OutboundGuard(mpsc::UnboundedSender<GateMessage>);

impl OutboundGuard {
    fn begin(gate: mpsc::UnboundedSender<GateMessage>) -> Self {
        // The gate task ends only with the node.
        let _ = gate.send(GateMessage::OutboundBegin);
        Self(gate)
    }
}

impl Drop for OutboundGuard {
    fn drop(&mut self) {
        let _ = self.0.send(GateMessage::OutboundEnd);
    }
}

async fn announce(
    gate: mpsc::UnboundedSender<GateMessage>,
    mut request: Request,
) -> HttpReply {
    let body = match http_reply::read_body(&mut request, ANNOUNCE_BYTES_MAX).await {
        Ok(body) => body,
        Err(error) => {
            return http_reply::text(StatusCode::BAD_REQUEST, error.to_string())
        }
    };
    let announcement: AnnounceBody = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => {
            return http_reply::text(StatusCode::BAD_REQUEST, error.to_string())
        }
    };
    if announcement.service.is_empty() || announcement.version.is_empty() {
        let problem = "service and version are needed";
        return http_reply::text(StatusCode::BAD_REQUEST, problem);
    }
    let server = AnnouncedServer {
        service: announcement.service,
        version: announcement.version,
        slots: announcement.slots,
    };
    if !server.has_possible_slots() {
        let problem = format!("a server has 1 to {SLOTS_MAX} slots");
        return http_reply::text(StatusCode::BAD_REQUEST, problem);
    }
    let (reply, answer) = oneshot::channel();
    let announcement = ServerAnnouncement {
        run: announcement.run,
        server,
        address: announcement.address,
        cold_remaining: announcement.cold_ms.map(Duration::from_millis),
    };
    // The gate task ends only with the node.
    let _ = gate.send(GateMessage::Announce(announcement, reply));
    match answer.await.unwrap_or(Err(PresenceRefusal::NodeStopping)) {
        Ok(()) => http_reply::text(StatusCode::OK, "announced"),
        Err(refusal) => http_reply::text(StatusCode::CONFLICT, refusal.to_string()),
    }
}

/// Drains the backend server, unless a move still needs it. `?anyway` skips that
/// check. Answered with 503 while the server drains and a restart of this node would
/// forget that.
async fn drain(
    gate: &mpsc::UnboundedSender<GateMessage>,
    entry: &EntryProxy,
    departures: &DepartureKeeper,
    request: &Request,
) -> HttpReply {
    let anyway = request.uri().query() == Some("anyway");
    if !anyway && entry.is_last_old_server().await {
        let problem = "refused: the last server of the version in service, and a move \
                       to another is in progress; wait for it, or POST /drain?anyway";
        return http_reply::text(StatusCode::CONFLICT, problem);
    }
    let (reply, departed) = oneshot::channel();
    // The gate task ends only with the node.
    let _ = gate.send(GateMessage::Drain(reply));
    let Ok(Some(run)) = departed.await else {
        return http_reply::text(StatusCode::OK, "draining");
    };
    if departures.keep(&run).await {
        return http_reply::text(StatusCode::OK, "draining");
    }
    let problem = "draining, but the control instances do not keep it yet, so that a \
                   restart of this node would forget it; POST /drain again";
    http_reply::text(StatusCode::SERVICE_UNAVAILABLE, problem)
}
