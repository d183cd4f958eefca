//! The stored form of data folders: written and read as the builds before do, and read
//! without holding a long log in memory.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use tempfile::tempdir;

use cowslip_control::member_store::FolderStore;
use cowslip_control::member_store::MemberStore;
use cowslip_core::agreement::EntryBody;
use cowslip_core::agreement::HardState;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::MemberList;
use cowslip_core::agreement::MemberRecord;
use cowslip_core::agreement::MemberRole;
use cowslip_core::agreement::ProcessStart;
use cowslip_core::agreement::ReplicaSnapshot;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::SnapshotWrite;
use cowslip_core::agreement::WriteBatch;
use cowslip_core::agreement::HELD_BYTES_MAX;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::codec;

const INSTANCE: &str = "control-1";
const FOLDER: u64 = 7;

/// The files as earlier builds write and read them.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct IdentityForm {
    instance: String,
    folder: u64,
    start: ProcessStart,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HeaderForm {
    folder: u64,
    snapshot_index: u64,
    hard: HardState,
    entries: Vec<LogEntry>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StepForm {
    hard: Option<HardState>,
    cut_from: Option<u64>,
    entries: Vec<LogEntry>,
}

fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    let body = codec::encode(value).expect("it is encoded");
    let mut bytes = b"cwr1".to_vec();
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The bodies of the records in a file.
fn bodies(path: &Path) -> Vec<Vec<u8>> {
    let bytes = fs::read(path).expect("a file");
    let mut bodies = Vec::new();
    let mut rest = bytes.as_slice();
    while !rest.is_empty() {
        assert_eq!(&rest[..4], b"cwr1");
        let length = u32::from_le_bytes(rest[4..8].try_into().expect("four bytes"));
        let (record, after) = rest.split_at(12 + length as usize);
        let checksum = u32::from_le_bytes(record[8..12].try_into().expect("four bytes"));
        assert_eq!(crc32fast::hash(&record[12..]), checksum);
        bodies.push(record[12..].to_vec());
        rest = after;
    }
    bodies
}

/// Creates a folder as an earlier build leaves it.
fn write_folder(path: &Path, header: &HeaderForm, records: &[Vec<StepForm>]) {
    let identity = IdentityForm {
        instance: INSTANCE.to_owned(),
        folder: FOLDER,
        start: ProcessStart { count: 3, nonce: 9 },
    };
    fs::write(path.join("identity"), frame(&identity)).expect("an identity");
    let mut log = frame(header);
    for record in records {
        log.extend(frame(record));
    }
    fs::write(path.join("log"), log).expect("a log");
}

fn heavy_entry(term: u64, index: u64, bytes: usize) -> LogEntry {
    let id = format!("change-{index}-{}", "x".repeat(bytes));
    let entry = ChangeEntry {
        request_id: id.into(),
        expected: None,
        at_ms: index,
        change: ConfigChange::RemoveException { id: "none".into() },
    };
    LogEntry::new(
        ConfigVersion::new(term, index),
        EntryBody::Change(Arc::new(entry)),
    )
}

fn members_entry(term: u64, index: u64) -> LogEntry {
    let mut members = MemberList::default();
    let record = MemberRecord {
        address: ([127, 0, 0, 1], 7_101).into(),
        folder: FOLDER,
        role: MemberRole::Voter,
    };
    members.set(INSTANCE.into(), record);
    LogEntry::new(ConfigVersion::new(term, index), EntryBody::Members(members))
}

fn hard(term: u64) -> HardState {
    HardState {
        term,
        voted_for: Some(INSTANCE.into()),
        barred: false,
    }
}

fn appended(entries: Vec<LogEntry>) -> StepForm {
    StepForm {
        hard: None,
        cut_from: None,
        entries,
    }
}

/// All entries of an opened folder, read from the disk where they are not held.
fn all_entries(saved: &SavedState) -> Vec<LogEntry> {
    let mut entries = Vec::new();
    for stored in &saved.stored {
        let entry = saved.archive.read(stored.version.index);
        let entry = entry.expect("it is read");
        assert_eq!(entry.version, stored.version);
        assert_eq!(entry.encoded_bytes(), stored.bytes);
        let members = match &entry.body {
            EntryBody::Members(members) => Some(members),
            _ => None,
        };
        assert_eq!(members, stored.members.as_ref());
        entries.push(entry);
    }
    entries.extend(saved.entries.iter().cloned());
    entries
}

// Guards against a folder of the build before that is refused, or read as something
// else: its log has entries in the first record, entries that were cut off, and several
// batches in a record.
#[test]
fn a_folder_of_the_build_before_is_read_as_it_was_meant() {
    let folder = tempdir().expect("a folder");
    let header = HeaderForm {
        folder: FOLDER,
        snapshot_index: 0,
        hard: hard(1),
        entries: vec![members_entry(1, 1), heavy_entry(1, 2, 10)],
    };
    let cut = StepForm {
        hard: Some(hard(2)),
        cut_from: Some(3),
        entries: vec![heavy_entry(2, 3, 30)],
    };
    let later = appended(vec![heavy_entry(2, 4, 40), members_entry(2, 5)]);
    let records = [
        vec![appended(vec![heavy_entry(1, 3, 20), heavy_entry(1, 4, 20)])],
        vec![cut, later],
    ];
    write_folder(folder.path(), &header, &records);
    let opened = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
    assert_eq!(opened.folder, FOLDER);
    assert_eq!(opened.start.count, 4);
    assert_eq!(opened.saved.hard, hard(2));
    let expected = vec![
        members_entry(1, 1),
        heavy_entry(1, 2, 10),
        heavy_entry(2, 3, 30),
        heavy_entry(2, 4, 40),
        members_entry(2, 5),
    ];
    assert_eq!(all_entries(&opened.saved), expected);
    for entry in expected {
        let read = opened.saved.archive.read(entry.version.index);
        assert_eq!(read, Some(entry));
    }
}

// Guards against a control instance that cannot start: the log of a build before is
// larger than its memory, in one first record and in many later ones.
#[test]
fn a_log_larger_than_memory_is_opened_without_holding_it() {
    const BYTES: usize = 128_000;
    let folder = tempdir().expect("a folder");
    let first = (1..=200).map(|index| match index {
        50 => members_entry(1, index),
        _ => heavy_entry(1, index, BYTES),
    });
    let header = HeaderForm {
        folder: FOLDER,
        snapshot_index: 0,
        hard: hard(1),
        entries: first.collect(),
    };
    let mut records = Vec::new();
    for index in 201..=641 {
        records.push(vec![appended(vec![heavy_entry(1, index, BYTES)])]);
    }
    write_folder(folder.path(), &header, &records);
    let saved = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
    let saved = saved.saved;
    let mut held = 0;
    for entry in &saved.entries {
        held += entry.encoded_bytes();
    }
    assert!(held <= HELD_BYTES_MAX, "{held} bytes are held");
    assert!(saved.entries.len() > 20, "the last entries are held");
    let entries = all_entries(&saved);
    assert_eq!(entries.len(), 641);
    for (at, entry) in entries.into_iter().enumerate() {
        let index = at as u64 + 1;
        let expected = match index {
            50 => members_entry(1, index),
            _ => heavy_entry(1, index, BYTES),
        };
        assert!(entry == expected, "entry {index} differs");
    }
}

fn batch(entries: Vec<LogEntry>) -> WriteBatch {
    WriteBatch {
        entries,
        ..WriteBatch::default()
    }
}

// Guards against a folder that the build before cannot read any more.
#[test]
fn a_folder_is_written_as_the_build_before_writes_it() {
    let folder = tempdir().expect("a folder");
    let mut opened = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
    let snapshot = ReplicaSnapshot {
        version: ConfigVersion::new(1, 2),
        ..ReplicaSnapshot::default()
    };
    let compacted = WriteBatch {
        snapshot: Some(SnapshotWrite {
            snapshot: snapshot.clone(),
            hard: hard(1),
            rest: vec![heavy_entry(1, 2, 20), heavy_entry(1, 3, 30)],
        }),
        ..WriteBatch::default()
    };
    let cut = WriteBatch {
        hard: Some(hard(2)),
        cut_from: Some(4),
        entries: vec![members_entry(2, 4)],
        ..WriteBatch::default()
    };
    let first = vec![members_entry(1, 1), heavy_entry(1, 2, 20)];
    for batches in [
        vec![batch(first), batch(vec![heavy_entry(1, 3, 30)])],
        vec![compacted],
        vec![batch(vec![heavy_entry(1, 4, 40)]), cut],
    ] {
        opened.store.write(batches).expect("the write succeeds");
    }
    let log = bodies(&folder.path().join("log"));
    let header: HeaderForm = codec::decode(&log[0]).expect("a header");
    let expected = HeaderForm {
        folder: opened.folder,
        snapshot_index: 2,
        hard: hard(1),
        entries: vec![heavy_entry(1, 2, 20), heavy_entry(1, 3, 30)],
    };
    assert_eq!(header, expected);
    let steps: Vec<StepForm> = codec::decode(&log[1]).expect("a record");
    let cut = StepForm {
        hard: Some(hard(2)),
        cut_from: Some(4),
        entries: vec![members_entry(2, 4)],
    };
    assert_eq!(steps, [appended(vec![heavy_entry(1, 4, 40)]), cut]);
    let stored = bodies(&folder.path().join("snapshot"));
    let read: ReplicaSnapshot = codec::decode(&stored[0]).expect("a snapshot");
    assert_eq!(read, snapshot);
    let identity = bodies(&folder.path().join("identity"));
    let identity: IdentityForm = codec::decode(&identity[0]).expect("an identity");
    assert_eq!(identity.folder, opened.folder);
}

// Guards against an entry that is read from a place where another one was written:
// after entries were cut off, and after the log file was replaced by a shorter one.
#[test]
fn entries_are_read_back_after_cuts_and_compactions() {
    let folder = tempdir().expect("a folder");
    let mut opened = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
    let archive = opened.saved.archive.clone();
    let first: Vec<LogEntry> = (1..=5).map(|at| heavy_entry(1, at, 100)).collect();
    opened
        .store
        .write(vec![batch(first.clone())])
        .expect("the write succeeds");
    assert_eq!(archive.read(5), Some(first[4].clone()));
    let cut = WriteBatch {
        cut_from: Some(3),
        entries: vec![heavy_entry(2, 3, 7)],
        ..WriteBatch::default()
    };
    opened.store.write(vec![cut]).expect("the write succeeds");
    assert_eq!(archive.read(2), Some(first[1].clone()));
    assert_eq!(archive.read(3), Some(heavy_entry(2, 3, 7)));
    assert_eq!(archive.read(4), None);
    let compacted = WriteBatch {
        snapshot: Some(SnapshotWrite {
            snapshot: ReplicaSnapshot {
                version: ConfigVersion::new(1, 2),
                ..ReplicaSnapshot::default()
            },
            hard: hard(2),
            rest: vec![heavy_entry(2, 3, 7)],
        }),
        ..WriteBatch::default()
    };
    let next = batch(vec![heavy_entry(2, 4, 11)]);
    opened
        .store
        .write(vec![compacted, next])
        .expect("the write succeeds");
    assert_eq!(archive.read(2), None);
    assert_eq!(archive.read(3), Some(heavy_entry(2, 3, 7)));
    assert_eq!(archive.read(4), Some(heavy_entry(2, 4, 11)));
    drop(opened);
    let reopened = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
    let expected = [heavy_entry(2, 3, 7), heavy_entry(2, 4, 11)];
    assert_eq!(all_entries(&reopened.saved), expected);
    assert_eq!(reopened.saved.archive.read(4), Some(expected[1].clone()));
}
