//! Encoding of many directory records in one message.
//!
//! Load pattern: a thousand nodes start at once, and each fetches a record of every
//! other. With field names and the names of services, versions and failure domains
//! in each record, the copies fill the links of the instances that send them.
//!
//! A batch writes each of those names once, and the fields of a record by position.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::de::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use super::EndpointRecord;
use super::EndpointStanding;

/// Fields of one record: instance, the positions of its service, version and
/// failure domain among the names, address, slots, standing, incarnation, sequence.
type RecordRow<T> = (T, u32, u32, u32, SocketAddr, u32, u8, u64, u64);

/// Records to encode as one batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordBatch<'a>(pub(crate) &'a [EndpointRecord]);

impl RecordBatch<'_> {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for RecordBatch<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut table = NameTable::default();
        let mut rows: Vec<RecordRow<&str>> = Vec::with_capacity(self.0.len());
        for record in self.0 {
            rows.push((
                &record.instance,
                table.position(&record.service),
                table.position(&record.version),
                table.position(&record.failure_domain),
                record.address,
                record.slots,
                standing_code(record.standing),
                record.incarnation,
                record.sequence,
            ));
        }
        (table.names, rows).serialize(serializer)
    }
}

/// Names that the records of a batch share, in the order of their first use.
#[derive(Default)]
struct NameTable<'a> {
    names: Vec<&'a str>,
    positions: HashMap<&'a str, u32>,
}

impl<'a> NameTable<'a> {
    fn position(&mut self, name: &'a str) -> u32 {
        let next = self.names.len() as u32;
        let position = *self.positions.entry(name).or_insert(next);
        if position == next {
            self.names.push(name);
        }
        position
    }
}

/// Decodes what [`RecordBatch`] encodes. Records share the strings of their names.
///
/// # Errors
///
/// Fails if a row refers to a name or a standing that does not exist.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<EndpointRecord>, D::Error> {
    let (names, rows): (Vec<Arc<str>>, Vec<RecordRow<Arc<str>>>) =
        Deserialize::deserialize(deserializer)?;
    let name = |position: u32| {
        let name = names.get(position as usize).map(Arc::clone);
        name.ok_or_else(|| D::Error::custom("a record refers to a missing name"))
    };
    let mut records = Vec::with_capacity(rows.len());
    for row in rows {
        let (instance, service, version, domain, address, slots, code, at, sequence) =
            row;
        let standing = standing_of(code)
            .ok_or_else(|| D::Error::custom("a record has an unknown standing"))?;
        records.push(EndpointRecord {
            instance,
            service: name(service)?,
            version: name(version)?,
            failure_domain: name(domain)?,
            address,
            slots,
            standing,
            incarnation: at,
            sequence,
        });
    }
    Ok(records)
}

fn standing_code(standing: EndpointStanding) -> u8 {
    match standing {
        EndpointStanding::Serving => 0,
        EndpointStanding::Draining => 1,
        EndpointStanding::Gone => 2,
    }
}

fn standing_of(code: u8) -> Option<EndpointStanding> {
    match code {
        0 => Some(EndpointStanding::Serving),
        1 => Some(EndpointStanding::Draining),
        2 => Some(EndpointStanding::Gone),
        _ => None,
    }
}
