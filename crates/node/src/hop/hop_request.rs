//! Head of a request to the next hop.

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::Uri;

/// Head of a request to the next hop.
#[derive(Clone, Debug)]
pub struct HopRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// All headers, including those for this hop only.
    pub headers: HeaderMap,
    /// Header that carries the request ID; responses echo it.
    pub request_id_header: HeaderName,
}

impl HopRequest {
    /// Request ID that a response echoes, if the request has one.
    pub(super) fn id(&self) -> Option<&[u8]> {
        self.headers
            .get(&self.request_id_header)
            .map(|value| value.as_bytes())
    }

    /// Converts the head to the codec's type.
    pub(super) fn head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.target.clone();
        head.headers = self.headers.clone();
        head
    }
}
