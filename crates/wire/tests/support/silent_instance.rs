//! A control instance that answers no request, as one behind a silent cut.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Request;

use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;

/// Paths of the requests so far.
type AskedPaths = Rc<RefCell<BTreeSet<String>>>;

/// A running instance that notes the paths of requests and answers none.
pub struct SilentInstance {
    listener: HttpListener,
    paths: AskedPaths,
}

struct SilentHandler(AskedPaths);

impl HttpHandler for SilentHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        self.0.borrow_mut().insert(request.path().to_owned());
        Box::pin(std::future::pending())
    }
}

impl SilentInstance {
    /// Listens on a free port.
    pub fn bind() -> Self {
        let paths = AskedPaths::default();
        let handler = Rc::new(SilentHandler(Rc::clone(&paths)));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = HttpListener::bind(any, 8, handler).expect("a free port");
        Self { listener, paths }
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns true if a request with this path has arrived.
    pub fn was_asked(&self, path: &str) -> bool {
        self.paths.borrow().contains(path)
    }
}
