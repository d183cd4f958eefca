//! Handler of every process's admin listener: metrics, health and readiness.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::header::HeaderValue;
use actix_http::Request;
use actix_http::StatusCode;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::http_listener::HttpHandler;
use crate::http_listener::ReplyFuture;
use crate::http_reply;
use crate::http_reply::HttpReply;

/// Connection limit of the admin listener; metric scrapers need only a few.
pub const ADMIN_CONNECTIONS_MAX: usize = 32;

const METRICS_CONTENT_TYPE: &str =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves `/metrics`, `/healthz` and `/readyz`.
pub struct AdminHandler {
    registry: Rc<Registry>,
    ready: Rc<Cell<bool>>,
}

impl AdminHandler {
    /// Creates a handler for the process's metrics and readiness flag.
    pub fn new(registry: Rc<Registry>, ready: Rc<Cell<bool>>) -> Self {
        Self { registry, ready }
    }

    fn reply(&self, path: &str) -> HttpReply {
        match path {
            "/metrics" => self.metrics(),
            "/healthz" => http_reply::text(StatusCode::OK, "ok"),
            "/readyz" if self.ready.get() => http_reply::text(StatusCode::OK, "ready"),
            "/readyz" => http_reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            _ => http_reply::text(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    fn metrics(&self) -> HttpReply {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return http_reply::text(status, "metrics cannot be encoded");
        }
        let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
        http_reply::with_content_type(StatusCode::OK, content_type, text.into())
    }
}

impl HttpHandler for AdminHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let reply = self.reply(request.path());
        Box::pin(async move { reply })
    }
}
