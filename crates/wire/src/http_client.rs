//! An HTTP client without default headers, redirects or request timeouts.

use std::time::Duration;

use actix_http::Uri;
use actix_service::fn_service;
use actix_service::Service;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::ConnectorService;
use awc::Client;
use awc::Connector;

use crate::checked_stream::CheckedStream;

/// Connection settings of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of open connections, idle ones included.
    pub connections_max: usize,
}

/// Builds a client that adds no redirects, headers or request timeouts, so that
/// retries, headers and deadlines are left to the caller. A response that is not
/// whole and valid is an error.
pub fn build(config: ClientConfig) -> Client {
    let connector = Connector::new()
        .connector(fn_service(connect))
        .timeout(config.connect_timeout)
        .conn_keep_alive(config.idle_timeout)
        .limit(config.connections_max);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

async fn connect(
    target: ConnectInfo<Uri>,
) -> Result<Connection<Uri, CheckedStream>, ConnectError> {
    let connection = ConnectorService::default().call(target).await?;
    let (stream, target) = connection.into_parts();
    Ok(Connection::new(target, CheckedStream::new(stream)))
}
