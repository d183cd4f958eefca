//! A connection to the next hop.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::PayloadError;
use actix_http::h1::ClientCodec;
use actix_http::h1::Message;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::Method;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::ServiceConfig;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use log::info;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use cowslip_core::connection_renewal::PoolGeneration;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::framing_budget::FramingBudget;
use cowslip_wire::process_log::LogValue;
use cowslip_wire::response_body::BodyParser;
use cowslip_wire::response_body::BodyPart;
use cowslip_wire::response_head::check_head;
use cowslip_wire::response_head::head_length;
use cowslip_wire::response_head::BodyFraming;
use cowslip_wire::response_head::ResponseFault;
use cowslip_wire::socket_read::read_ready;
use cowslip_wire::socket_read::BODY_READ_BYTES;
use cowslip_wire::socket_read::HEAD_READ_BYTES;

use crate::call_forward::CallBody;
use crate::call_log::ID_BYTES_MAX;
use crate::hop::hop_request::HopRequest;

/// Idle timeout of a connection if the other side states none. Servers commonly
/// close idle connections after ten seconds or more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// A connection expires this long before the idle timeout that the other side
/// states, so that a request does not cross with the close.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time without an acknowledgement of sent bytes after which the kernel closes a
/// connection: about ten round trips between failure domains, with
/// retransmissions.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Silence after which the first keepalive probe is sent, and the interval
/// between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// Longest body of a response to another request that is read to its end, in bytes.
const DISCARDED_BYTES_MAX: usize = 1024 * 1024;

/// Header that states the other side's idle timeout.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why an exchange returned no response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection failed, or the received bytes are not a valid response.
    #[error("{0}")]
    Broken(String),
    /// The body of the request ended early or could not be read.
    #[error("the request body ended early")]
    BodyBroken,
}

impl From<ResponseFault> for ExchangeError {
    fn from(fault: ResponseFault) -> Self {
        Self::Broken(fault.to_string())
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

/// A connection that is idle or has a response in progress.
pub(super) struct HopConnection {
    stream: TcpStream,
    address: SocketAddr,
    generation: PoolGeneration,
    config: ServiceConfig,
    read_state: ReadState,
    received: BytesMut,
    /// Sending the request failed.
    send_failed: bool,
    reusable: bool,
    expires_at: BootInstant,
}

/// What remains to be read of the current response.
enum ReadState {
    /// Nothing; the next request may be sent.
    Idle,
    /// A body.
    Body(BodyParser),
    /// The connection cannot be used any more.
    Unusable,
}

impl HopConnection {
    /// Opens a connection with TCP keepalive and a user timeout.
    pub async fn open(
        address: SocketAddr,
        generation: PoolGeneration,
        config: ServiceConfig,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        enable_keepalive(&stream)?;
        Ok(Self {
            stream,
            address,
            generation,
            read_state: ReadState::Idle,
            config,
            received: BytesMut::new(),
            send_failed: false,
            reusable: false,
            expires_at: BootInstant::now() + IDLE_TIMEOUT,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn generation(&self) -> PoolGeneration {
        self.generation
    }

    pub fn expires_at(&self) -> BootInstant {
        self.expires_at
    }

    /// Returns true if neither bytes nor a close arrived since the last response.
    pub fn has_no_input(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns true if the response was read to its end and the connection may
    /// carry another request.
    pub fn is_reusable(&self) -> bool {
        let idle = matches!(self.read_state, ReadState::Idle);
        self.reusable && idle && self.received.is_empty()
    }

    /// Sends a request and reads the head of its response.
    pub async fn exchange(
        &mut self,
        request: &HopRequest,
        body: &mut CallBody,
    ) -> Result<ResponseHead, ExchangeError> {
        let previous = std::mem::replace(&mut self.read_state, ReadState::Unusable);
        let ReadState::Idle = previous else {
            let problem = "the previous response is still being read";
            return Err(ExchangeError::Broken(problem.to_owned()));
        };
        let mut head_bytes = BytesMut::new();
        let head = RequestHeadType::Owned(request.head());
        let mut codec = ClientCodec::new(self.config.clone());
        codec.encode(Message::Item((head, body.size())), &mut head_bytes)?;
        let (mut reader, mut writer) = self.stream.split();
        let mut sent = false;
        let received = &mut self.received;
        let answer = {
            let sending = send(&mut writer, head_bytes, body, request);
            tokio::pin!(sending);
            let reading =
                read_matching_head(&mut reader, &self.config, received, request);
            tokio::pin!(reading);
            loop {
                tokio::select! {
                    done = &mut sending, if !sent => {
                        // Guards against losing a refusal because sending a
                        // long body failed midway: the other side may have
                        // sent its response before it reset the connection.
                        match done {
                            Ok(()) => {}
                            Err(ExchangeError::BodyBroken) => {
                                return Err(ExchangeError::BodyBroken);
                            }
                            Err(error) => {
                                info!(
                                    "event=send-failed process=node to={} error={}",
                                    self.address,
                                    LogValue(error)
                                );
                                self.send_failed = true;
                            }
                        }
                        sent = true;
                    }
                    answer = &mut reading => break answer?,
                }
            }
        };
        let head = answer.head;
        // Guards against a server that responds before it has read the whole
        // body: it would read the next request as the rest of that body.
        self.reusable = sent
            && !self.send_failed
            && head.keep_alive()
            && !answer.follows_unidentified;
        self.update_expiry(&head.headers);
        self.read_state = ReadState::Body(BodyParser::new(answer.framing));
        Ok(head)
    }

    fn update_expiry(&mut self, headers: &HeaderMap) {
        let stated = headers.get(&KEEP_ALIVE).and_then(|value| {
            let text = value.to_str().ok()?;
            let seconds = text.split(',').find_map(|part| {
                part.trim().strip_prefix("timeout=")?.trim().parse().ok()
            })?;
            Some(Duration::from_secs(seconds))
        });
        let idle =
            stated.map_or(IDLE_TIMEOUT, |stated| stated.saturating_sub(IDLE_MARGIN));
        self.expires_at = BootInstant::now() + idle;
    }

    /// Reads the next part of the response body; `None` at its end.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, PayloadError> {
        loop {
            let ReadState::Body(parser) = &mut self.read_state else {
                return Ok(None);
            };
            let part = parser.parse(&mut self.received).map_err(io::Error::from)?;
            match part {
                BodyPart::Content(content) => return Ok(Some(content)),
                BodyPart::End => {
                    self.read_state = ReadState::Idle;
                    return Ok(None);
                }
                BodyPart::NeedsInput => {}
            }
            // Guards against a truncated response that looks complete: a
            // close ends only a body without a stated length. The kernel reports
            // the reset of a connection once; after a send that failed with it, a
            // read finds a plain close.
            let ends_with_close = parser.ends_with_close() && !self.send_failed;
            let (mut reader, _) = self.stream.split();
            let read = read_ready(&mut reader, &mut self.received, BODY_READ_BYTES).await;
            if read.map_err(PayloadError::Io)? > 0 {
                continue;
            }
            self.read_state = ReadState::Unusable;
            if ends_with_close {
                return Ok(None);
            }
            return Err(PayloadError::Incomplete(None));
        }
    }

    /// Frees the receive buffer, which an idle connection does not need.
    pub fn release_buffer(&mut self) {
        self.received = BytesMut::new();
    }
}

/// Guards against a connection whose state was lost on the path, for example in
/// a firewall: nothing comes back, not even a reset, and every call on it would
/// wait for its deadline. The kernel closes it within
/// [`UNACKNOWLEDGED_TIMEOUT`].
fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

async fn send(
    writer: &mut WriteHalf<'_>,
    mut head: BytesMut,
    body: &mut CallBody,
    request: &HopRequest,
) -> Result<(), ExchangeError> {
    if let CallBody::Buffered(bytes) = body {
        head.extend_from_slice(bytes);
        writer.write_all(&head).await?;
        request.notify_sent();
        return Ok(());
    }
    writer.write_all(&head).await?;
    request.notify_sent();
    let CallBody::Stream {
        first,
        length,
        rest,
    } = std::mem::replace(body, CallBody::Consumed)
    else {
        return Ok(());
    };
    let chunked = length.is_none();
    send_part(writer, &first, chunked).await?;
    let mut rest = rest;
    while let Some(part) = rest.next().await {
        let part = part.map_err(|_| ExchangeError::BodyBroken)?;
        send_part(writer, &part, chunked).await?;
    }
    if chunked {
        writer.write_all(b"0\r\n\r\n").await?;
    }
    Ok(())
}

async fn send_part(
    writer: &mut WriteHalf<'_>,
    part: &[u8],
    chunked: bool,
) -> io::Result<()> {
    if part.is_empty() {
        return Ok(());
    }
    if !chunked {
        return writer.write_all(part).await;
    }
    let size = format!("{:x}\r\n", part.len());
    writer.write_all(size.as_bytes()).await?;
    writer.write_all(part).await?;
    writer.write_all(b"\r\n").await
}

/// The head of the response to a request.
struct MatchingHead {
    head: ResponseHead,
    framing: BodyFraming,
    /// True if responses without a request ID were dropped before it. A server
    /// that sends them may send more.
    follows_unidentified: bool,
}

/// Reads response heads until the one that belongs to `request`.
///
/// Guards against a late second response to an earlier request, and bytes that
/// look like a response: passed on as the response to the next request, they
/// would give a caller somebody else's data. They are recognized by the request
/// ID that they do not echo, read to their end and dropped.
async fn read_matching_head(
    reader: &mut ReadHalf<'_>,
    config: &ServiceConfig,
    received: &mut BytesMut,
    request: &HopRequest,
) -> Result<MatchingHead, ExchangeError> {
    let mut follows_unidentified = false;
    let mut budget = FramingBudget::default();
    loop {
        let answer = read_head(reader, config, received, &request.method).await?;
        let AnswerHead {
            head,
            framing,
            length,
        } = answer;
        if request.is_answered_by(&head) && !head.status.is_informational() {
            return Ok(MatchingHead {
                head,
                framing,
                follows_unidentified,
            });
        }
        budget.record(length, 0)?;
        if head.status.is_informational() {
            continue;
        }
        let echoed = request.echoed_id(&head);
        follows_unidentified |= echoed.is_none();
        info!(
            "event=late-answer-dropped process=node status={} echoed={} request={}",
            head.status,
            logged_id(echoed),
            logged_id(request.id())
        );
        if framing == BodyFraming::UntilClose {
            let problem = "a response to another request ends only with the connection";
            return Err(ExchangeError::Broken(problem.to_owned()));
        }
        discard_body(reader, BodyParser::new(framing), received, &mut budget).await?;
    }
}

/// A request ID for a log line, cut to [`ID_BYTES_MAX`]; `-` if there is none.
fn logged_id(id: Option<&[u8]>) -> LogValue<String> {
    let id = id.unwrap_or(b"-");
    let id = &id[..id.len().min(ID_BYTES_MAX)];
    LogValue(String::from_utf8_lossy(id).into_owned())
}

/// A response head as it was received.
struct AnswerHead {
    head: ResponseHead,
    framing: BodyFraming,
    /// Length in bytes.
    length: usize,
}

/// Reads the head of a response to a `method` request.
async fn read_head(
    reader: &mut ReadHalf<'_>,
    config: &ServiceConfig,
    received: &mut BytesMut,
    method: &Method,
) -> Result<AnswerHead, ExchangeError> {
    loop {
        let Some(length) = head_length(received)? else {
            read_more(reader, received, HEAD_READ_BYTES).await?;
            continue;
        };
        let framing = check_head(&received[..length], method)?.framing;
        // A new codec each time: one that has decoded a head expects a body.
        let decoded = ClientCodec::new(config.clone()).decode(received);
        let decoded =
            decoded.map_err(|error| ExchangeError::Broken(error.to_string()))?;
        let Some(head) = decoded else {
            let problem = "the head cannot be decoded";
            return Err(ExchangeError::Broken(problem.to_owned()));
        };
        return Ok(AnswerHead {
            head,
            framing,
            length,
        });
    }
}

async fn read_more(
    reader: &mut ReadHalf<'_>,
    received: &mut BytesMut,
    room: usize,
) -> Result<(), ExchangeError> {
    if read_ready(reader, received, room).await? == 0 {
        let problem = "the connection closed before the end of a response";
        return Err(ExchangeError::Broken(problem.to_owned()));
    }
    Ok(())
}

/// Reads a body of a response to another request to its end.
async fn discard_body(
    reader: &mut ReadHalf<'_>,
    mut parser: BodyParser,
    received: &mut BytesMut,
    budget: &mut FramingBudget,
) -> Result<(), ExchangeError> {
    let mut discarded = 0;
    loop {
        let available = received.len();
        let part = parser.parse(received)?;
        let content = match &part {
            BodyPart::Content(content) => content.len(),
            BodyPart::End | BodyPart::NeedsInput => 0,
        };
        budget.record(available - received.len() - content, 0)?;
        discarded += content;
        if discarded > DISCARDED_BYTES_MAX {
            let problem = "a response to another request is too long";
            return Err(ExchangeError::Broken(problem.to_owned()));
        }
        match part {
            BodyPart::Content(_) => {}
            BodyPart::End => return Ok(()),
            BodyPart::NeedsInput => {
                read_more(reader, received, BODY_READ_BYTES).await?;
            }
        }
    }
}

impl CallBody {
    fn size(&self) -> BodySize {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => BodySize::None,
            Self::Buffered(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Stream { length, .. } => {
                length.map_or(BodySize::Stream, BodySize::Sized)
            }
            Self::Consumed => BodySize::None,
        }
    }
}
