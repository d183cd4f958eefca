//! An HTTP/1.1 listener with its own accept loop and connection limits.
//!
//! One task owns the listening socket, and one task serves each connection;
//! the handler is a trait object. The number of connections is bounded. A stop
//! closes each connection once its responses in flight are flushed to the
//! socket.

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

use crate::http_reply::HttpReply;
use crate::pipelined_connection;
use crate::pipelined_connection::ConnectionContext;

/// Time for a complete request head to arrive; bounds how long a slow sender
/// can hold a connection.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Delay after a failed accept, which mostly means that the process is out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Timeouts of a listener's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerTimeouts {
    /// Time for a complete request head to arrive.
    pub head: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for ListenerTimeouts {
    fn default() -> Self {
        Self {
            head: REQUEST_HEAD_TIMEOUT,
            idle: IDLE_TIMEOUT,
        }
    }
}

/// Receives the timeouts, which may change while the listener runs.
pub type TimeoutsWatch = watch::Receiver<ListenerTimeouts>;

/// How the requests of one connection are served.
#[derive(Clone, Copy, Debug)]
enum RequestMode {
    /// One at a time.
    Sequential,
    /// Pipelined GET and HEAD requests run concurrently.
    Pipelined,
}

/// Lifecycle stage of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ListenerStage {
    Open,
    /// No new connection or request is accepted; requests in flight complete.
    Closing,
    /// Open connections are dropped.
    Aborted,
}

/// A handler's response, once it completes.
pub type ReplyFuture = Pin<Box<dyn Future<Output = HttpReply>>>;

/// Handles the requests of a listener.
pub trait HttpHandler {
    /// Handles one request.
    fn handle(&self, request: Request) -> ReplyFuture;
}

/// A running listener; dropping it closes the socket and its connections.
pub struct HttpListener {
    address: SocketAddr,
    stage: watch::Sender<ListenerStage>,
    permits: Arc<Semaphore>,
    connections_max: usize,
    in_flight: Rc<Cell<usize>>,
}

impl HttpListener {
    /// Binds `address` and serves at most `connections_max` connections at
    /// once; further ones wait in the kernel's accept backlog. Port 0 picks a
    /// free port.
    pub fn bind(
        address: SocketAddr,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
    ) -> io::Result<Self> {
        let socket = std::net::TcpListener::bind(address)?;
        Self::spawn(socket, connections_max, handler)
    }

    /// Serves a socket that is already bound, so that its port can be
    /// published before the listener answers on it.
    pub fn spawn(
        socket: std::net::TcpListener,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
    ) -> io::Result<Self> {
        let (_, timeouts) = watch::channel(ListenerTimeouts::default());
        let mode = RequestMode::Sequential;
        Self::spawn_with_mode(socket, connections_max, handler, timeouts, mode)
    }

    /// Serves a bound socket and handles pipelined requests concurrently. The
    /// timeouts may change; a connection keeps those in force when it was
    /// accepted.
    pub fn spawn_pipelined(
        socket: std::net::TcpListener,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
        timeouts: TimeoutsWatch,
    ) -> io::Result<Self> {
        Self::spawn_with_mode(
            socket,
            connections_max,
            handler,
            timeouts,
            RequestMode::Pipelined,
        )
    }

    fn spawn_with_mode(
        socket: std::net::TcpListener,
        connections_max: usize,
        handler: Rc<dyn HttpHandler>,
        timeouts: TimeoutsWatch,
        mode: RequestMode,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let socket = TcpListener::from_std(socket)?;
        let address = socket.local_addr()?;
        let (stage, stage_watch) = watch::channel(ListenerStage::Open);
        let permits = Arc::new(Semaphore::new(connections_max));
        let in_flight = Rc::new(Cell::new(0));
        let counted = CountedHandler {
            handler,
            in_flight: Rc::clone(&in_flight),
        };
        let accept_loop = AcceptLoop {
            socket,
            permits: Arc::clone(&permits),
            counted: Rc::new(counted),
            stage_watch,
            timeouts,
            mode,
        };
        actix_rt::spawn(accept_loop.run());
        Ok(Self {
            address,
            stage,
            permits,
            connections_max,
            in_flight,
        })
    }

    /// Returns the local address of the socket.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests whose responses are not completely written.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Stops accepting and lets each connection finish its responses in flight
    /// for up to `timeout`, then drops the remaining connections. Returns true
    /// if none was dropped.
    pub async fn stop(self, timeout: Duration) -> bool {
        self.stage.send_replace(ListenerStage::Closing);
        let all = u32::try_from(self.connections_max).unwrap_or(u32::MAX);
        // Each connection holds one permit until its last byte is flushed, so
        // that holding all permits means that no connection is open.
        let ended = actix_rt::time::timeout(timeout, self.permits.acquire_many(all));
        let whole = ended.await.is_ok();
        self.stage.send_replace(ListenerStage::Aborted);
        whole
    }
}

/// Completes when the listener has reached `stage` or was dropped.
async fn stage_reached(
    mut stage_watch: watch::Receiver<ListenerStage>,
    stage: ListenerStage,
) {
    // An error means that the listener was dropped, which also ends every
    // connection.
    let _ = stage_watch.wait_for(|now| *now >= stage).await;
}

/// Serves connections with the timeouts in force when it was built.
type ConnectionService = Rc<dyn ConnectionServer>;

/// Serves one connection until it closes; hides the HTTP library's types.
trait ConnectionServer {
    fn serve(&self, stream: TcpStream) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

struct SequentialConnections<S>(S);

impl<S: Service<TcpStream>> ConnectionServer for SequentialConnections<S> {
    fn serve(&self, stream: TcpStream) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(serve(&self.0, stream))
    }
}

/// Serves connections with concurrent request pipelining.
struct PipelinedConnections {
    context: ConnectionContext,
    stage_watch: watch::Receiver<ListenerStage>,
}

impl ConnectionServer for PipelinedConnections {
    fn serve(&self, stream: TcpStream) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        let closing = stage_reached(self.stage_watch.clone(), ListenerStage::Closing);
        Box::pin(async move {
            // An error only concerns this connection, which closes with it.
            let _ = pipelined_connection::serve(&self.context, stream, closing).await;
        })
    }
}

struct AcceptLoop {
    socket: TcpListener,
    permits: Arc<Semaphore>,
    counted: Rc<CountedHandler>,
    stage_watch: watch::Receiver<ListenerStage>,
    timeouts: TimeoutsWatch,
    mode: RequestMode,
}

impl AcceptLoop {
    async fn run(mut self) {
        let Some(mut service) = self.connection_service().await else {
            return;
        };
        loop {
            let accepting = accept(&self.socket, &self.permits);
            let accepted = tokio::select! {
                accepted = accepting => accepted,
                () = stage_reached(self.stage_watch.clone(), ListenerStage::Closing) => return,
            };
            let Ok((stream, permit)) = accepted else {
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // An error means that the sender is gone and the timeouts are final.
            if self.timeouts.has_changed().unwrap_or(false) {
                service = self.connection_service().await.unwrap_or(service);
            }
            let service = Rc::clone(&service);
            let stage_watch = self.stage_watch.clone();
            actix_rt::spawn(async move {
                tokio::select! {
                    () = service.serve(stream) => {}
                    () = stage_reached(stage_watch, ListenerStage::Aborted) => {}
                }
                drop(permit);
            });
        }
    }

    async fn connection_service(&mut self) -> Option<ConnectionService> {
        let timeouts = *self.timeouts.borrow_and_update();
        match self.mode {
            RequestMode::Sequential => self.sequential_service(timeouts).await,
            RequestMode::Pipelined => Some(self.pipelined_service(timeouts)),
        }
    }

    fn pipelined_service(&self, timeouts: ListenerTimeouts) -> ConnectionService {
        let config = ServiceConfigBuilder::new()
            .keep_alive(KeepAlive::Timeout(timeouts.idle))
            .build();
        Rc::new(PipelinedConnections {
            context: ConnectionContext {
                handler: Rc::clone(&self.counted),
                config,
                timeouts,
            },
            stage_watch: self.stage_watch.clone(),
        })
    }

    async fn sequential_service(
        &self,
        timeouts: ListenerTimeouts,
    ) -> Option<ConnectionService> {
        let closing = self.stage_watch.clone();
        let counted = Rc::clone(&self.counted);
        let factory = HttpService::build()
            .client_request_timeout(timeouts.head)
            .keep_alive(timeouts.idle)
            // A half-closed connection means that its caller has left. If its
            // calls kept running, they would hold slots and delay new calls
            // until the deadlines of the abandoned ones.
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || {
                stage_reached(closing.clone(), ListenerStage::Closing)
            })
            .h1(fn_service(move |request: Request| {
                let counted = Rc::clone(&counted);
                async move { Ok::<_, Infallible>(counted.handle(request).await) }
            }))
            .tcp();
        let service = factory.new_service(()).await.ok()?;
        Some(Rc::new(SequentialConnections(service)))
    }
}

/// Accepts the next connection once the connection limit allows it.
async fn accept(
    socket: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.map_err(io::Error::other)?;
    let (stream, _) = socket.accept().await?;
    Ok((stream, permit))
}

async fn serve<S: Service<TcpStream>>(service: &S, stream: TcpStream) {
    // An error only concerns this connection; handlers notice and count the
    // requests that it interrupts.
    let _ = service.call(stream).await;
}

/// Handles requests and counts them while they are in flight.
pub(crate) struct CountedHandler {
    handler: Rc<dyn HttpHandler>,
    in_flight: Rc<Cell<usize>>,
}

impl CountedHandler {
    /// Handles a request; it counts as in flight until its body is dropped.
    pub(crate) async fn handle(&self, request: Request) -> Response<CountedBody> {
        let guard = InFlightGuard::begin(&self.in_flight);
        let reply = self.handler.handle(request).await;
        Self::counted(reply, guard)
    }

    /// Counts a response that no handler produced.
    pub(crate) fn count(&self, reply: HttpReply) -> Response<CountedBody> {
        Self::counted(reply, InFlightGuard::begin(&self.in_flight))
    }

    fn counted(reply: HttpReply, guard: InFlightGuard) -> Response<CountedBody> {
        reply.map_body(|_, body| CountedBody {
            body,
            _guard: guard,
        })
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    fn begin(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A response body that counts its request as in flight until it is dropped.
pub(crate) struct CountedBody {
    body: BoxBody,
    _guard: InFlightGuard,
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
