//! A node whose answers fill the link of its machine.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::header::HeaderValue;
use actix_http::Request;
use actix_http::StatusCode;
use actix_rt::System;
use awc::Client;
use bytes::Bytes;
use tokio::sync::oneshot;

use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::update_source::SourceIdentity;
use cowslip_core::update_source::UpdateSource;
use cowslip_core::version::ConfigVersion;
use cowslip_node::local_handler::AnnounceBody;
use cowslip_node::node_daemon::NodeDaemon;
use cowslip_node::node_daemon::NodeSockets;
use cowslip_node::node_settings::NodeSettings;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::HttpListener;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;
use cowslip_wire::message_reply;
use cowslip_wire::messages::WireCall;

use crate::follow_answer::follow_answer;
use crate::narrow_link::LinkRoute;

#[path = "support/follow_answer.rs"]
mod follow_answer;
#[path = "support/narrow_link.rs"]
mod narrow_link;

const KEY: &str = "a-key-of-the-fleet-of-this-test";

/// Bandwidth of the machine's link.
const LINK_MBPS: f64 = 6.0;

/// Size of an answer of the backend server, in bytes, and callers that ask for one
/// after another. Together they ask for the link's bandwidth of four seconds.
const ANSWER_BYTES: usize = 100 * 1024;
const CALLERS: usize = 32;

/// How long a control instance holds a poll.
const FOLLOW_WAIT: Duration = Duration::from_millis(400);

/// Time from the acknowledgement of a change to its being in force at all nodes, as
/// users state it.
const CHANGE_TIME_MAX: Duration = Duration::from_secs(2);

/// Time for callers to fill the link.
const FILL_TIME: Duration = Duration::from_secs(2);

/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A control instance that leads a fleet of one node.
struct ControlStub {
    source: RefCell<UpdateSource>,
    started: Instant,
}

impl ControlStub {
    fn new() -> Rc<Self> {
        let mut source = UpdateSource::new(SourceIdentity {
            instance: "control-1".into(),
            failure_domain: "voss".into(),
            run: 1,
        });
        source.set_leading(Duration::ZERO, true);
        source.publish(Duration::ZERO, snapshot(1));
        Rc::new(Self {
            source: RefCell::new(source),
            started: Instant::now(),
        })
    }

    async fn answer(&self, mut request: Request) -> Result<HttpReply, HttpReply> {
        let key = AccessKey::new(KEY);
        let now = self.started.elapsed();
        if request.path() == ReportCall::PATH {
            let call = message_reply::read::<ReportCall>(&mut request, &key).await?;
            self.source.borrow_mut().report(now, call.batch);
            return Ok(message_reply::encoded(&()));
        }
        let call = message_reply::read::<FollowCall>(&mut request, &key).await?;
        Ok(follow_answer(&self.source, self.started, call).await)
    }
}

struct ControlHandler(Rc<ControlStub>);

impl HttpHandler for ControlHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let control = Rc::clone(&self.0);
        Box::pin(async move { control.answer(request).await.unwrap_or_else(|no| no) })
    }
}

/// Runs a control instance on a thread of its own. It publishes version 2 when it is
/// told to.
fn spawn_control(publish: oneshot::Receiver<()>) -> SocketAddr {
    let (started, address) = std::sync::mpsc::channel();
    thread::spawn(move || {
        System::new().block_on(async move {
            let control = ControlStub::new();
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let handler = Rc::new(ControlHandler(Rc::clone(&control)));
            let listener = HttpListener::bind(any, 8, handler).expect("a free port");
            started.send(listener.address()).expect("the test waits");
            publish.await.expect("the test publishes a version");
            let now = control.started.elapsed();
            control.source.borrow_mut().publish(now, snapshot(2));
            std::future::pending::<()>().await;
        });
    });
    address.recv().expect("the control instance started")
}

/// A configuration with the routes `/route-1` to that of `number`.
fn snapshot(number: u64) -> ConfigSnapshot {
    let mut document = FleetDocument::default();
    let spec = ServiceSpec {
        version: "v1".into(),
        ..ServiceSpec::default()
    };
    document.services.insert("records".into(), spec);
    for route in 1..=number {
        document.routes.push(Arc::new(RouteSpec {
            path: format!("/route-{route}").into(),
            service: "records".into(),
            ..RouteSpec::default()
        }));
    }
    ConfigSnapshot {
        version: ConfigVersion::new(1, number),
        document: document.into(),
    }
}

/// A backend server whose answers are large.
struct LargeAnswers;

impl HttpHandler for LargeAnswers {
    fn handle(&self, _: Request) -> ReplyFuture {
        let content_type = HeaderValue::from_static("application/octet-stream");
        let body = Bytes::from(vec![7; ANSWER_BYTES]);
        let reply = http_reply::with_content_type(StatusCode::OK, content_type, body);
        Box::pin(async move { reply })
    }
}

async fn announce(node: &NodeDaemon, address: SocketAddr) {
    let body = AnnounceBody {
        cold_ms: None,
        run: None,
        service: "records".into(),
        version: "v1".into(),
        address,
        slots: CALLERS as u32,
    };
    let body = serde_json::to_vec(&body).expect("an announcement");
    let local = node.local();
    let sent = Client::default().post(format!("http://{local}/announce"));
    let response = sent.send_body(body).await.expect("the node answers");
    assert!(response.status().is_success());
}

/// Calls `path` and returns the status, and the size of the answer if it is complete.
async fn call(node: SocketAddr, path: &str) -> (u16, Option<usize>) {
    let client = Client::builder().timeout(TIMEOUT).finish();
    let request = client.get(format!("http://{node}{path}"));
    let request = request.insert_header(("cowslip-deadline-ms", "20000"));
    let Ok(mut response) = request.send().await else {
        return (0, None);
    };
    let body = response.body().await.ok();
    (response.status().as_u16(), body.map(|body| body.len()))
}

/// Calls `path` and returns the status, as soon as the head of the answer arrives.
async fn call_for_status(node: SocketAddr, path: &str) -> Option<StatusCode> {
    let client = Client::builder().timeout(TIMEOUT).finish();
    let response = client.get(format!("http://{node}{path}")).send().await;
    response.ok().map(|response| response.status())
}

/// Calls `path` until the node knows its route; returns how long that took.
async fn wait_for_route(node: SocketAddr, path: &str) -> Duration {
    let started = Instant::now();
    while call_for_status(node, path).await != Some(StatusCode::OK) {
        assert!(started.elapsed() < TIMEOUT, "{path} is not served");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

// Guards against a change that waits at a node's link behind the answers of its server,
// so that a route is refused as unknown long after it was added.
#[test]
fn answers_that_fill_the_link_hold_back_no_version() {
    let (publish, published) = oneshot::channel();
    let control = spawn_control(published);
    System::new().block_on(async {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let to_control = LinkRoute {
            target: Arc::new(control.into()),
            opened_by_node: true,
        };
        let to_node = LinkRoute::default();
        let routes = vec![to_control, to_node.clone()];
        let link = narrow_link::spawn(LINK_MBPS * 1e6, routes);
        let settings = NodeSettings {
            follow_wait: FOLLOW_WAIT,
            link_mbps: Some(LINK_MBPS),
            ..NodeSettings::on_loopback(
                "node-1".into(),
                "voss".into(),
                vec![link[0]],
                AccessKey::new(KEY),
            )
        };
        let sockets = NodeSockets::bind(&settings).expect("free ports");
        let node = NodeDaemon::spawn(&settings, sockets, 0).expect("a node");
        to_node.target.set(node.callers()).expect("it is not set");
        let server = HttpListener::bind(listen, CALLERS, Rc::new(LargeAnswers));
        let server = server.expect("a free port");
        announce(&node, server.address()).await;
        wait_for_route(node.callers(), "/route-1").await;
        for _ in 0..CALLERS {
            let node = link[1];
            actix_rt::spawn(async move {
                loop {
                    let (status, bytes) = call(node, "/route-1").await;
                    assert_eq!((status, bytes), (200, Some(ANSWER_BYTES)));
                }
            });
        }
        actix_rt::time::sleep(FILL_TIME).await;
        publish.send(()).expect("the control instance runs");
        let took = wait_for_route(node.callers(), "/route-2").await;
        assert!(took < CHANGE_TIME_MAX, "in force after {took:?}");
    });
}
