//! Strict parser of response bodies (RFC 9112, sections 6.3 and 7.1).

use bytes::Bytes;
use bytes::BytesMut;

use crate::framing_budget::FramingBudget;
use crate::response_head::check_field;
use crate::response_head::is_text_byte;
use crate::response_head::strip_line_end;
use crate::response_head::BodyFraming;
use crate::response_head::ResponseFault;

/// Maximum length of a line within a chunked body: a size with its extensions, or a
/// trailer.
const LINE_BYTES_MAX: usize = 16 * 1024;

/// What could be parsed of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Content; never empty.
    Content(Bytes),
    /// The body is complete.
    End,
    /// More input is needed.
    NeedsInput,
}

/// Parses the body of one response.
#[derive(Clone, Debug)]
pub struct BodyParser {
    position: BodyPosition,
    budget: FramingBudget,
}

/// What is due next.
#[derive(Clone, Copy, Debug)]
enum BodyPosition {
    End,
    Content { left: u64 },
    UntilClose,
    ChunkSize,
    ChunkContent { left: u64 },
    ChunkEnd,
    Trailer,
}

impl BodyParser {
    /// Creates a parser of a body that ends as `framing` says.
    pub fn new(framing: BodyFraming) -> Self {
        Self {
            position: match framing {
                BodyFraming::Empty | BodyFraming::Length(0) => BodyPosition::End,
                BodyFraming::Length(left) => BodyPosition::Content { left },
                BodyFraming::Chunked => BodyPosition::ChunkSize,
                BodyFraming::UntilClose => BodyPosition::UntilClose,
            },
            budget: FramingBudget::default(),
        }
    }

    /// Returns whether the body is complete once the connection has been closed.
    pub fn ends_with_close(&self) -> bool {
        matches!(self.position, BodyPosition::UntilClose | BodyPosition::End)
    }

    /// Takes the next part of the body from `input`, and the framing before it.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid, or if it has far more framing than content.
    pub fn parse(&mut self, input: &mut BytesMut) -> Result<BodyPart, ResponseFault> {
        loop {
            match self.position {
                BodyPosition::End => return Ok(BodyPart::End),
                BodyPosition::UntilClose => return Ok(take_content(input, u64::MAX)),
                BodyPosition::Content { left } => {
                    let part = take_content(input, left);
                    if let BodyPart::Content(content) = &part {
                        self.position = match left - content.len() as u64 {
                            0 => BodyPosition::End,
                            left => BodyPosition::Content { left },
                        };
                    }
                    return Ok(part);
                }
                BodyPosition::ChunkContent { left } => {
                    let part = take_content(input, left);
                    if let BodyPart::Content(content) = &part {
                        self.record(content.len(), content.len())?;
                        self.position = match left - content.len() as u64 {
                            0 => BodyPosition::ChunkEnd,
                            left => BodyPosition::ChunkContent { left },
                        };
                    }
                    return Ok(part);
                }
                BodyPosition::ChunkSize
                | BodyPosition::ChunkEnd
                | BodyPosition::Trailer => {
                    let Some(line) = take_line(input)? else {
                        return Ok(BodyPart::NeedsInput);
                    };
                    self.record(line.len(), 0)?;
                    self.position = self.position_after(strip_line_end(&line)?)?;
                }
            }
        }
    }

    /// Returns what is due after a line of a chunked body.
    fn position_after(&self, line: &[u8]) -> Result<BodyPosition, ResponseFault> {
        match self.position {
            BodyPosition::ChunkSize => Ok(match parse_chunk_size(line)? {
                0 => BodyPosition::Trailer,
                left => BodyPosition::ChunkContent { left },
            }),
            BodyPosition::ChunkEnd if line.is_empty() => Ok(BodyPosition::ChunkSize),
            BodyPosition::Trailer if line.is_empty() => Ok(BodyPosition::End),
            BodyPosition::Trailer => {
                check_field(line)?;
                Ok(BodyPosition::Trailer)
            }
            _ => Err(ResponseFault::Chunk),
        }
    }

    fn record(&mut self, received: usize, content: usize) -> Result<(), ResponseFault> {
        let recorded = self.budget.record(received, content);
        recorded.map_err(|_| ResponseFault::TooLittleContent)
    }
}

/// Takes up to `left` bytes of content.
fn take_content(input: &mut BytesMut, left: u64) -> BodyPart {
    if input.is_empty() {
        return BodyPart::NeedsInput;
    }
    let left = usize::try_from(left).unwrap_or(usize::MAX);
    let content = input.split_to(left.min(input.len()));
    BodyPart::Content(content.freeze())
}

/// Takes a line with its end; `None` if more input is needed.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, ResponseFault> {
    let end = input.iter().position(|byte| *byte == b'\n');
    if end.unwrap_or(input.len()) >= LINE_BYTES_MAX {
        return Err(ResponseFault::LineTooLong);
    }
    Ok(end.map(|end| input.split_to(end + 1)))
}

/// Parses the size of a chunk, without the line end, and checks its extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, ResponseFault> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (digits, extensions) = line.split_at(digits.count());
    // Blanks are allowed only before an extension.
    let is_separated = extensions.trim_ascii_start().starts_with(b";");
    let valid = extensions.is_empty() || is_separated;
    if !valid || !extensions.iter().copied().all(is_text_byte) {
        return Err(ResponseFault::Chunk);
    }
    // Digits are ASCII, and `from_str_radix` fails if there are none.
    let digits = std::str::from_utf8(digits).map_err(|_| ResponseFault::Chunk)?;
    u64::from_str_radix(digits, 16).map_err(|_| ResponseFault::Chunk)
}
