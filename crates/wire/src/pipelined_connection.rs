//! An HTTP/1.1 server connection with concurrent request pipelining.
//!
//! Callers may send several idempotent requests without waiting for the first
//! response. Common HTTP libraries serve them sequentially, so each request
//! waits for all requests before it even while backend servers are idle: with
//! two requests in flight, half of them take twice as long. This connection
//! handles pipelined requests concurrently and writes the responses in request
//! order.
//!
//! Only GET and HEAD requests without a body run concurrently; any other
//! request runs alone. Once a request is known to be the last one on the
//! connection, the input behind it counts as not received: no request is
//! started whose response could not be sent.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use actix_http::ServiceConfig;
use actix_http::StatusCode;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;

use crate::boot_instant::BootInstant;
use crate::http_listener::CountedHandler;
use crate::http_listener::ListenerTimeouts;
use crate::pipelined_connection::pipelined_exchange::BodyDecoder;
use crate::pipelined_connection::pipelined_exchange::BodyWriter;
use crate::pipelined_connection::pipelined_exchange::DecodeStep;
use crate::pipelined_connection::pipelined_exchange::PipelinedExchange;
use crate::pipelined_connection::pipelined_exchange::ReceivedRequest;
use crate::socket_read::read_ready;
use crate::socket_read::BODY_READ_BYTES;
use crate::socket_read::HEAD_READ_BYTES;

mod pipelined_exchange;

/// Maximum number of requests of one connection that run concurrently.
const CONCURRENT_REQUESTS_MAX: usize = 8;

/// Maximum number of input bytes buffered before they can be parsed; also the
/// maximum size of a request head.
const INPUT_BYTES_MAX: usize = 128 * 1024;

/// Number of response bytes buffered for the socket at which no more body
/// chunks are polled.
const OUTPUT_BYTES_MAX: usize = 64 * 1024;

/// Time for which unread input is discarded after the final response. Closing the
/// socket at once with unread input would make the kernel drop the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// State that a listener shares with its pipelined connections.
pub(crate) struct ConnectionContext {
    /// Handles requests and counts them while they are in flight.
    pub handler: Rc<CountedHandler>,
    /// HTTP codec settings.
    pub config: ServiceConfig,
    /// Request head and idle timeouts.
    pub timeouts: ListenerTimeouts,
}

/// Serves one connection until it closes. Once `closing` completes, no new
/// request is started.
pub(crate) async fn serve(
    context: &ConnectionContext,
    mut stream: TcpStream,
    closing: impl std::future::Future<Output = ()>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.split();
    let mut connection = PipelinedConnection {
        context,
        reader,
        writer,
        input: BytesMut::new(),
        output: BytesMut::new(),
        body_decoder: None,
        pending: None,
        exchanges: VecDeque::new(),
        reply_body: None,
        draining: false,
        final_reply_written: false,
        reset_if_dropped: false,
        idle_since: BootInstant::now(),
        request_received: false,
    };
    tokio::pin!(closing);
    let mut drain_requested = false;
    while !connection.is_finished() {
        connection.advance()?;
        if connection.is_finished() {
            break;
        }
        tokio::select! {
            () = &mut closing, if !drain_requested => {
                drain_requested = true;
                connection.draining = true;
            }
            step = connection.step() => {
                if !step? {
                    return Ok(());
                }
            }
        }
    }
    connection.finish().await
}

struct PipelinedConnection<'a> {
    context: &'a ConnectionContext,
    reader: ReadHalf<'a>,
    writer: WriteHalf<'a>,
    input: BytesMut,
    output: BytesMut,
    /// Decoder of the newest request's body, until the body is complete.
    body_decoder: Option<BodyDecoder>,
    /// A received request that cannot start until earlier requests finish.
    pending: Option<ReceivedRequest>,
    /// Started requests, the oldest first.
    exchanges: VecDeque<PipelinedExchange>,
    /// Body of the response that is being written.
    reply_body: Option<BodyWriter>,
    /// No further request is started.
    draining: bool,
    /// The response that closes the connection was written to `output`.
    final_reply_written: bool,
    /// The kernel resets the connection if it is dropped.
    reset_if_dropped: bool,
    /// When the connection last became idle, or a head began to arrive.
    idle_since: BootInstant,
    /// At least one request was received on this connection.
    request_received: bool,
}

impl PipelinedConnection<'_> {
    fn is_finished(&self) -> bool {
        let idle = self.exchanges.is_empty() && self.reply_body.is_none();
        (self.final_reply_written || (self.draining && idle)) && self.output.is_empty()
    }

    /// Makes all progress that is possible without waiting.
    fn advance(&mut self) -> io::Result<()> {
        self.write_ready_replies()?;
        // A pending request may start only after the responses that it waits
        // for, and its body is decoded only once it has started.
        self.start_pending();
        self.parse_input();
        Ok(())
    }

    /// Decodes request heads and bodies from the input.
    fn parse_input(&mut self) {
        loop {
            if let Some(body_decoder) = &mut self.body_decoder {
                match body_decoder.decode(&mut self.input) {
                    DecodeStep::Wait => return,
                    DecodeStep::End => self.body_decoder = None,
                    DecodeStep::Malformed => {
                        self.body_decoder = None;
                        self.draining = true;
                    }
                }
                continue;
            }
            if self.draining || self.pending.is_some() || self.input.is_empty() {
                return;
            }
            if self.exchanges.len() >= CONCURRENT_REQUESTS_MAX {
                return;
            }
            let received =
                ReceivedRequest::decode(&mut self.input, self.context.config.clone());
            let Some(received) = received else {
                return;
            };
            self.request_received = true;
            self.pending = Some(received);
            self.start_pending();
        }
    }

    /// Starts the pending request if it may run beside the started ones.
    fn start_pending(&mut self) {
        let Some(pending) = &self.pending else {
            return;
        };
        let busy = self.reply_body.is_some() || !self.exchanges.is_empty();
        let concurrent = pending.may_run_concurrently()
            && self
                .exchanges
                .iter()
                .all(PipelinedExchange::may_run_concurrently);
        if self.draining || (busy && !concurrent) {
            return;
        }
        let Some(pending) = self.pending.take() else {
            return;
        };
        if pending.expects_continue() {
            self.output
                .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.draining |= pending.is_last();
        let (exchange, body_decoder) = pending.start(&self.context.handler);
        self.body_decoder = body_decoder;
        self.exchanges.push_back(exchange);
    }

    /// Writes the oldest responses that are ready, up to the first with a body
    /// still to be streamed.
    fn write_ready_replies(&mut self) -> io::Result<()> {
        while self.reply_body.is_none() && !self.final_reply_written {
            let Some(oldest) = self.exchanges.pop_front() else {
                return Ok(());
            };
            let reply = match oldest.into_ready() {
                Ok(reply) => reply,
                Err(running) => {
                    self.exchanges.push_front(running);
                    return Ok(());
                }
            };
            // A handler that is shutting down asks to close, but the requests
            // behind this one have started and still get their responses; the
            // last of these closes the connection.
            self.draining |= reply.asks_to_close();
            let unread = self.body_decoder.is_some();
            let last = self.draining && self.exchanges.is_empty();
            let ends_body = reply.ends_with_close();
            if ends_body {
                self.set_reset_if_dropped(true)?;
            }
            let close = unread || last || ends_body;
            self.reply_body = reply.write_head(close, &mut self.output)?;
            if self.reply_body.is_none() {
                self.reply_written(close);
            }
        }
        Ok(())
    }

    /// Sets whether the kernel resets the connection if it is dropped, even by the end
    /// of the process. Its plain close would end a body that breaks off.
    fn set_reset_if_dropped(&mut self, reset: bool) -> io::Result<()> {
        self.reset_if_dropped = reset;
        let socket = SockRef::from(self.writer.as_ref());
        socket.set_linger(reset.then_some(Duration::ZERO))
    }

    fn reply_written(&mut self, close: bool) {
        self.final_reply_written |= close;
        self.idle_since = BootInstant::now();
        // An idle connection holds no buffer.
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Waits for the next event and handles it; false if the connection is to
    /// be dropped: the caller closed its side or the idle timeout passed.
    async fn step(&mut self) -> io::Result<bool> {
        let deadline = self.deadline();
        let has_input_space = self.input.len() < INPUT_BYTES_MAX;
        let has_output = !self.output.is_empty();
        let is_writing = self.reply_body.is_some();
        let wants_chunk = is_writing && self.output.len() < OUTPUT_BYTES_MAX;
        let read_bytes = match &self.body_decoder {
            Some(_) => BODY_READ_BYTES,
            None => HEAD_READ_BYTES,
        };
        let Self {
            reader,
            writer,
            input,
            output,
            body_decoder,
            exchanges,
            reply_body,
            ..
        } = self;
        tokio::select! {
            // Body chunks are polled before the socket write, so that a head
            // and an available body are sent in one write instead of two.
            biased;
            chunk = next_chunk(reply_body), if wants_chunk => {
                return self.write_chunk(chunk);
            }
            wrote = writer.write_buf(output), if has_output => {
                if wrote? == 0 {
                    return Ok(false);
                }
                if output.is_empty() {
                    *output = BytesMut::new();
                }
            }
            // Polled before the read: a response that is ready is sent even if
            // the caller has already shut down its sending side.
            () = oldest_ready(exchanges, is_writing) => {}
            () = handler_capacity(body_decoder) => {}
            read = read_ready(reader, input, read_bytes), if has_input_space => {
                return self.input_received(read?);
            }
            () = sleep_until(deadline) => return self.timed_out(),
        }
        Ok(true)
    }

    fn input_received(&mut self, read: usize) -> io::Result<bool> {
        if read == 0 {
            // The caller closed its side. If its calls kept running, they would
            // hold slots and delay new calls until deadlines that no caller
            // waits for.
            return Ok(false);
        }
        let starts_head = read == self.input.len() && self.body_decoder.is_none();
        if starts_head && self.exchanges.is_empty() {
            self.idle_since = BootInstant::now();
        }
        Ok(true)
    }

    fn write_chunk(&mut self, chunk: Option<io::Result<Bytes>>) -> io::Result<bool> {
        let Some(writer) = &self.reply_body else {
            return Ok(true);
        };
        if let Some(chunk) = chunk {
            writer.write(chunk?, &mut self.output)?;
            return Ok(true);
        }
        writer.write_end(&mut self.output)?;
        let close = writer.closes_connection();
        self.reply_body = None;
        self.reply_written(close);
        Ok(true)
    }

    /// When the idle or head timeout passes; `None` while requests run or
    /// output is unsent.
    fn deadline(&self) -> Option<BootInstant> {
        let busy = !self.exchanges.is_empty() || self.reply_body.is_some();
        if busy || !self.output.is_empty() {
            return None;
        }
        let idle = self.request_received && self.input.is_empty();
        let time = if idle {
            self.context.timeouts.idle
        } else {
            self.context.timeouts.head
        };
        Some(self.idle_since + time)
    }

    /// Handles a passed timeout: false to drop an idle connection without a
    /// response; an incomplete request head is answered with status 408.
    fn timed_out(&mut self) -> io::Result<bool> {
        if self.request_received && self.input.is_empty() {
            return Ok(false);
        }
        let status = StatusCode::REQUEST_TIMEOUT;
        let late = ReceivedRequest::refused(status, self.context.config.clone());
        self.input.clear();
        self.pending = Some(late);
        self.start_pending();
        Ok(true)
    }

    /// Flushes the output, closes the sending side and discards unread input.
    async fn finish(mut self) -> io::Result<()> {
        self.writer.write_all_buf(&mut self.output).await?;
        if self.reset_if_dropped {
            self.set_reset_if_dropped(false)?;
        }
        self.writer.shutdown().await?;
        if self.body_decoder.is_none() && self.input.is_empty() {
            return Ok(());
        }
        let mut rest = BytesMut::with_capacity(OUTPUT_BYTES_MAX);
        let drained = async {
            while self
                .reader
                .read_buf(&mut rest)
                .await
                .is_ok_and(|read| read > 0)
            {
                rest.clear();
            }
        };
        // An error means that the timeout passed; the socket closes anyway.
        let _ = actix_rt::time::timeout(LINGER_TIMEOUT, drained).await;
        Ok(())
    }
}

async fn next_chunk(reply_body: &mut Option<BodyWriter>) -> Option<io::Result<Bytes>> {
    match reply_body {
        Some(body) => body.next().await,
        None => std::future::pending().await,
    }
}

async fn handler_capacity(body_decoder: &mut Option<BodyDecoder>) {
    match body_decoder {
        Some(body_decoder) => body_decoder.wait_for_capacity().await,
        None => std::future::pending().await,
    }
}

/// Polls all requests. Completes when the oldest has its response, unless an earlier
/// one `is_writing`.
async fn oldest_ready(exchanges: &mut VecDeque<PipelinedExchange>, is_writing: bool) {
    poll_fn(|cx| match pipelined_exchange::poll_all(exchanges, cx) {
        Poll::Ready(()) if !is_writing => Poll::Ready(()),
        _ => Poll::Pending,
    })
    .await;
}

async fn sleep_until(deadline: Option<BootInstant>) {
    match deadline {
        Some(deadline) => {
            let left = deadline.saturating_duration_since(BootInstant::now());
            actix_rt::time::sleep(left).await;
        }
        None => std::future::pending().await,
    }
}
