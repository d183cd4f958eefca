//! Check of response heads against the grammar of RFC 9112.
//!
//! Common HTTP libraries accept heads that the grammar does not: blanks before a
//! colon, bare line feeds, statuses of no class, a length beside a transfer coding.
//! In the answer of a server in trouble, each of these may hide where its body ends.

use std::io;

use actix_http::Method;
use thiserror::Error;

/// Maximum size of a response head, in bytes.
pub const HEAD_BYTES_MAX: usize = 128 * 1024;

/// Why received bytes are not a valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseFault {
    /// The head is larger than [`HEAD_BYTES_MAX`].
    #[error("the head has no end within {HEAD_BYTES_MAX} bytes")]
    HeadTooLarge,
    /// A line does not end with CR LF.
    #[error("a line does not end with CR LF")]
    LineEnd,
    /// The first line is not a status line of HTTP/1.0 or HTTP/1.1.
    #[error("the first line is not a status line")]
    StatusLine,
    /// The status is none of a final or interim response.
    #[error("the status {0} answers no request")]
    Status(u16),
    /// A line of the head or of the trailers is not a field.
    #[error("a line is not a field")]
    Field,
    /// The length of the body is not one number, or contradicts other fields.
    #[error("the length of the body is not valid")]
    Length,
    /// The transfer coding is not `chunked`, or contradicts other fields.
    #[error("the transfer coding is not valid")]
    TransferCoding,
    /// A chunk of the body has no valid size, or other bytes than its size says.
    #[error("a chunk of the body is not valid")]
    Chunk,
    /// A line within the body is longer than any of a sound server.
    #[error("a line within the body has no end")]
    LineTooLong,
    /// The body has far more framing than content.
    #[error("the body has too little content")]
    TooLittleContent,
}

impl From<ResponseFault> for io::Error {
    fn from(fault: ResponseFault) -> Self {
        Self::new(io::ErrorKind::InvalidData, fault)
    }
}

/// How the end of a response's body is found (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this number of bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// What a valid head says about its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadSummary {
    /// Status, from 100 to 599.
    pub status: u16,
    /// How the end of the body is found.
    pub framing: BodyFraming,
}

impl HeadSummary {
    /// Returns whether a final response follows this one.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// Returns the length of the head at the start of `received`, in bytes and with the
/// empty line that ends it; `None` if more bytes are needed.
///
/// # Errors
///
/// Fails if the head is too large.
pub fn head_length(received: &[u8]) -> Result<Option<usize>, ResponseFault> {
    let end = received.windows(4).position(|end| end == b"\r\n\r\n");
    let length = end.map(|at| at + 4);
    if length.unwrap_or(received.len()) > HEAD_BYTES_MAX {
        return Err(ResponseFault::HeadTooLarge);
    }
    Ok(length)
}

/// Checks the complete head of a response to a `method` request.
///
/// # Errors
///
/// Fails if the head is not valid HTTP, or if several of its fields say where the
/// body ends, even if they agree.
pub fn check_head(head: &[u8], method: &Method) -> Result<HeadSummary, ResponseFault> {
    let mut lines = head.split_inclusive(|byte| *byte == b'\n');
    let status_line = strip_line_end(lines.next().unwrap_or_default())?;
    let (version, status) = parse_status_line(status_line)?;
    let mut fields = FramingFields::default();
    for line in lines {
        let line = strip_line_end(line)?;
        if line.is_empty() {
            break;
        }
        fields.record(check_field(line)?)?;
    }
    let framing = fields.framing(version, status, method)?;
    Ok(HeadSummary { status, framing })
}

/// Checks a field line, without its line end, and returns its name and value.
pub(crate) fn check_field(line: &[u8]) -> Result<(&[u8], &[u8]), ResponseFault> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.ok_or(ResponseFault::Field)?);
    let value = &value[1..];
    let valid_name = !name.is_empty() && name.iter().copied().all(is_token_byte);
    if !valid_name || !value.iter().copied().all(is_text_byte) {
        return Err(ResponseFault::Field);
    }
    Ok((name, value.trim_ascii()))
}

/// Returns whether a byte may stand in a token, such as the name of a field.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte may stand in the value of a field or in a reason phrase:
/// any but the control bytes other than a tab.
pub(crate) fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}

/// Removes the CR LF at the end of a line.
pub(crate) fn strip_line_end(line: &[u8]) -> Result<&[u8], ResponseFault> {
    line.strip_suffix(b"\r\n").ok_or(ResponseFault::LineEnd)
}

/// Minor version of HTTP/1 that a server speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MinorVersion {
    Zero,
    One,
}

fn parse_status_line(line: &[u8]) -> Result<(MinorVersion, u16), ResponseFault> {
    let (version, rest) = if let Some(rest) = line.strip_prefix(b"HTTP/1.1 ") {
        (MinorVersion::One, rest)
    } else if let Some(rest) = line.strip_prefix(b"HTTP/1.0 ") {
        (MinorVersion::Zero, rest)
    } else {
        return Err(ResponseFault::StatusLine);
    };
    let (digits, reason) = rest.split_at_checked(3).ok_or(ResponseFault::StatusLine)?;
    let separated = reason.is_empty() || reason.starts_with(b" ");
    if !separated || !reason.iter().copied().all(is_text_byte) {
        return Err(ResponseFault::StatusLine);
    }
    let mut status = 0;
    for digit in digits {
        if !digit.is_ascii_digit() {
            return Err(ResponseFault::StatusLine);
        }
        status = status * 10 + u16::from(digit - b'0');
    }
    // No request of ours asks to switch protocols.
    if !(100..600).contains(&status) || status == 101 {
        return Err(ResponseFault::Status(status));
    }
    Ok((version, status))
}

/// The fields of a head that say where the body ends.
#[derive(Clone, Copy, Debug, Default)]
struct FramingFields {
    length: Option<u64>,
    chunked: bool,
}

impl FramingFields {
    fn record(&mut self, (name, value): (&[u8], &[u8])) -> Result<(), ResponseFault> {
        if name.eq_ignore_ascii_case(b"content-length") {
            if self.length.is_some() {
                return Err(ResponseFault::Length);
            }
            self.length = Some(parse_length(value)?);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(ResponseFault::TransferCoding);
            }
            self.chunked = true;
        }
        Ok(())
    }

    fn framing(
        self,
        version: MinorVersion,
        status: u16,
        method: &Method,
    ) -> Result<BodyFraming, ResponseFault> {
        let is_misplaced = self.length.is_some() || version == MinorVersion::Zero;
        if self.chunked && is_misplaced {
            return Err(ResponseFault::TransferCoding);
        }
        if matches!(status, 100..=199 | 204) {
            // Some servers state that there are no bytes.
            if self.chunked || self.length.unwrap_or(0) > 0 {
                return Err(ResponseFault::Length);
            }
            return Ok(BodyFraming::Empty);
        }
        if status == 304 || *method == Method::HEAD {
            return Ok(BodyFraming::Empty);
        }
        Ok(match (self.chunked, self.length) {
            (true, _) => BodyFraming::Chunked,
            (false, Some(length)) => BodyFraming::Length(length),
            (false, None) => BodyFraming::UntilClose,
        })
    }
}

fn parse_length(value: &[u8]) -> Result<u64, ResponseFault> {
    let digits = std::str::from_utf8(value).map_err(|_| ResponseFault::Length)?;
    if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ResponseFault::Length);
    }
    digits.parse().map_err(|_| ResponseFault::Length)
}
