//! Client that sends messages to other processes of the system.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::Client;
use thiserror::Error;

use crate::access_key::AccessKey;
use crate::access_key::KEY_HEADER;
use crate::codec::decode;
use crate::codec::encode;
use crate::codec::CodecError;
use crate::codec::CONTENT_TYPE;
use crate::codec::MESSAGE_BYTES_MAX;
use crate::http_client;
use crate::http_client::ClientConfig;
use crate::messages::WireCall;

/// Timeout for connecting; ten times the latency of the slowest link that users
/// report. A machine that starts after the attempt never answers it: the kernel
/// sends the lost opening packet again only after a second, while the next
/// attempt is answered at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which an idle connection is closed; well below the 75 s after
/// which the server side closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of open connections to all peers together.
const CONNECTIONS_MAX: usize = 1_024;

/// Why a message got no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection was established; the peer has not received the message.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// No complete response arrived; the peer may have handled the message.
    #[error("no complete response: {0}")]
    NoResponse(String),
    /// The peer refused the message with this status.
    #[error("refused with status {status}: {text}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Text of the response body.
        text: String,
    },
    /// The message could not be encoded or the answer could not be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Sends messages with one key over persistent connections.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    key: AccessKey,
}

impl PeerClient {
    /// Creates a client that authenticates with `key`.
    pub fn new(key: AccessKey) -> Self {
        let client = http_client::build(ClientConfig {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            connections_max: CONNECTIONS_MAX,
        });
        Self { client, key }
    }

    /// Sends `call` to `address` and waits up to `timeout` for its answer.
    pub async fn send<C: WireCall>(
        &self,
        address: SocketAddr,
        call: &C,
        timeout: Duration,
    ) -> Result<C::Answer, PeerError> {
        let body = encode(call)?;
        let exchange = self.exchange(address, C::PATH, body);
        match actix_rt::time::timeout(timeout, exchange).await {
            Ok(answer) => Ok(decode(&answer?)?),
            Err(_) => Err(PeerError::NoResponse(format!(
                "timed out after {timeout:?}"
            ))),
        }
    }

    /// Sends `call` as [`PeerClient::send`] does; returns `None` if `abandoned`
    /// completes before the answer arrives. A peer that is cut off neither answers nor
    /// refuses, and the caller may learn elsewhere that its answer no longer matters.
    pub async fn send_unless<C: WireCall>(
        &self,
        address: SocketAddr,
        call: &C,
        timeout: Duration,
        abandoned: impl Future<Output = ()>,
    ) -> Result<Option<C::Answer>, PeerError> {
        tokio::select! {
            answer = self.send(address, call, timeout) => answer.map(Some),
            () = abandoned => Ok(None),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<bytes::Bytes, PeerError> {
        let request = self
            .client
            .post(format!("http://{address}{path}"))
            .insert_header(("content-type", CONTENT_TYPE))
            .insert_header((KEY_HEADER, self.key.secret()));
        let mut response = request.send_body(body).await.map_err(send_error)?;
        let answer = response.body().limit(MESSAGE_BYTES_MAX).await;
        let answer = answer.map_err(|error| PeerError::NoResponse(error.to_string()))?;
        if response.status().is_success() {
            return Ok(answer);
        }
        Err(PeerError::Refused {
            status: response.status().as_u16(),
            text: String::from_utf8_lossy(&answer).trim().to_owned(),
        })
    }
}

fn send_error(error: SendRequestError) -> PeerError {
    match error {
        // The library returns this error if the peer closed the connection
        // after the message was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            PeerError::NoResponse(error.to_string())
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            PeerError::Connect(error.to_string())
        }
        _ => PeerError::NoResponse(error.to_string()),
    }
}
