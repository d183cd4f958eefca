//! Sends messages to other processes of the system.

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

/// Time to connect; ten times the slowest link that the users name.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections are dropped well before the other side closes them at
/// 75 s.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Connections kept or open at once, over all peers together.
const CONNECTIONS_MAX: usize = 1_024;

/// Why a message got no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection; the peer has not seen the message.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The message may have been taken and its answer was lost.
    #[error("no whole answer: {0}")]
    Lost(String),
    /// The peer refused the message with this status.
    #[error("refused with status {status}: {text}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What the peer said.
        text: String,
    },
    /// Message or answer could not be coded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Sends messages with one key over kept connections.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
    key: AccessKey,
}

impl PeerClient {
    /// A client that offers `key`.
    pub fn new(key: AccessKey) -> Self {
        let client = http_client::build(ClientConfig {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_TIME,
            connections: CONNECTIONS_MAX,
        });
        Self { client, key }
    }

    /// Sends `call` to `address` and waits for its answer up to `patience`.
    pub async fn send<C: WireCall>(
        &self,
        address: SocketAddr,
        call: &C,
        patience: Duration,
    ) -> Result<C::Answer, PeerError> {
        let body = encode(call)?;
        let exchange = self.exchange(address, C::PATH, body);
        match actix_rt::time::timeout(patience, exchange).await {
            Ok(answer) => Ok(decode(&answer?)?),
            Err(_) => Err(PeerError::Lost(format!("none within {patience:?}"))),
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
        let answer = answer.map_err(|error| PeerError::Lost(error.to_string()))?;
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
        // The library's word for a peer that closed after the message left.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            PeerError::Lost(error.to_string())
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            PeerError::Connect(error.to_string())
        }
        _ => PeerError::Lost(error.to_string()),
    }
}
