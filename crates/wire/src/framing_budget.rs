//! A bound on received bytes that carry no content.
//!
//! Load pattern: a peer in trouble that sends interim responses, chunk extensions,
//! zeros of a chunk's size or trailers without end. Each byte is valid HTTP and
//! none brings the message further, so that the message would be read for as long
//! as anybody waits for it.

use std::io;

/// Bytes without content that every message may have.
const FRAMING_BYTES_MAX: usize = 64 * 1024;

/// Further bytes without content for each byte of content; a chunk of one byte has
/// five of them.
const FRAMING_PER_CONTENT: usize = 8;

/// Counts what was received of one message.
#[derive(Clone, Copy, Debug, Default)]
pub struct FramingBudget {
    framing: usize,
    content: usize,
}

impl FramingBudget {
    /// Records that `received` bytes were decoded, `content` of them content. Fails
    /// once there is too little content among all of them.
    pub fn record(&mut self, received: usize, content: usize) -> io::Result<()> {
        self.framing += received.saturating_sub(content);
        self.content += content;
        let allowed = self.content.saturating_mul(FRAMING_PER_CONTENT);
        if self.framing <= allowed.saturating_add(FRAMING_BYTES_MAX) {
            return Ok(());
        }
        let problem = format!(
            "{} bytes of a message carry {} bytes of content",
            self.framing + self.content,
            self.content
        );
        Err(io::Error::new(io::ErrorKind::InvalidData, problem))
    }
}
