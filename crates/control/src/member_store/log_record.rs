//! Decoding of the log file's records, without holding their entries.
//!
//! Of each entry the version and the position in the file are kept, and the member
//! list if it sets one. A record may be larger than what an instance may hold: the
//! first record of a log file has all entries that are kept with a snapshot.

use std::cell::Cell;
use std::fmt;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::os::unix::fs::FileExt;
use std::rc::Rc;

use rmp_serde::decode::ReadReader;
use rmp_serde::Deserializer;
use serde::de::DeserializeSeed;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde::Deserialize;

use cowslip_core::agreement::HardState;
use cowslip_core::agreement::MemberList;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::codec::CodecError;

use crate::member_store::record_frame::FileSpan;

/// Version and position of an entry.
#[derive(Clone, Debug)]
pub struct PlacedEntry {
    /// Version of the entry.
    pub version: ConfigVersion,
    /// Position of the encoded entry.
    pub span: FileSpan,
    /// The member list, if the entry sets it.
    pub members: Option<MemberList>,
}

/// The first record, or one write batch of a later one.
#[derive(Debug, Default)]
pub struct LogPart {
    /// ID of the folder; only in the first record.
    pub folder: Option<u64>,
    /// The folder must hold a snapshot of at least this index; only in the first
    /// record.
    pub snapshot_index: Option<u64>,
    /// New term and vote.
    pub hard: Option<HardState>,
    /// Index from which on earlier entries are removed.
    pub cut_from: Option<u64>,
    /// Entries to append.
    pub entries: Vec<PlacedEntry>,
}

/// Decodes the first record of a log file.
pub fn read_first(file: &File, body: FileSpan) -> Result<LogPart, CodecError> {
    let reader = BufReader::new(SpanReader { file, left: body });
    let (mut deserializer, position) = deserializer(reader, body.start);
    Ok(PartSeed { position }.deserialize(&mut deserializer)?)
}

/// Decodes a later record of a log file.
pub fn read_later(file: &File, body: FileSpan) -> Result<Vec<LogPart>, CodecError> {
    decode_later(BufReader::new(SpanReader { file, left: body }), body.start)
}

/// Decodes a later record from its body, which begins at `start` in the log file.
pub fn decode_later(body: impl Read, start: u64) -> Result<Vec<LogPart>, CodecError> {
    let (mut deserializer, position) = deserializer(body, start);
    Ok(PartListSeed { position }.deserialize(&mut deserializer)?)
}

/// Offset in the log file of the next byte to be decoded.
type Position = Rc<Cell<u64>>;

type CountingDeserializer<R> = Deserializer<ReadReader<CountingReader<R>>>;

fn deserializer<R: Read>(reader: R, start: u64) -> (CountingDeserializer<R>, Position) {
    let position = Rc::new(Cell::new(start));
    let counting = CountingReader {
        reader,
        position: Rc::clone(&position),
    };
    (Deserializer::new(counting), position)
}

/// Counts the bytes that are taken from a reader.
struct CountingReader<R> {
    reader: R,
    position: Position,
}

impl<R: Read> Read for CountingReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let taken = self.reader.read(buffer)?;
        self.position.set(self.position.get() + taken as u64);
        Ok(taken)
    }
}

/// Reads a part of a file.
struct SpanReader<'a> {
    file: &'a File,
    left: FileSpan,
}

impl Read for SpanReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let wanted = (buffer.len() as u64).min(self.left.bytes) as usize;
        let taken = self.file.read_at(&mut buffer[..wanted], self.left.start)?;
        self.left.start += taken as u64;
        self.left.bytes -= taken as u64;
        Ok(taken)
    }
}

/// The part of an entry that is kept.
#[derive(Deserialize)]
struct EntryHead {
    version: ConfigVersion,
    body: BodyHead,
}

#[derive(Deserialize)]
enum BodyHead {
    Blank,
    Change(IgnoredAny),
    Members(MemberList),
}

#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum PartField {
    Folder,
    SnapshotIndex,
    Hard,
    CutFrom,
    Entries,
    #[serde(other)]
    Other,
}

struct PartListSeed {
    position: Position,
}

impl<'de> DeserializeSeed<'de> for PartListSeed {
    type Value = Vec<LogPart>;

    fn deserialize<D: serde::Deserializer<'de>>(
        self,
        deserializer: D,
    ) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for PartListSeed {
    type Value = Vec<LogPart>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of write batches")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut parts = Vec::new();
        loop {
            let position = Rc::clone(&self.position);
            let Some(part) = list.next_element_seed(PartSeed { position })? else {
                return Ok(parts);
            };
            parts.push(part);
        }
    }
}

struct PartSeed {
    position: Position,
}

impl<'de> DeserializeSeed<'de> for PartSeed {
    type Value = LogPart;

    fn deserialize<D: serde::Deserializer<'de>>(
        self,
        deserializer: D,
    ) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for PartSeed {
    type Value = LogPart;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the header of a log or a write batch")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut part = LogPart::default();
        let mut entries = None;
        while let Some(field) = map.next_key()? {
            match field {
                PartField::Folder => part.folder = Some(map.next_value()?),
                PartField::SnapshotIndex => part.snapshot_index = Some(map.next_value()?),
                PartField::Hard => part.hard = map.next_value()?,
                PartField::CutFrom => part.cut_from = map.next_value()?,
                PartField::Entries => {
                    let position = Rc::clone(&self.position);
                    entries = Some(map.next_value_seed(EntryListSeed { position })?);
                }
                PartField::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        part.entries = entries.ok_or_else(|| A::Error::missing_field("entries"))?;
        Ok(part)
    }
}

struct EntryListSeed {
    position: Position,
}

impl<'de> DeserializeSeed<'de> for EntryListSeed {
    type Value = Vec<PlacedEntry>;

    fn deserialize<D: serde::Deserializer<'de>>(
        self,
        deserializer: D,
    ) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntryListSeed {
    type Value = Vec<PlacedEntry>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of log entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        loop {
            let start = self.position.get();
            let Some(head) = list.next_element::<EntryHead>()? else {
                return Ok(entries);
            };
            let bytes = self.position.get() - start;
            entries.push(PlacedEntry {
                version: head.version,
                span: FileSpan { start, bytes },
                members: match head.body {
                    BodyHead::Members(members) => Some(members),
                    BodyHead::Blank | BodyHead::Change(IgnoredAny) => None,
                },
            });
        }
    }
}
