//! Asks a backend server that has not reported yet whether it is there.
//!
//! Load pattern: all nodes of a fleet are killed at once, their servers live
//! on. Each server reports again within its own pause of a second or two, and
//! until then its node would refuse all calls although every slot stands
//! free. What such a server runs is known where only one version of its
//! service can be in service; its health page names its run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderValue;
use actix_http::header::HOST;
use actix_http::Method;
use actix_http::StatusCode;
use actix_http::Uri;
use bytes::Bytes;
use log::info;
use tokio::sync::mpsc;

use cowslip_core::document::FleetDocument;
use cowslip_core::server_gate::AnnouncedServer;

use crate::call_dialect::CallDialect;
use crate::call_forward::CallBody;
use crate::call_pools::CallPools;
use crate::gate_task::GateMessage;
use crate::hop::HopRequest;

/// Time for the health page; a server that is full answers later, and
/// reports by itself soon.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Slots that a server is taken to have until it reports: fewer than any of
/// the users' has.
const PROVISIONAL_SLOTS: u32 = 4;

/// Bytes of the page that are read so that its connection can be used again.
const PAGE_BYTES_MAX: usize = 4 * 1024;

/// The server that a node is told of by its settings.
#[derive(Clone, Debug)]
pub struct ConfiguredServer {
    /// Its service.
    pub service: Option<Arc<str>>,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// Where checks are asked for.
    pub checks: mpsc::UnboundedSender<ServerCheck>,
}

/// A check to be made.
#[derive(Clone, Debug)]
pub struct ServerCheck {
    /// What the server must be, if it is there.
    pub server: AnnouncedServer,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its health page.
    pub health_page: Uri,
}

impl ConfiguredServer {
    /// Asks for a check where `document` leaves no doubt of the version.
    ///
    /// Guards against a server of a version that was just taken back: it is
    /// still there for a while, and must get no calls as one of the version
    /// in service.
    pub fn request_check(&self, document: &FleetDocument) {
        let (Some(service), Some(address)) = (&self.service, self.address) else {
            return;
        };
        let Some(spec) = document.services.get(service) else {
            return;
        };
        let unambiguous = spec.candidate.is_none() && spec.withdrawn.is_empty();
        let health_page = spec.health_path.as_ref().and_then(|path| path.parse().ok());
        let (Some(health_page), true, false) =
            (health_page, unambiguous, spec.takes_any_version())
        else {
            return;
        };
        let server = AnnouncedServer {
            service: Arc::clone(service),
            version: Arc::clone(&spec.version),
            slots: PROVISIONAL_SLOTS,
        };
        // The task ends only with the node.
        let _ = self.checks.send(ServerCheck {
            server,
            address,
            health_page,
        });
    }
}

/// Makes the checks that are asked for.
pub async fn run(
    pools: Rc<CallPools>,
    dialect: Rc<CallDialect>,
    mut checks: mpsc::UnboundedReceiver<ServerCheck>,
    gate: mpsc::UnboundedSender<GateMessage>,
) {
    while let Some(check) = checks.recv().await {
        let Some(run) = request_run(&pools, &dialect, &check).await else {
            continue;
        };
        info!(
            "event=server-found process=node run={run} address={}",
            check.address
        );
        // The gate's task ends only with the node.
        let _ = gate.send(GateMessage::RunFound(run, check.server, check.address));
    }
}

/// The run that says of itself that it is healthy.
async fn request_run(
    pools: &CallPools,
    dialect: &CallDialect,
    check: &ServerCheck,
) -> Option<Arc<str>> {
    let mut headers = HeaderMap::new();
    let host = HeaderValue::from_str(&check.address.to_string()).ok()?;
    headers.insert(HOST, host);
    let request = HopRequest {
        method: Method::GET,
        target: check.health_page.clone(),
        headers,
        request_id_header: dialect.request_id.clone(),
    };
    let mut body = CallBody::Held(Bytes::new());
    let sending = pools.send(check.address, &request, &mut body, CHECK_TIMEOUT);
    let mut answer = sending.await.ok()?;
    if answer.head.status != StatusCode::OK {
        return None;
    }
    let run = answer.head.headers().get(&dialect.healthy_run)?;
    let run = Arc::from(run.to_str().ok()?);
    answer.body.buffer(PAGE_BYTES_MAX).await.ok()?;
    Some(run)
}
