//! An HTTP client that adds nothing of its own.

use std::time::Duration;

use awc::Client;
use awc::Connector;

/// What differs between the clients of the system.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    /// Time to connect.
    pub connect: Duration,
    /// Idle connections are dropped after this.
    pub idle: Duration,
    /// Connections kept or open at once.
    pub connections: usize,
}

/// A client without redirects, headers or time limits of its own: every try,
/// every header and every deadline is the caller's decision.
pub fn build(plan: ClientConfig) -> Client {
    let connector = Connector::new()
        .timeout(plan.connect)
        .conn_keep_alive(plan.idle)
        .limit(plan.connections);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
