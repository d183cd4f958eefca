//! A client's connection that hands only whole and valid responses to the HTTP
//! library.
//!
//! The library takes more than valid HTTP, and for it a body is complete as soon as
//! its connection ends. This stream parses what the other side sends and passes it on
//! in a form that leaves nothing open: a body that ends with the connection is sent in
//! chunks, and interim responses are left out. Anything else is an error of the
//! connection.

use std::io;
use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use actix_http::Method;
use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_util::io::poll_read_buf;

use crate::framing_budget::FramingBudget;
use crate::response_body::BodyParser;
use crate::response_body::BodyPart;
use crate::response_head::check_head;
use crate::response_head::head_length;
use crate::response_head::BodyFraming;

/// Start of a request whose response has no body.
const HEAD_REQUEST: &[u8] = b"HEAD ";

/// A connection to one server; carries one request at a time.
#[derive(Debug)]
pub(crate) struct CheckedStream {
    stream: TcpStream,
    received: BytesMut,
    /// Checked bytes that were not read yet.
    checked: BytesMut,
    step: ReadStep,
    /// Method of the request in progress, as far as it matters for the response.
    method: Method,
    /// Budget of the interim responses to one request.
    budget: FramingBudget,
    write_failed: bool,
}

/// What is due next from the other side.
#[derive(Debug)]
enum ReadStep {
    /// Nothing: no request is in progress.
    Idle,
    /// A head.
    Head,
    /// A body.
    Body {
        parser: BodyParser,
        /// Whether it is passed on in chunks.
        chunked: bool,
    },
}

impl CheckedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            checked: BytesMut::new(),
            step: ReadStep::Idle,
            method: Method::GET,
            budget: FramingBudget::default(),
            write_failed: false,
        }
    }

    /// Checks received bytes until some can be read; false if more input is needed.
    fn check_received(&mut self) -> io::Result<bool> {
        while self.checked.is_empty() {
            match &mut self.step {
                ReadStep::Idle if self.received.is_empty() => return Ok(false),
                ReadStep::Idle => {
                    let problem = "bytes that answer no request";
                    return Err(io::Error::new(io::ErrorKind::InvalidData, problem));
                }
                ReadStep::Head => {
                    let Some(length) = head_length(&self.received)? else {
                        return Ok(false);
                    };
                    self.check_head(length)?;
                }
                ReadStep::Body { parser, chunked } => {
                    let chunked = *chunked;
                    match parser.parse(&mut self.received)? {
                        BodyPart::NeedsInput => return Ok(false),
                        BodyPart::Content(content) => {
                            self.push_content(&content, chunked)
                        }
                        BodyPart::End => self.push_end(chunked),
                    }
                }
            }
        }
        Ok(true)
    }

    /// Checks the head of `length` bytes at the start of the received ones.
    fn check_head(&mut self, length: usize) -> io::Result<()> {
        let head = self.received.split_to(length);
        let summary = check_head(&head, &self.method)?;
        if summary.is_interim() {
            return self.budget.record(length, 0);
        }
        let framing = summary.framing;
        let chunked = matches!(framing, BodyFraming::Chunked | BodyFraming::UntilClose);
        if framing == BodyFraming::UntilClose {
            let fields = head.strip_suffix(b"\r\n").unwrap_or(&head);
            self.checked.extend_from_slice(b"HTTP/1.1");
            self.checked.extend_from_slice(&fields[8..]);
            self.checked
                .extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        } else {
            self.checked.extend_from_slice(&head);
        }
        let parser = BodyParser::new(framing);
        self.step = ReadStep::Body { parser, chunked };
        Ok(())
    }

    fn push_content(&mut self, content: &[u8], chunked: bool) {
        if !chunked {
            self.checked.extend_from_slice(content);
            return;
        }
        let size = format!("{:x}\r\n", content.len());
        self.checked.extend_from_slice(size.as_bytes());
        self.checked.extend_from_slice(content);
        self.checked.extend_from_slice(b"\r\n");
    }

    fn push_end(&mut self, chunked: bool) {
        self.step = ReadStep::Idle;
        if chunked {
            self.checked.extend_from_slice(b"0\r\n\r\n");
        }
    }

    /// Handles the end of the connection.
    fn end_received(&mut self) -> io::Result<()> {
        match &self.step {
            ReadStep::Idle => Ok(()),
            // A write that failed may have taken the connection's error, so that a
            // reset reads as a close.
            ReadStep::Body { parser, chunked }
                if parser.ends_with_close() && !self.write_failed =>
            {
                let chunked = *chunked;
                self.push_end(chunked);
                Ok(())
            }
            ReadStep::Head | ReadStep::Body { .. } => {
                let problem = "the connection closed before the end of a response";
                Err(io::Error::new(io::ErrorKind::UnexpectedEof, problem))
            }
        }
    }

    /// Notes that a request begins with `bytes` if none is in progress.
    fn begin_request(&mut self, bytes: &[u8]) {
        if !matches!(self.step, ReadStep::Idle) {
            return;
        }
        self.step = ReadStep::Head;
        self.budget = FramingBudget::default();
        self.method = match bytes.starts_with(HEAD_REQUEST) {
            true => Method::HEAD,
            false => Method::GET,
        };
    }

    fn note_write<T>(&mut self, written: io::Result<T>) -> io::Result<T> {
        self.write_failed |= written.is_err();
        written
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        while !this.check_received()? {
            let stream = Pin::new(&mut this.stream);
            if ready!(poll_read_buf(stream, cx, &mut this.received))? > 0 {
                continue;
            }
            this.end_received()?;
            break;
        }
        let count = buffer.remaining().min(this.checked.len());
        buffer.put_slice(&this.checked[..count]);
        this.checked.advance(count);
        if this.checked.is_empty() && this.received.is_empty() {
            // An idle connection holds no buffers.
            this.checked = BytesMut::new();
            this.received = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.begin_request(bytes);
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, bytes));
        Poll::Ready(this.note_write(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = ready!(Pin::new(&mut this.stream).poll_flush(cx));
        Poll::Ready(this.note_write(flushed))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

impl ActixStream for CheckedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        if !self.checked.is_empty() {
            return Poll::Ready(Ok(Ready::READABLE));
        }
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
