//! Checks the health page of a backend server that has not reported yet.
//!
//! Load pattern: all nodes of a fleet are killed at once while their backend
//! servers keep running. Each server reports again within its report interval
//! of one or two seconds; until then its node would refuse all calls although
//! every slot is free. The version of such a server is known if only one
//! version of its service can be in service. Its health page names its run.

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

use cowslip_core::announced_server::AnnouncedServer;
use cowslip_core::document::FleetDocument;

use crate::call_dialect::CallDialect;
use crate::call_forward::CallBody;
use crate::call_pools::CallPools;
use crate::gate_messages::FoundRun;
use crate::gate_messages::GateMessage;
use crate::hop::HopRequest;

/// Timeout of a health check. A fully loaded server takes longer to answer, and
/// its own report follows soon.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Slots assumed for a server until it reports; fewer than any user's server
/// has.
const PROVISIONAL_SLOTS: u32 = 4;

/// Bytes of the health page that are read so that the connection can be reused.
const PAGE_BYTES_MAX: usize = 4 * 1024;

/// The backend server that the node's settings name.
#[derive(Clone, Debug)]
pub struct ConfiguredServer {
    /// Service of the server.
    pub service: Option<Arc<str>>,
    /// Address of the server.
    pub address: Option<SocketAddr>,
    /// Receives the checks to run.
    pub checks: mpsc::UnboundedSender<ServerCheck>,
}

/// A health check to run.
#[derive(Clone, Debug)]
pub struct ServerCheck {
    /// Service, version and slots to assume if the server is healthy.
    pub server: AnnouncedServer,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path of its health page.
    pub health_page: Uri,
}

impl ConfiguredServer {
    /// Requests a check if `document` allows only one version of the service.
    ///
    /// Guards against a server of a version that was just taken back: it keeps
    /// running for a while and must not get calls as a server of the version
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
        // The check task ends only with the node.
        let _ = self.checks.send(ServerCheck {
            server,
            address,
            health_page,
        });
    }
}

/// Runs the requested checks and reports healthy servers to the gate.
pub async fn run(
    pools: Rc<CallPools>,
    dialect: Rc<CallDialect>,
    mut checks: mpsc::UnboundedReceiver<ServerCheck>,
    gate: mpsc::UnboundedSender<GateMessage>,
) {
    while let Some(check) = checks.recv().await {
        let Some(found) = request_run(&pools, &dialect, check).await else {
            continue;
        };
        info!(
            "event=server-found process=node run={} address={} cold_ms={:?}",
            found.run,
            found.address,
            found.cold_remaining.map(|remaining| remaining.as_millis())
        );
        // The gate task ends only with the node.
        let _ = gate.send(GateMessage::RunFound(found));
    }
}

/// Requests the health page and returns the run that it names, or `None` if
/// the server is not healthy.
async fn request_run(
    pools: &CallPools,
    dialect: &CallDialect,
    check: ServerCheck,
) -> Option<FoundRun> {
    let mut headers = HeaderMap::new();
    let host = HeaderValue::from_str(&check.address.to_string()).ok()?;
    headers.insert(HOST, host);
    let request = HopRequest {
        method: Method::GET,
        target: check.health_page.clone(),
        headers,
        request_id_header: dialect.request_id.clone(),
        echo_required: false,
        observer: None,
    };
    let mut body = CallBody::Buffered(Bytes::new());
    let sending = pools.send(check.address, &request, &mut body, CHECK_TIMEOUT);
    let mut response = sending.await.ok()?;
    if response.head.status != StatusCode::OK {
        return None;
    }
    let headers = response.head.headers();
    let run = headers.get(&dialect.health_page_run)?;
    let run = Arc::from(run.to_str().ok()?);
    let cold_remaining = cold_remaining(headers, dialect);
    let statement = dialect.server_statement(headers);
    response.body.buffer(PAGE_BYTES_MAX).await.ok()?;
    Some(FoundRun {
        run,
        server: check.server,
        address: check.address,
        cold_remaining,
        statement,
    })
}

/// Remaining cold time in the headers of a health page; `None` if there is none
/// or it cannot be read.
fn cold_remaining(headers: &HeaderMap, dialect: &CallDialect) -> Option<Duration> {
    let millis = headers.get(&dialect.health_page_cold_ms)?.to_str().ok()?;
    let millis: f64 = millis.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}
