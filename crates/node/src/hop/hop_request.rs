//! Head of a request to the next hop.

use std::fmt;
use std::rc::Rc;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::ResponseHead;
use actix_http::Uri;

/// Learns when a request has been sent.
pub trait SendObserver: fmt::Debug {
    /// The head of the request has been written to the connection.
    fn head_sent(&self);
}

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
    /// Whether the response to a request with an ID echoes it in every case. If
    /// not, a response without an ID answers the request as well.
    pub echo_required: bool,
    /// Learns when the head has been sent, if anyone wants to know.
    pub observer: Option<Rc<dyn SendObserver>>,
}

impl HopRequest {
    /// Request ID that a response echoes, if the request has one.
    pub(super) fn id(&self) -> Option<&[u8]> {
        self.id_in(&self.headers)
    }

    /// Request ID that a response echoes, if it has one.
    pub(super) fn echoed_id<'a>(&self, response: &'a ResponseHead) -> Option<&'a [u8]> {
        self.id_in(&response.headers)
    }

    /// Request ID in `headers`. An empty one names no request: some servers echo
    /// it to a request without an ID.
    fn id_in<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]> {
        let value = headers.get(&self.request_id_header)?;
        Some(value.as_bytes()).filter(|id| !id.is_empty())
    }

    /// True if the response answers this request and no other.
    pub(super) fn is_answered_by(&self, response: &ResponseHead) -> bool {
        match (self.id(), self.echoed_id(response)) {
            (Some(_), None) => !self.echo_required,
            (id, echoed) => id == echoed,
        }
    }

    /// Tells the observer that the head has been sent.
    pub(super) fn notify_sent(&self) {
        if let Some(observer) = &self.observer {
            observer.head_sent();
        }
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
