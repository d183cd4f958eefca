//! An HTTP/1.1 listener whose accept loop, connections and limits are ours.
//!
//! One task owns the listening socket and one each connection; the handler
//! is a trait object. The number of connections is bounded. A stop ends each
//! connection once the answer on its way has been flushed to the socket.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Request;
use actix_http::Response;
use actix_http::ServiceConfigBuilder;
use actix_rt::net::TcpStream;
use actix_service::fn_service;
use actix_service::Service;
use actix_service::ServiceFactory;
use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::ahead_connection;
use crate::ahead_connection::ConnectionPlan;
use crate::http_reply::HttpReply;

/// Time for a connection's request head to arrive whole; a slow sender
/// holds a connection no longer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle connections are closed after this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Pause after a failed accept: out of file descriptors, mostly.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Times that a listener keeps with its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerTimeouts {
    /// For a request's head to arrive whole.
    pub head: Duration,
    /// Idle connections are closed after this long.
    pub idle: Duration,
}

impl Default for ListenerTimeouts {
    fn default() -> Self {
        Self {
            head: HEAD_TIMEOUT,
            idle: IDLE_TIMEOUT,
        }
    }
}

/// Watches the times, which may change while the listener runs.
pub type TimesWatch = watch::Receiver<ListenerTimeouts>;

/// How a connection's requests are served.
#[derive(Clone, Copy, Debug)]
enum ServingKind {
    /// One after the other.
    InTurn,
    /// Those that were sent ahead together.
    Ahead,
}

/// Where a listener stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ListenerStage {
    Open,
    /// No new connection and no new request; what is in flight ends.
    Closing,
    /// Every connection is cut.
    Cut,
}

/// Answer of a handler, still on its way.
pub type ReplyFuture = Pin<Box<dyn Future<Output = HttpReply>>>;

/// Serves the requests of a listener.
pub trait HttpHandler {
    /// Answers one request.
    fn handle(&self, request: Request) -> ReplyFuture;
}

/// A running listener; dropping it stops accepting.
pub struct HttpListener {
    address: SocketAddr,
    stage: watch::Sender<ListenerStage>,
    open: Arc<Semaphore>,
    connections_max: usize,
    in_flight: Rc<Cell<usize>>,
}

impl HttpListener {
    /// Binds `address` and serves at most `connections_max` connections at
    /// once; more wait in the system's backlog. Port 0 takes a free port.
    pub fn bind(
        address: SocketAddr,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
    ) -> io::Result<Self> {
        let socket = std::net::TcpListener::bind(address)?;
        Self::spawn(socket, connections_max, handler)
    }

    /// Serves a socket that is bound already, so that its port can be told
    /// to others before anything answers on it.
    pub fn spawn(
        socket: std::net::TcpListener,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
    ) -> io::Result<Self> {
        let (_, times) = watch::channel(ListenerTimeouts::default());
        let kind = ServingKind::InTurn;
        Self::spawn_kind(socket, connections_max, handler, times, kind)
    }

    /// The same for callers that send requests ahead, which are worked on
    /// together; with times that may change. Connections keep the times that
    /// held when they were taken.
    pub fn spawn_pipelined(
        socket: std::net::TcpListener,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
        times: TimesWatch,
    ) -> io::Result<Self> {
        Self::spawn_kind(socket, connections_max, handler, times, ServingKind::Ahead)
    }

    fn spawn_kind(
        socket: std::net::TcpListener,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
        times: TimesWatch,
        kind: ServingKind,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let socket = TcpListener::from_std(socket)?;
        let address = socket.local_addr()?;
        let (stage, staged) = watch::channel(ListenerStage::Open);
        let open = Arc::new(Semaphore::new(connections_max));
        let in_flight = Rc::new(Cell::new(0));
        let counted = CountedHandler {
            handler,
            in_flight: Rc::clone(&in_flight),
        };
        let loop_parts = AcceptLoop {
            socket,
            open: Arc::clone(&open),
            counted: Rc::new(counted),
            staged,
            times,
            kind,
        };
        actix_rt::spawn(loop_parts.run());
        Ok(Self {
            address,
            stage,
            open,
            connections_max,
            in_flight,
        })
    }

    /// The address in use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests whose answers have not been handed over whole.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Stops accepting and lets each connection end with the answer that is
    /// on its way, up to `patience`; then cuts the rest. True where none was
    /// cut.
    pub async fn stop(self, patience: Duration) -> bool {
        self.stage.send_replace(ListenerStage::Closing);
        let all = u32::try_from(self.connections_max).unwrap_or(u32::MAX);
        // Each connection holds one permit until its last byte is flushed.
        let ended = actix_rt::time::timeout(patience, self.open.acquire_many(all));
        let whole = ended.await.is_ok();
        self.stage.send_replace(ListenerStage::Cut);
        whole
    }
}

/// Ends when the listener has come to `stage` or was dropped.
async fn reached(mut staged: watch::Receiver<ListenerStage>, stage: ListenerStage) {
    // An error means that the handle was dropped, which cuts too.
    let _ = staged.wait_for(|now| *now >= stage).await;
}

/// Serves one connection at a time of those that it is called for.
type ConnectionService = Rc<dyn ServeConnection>;

/// A service whose library types are hidden.
trait ServeConnection {
    fn serve(&self, stream: TcpStream) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

struct HttpConnections<S>(S);

impl<S: Service<TcpStream>> ServeConnection for HttpConnections<S> {
    fn serve(&self, stream: TcpStream) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(serve(&self.0, stream))
    }
}

/// Serves requests of a connection that were sent ahead together.
struct AheadConnections {
    plan: ConnectionPlan,
    staged: watch::Receiver<ListenerStage>,
}

impl ServeConnection for AheadConnections {
    fn serve(&self, stream: TcpStream) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        let closing = reached(self.staged.clone(), ListenerStage::Closing);
        Box::pin(async move {
            // A broken connection is its peer's matter.
            let _ = ahead_connection::serve(&self.plan, stream, closing).await;
        })
    }
}

struct AcceptLoop {
    socket: TcpListener,
    open: Arc<Semaphore>,
    counted: Rc<CountedHandler>,
    staged: watch::Receiver<ListenerStage>,
    times: TimesWatch,
    kind: ServingKind,
}

impl AcceptLoop {
    async fn run(mut self) {
        let Some(mut service) = self.service().await else {
            return;
        };
        loop {
            let accepting = accept(&self.socket, &self.open);
            let accepted = tokio::select! {
                accepted = accepting => accepted,
                () = reached(self.staged.clone(), ListenerStage::Closing) => return,
            };
            let Ok((stream, permit)) = accepted else {
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // An error means that the times are fixed.
            if self.times.has_changed().unwrap_or(false) {
                service = self.service().await.unwrap_or(service);
            }
            let service = Rc::clone(&service);
            let staged = self.staged.clone();
            actix_rt::spawn(async move {
                tokio::select! {
                    () = service.serve(stream) => {}
                    () = reached(staged, ListenerStage::Cut) => {}
                }
                drop(permit);
            });
        }
    }

    async fn service(&mut self) -> Option<ConnectionService> {
        let times = *self.times.borrow_and_update();
        match self.kind {
            ServingKind::InTurn => self.in_turn(times).await,
            ServingKind::Ahead => Some(self.ahead(times)),
        }
    }

    fn ahead(&self, times: ListenerTimeouts) -> ConnectionService {
        let config = ServiceConfigBuilder::new()
            .keep_alive(KeepAlive::Timeout(times.idle))
            .build();
        Rc::new(AheadConnections {
            plan: ConnectionPlan {
                handler: Rc::clone(&self.counted),
                config,
                times,
            },
            staged: self.staged.clone(),
        })
    }

    async fn in_turn(&self, times: ListenerTimeouts) -> Option<ConnectionService> {
        let closing = self.staged.clone();
        let counted = Rc::clone(&self.counted);
        let factory = HttpService::build()
            .client_request_timeout(times.head)
            .keep_alive(times.idle)
            // Guards against callers that leave: with their half of the
            // connection closed their calls would run on, hold slots, and
            // keep new ones waiting until the deadline of those who left.
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || {
                reached(closing.clone(), ListenerStage::Closing)
            })
            .h1(fn_service(move |request: Request| {
                let counted = Rc::clone(&counted);
                async move { Ok::<_, Infallible>(counted.handle(request).await) }
            }))
            .tcp();
        let service = factory.new_service(()).await.ok()?;
        Some(Rc::new(HttpConnections(service)))
    }
}

/// The next connection, once there is room for it.
async fn accept(
    socket: &TcpListener,
    open: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(open).acquire_owned().await;
    let permit = permit.map_err(io::Error::other)?;
    let (stream, _) = socket.accept().await?;
    Ok((stream, permit))
}

async fn serve<S: Service<TcpStream>>(service: &S, stream: TcpStream) {
    // A broken connection is its peer's matter; requests that it cuts are
    // seen and counted by their handlers.
    let _ = service.call(stream).await;
}

/// Answers requests and counts them while they are in flight.
pub(crate) struct CountedHandler {
    handler: Rc<dyn HttpHandler>,
    in_flight: Rc<Cell<usize>>,
}

impl CountedHandler {
    /// Answers a request.
    pub(crate) async fn handle(&self, request: Request) -> Response<CountedBody> {
        let guard = FlightGuard::begin(&self.in_flight);
        let reply = self.handler.handle(request).await;
        Self::counted(reply, guard)
    }

    /// Counts an answer that no handler gave.
    pub(crate) fn count(&self, reply: HttpReply) -> Response<CountedBody> {
        Self::counted(reply, FlightGuard::begin(&self.in_flight))
    }

    fn counted(reply: HttpReply, guard: FlightGuard) -> Response<CountedBody> {
        reply.map_body(|_, body| CountedBody {
            body,
            _guard: guard,
        })
    }
}

/// Counts a request in flight for as long as it lives.
struct FlightGuard(Rc<Cell<usize>>);

impl FlightGuard {
    fn begin(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A body that counts as in flight until it is dropped.
pub(crate) struct CountedBody {
    body: BoxBody,
    _guard: FlightGuard,
}

impl MessageBody for CountedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_pin_mut().poll_next(cx)
    }
}
