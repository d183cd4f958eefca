//! Framing of records in a file: magic bytes, length and checksum precede each
//! record.
//!
//! Each sync writes one record, and the next record is written only after that
//! sync. So a crash can corrupt only the last record, whatever part of it
//! reached the disk. A corrupt record with an intact one after it had been
//! synced.

/// Starts every record, so that an intact record after a corrupt one is found.
const MAGIC: [u8; 4] = *b"cwr1";

/// Size of the header: magic bytes, length and checksum, four bytes each.
const HEADER_BYTES: usize = 12;

/// A corrupt record that had been synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DamagedRecord {
    /// Byte offset of the record.
    pub at: usize,
}

/// Encodes `body` as a record.
pub fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the record bodies in `bytes` and the end offset of the last intact
/// record. A corrupt or incomplete tail is ignored unless an intact record
/// follows it, which is an error.
pub fn scan(bytes: &[u8]) -> Result<(Vec<&[u8]>, usize), DamagedRecord> {
    let mut bodies = Vec::new();
    let mut at = 0;
    while let Some(body) = body_at(bytes, at) {
        bodies.push(body);
        at += HEADER_BYTES + body.len();
    }
    if has_record_after(bytes, at) {
        return Err(DamagedRecord { at });
    }
    Ok((bodies, at))
}

fn body_at(bytes: &[u8], at: usize) -> Option<&[u8]> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[8..].try_into().ok()?);
    let start = at + HEADER_BYTES;
    let body = bytes.get(start..start + length)?;
    (crc32fast::hash(body) == checksum).then_some(body)
}

fn has_record_after(bytes: &[u8], at: usize) -> bool {
    for start in at + 1..bytes.len() {
        if bytes[start..].starts_with(&MAGIC) && body_at(bytes, start).is_some() {
            return true;
        }
    }
    false
}
