//! Header names and conventions of a fleet's callers and backend servers.

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;

use cowslip_core::route_table::PathMatch;
use cowslip_core::server_statement::ServerStatement;

use crate::call_headers;

/// Header names and conventions of callers and backend servers. Between nodes,
/// the names in [`call_headers`] are always used.
#[derive(Clone, Debug)]
pub struct CallDialect {
    /// Deadline of the caller, in whole milliseconds from now.
    pub deadline_ms: HeaderName,
    /// Request ID. The server echoes it, so that a response to another request is
    /// detected.
    pub request_id: HeaderName,
    /// Run of the server that a request is meant for; a server with another run
    /// refuses the request.
    pub server_run: HeaderName,
    /// Run of the backend server, in the response of its health page.
    pub health_page_run: HeaderName,
    /// How many more milliseconds the backend server stays cold, in the response
    /// of its health page.
    pub health_page_cold_ms: HeaderName,
    /// Calls a second that a backend server takes from all nodes together, in its
    /// answers.
    pub rate_limit: HeaderName,
    /// Set in the answers of a backend server that is leaving.
    pub leaving: HeaderName,
    /// Service whose instance sent the request.
    pub caller_service: HeaderName,
    /// Set by a server if it did not run the request.
    pub not_run: HeaderName,
    /// Whether backend servers echo the request ID in all their responses, so that
    /// a response without one belongs to no request.
    pub servers_echo_request_id: bool,
    /// Whether callers accept fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
    /// Which paths a route's path prefix matches.
    pub path_match: PathMatch,
    /// Whether backend servers send their own calls to the callers' listener,
    /// where they cannot be distinguished from callers' calls.
    pub servers_use_caller_listener: bool,
}

impl Default for CallDialect {
    fn default() -> Self {
        Self {
            deadline_ms: HeaderName::from_static(call_headers::DEADLINE_MS),
            request_id: HeaderName::from_static(call_headers::REQUEST_ID),
            server_run: HeaderName::from_static(call_headers::SERVER_RUN),
            health_page_run: HeaderName::from_static(call_headers::SERVER_RUN),
            health_page_cold_ms: HeaderName::from_static(call_headers::COLD_MS),
            rate_limit: HeaderName::from_static(call_headers::RATE_LIMIT),
            leaving: HeaderName::from_static(call_headers::LEAVING),
            caller_service: HeaderName::from_static(call_headers::CALLER_SERVICE),
            not_run: HeaderName::from_static(call_headers::NOT_RUN),
            servers_echo_request_id: false,
            fractional_retry_after: false,
            path_match: PathMatch::default(),
            servers_use_caller_listener: false,
        }
    }
}

impl CallDialect {
    /// Returns what a backend server states in the headers of an answer.
    pub fn server_statement(&self, headers: &HeaderMap) -> ServerStatement {
        // A value that is no text counts as present but unreadable.
        let text = |name: &HeaderName| {
            let value = headers.get(name)?;
            Some(value.to_str().unwrap_or_default())
        };
        ServerStatement::parse(text(&self.rate_limit), text(&self.leaving))
    }

    /// Returns whether nodes set this header themselves, so that a caller's value
    /// is never forwarded.
    pub fn rewrites(&self, name: &HeaderName) -> bool {
        *name == self.deadline_ms
            || *name == self.server_run
            || *name == self.caller_service
    }
}
