//! One request of a pipelined connection and its response.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use actix_http::error::ParseError;
use actix_http::error::PayloadError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::BoxedPayloadStream;
use actix_http::ConnectionType;
use actix_http::Method;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::Version;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::framing_budget::FramingBudget;
use crate::http_listener::CountedBody;
use crate::http_listener::CountedHandler;
use crate::http_reply;

/// Maximum number of body chunks, of a few kilobytes each, that are queued for
/// the handler.
const CHUNKS_MAX: usize = 8;

/// A chunk of a request body, or `None` at its end.
type BodyChunk = Option<Result<Bytes, PayloadError>>;

/// A codec may decode a request's body while it encodes the response.
type SharedCodec = Rc<RefCell<Codec>>;

/// A handler's response that is not yet complete.
type RunningReply = Pin<Box<dyn Future<Output = Response<CountedBody>>>>;

/// A request whose head was decoded, or the error status to answer with.
pub(super) struct ReceivedRequest {
    codec: Codec,
    request: Result<Request, StatusCode>,
    concurrent: bool,
    last: bool,
    chunks: bool,
}

impl ReceivedRequest {
    /// Decodes a request head; `None` if the input does not hold all of it.
    ///
    /// Each request has its own codec, because a codec also keeps the request's
    /// properties that decide how its response is encoded.
    pub(super) fn decode(input: &mut BytesMut, config: ServiceConfig) -> Option<Self> {
        let mut codec = Codec::new(config.clone());
        match codec.decode(input) {
            Ok(Some(Message::Item(request))) => {
                let no_body = codec.message_type() == MessageType::None;
                let safe = matches!(*request.method(), Method::GET | Method::HEAD);
                Some(Self {
                    concurrent: no_body && safe,
                    last: !codec.keep_alive(),
                    chunks: request.version() >= Version::HTTP_11,
                    codec,
                    request: Ok(request),
                })
            }
            Ok(Some(Message::Chunk(_)) | None) => None,
            Err(error) => {
                input.clear();
                let status = match error {
                    ParseError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    _ => StatusCode::BAD_REQUEST,
                };
                Some(Self::refused(status, config))
            }
        }
    }

    /// Returns a request that cannot be parsed or was too slow, to be answered
    /// with `status`.
    pub(super) fn refused(status: StatusCode, config: ServiceConfig) -> Self {
        Self {
            codec: Codec::new(config),
            request: Err(status),
            concurrent: false,
            last: true,
            chunks: false,
        }
    }

    /// Returns true for a GET or HEAD request without a body.
    pub(super) fn may_run_concurrently(&self) -> bool {
        self.concurrent
    }

    /// Returns true if the caller sends no request after this one.
    pub(super) fn is_last(&self) -> bool {
        self.last
    }

    /// Returns true if the caller waits for `100 Continue` before it sends the
    /// body.
    pub(super) fn expects_continue(&self) -> bool {
        self.request
            .as_ref()
            .is_ok_and(|request| request.head().expect())
    }

    /// Passes the request to the handler; returns a decoder if it has a body.
    pub(super) fn start(
        self,
        handler: &Rc<CountedHandler>,
    ) -> (PipelinedExchange, Option<BodyDecoder>) {
        let handler = Rc::clone(handler);
        let has_body = self.codec.message_type() != MessageType::None;
        let codec = Rc::new(RefCell::new(self.codec));
        let mut body_decoder = None;
        let running: RunningReply = match self.request {
            Ok(mut request) => {
                if has_body {
                    body_decoder =
                        Some(BodyDecoder::attach(&mut request, Rc::clone(&codec)));
                }
                Box::pin(async move { handler.handle(request).await })
            }
            Err(status) => {
                let reply = http_reply::text(status, status.as_str());
                Box::pin(async move { handler.count(reply) })
            }
        };
        let exchange = PipelinedExchange {
            codec,
            concurrent: self.concurrent,
            chunks: self.chunks,
            progress: ReplyProgress::Running(running),
        };
        (exchange, body_decoder)
    }
}

/// Progress of a response.
enum ReplyProgress {
    Running(RunningReply),
    Ready(Response<CountedBody>),
}

/// A started request.
pub(super) struct PipelinedExchange {
    codec: SharedCodec,
    concurrent: bool,
    /// The caller reads bodies in chunks.
    chunks: bool,
    progress: ReplyProgress,
}

impl PipelinedExchange {
    /// Returns true if other such requests may run beside this one.
    pub(super) fn may_run_concurrently(&self) -> bool {
        self.concurrent
    }

    /// Returns the response, or the exchange itself while its handler runs.
    pub(super) fn into_ready(self) -> Result<ReadyReply, Self> {
        match self.progress {
            ReplyProgress::Ready(reply) => Ok(ReadyReply {
                codec: self.codec,
                chunks: self.chunks,
                reply,
            }),
            ReplyProgress::Running(_) => Err(self),
        }
    }
}

/// Polls all running requests; ready once the oldest has its response.
pub(super) fn poll_all(
    exchanges: &mut VecDeque<PipelinedExchange>,
    cx: &mut Context<'_>,
) -> Poll<()> {
    for exchange in exchanges.iter_mut() {
        let ReplyProgress::Running(running) = &mut exchange.progress else {
            continue;
        };
        if let Poll::Ready(reply) = running.as_mut().poll(cx) {
            exchange.progress = ReplyProgress::Ready(reply);
        }
    }
    match exchanges.front().map(|oldest| &oldest.progress) {
        Some(ReplyProgress::Ready(_)) => Poll::Ready(()),
        _ => Poll::Pending,
    }
}

/// A response whose head is complete and whose body is not written yet.
pub(super) struct ReadyReply {
    codec: SharedCodec,
    chunks: bool,
    reply: Response<CountedBody>,
}

impl ReadyReply {
    /// Returns true if the handler asks for the connection to close.
    pub(super) fn asks_to_close(&self) -> bool {
        self.reply.head().connection_type() == ConnectionType::Close
    }

    /// Returns true if nothing but the close of the connection ends the body, as for
    /// a body without a length and a caller of HTTP/1.0.
    pub(super) fn ends_with_close(&self) -> bool {
        !self.chunks && matches!(self.reply.body().size(), BodySize::Stream)
    }

    /// Writes the head and returns the writer of the body, if there is one.
    /// `close` says that the connection closes after this response.
    pub(super) fn write_head(
        mut self,
        close: bool,
        output: &mut BytesMut,
    ) -> io::Result<Option<BodyWriter>> {
        if self.ends_with_close() {
            self.reply.head_mut().no_chunking(true);
        }
        if close {
            self.reply
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        } else if self.asks_to_close() {
            self.reply = with_keep_alive(self.reply);
        }
        let (head, body) = self.reply.into_parts();
        let size = body.size();
        let item = Message::Item((head, size));
        self.codec.borrow_mut().encode(item, output)?;
        if matches!(size, BodySize::None | BodySize::Sized(0)) {
            return Ok(None);
        }
        Ok(Some(BodyWriter {
            codec: self.codec,
            body: Box::pin(body),
            close,
        }))
    }
}

/// Rebuilds the response without its request to close the connection, because
/// the library cannot unset that flag.
fn with_keep_alive(mut reply: Response<CountedBody>) -> Response<CountedBody> {
    let headers = std::mem::take(reply.headers_mut());
    let reason = reply.head().reason;
    let (reply, body) = reply.into_parts();
    let mut rebuilt = Response::with_body(reply.status(), body);
    *rebuilt.headers_mut() = headers;
    rebuilt.head_mut().reason = reason;
    rebuilt
}

/// Writes the body of a response.
pub(super) struct BodyWriter {
    codec: SharedCodec,
    body: Pin<Box<CountedBody>>,
    close: bool,
}

impl BodyWriter {
    /// Returns true if the connection closes after this body.
    pub(super) fn closes_connection(&self) -> bool {
        self.close
    }

    /// Returns the next chunk, or `None` at the end.
    pub(super) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let chunk = poll_fn(|cx| self.body.as_mut().poll_next(cx)).await;
        chunk.map(|chunk| chunk.map_err(|error| io::Error::other(error.to_string())))
    }

    /// Encodes a chunk.
    pub(super) fn write(&self, chunk: Bytes, output: &mut BytesMut) -> io::Result<()> {
        let mut codec = self.codec.borrow_mut();
        codec.encode(Message::Chunk(Some(chunk)), output)
    }

    /// Encodes the end of the body; fails if the body is shorter than declared.
    pub(super) fn write_end(&self, output: &mut BytesMut) -> io::Result<()> {
        self.codec.borrow_mut().encode(Message::Chunk(None), output)
    }
}

/// Result of decoding a body from the input.
pub(super) enum DecodeStep {
    /// More input, or capacity in the handler's queue, is needed.
    Wait,
    /// The body has ended.
    End,
    /// The body is malformed.
    Malformed,
}

/// Decodes a request's body and queues its chunks for the handler.
pub(super) struct BodyDecoder {
    codec: SharedCodec,
    chunks: mpsc::Sender<BodyChunk>,
    budget: FramingBudget,
}

impl BodyDecoder {
    fn attach(request: &mut Request, codec: SharedCodec) -> Self {
        let (chunks, receiver) = mpsc::channel::<BodyChunk>(CHUNKS_MAX);
        let stream = stream::unfold(Some(receiver), |receiver| async move {
            let mut receiver = receiver?;
            match receiver.recv().await {
                Some(Some(chunk)) => Some((chunk, Some(receiver))),
                Some(None) => None,
                // The caller disconnected in the middle of the body. Without an
                // error the handler would take the partial body as complete.
                None => Some((Err(PayloadError::Incomplete(None)), None)),
            }
        });
        let stream: BoxedPayloadStream = Box::pin(stream);
        *request.payload() = Payload::from(stream);
        Self {
            codec,
            chunks,
            budget: FramingBudget::default(),
        }
    }

    /// Decodes body chunks from the input while the handler's queue has capacity.
    pub(super) fn decode(&mut self, input: &mut BytesMut) -> DecodeStep {
        loop {
            if !self.has_capacity() {
                return DecodeStep::Wait;
            }
            let available = input.len();
            let decoded = self.codec.borrow_mut().decode(input);
            let content = match &decoded {
                Ok(Some(Message::Chunk(Some(chunk)))) => chunk.len(),
                _ => 0,
            };
            let taken = available - input.len();
            let within_budget = self.budget.record(taken, content).is_ok();
            // Sending fails if the handler has answered without reading the
            // rest of the body, which is then discarded.
            match decoded.ok().filter(|_| within_budget) {
                Some(Some(Message::Chunk(Some(chunk)))) => {
                    let _ = self.chunks.try_send(Some(Ok(chunk)));
                }
                Some(Some(Message::Chunk(None))) => {
                    let _ = self.chunks.try_send(None);
                    return DecodeStep::End;
                }
                Some(None) => return DecodeStep::Wait,
                Some(Some(Message::Item(_))) | None => {
                    let error = PayloadError::EncodingCorrupted;
                    let _ = self.chunks.try_send(Some(Err(error)));
                    return DecodeStep::Malformed;
                }
            }
        }
    }

    fn has_capacity(&self) -> bool {
        self.chunks.is_closed() || self.chunks.capacity() > 0
    }

    /// Completes once the handler's queue has capacity again; never completes
    /// if it has capacity already.
    pub(super) async fn wait_for_capacity(&mut self) {
        if self.has_capacity() {
            std::future::pending::<()>().await;
        }
        // An error means that the handler has dropped the body.
        let _ = self.chunks.reserve().await;
    }
}
