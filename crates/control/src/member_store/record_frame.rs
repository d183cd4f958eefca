//! Framing of records in a file: magic bytes, length and checksum precede each
//! record.
//!
//! Each sync writes one record, and the next record is written only after that
//! sync. So a crash can corrupt only the last record, whatever part of it
//! reached the disk. A corrupt record with an intact one after it had been
//! synced.
//!
//! Files are read and written a block at a time, whatever the size of a record.

use std::fs::File;
use std::io;
use std::io::BufWriter;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::os::unix::fs::FileExt;

use crc32fast::Hasher;
use serde::Serialize;
use thiserror::Error;

use cowslip_wire::codec;

use crate::member_store::StoreError;

/// Starts every record, so that an intact record after a corrupt one is found.
const MAGIC: [u8; 4] = *b"cwr1";

/// Size of the header: magic bytes, length and checksum, four bytes each.
pub const HEADER_BYTES: u64 = 12;

/// Size of a block in bytes.
const BLOCK_BYTES: u64 = 64 * 1024;

/// Position of bytes in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileSpan {
    /// Offset of the first byte.
    pub start: u64,
    /// Number of bytes.
    pub bytes: u64,
}

impl FileSpan {
    /// Offset after the last byte.
    pub fn end(&self) -> u64 {
        self.start + self.bytes
    }

    /// Reads the bytes from `file`.
    pub fn read(&self, file: &File) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; self.bytes as usize];
        file.read_exact_at(&mut bytes, self.start)?;
        Ok(bytes)
    }
}

/// Why the records of a file cannot be read.
#[derive(Debug, Error)]
pub enum ScanError {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A record that had been synced is corrupt.
    #[error("damaged at byte {at}")]
    Damaged {
        /// Byte offset of the record.
        at: u64,
    },
}

/// Encodes `body` as a record.
pub fn frame(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut hasher = Hasher::new();
    hasher.update(body);
    let mut bytes = Vec::with_capacity(HEADER_BYTES as usize + body.len());
    bytes.extend_from_slice(&header(body.len(), hasher)?);
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// Writes `value` as the first record of `file`, which is empty.
pub fn write<T: Serialize>(mut file: &File, value: &T) -> Result<(), StoreError> {
    file.write_all(&[0; HEADER_BYTES as usize])?;
    let mut body = BodyWriter {
        file: BufWriter::new(file),
        hasher: Hasher::new(),
        bytes: 0,
    };
    codec::encode_into(&mut body, value)?;
    body.flush()?;
    let header = header(body.bytes, body.hasher)?;
    file.seek(SeekFrom::Start(0))?;
    file.write_all(&header)?;
    file.seek(SeekFrom::End(0))?;
    Ok(())
}

fn header(bytes: usize, hasher: Hasher) -> io::Result<[u8; HEADER_BYTES as usize]> {
    let Ok(length) = u32::try_from(bytes) else {
        let problem = format!("a record of {bytes} bytes is too large");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, problem));
    };
    let mut header = [0; HEADER_BYTES as usize];
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&length.to_le_bytes());
    header[8..].copy_from_slice(&hasher.finalize().to_le_bytes());
    Ok(header)
}

/// Writes the body of a record and computes its checksum.
struct BodyWriter<'a> {
    file: BufWriter<&'a File>,
    hasher: Hasher,
    bytes: usize,
}

impl Write for BodyWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.file.write(bytes)?;
        self.hasher.update(&bytes[..written]);
        self.bytes += written;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Returns the positions of the record bodies in `file`, all intact. A corrupt or
/// incomplete tail is ignored unless an intact record follows it, which is an error.
pub fn scan(file: &File) -> Result<Vec<FileSpan>, ScanError> {
    let length = file.metadata()?.len();
    let mut bodies = Vec::new();
    let mut at = 0;
    while let Some(body) = body_at(file, at, length)? {
        bodies.push(body);
        at = body.end();
    }
    if has_record_after(file, at, length)? {
        return Err(ScanError::Damaged { at });
    }
    Ok(bodies)
}

/// Returns the body of the record at `at` if the record is intact.
fn body_at(file: &File, at: u64, length: u64) -> io::Result<Option<FileSpan>> {
    let start = at + HEADER_BYTES;
    if start > length {
        return Ok(None);
    }
    let mut header = [0; HEADER_BYTES as usize];
    file.read_exact_at(&mut header, at)?;
    let word = |at: usize| {
        let mut word = [0; 4];
        word.copy_from_slice(&header[at..at + 4]);
        u32::from_le_bytes(word)
    };
    let body = FileSpan {
        start,
        bytes: word(4).into(),
    };
    if header[..4] != MAGIC || body.end() > length {
        return Ok(None);
    }
    Ok((checksum(file, body)? == word(8)).then_some(body))
}

fn checksum(file: &File, span: FileSpan) -> io::Result<u32> {
    let mut hasher = Hasher::new();
    let mut block = vec![0; span.bytes.min(BLOCK_BYTES) as usize];
    let mut at = span.start;
    while at < span.end() {
        let taken = (span.end() - at).min(BLOCK_BYTES);
        let block = &mut block[..taken as usize];
        file.read_exact_at(block, at)?;
        hasher.update(block);
        at += taken;
    }
    Ok(hasher.finalize())
}

fn has_record_after(file: &File, at: u64, length: u64) -> io::Result<bool> {
    let overlap = MAGIC.len() as u64 - 1;
    let mut start = at + 1;
    while start + HEADER_BYTES <= length {
        let block = FileSpan {
            start,
            bytes: (length - start).min(BLOCK_BYTES + overlap),
        };
        let bytes = block.read(file)?;
        for (offset, window) in bytes.windows(MAGIC.len()).enumerate() {
            let found = window == MAGIC;
            if found && body_at(file, start + offset as u64, length)?.is_some() {
                return Ok(true);
            }
        }
        start += BLOCK_BYTES;
    }
    Ok(false)
}
