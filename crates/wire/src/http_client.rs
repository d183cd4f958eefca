//! An HTTP client without default headers, redirects or request timeouts.

use std::time::Duration;

use awc::Client;
use awc::Connector;

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
/// retries, headers and deadlines are left to the caller.
pub fn build(config: ClientConfig) -> Client {
    let connector = Connector::new()
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
