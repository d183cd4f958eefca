//! What is sent to the next hop.

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::Uri;

/// A request's head on its way to the next hop.
#[derive(Clone, Debug)]
pub struct HopRequest {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub target: Uri,
    /// Headers, those of this hop included.
    pub headers: HeaderMap,
    /// Header by which answers name the request that they belong to.
    pub request_id_header: HeaderName,
}

impl HopRequest {
    /// The value that an answer to this request echoes, if it has one.
    pub(super) fn id(&self) -> Option<&[u8]> {
        self.headers
            .get(&self.request_id_header)
            .map(|value| value.as_bytes())
    }

    /// The head as the codec writes it.
    pub(super) fn head(&self) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.target.clone();
        head.headers = self.headers.clone();
        head
    }
}
