//! One connection to the next hop.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::PayloadError;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::Method;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
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
use cowslip_wire::socket_read::read_ready;
use cowslip_wire::socket_read::BODY_READ_BYTES;
use cowslip_wire::socket_read::HEAD_READ_BYTES;

use crate::call_forward::CallBody;
use crate::hop::hop_request::HopRequest;

/// Idle time after which a connection is not used again, where the other
/// side states none. Servers commonly close after ten seconds or more.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// How long before the other side's stated idle time a connection is given
/// up: a request must not meet the close on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Time without an acknowledgement of sent bytes after which a connection is
/// broken off: some ten round trips between failure domains, with resends.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_000);

/// A silent connection is probed after this long, and as often.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection.
const PROBES_MAX: u32 = 2;

/// Header that states the other side's idle time.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why an exchange gave no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The connection broke, or what came is no answer.
    #[error("{0}")]
    Broken(String),
    /// The request's own body did not arrive whole.
    #[error("the request's body broke off")]
    BodyBroken,
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

/// A connection with no request on it, or with an answer being read.
pub(super) struct HopConnection {
    stream: TcpStream,
    address: SocketAddr,
    generation: PoolGeneration,
    rest: AnswerRest,
    received: BytesMut,
    reusable: bool,
    usable_until: BootInstant,
}

/// What of an answer is still to come.
enum AnswerRest {
    /// Nothing; the next request may be sent.
    Nothing(ClientCodec),
    /// A body whose end the codec finds.
    Framed(ClientPayloadCodec),
    /// Everything until the connection ends.
    ToTheEnd,
    /// The connection is of no more use.
    Spent,
}

impl HopConnection {
    /// Connects, with the kernel watching for silence.
    pub async fn open(
        address: SocketAddr,
        generation: PoolGeneration,
        codec: ClientCodec,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        watch_silence(&stream)?;
        Ok(Self {
            stream,
            address,
            generation,
            rest: AnswerRest::Nothing(codec),
            received: BytesMut::new(),
            reusable: false,
            usable_until: BootInstant::now() + IDLE_TIME,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn generation(&self) -> PoolGeneration {
        self.generation
    }

    pub fn usable_until(&self) -> BootInstant {
        self.usable_until
    }

    /// True where nothing has come since the last answer, not even the end.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// True once the answer has been read to its end and the connection may
    /// carry another request.
    pub fn is_reusable(&self) -> bool {
        let idle = matches!(self.rest, AnswerRest::Nothing(_));
        self.reusable && idle && self.received.is_empty()
    }

    /// Sends a request and reads the head of its answer.
    pub async fn exchange(
        &mut self,
        request: &HopRequest,
        body: &mut CallBody,
    ) -> Result<ResponseHead, ExchangeError> {
        let rest = std::mem::replace(&mut self.rest, AnswerRest::Spent);
        let AnswerRest::Nothing(mut codec) = rest else {
            let problem = "an answer is still being read";
            return Err(ExchangeError::Broken(problem.to_owned()));
        };
        let mut first = BytesMut::new();
        let head = RequestHeadType::Owned(request.head());
        codec.encode(Message::Item((head, body.size())), &mut first)?;
        let (mut reader, mut writer) = self.stream.split();
        let mut sent = false;
        let received = &mut self.received;
        let head = {
            let sending = send(&mut writer, first, body);
            tokio::pin!(sending);
            let reading = read_own(&mut reader, &mut codec, received, request);
            tokio::pin!(reading);
            loop {
                tokio::select! {
                    done = &mut sending, if !sent => {
                        // Guards against a refusal that is lost because the
                        // sender was cut off in the middle of a long body:
                        // the answer may have been sent before the reset.
                        if let Err(ExchangeError::BodyBroken) = done {
                            return Err(ExchangeError::BodyBroken);
                        }
                        sent = true;
                    }
                    head = &mut reading => break head?,
                }
            }
        };
        // Guards against bytes of the next request that the other side takes
        // for the rest of a body which it answered before its end.
        self.reusable = sent && codec.keep_alive();
        self.note_idle_time(&head.headers);
        self.rest = match codec.message_type() {
            MessageType::None if is_unframed(&head, request) => AnswerRest::ToTheEnd,
            MessageType::None => AnswerRest::Nothing(codec),
            MessageType::Payload | MessageType::Stream => {
                AnswerRest::Framed(codec.into_payload_codec())
            }
        };
        Ok(head)
    }

    fn note_idle_time(&mut self, headers: &HeaderMap) {
        let stated = headers.get(&KEEP_ALIVE).and_then(|value| {
            let text = value.to_str().ok()?;
            let seconds = text.split(',').find_map(|part| {
                part.trim().strip_prefix("timeout=")?.trim().parse().ok()
            })?;
            Some(Duration::from_secs(seconds))
        });
        let idle = stated.map_or(IDLE_TIME, |stated| stated.saturating_sub(IDLE_MARGIN));
        self.usable_until = BootInstant::now() + idle;
    }

    /// The next part of the answer's body; `None` at its end.
    pub async fn next_part(&mut self) -> Result<Option<Bytes>, PayloadError> {
        loop {
            match &mut self.rest {
                AnswerRest::Nothing(_) | AnswerRest::Spent => return Ok(None),
                AnswerRest::ToTheEnd if self.received.is_empty() => {}
                AnswerRest::ToTheEnd => return Ok(Some(self.received.split().freeze())),
                AnswerRest::Framed(payload) => {
                    match payload.decode(&mut self.received)? {
                        Some(Some(part)) => return Ok(Some(part)),
                        Some(None) => {
                            self.end_answer();
                            return Ok(None);
                        }
                        None => {}
                    }
                }
            }
            let (mut reader, _) = self.stream.split();
            let read = read_ready(&mut reader, &mut self.received, BODY_READ_BYTES).await;
            if read.map_err(PayloadError::Io)? > 0 {
                continue;
            }
            // Guards against an answer cut short that looks complete: only
            // one without a stated length ends with its connection.
            let whole = matches!(self.rest, AnswerRest::ToTheEnd);
            self.rest = AnswerRest::Spent;
            if whole {
                return Ok(None);
            }
            return Err(PayloadError::Incomplete(None));
        }
    }

    fn end_answer(&mut self) {
        let rest = std::mem::replace(&mut self.rest, AnswerRest::Spent);
        if let AnswerRest::Framed(payload) = rest {
            self.reusable &= payload.keep_alive();
            self.rest = AnswerRest::Nothing(payload.into_message_codec());
        }
    }

    /// Frees what an idle connection does not need.
    pub fn shrink(&mut self) {
        self.received = BytesMut::new();
    }
}

/// True for an answer whose body has no stated length: it ends with its
/// connection, whatever the codec takes it for.
fn is_unframed(head: &ResponseHead, request: &HopRequest) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    let framed = head.headers.contains_key(CONTENT_LENGTH)
        || head.headers.contains_key(TRANSFER_ENCODING);
    !framed && request.method != Method::HEAD && !bodiless.contains(&head.status)
}

/// Guards against a connection that something on the way has lost track of:
/// nothing comes back, not even a reset, and every call on it would wait for
/// its deadline. The kernel ends it within [`UNACKNOWLEDGED_MAX`].
fn watch_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}

async fn send(
    writer: &mut WriteHalf<'_>,
    mut first: BytesMut,
    body: &mut CallBody,
) -> Result<(), ExchangeError> {
    if let CallBody::Buffered(bytes) = body {
        first.extend_from_slice(bytes);
        return Ok(writer.write_all(&first).await?);
    }
    writer.write_all(&first).await?;
    let CallBody::Stream {
        first,
        length,
        rest,
    } = std::mem::replace(body, CallBody::Spent)
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

/// Reads answers until the one that belongs to `request`.
///
/// Guards against a second answer to an earlier request that arrives late,
/// where the next one is expected: passed on, a caller would get somebody
/// else's data. Its echoed id tells it; it is read to its end and dropped.
async fn read_own(
    reader: &mut ReadHalf<'_>,
    codec: &mut ClientCodec,
    received: &mut BytesMut,
    request: &HopRequest,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        let head = read_head(reader, codec, received).await?;
        let echoed = head.headers.get(&request.echoed);
        let echoed = echoed.map(|value| value.as_bytes());
        if head.status.is_informational() {
            continue;
        }
        if echoed.is_none() || request.id().is_none() || echoed == request.id() {
            return Ok(head);
        }
        info!(
            "event=late-answer-dropped process=node status={}",
            head.status
        );
        if is_unframed(&head, request) {
            let problem = "an answer to another request ends with the connection";
            return Err(ExchangeError::Broken(problem.to_owned()));
        }
        skip_body(reader, codec, received).await?;
    }
}

async fn read_head(
    reader: &mut ReadHalf<'_>,
    codec: &mut ClientCodec,
    received: &mut BytesMut,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        let decoded = codec.decode(received);
        let decoded =
            decoded.map_err(|error| ExchangeError::Broken(error.to_string()))?;
        if let Some(head) = decoded {
            return Ok(head);
        }
        read_more(reader, received, HEAD_READ_BYTES).await?;
    }
}

async fn read_more(
    reader: &mut ReadHalf<'_>,
    received: &mut BytesMut,
    room: usize,
) -> Result<(), ExchangeError> {
    if read_ready(reader, received, room).await? == 0 {
        let problem = "the connection ended before an answer";
        return Err(ExchangeError::Broken(problem.to_owned()));
    }
    Ok(())
}

async fn skip_body(
    reader: &mut ReadHalf<'_>,
    codec: &mut ClientCodec,
    received: &mut BytesMut,
) -> Result<(), ExchangeError> {
    if codec.message_type() == MessageType::None {
        return Ok(());
    }
    let whole = std::mem::take(codec);
    let mut payload = whole.into_payload_codec();
    loop {
        let decoded = payload.decode(received);
        let decoded =
            decoded.map_err(|error| ExchangeError::Broken(error.to_string()))?;
        match decoded {
            Some(None) => break,
            Some(Some(_)) => {}
            None => read_more(reader, received, BODY_READ_BYTES).await?,
        }
    }
    *codec = payload.into_message_codec();
    Ok(())
}

impl CallBody {
    fn size(&self) -> BodySize {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => BodySize::None,
            Self::Buffered(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Stream { length, .. } => {
                length.map_or(BodySize::Stream, BodySize::Sized)
            }
            Self::Spent => BodySize::None,
        }
    }
}
