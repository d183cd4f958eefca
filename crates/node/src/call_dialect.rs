//! How callers and backend servers of a fleet name what they say in headers.

use actix_http::header::HeaderName;

use crate::call_headers;

/// Names of the headers between callers, nodes and backend servers. Nodes
/// among themselves always use those of [`call_headers`].
#[derive(Clone, Debug)]
pub struct CallDialect {
    /// Time that the caller gives, in whole milliseconds.
    pub deadline_ms: HeaderName,
    /// Names a request; the server echoes it, so that answers which crossed
    /// are told apart.
    pub request_id: HeaderName,
    /// Names the run of the server that a request is meant for; another one
    /// refuses it.
    pub server_run: HeaderName,
    /// On a backend server's health page: its run.
    pub health_page_run: HeaderName,
    /// Service whose instance the request came from.
    pub caller_service: HeaderName,
    /// Set by a server that did not run the request.
    pub not_run: HeaderName,
    /// True where callers read fractions of a second in `Retry-After`.
    pub fractional_retry_after: bool,
    /// True where backend servers send their own calls by the callers'
    /// listener, where nothing tells them from those of callers.
    pub servers_use_caller_listener: bool,
}

impl Default for CallDialect {
    fn default() -> Self {
        Self {
            deadline_ms: HeaderName::from_static(call_headers::DEADLINE_MS),
            request_id: HeaderName::from_static(call_headers::REQUEST_ID),
            server_run: HeaderName::from_static(call_headers::SERVER_RUN),
            health_page_run: HeaderName::from_static(call_headers::SERVER_RUN),
            caller_service: HeaderName::from_static(call_headers::CALLER_SERVICE),
            not_run: HeaderName::from_static(call_headers::NOT_RUN),
            fractional_retry_after: false,
            servers_use_caller_listener: false,
        }
    }
}

impl CallDialect {
    /// Whether a header is written anew on the way, so that a caller's own
    /// is never passed on.
    pub fn rewrites(&self, name: &HeaderName) -> bool {
        *name == self.deadline_ms
            || *name == self.server_run
            || *name == self.caller_service
    }
}
