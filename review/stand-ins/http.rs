//! A small HTTP/1.1 reader, writer and client on blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response with its whole body.
#[derive(Clone, Debug)]
pub struct Message {
    /// Method and target, or version and status.
    pub start: Vec<String>,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Status code of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from one connection.
pub struct MessageReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn read_more(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let read = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..read]);
        Ok(read)
    }

    /// Returns the next message; `None` if the connection ends before it.
    pub fn next(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let head_end = loop {
            let found = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(at) = found {
                break at + 4;
            }
            if self.read_more()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(broken("the head breaks off"));
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end);
        let mut lines = head.trim_end().split("\r\n");
        let start = lines.next().unwrap_or_default();
        let start = start.splitn(3, ' ').map(str::to_owned).collect();
        let mut headers = Vec::new();
        for line in lines {
            let (name, value) = line.split_once(':').ok_or_else(|| broken("a header"))?;
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { start, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| broken("a length"))?;
            message.body = self.read_exact(length)?;
        } else if is_response && message.status() >= 200 {
            while self.read_more()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(Some(message))
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.read_more()? == 0 {
                return Err(broken("the body breaks off"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                let found = self.buffer.windows(2).position(|part| part == b"\r\n");
                if let Some(at) = found {
                    break at + 2;
                }
                if self.read_more()? == 0 {
                    return Err(broken("the chunks break off"));
                }
            };
            let line: Vec<u8> = self.buffer.drain(..line_end).collect();
            let digits = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(digits.trim(), 16);
            let size = size.map_err(|_| broken("a chunk's size"))?;
            let mut chunk = self.read_exact(size + 2)?;
            chunk.truncate(size);
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk);
        }
    }
}

/// Writes a message with its body and length.
pub fn write(
    mut stream: &TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and waits up to `limit` for its answer.
pub fn send(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    write(&stream, &format!("{start} HTTP/1.1"), headers, body)?;
    let answer = MessageReader::new(stream).next(true)?;
    answer.ok_or_else(|| broken("closed without an answer"))
}
