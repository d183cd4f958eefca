//! One request of a connection and its answer.

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
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use tokio::sync::mpsc;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::http_listener::CountedBody;
use crate::http_listener::CountedHandler;
use crate::http_reply;

/// Parts of a body that wait for its handler, each of some kilobytes.
const PARTS_MAX: usize = 8;

/// A part of a body, or its end.
type BodyPart = Option<Result<Bytes, PayloadError>>;

/// A codec reads a request's body while its answer is written by it.
type SharedCodec = Rc<RefCell<Codec>>;

/// An answer being made.
type RunningReply = Pin<Box<dyn Future<Output = Response<CountedBody>>>>;

/// A request whose head was read, or what is answered in its place.
pub(super) struct HeadRead {
    codec: Codec,
    request: Result<Request, StatusCode>,
    repeatable: bool,
    last: bool,
}

impl HeadRead {
    /// Takes a head out of the input; `None` where it has not come whole.
    ///
    /// Each request has a codec of its own, since that also remembers how
    /// its answer is to be written.
    pub(super) fn take(input: &mut BytesMut, config: ServiceConfig) -> Option<Self> {
        let mut codec = Codec::new(config.clone());
        match codec.decode(input) {
            Ok(Some(Message::Item(request))) => {
                let bare = codec.message_type() == MessageType::None;
                let quiet = matches!(*request.method(), Method::GET | Method::HEAD);
                Some(Self {
                    repeatable: bare && quiet,
                    last: !codec.keep_alive(),
                    codec,
                    request: Ok(request),
                })
            }
            Ok(Some(Message::Chunk(_)) | None) => None,
            Err(fault) => {
                input.clear();
                let status = match fault {
                    ParseError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                    _ => StatusCode::BAD_REQUEST,
                };
                Some(Self::refused(status, config))
            }
        }
    }

    /// Stands for a request that cannot be read.
    pub(super) fn refused(status: StatusCode, config: ServiceConfig) -> Self {
        Self {
            codec: Codec::new(config),
            request: Err(status),
            repeatable: false,
            last: true,
        }
    }

    /// True where it may run beside others.
    pub(super) fn is_repeatable(&self) -> bool {
        self.repeatable
    }

    /// True where its caller sends none after it.
    pub(super) fn is_last(&self) -> bool {
        self.last
    }

    /// True where its caller waits for a word before it sends the body.
    pub(super) fn expects_continue(&self) -> bool {
        self.request
            .as_ref()
            .is_ok_and(|request| request.head().expect())
    }

    /// Hands it to the handler.
    pub(super) fn begin(
        self,
        handler: &Rc<CountedHandler>,
    ) -> (AheadExchange, Option<BodyFeed>) {
        let handler = Rc::clone(handler);
        let has_body = self.codec.message_type() != MessageType::None;
        let codec = Rc::new(RefCell::new(self.codec));
        let mut feed = None;
        let running: RunningReply = match self.request {
            Ok(mut request) => {
                if has_body {
                    feed = Some(BodyFeed::attach(&mut request, Rc::clone(&codec)));
                }
                Box::pin(async move { handler.handle(request).await })
            }
            Err(status) => {
                let reply = http_reply::text(status, status.as_str());
                Box::pin(async move { handler.count(reply) })
            }
        };
        let exchange = AheadExchange {
            codec,
            repeatable: self.repeatable,
            progress: ReplyProgress::Running(running),
        };
        (exchange, feed)
    }
}

/// How far an answer is.
enum ReplyProgress {
    Running(RunningReply),
    Ready(Response<CountedBody>),
}

/// A request that was begun.
pub(super) struct AheadExchange {
    codec: SharedCodec,
    repeatable: bool,
    progress: ReplyProgress,
}

impl AheadExchange {
    /// True where others may run beside it.
    pub(super) fn is_repeatable(&self) -> bool {
        self.repeatable
    }

    /// Turns into the answer that is to be written, where it is there.
    pub(super) fn into_ready(self) -> Result<ReadyAnswer, Self> {
        match self.progress {
            ReplyProgress::Ready(reply) => Ok(ReadyAnswer {
                codec: self.codec,
                reply,
            }),
            ReplyProgress::Running(_) => Err(self),
        }
    }
}

/// Drives all requests; ready once the oldest has its answer.
pub(super) fn poll_all(
    exchanges: &mut VecDeque<AheadExchange>,
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

/// An answer that is to be written.
pub(super) struct ReadyAnswer {
    codec: SharedCodec,
    reply: Response<CountedBody>,
}

impl ReadyAnswer {
    /// True where the handler wants the connection to end.
    pub(super) fn asks_to_close(&self) -> bool {
        self.reply.head().connection_type() == ConnectionType::Close
    }

    /// Writes the head; what is left is the body, if it has one. `end` says
    /// that the connection ends with this answer.
    pub(super) fn write_head(
        mut self,
        end: bool,
        output: &mut BytesMut,
    ) -> io::Result<Option<BodyWriter>> {
        if end {
            self.reply
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        } else if self.asks_to_close() {
            self.reply = stay_open(self.reply);
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
            end,
        }))
    }
}

/// The same answer without the wish to end the connection, which cannot be
/// taken back from an answer that has it.
fn stay_open(mut reply: Response<CountedBody>) -> Response<CountedBody> {
    let headers = std::mem::take(reply.headers_mut());
    let reason = reply.head().reason;
    let (reply, body) = reply.into_parts();
    let mut open = Response::with_body(reply.status(), body);
    *open.headers_mut() = headers;
    open.head_mut().reason = reason;
    open
}

/// The body of an answer being written.
pub(super) struct BodyWriter {
    codec: SharedCodec,
    body: Pin<Box<CountedBody>>,
    end: bool,
}

impl BodyWriter {
    /// True where the connection ends with it.
    pub(super) fn is_end(&self) -> bool {
        self.end
    }

    /// The next part; `None` at the end.
    pub(super) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let part = poll_fn(|cx| self.body.as_mut().poll_next(cx)).await;
        part.map(|part| part.map_err(|error| io::Error::other(error.to_string())))
    }

    /// Writes a part.
    pub(super) fn write(&self, part: Bytes, output: &mut BytesMut) -> io::Result<()> {
        let mut codec = self.codec.borrow_mut();
        codec.encode(Message::Chunk(Some(part)), output)
    }

    /// Writes the end; an error where parts are missing.
    pub(super) fn write_end(&self, output: &mut BytesMut) -> io::Result<()> {
        self.codec.borrow_mut().encode(Message::Chunk(None), output)
    }
}

/// What came of the input that a body was given.
pub(super) enum FeedStep {
    /// More input, or room at the handler, is needed.
    Wait,
    /// The body has ended.
    End,
    /// It is malformed.
    Broken,
}

/// A request's body on its way to the handler.
pub(super) struct BodyFeed {
    codec: SharedCodec,
    parts: mpsc::Sender<BodyPart>,
}

impl BodyFeed {
    fn attach(request: &mut Request, codec: SharedCodec) -> Self {
        let (parts, receiver) = mpsc::channel::<BodyPart>(PARTS_MAX);
        let stream = stream::unfold(Some(receiver), |receiver| async move {
            let mut receiver = receiver?;
            match receiver.recv().await {
                Some(Some(part)) => Some((part, Some(receiver))),
                Some(None) => None,
                // Guards against a caller that leaves in the middle of its
                // body: what came of it would pass for the whole.
                None => Some((Err(PayloadError::Incomplete(None)), None)),
            }
        });
        let stream: BoxedPayloadStream = Box::pin(stream);
        *request.payload() = Payload::from(stream);
        Self { codec, parts }
    }

    /// Hands on what the input holds of the body.
    pub(super) fn take(&mut self, input: &mut BytesMut) -> FeedStep {
        loop {
            if !self.has_room() {
                return FeedStep::Wait;
            }
            let read = self.codec.borrow_mut().decode(input);
            // A handler that reads no more of it has answered already.
            match read {
                Ok(Some(Message::Chunk(Some(part)))) => {
                    let _ = self.parts.try_send(Some(Ok(part)));
                }
                Ok(Some(Message::Chunk(None))) => {
                    let _ = self.parts.try_send(None);
                    return FeedStep::End;
                }
                Ok(None) => return FeedStep::Wait,
                Ok(Some(Message::Item(_))) | Err(_) => {
                    let fault = PayloadError::EncodingCorrupted;
                    let _ = self.parts.try_send(Some(Err(fault)));
                    return FeedStep::Broken;
                }
            }
        }
    }

    fn has_room(&self) -> bool {
        self.parts.is_closed() || self.parts.capacity() > 0
    }

    /// Ends once the handler takes more; never where it does already.
    pub(super) async fn room(&mut self) {
        if self.has_room() {
            std::future::pending::<()>().await;
        }
        // An error means that the handler reads no more.
        let _ = self.parts.reserve().await;
    }
}
