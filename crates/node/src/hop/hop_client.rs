//! Sends requests to the next hop and returns the responses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use log::info;

use cowslip_core::connection_renewal::PoolGeneration;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_wire::process_log::LogValue;

use crate::call_forward::CallBody;
use crate::hop::hop_connection::ExchangeError;
use crate::hop::hop_connection::HopConnection;
use crate::hop::hop_request::HopRequest;
use crate::hop::idle_pool::IdlePool;
use crate::hop::response_body::ResponseBody;

/// Options of a hop client.
#[derive(Clone, Copy, Debug)]
pub struct HopOptions {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
}

/// A response whose head has arrived.
pub struct HopResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body, which may still be arriving.
    pub body: ResponseBody,
}

/// HTTP client with a pool of idle connections.
pub struct HopClient {
    options: HopOptions,
    config: ServiceConfig,
    idle_pool: Rc<IdlePool>,
}

impl HopClient {
    /// Creates a client without connections.
    pub fn new(options: HopOptions) -> Self {
        Self {
            options,
            config: ServiceConfig::default(),
            idle_pool: Rc::default(),
        }
    }

    /// Sends a request and waits up to `limit` for the head of the response.
    pub async fn send(
        &self,
        address: SocketAddr,
        generation: PoolGeneration,
        request: &HopRequest,
        body: &mut CallBody,
        limit: Duration,
    ) -> Result<HopResponse, TryFailure> {
        let mut stage = SendStage::Connecting;
        let sending = self.send_untimed(address, generation, request, body, &mut stage);
        match actix_rt::time::timeout(limit, sending).await {
            Ok(response) => response,
            Err(_) => Err(stage.timeout_failure()),
        }
    }

    async fn send_untimed(
        &self,
        address: SocketAddr,
        generation: PoolGeneration,
        request: &HopRequest,
        body: &mut CallBody,
        stage: &mut SendStage,
    ) -> Result<HopResponse, TryFailure> {
        let mut connection = match self.idle_pool.take(address, generation) {
            Some(connection) => connection,
            None => self.connect(address, generation).await?,
        };
        *stage = SendStage::Sending;
        match connection.exchange(request, body).await {
            Ok(head) => Ok(HopResponse {
                head,
                body: ResponseBody::new(connection, Rc::clone(&self.idle_pool)),
            }),
            Err(ExchangeError::BodyBroken) => {
                Err(may_have_run(RefusalReason::BodyTruncated))
            }
            Err(error) => {
                info!(
                    "event=exchange-broken process=node to={address} error={}",
                    LogValue(error)
                );
                // A failure of one connection to an address often affects the
                // others too.
                self.idle_pool.clear(address);
                Err(may_have_run(RefusalReason::ConnectionBroken))
            }
        }
    }

    /// Closes the idle connections to an address that is no longer used.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle_pool.clear(address);
    }

    async fn connect(
        &self,
        address: SocketAddr,
        generation: PoolGeneration,
    ) -> Result<HopConnection, TryFailure> {
        let config = self.config.clone();
        let opening = HopConnection::open(address, generation, config);
        let opened = actix_rt::time::timeout(self.options.connect_timeout, opening).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(_)) | Err(_) => Err(TryFailure {
                verdict: CallVerdict::NotRun,
                reason: RefusalReason::ConnectFailed,
            }),
        }
    }
}

fn may_have_run(reason: RefusalReason) -> TryFailure {
    TryFailure {
        verdict: CallVerdict::MayHaveRun,
        reason,
    }
}

/// How far a send got before its timeout.
#[derive(Clone, Copy)]
enum SendStage {
    Connecting,
    Sending,
}

impl SendStage {
    fn timeout_failure(self) -> TryFailure {
        let verdict = match self {
            Self::Connecting => CallVerdict::NotRun,
            Self::Sending => CallVerdict::MayHaveRun,
        };
        TryFailure {
            verdict,
            reason: RefusalReason::DeadlinePassed,
        }
    }
}
