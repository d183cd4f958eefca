//! The data folder: against a plain list, torn at every byte, and damaged.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;
use tempfile::tempdir;

use cowslip_control::member_store::FolderStore;
use cowslip_control::member_store::MemberStore;
use cowslip_control::member_store::StoreError;
use cowslip_core::agreement::EntryBody;
use cowslip_core::agreement::HardState;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::ReplicaSnapshot;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::SnapshotWrite;
use cowslip_core::agreement::WriteBatch;
use cowslip_core::version::ConfigVersion;

const INSTANCE: &str = "control-1";

fn entry(term: u64, index: u64) -> LogEntry {
    LogEntry {
        version: ConfigVersion::new(term, index),
        body: EntryBody::Blank,
    }
}

fn hard(term: u64) -> HardState {
    HardState {
        term,
        voted_for: Some(Arc::from("control-2")),
        barred: false,
    }
}

fn entries(range: std::ops::RangeInclusive<u64>) -> WriteBatch {
    WriteBatch {
        entries: range.map(|index| entry(1, index)).collect(),
        ..WriteBatch::default()
    }
}

fn snapshot_at(index: u64, rest: Vec<LogEntry>) -> WriteBatch {
    let snapshot = ReplicaSnapshot {
        version: ConfigVersion::new(1, index),
        ..ReplicaSnapshot::default()
    };
    let write = SnapshotWrite {
        snapshot,
        hard: hard(1),
        rest,
    };
    WriteBatch {
        snapshot: Some(write),
        ..WriteBatch::default()
    }
}

fn open(folder: &Path) -> Result<SavedState, StoreError> {
    Ok(FolderStore::open(folder, INSTANCE)?.saved)
}

fn filled(folder: &Path, batches: Vec<WriteBatch>) {
    let mut store = FolderStore::open(folder, INSTANCE).expect("it opens").store;
    for batch in batches {
        store.write(vec![batch]).expect("it is written");
    }
}

/// One write: how many entries are cut, how many come, and a vote.
#[derive(Clone, Debug)]
struct PlainWrite {
    cut: u64,
    appended: u64,
    vote: bool,
}

fn plain_write() -> impl Strategy<Value = PlainWrite> {
    (0_u64..3, 0_u64..4, any::<bool>()).prop_map(|(cut, appended, vote)| PlainWrite {
        cut,
        appended,
        vote,
    })
}

/// Makes the batch, and does the same to a plain list.
fn step(naive: &mut SavedState, number: u64, write: &PlainWrite) -> WriteBatch {
    let mut batch = WriteBatch::default();
    if write.vote {
        naive.hard = hard(number + 1);
        batch.hard = Some(hard(number + 1));
    }
    if write.cut > 0 {
        let kept = naive.entries.len().saturating_sub(write.cut as usize);
        naive.entries.truncate(kept);
        batch.cut_from = Some(kept as u64 + 1);
    }
    for _ in 0..write.appended {
        let index = naive.entries.len() as u64 + 1;
        batch.entries.push(entry(number + 1, index));
        naive.entries.push(entry(number + 1, index));
    }
    batch
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // The process is killed or the power fails in the middle of a write.
    // Whatever byte the file ends at, the folder must open with exactly the
    // writes that were synced, as a plain list holds them.
    #[test]
    fn a_torn_tail_is_cut_at_every_byte(writes in vec(plain_write(), 1..5)) {
        let folder = tempdir().expect("a folder");
        let log = folder.path().join("log");
        let mut opened = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
        let mut naive = SavedState::default();
        let mut held = vec![(fs::read(&log).expect("a log").len(), naive.clone())];
        for (number, write) in writes.iter().enumerate() {
            let batch = step(&mut naive, number as u64, write);
            if batch.is_empty() {
                continue;
            }
            opened.store.write(vec![batch]).expect("it is written");
            held.push((fs::read(&log).expect("a log").len(), naive.clone()));
        }
        drop(opened);
        let whole = fs::read(&log).expect("a log");
        for end in held[0].0..=whole.len() {
            fs::write(&log, &whole[..end]).expect("a torn log");
            let synced = held.iter().rev().find(|(length, _)| *length <= end);
            let saved = open(folder.path()).expect("a torn log opens");
            prop_assert_eq!(&saved, &synced.expect("the head").1);
            let cut = fs::read(&log).expect("a log").len();
            prop_assert_eq!(cut, synced.expect("the head").0);
        }
    }
}

// A disk gives back a wrong byte in an entry that was acknowledged, with
// others behind it. Going on without them would lose accepted changes, so
// the instance does not start and says what to do.
#[test]
fn a_damaged_middle_is_refused() {
    let folder = tempdir().expect("a folder");
    filled(folder.path(), vec![entries(1..=3)]);
    let log = folder.path().join("log");
    let spoilt_at = fs::read(&log).expect("a log").len() - 1;
    filled(folder.path(), vec![entries(4..=5)]);
    let mut bytes = fs::read(&log).expect("a log");
    bytes[spoilt_at] ^= 1;
    fs::write(&log, bytes).expect("a spoilt log");
    let refused = open(folder.path()).expect_err("it is damaged");
    assert!(matches!(refused, StoreError::Damaged { file: "log", .. }));
    assert!(refused
        .to_string()
        .contains("add this instance as a new member"));
}

// The kernel grew the file before the power failed, so the last record is
// there as zeros. It was never acknowledged: the log ends before it.
#[test]
fn a_tail_of_zeros_is_cut() {
    let folder = tempdir().expect("a folder");
    filled(folder.path(), vec![entries(1..=3)]);
    let log = folder.path().join("log");
    let mut bytes = fs::read(&log).expect("a log");
    bytes.extend([0; 500]);
    fs::write(&log, bytes).expect("a longer log");
    assert_eq!(open(folder.path()).expect("it opens").entries.len(), 3);
}

// An operator copies one instance's settings to another and leaves the data
// folder in them, or mounts the wrong disk. Two instances with one identity
// would count twice in a majority.
#[test]
fn a_folder_of_another_instance_is_refused() {
    let folder = tempdir().expect("a folder");
    filled(folder.path(), vec![entries(1..=3)]);
    let refused = FolderStore::open(folder.path(), "control-2").expect_err("not its own");
    let StoreError::OtherInstance { found, expected } = refused else {
        panic!("{refused}");
    };
    assert_eq!((&*found, &*expected), (INSTANCE, "control-2"));
}

// A process is started twice on one folder. The second must not write into
// the log of the first.
#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempdir().expect("a folder");
    let first = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
    let refused = FolderStore::open(folder.path(), INSTANCE).expect_err("in use");
    assert!(matches!(refused, StoreError::InUse(_)));
    drop(first);
    open(folder.path()).expect("it is free again");
}

// Somebody removed single files of a folder, or restored some of them. What
// is left must not pass as the whole, nor as an empty folder.
#[test]
fn a_folder_with_missing_files_is_refused() {
    for missing in ["log", "identity", "snapshot"] {
        let folder = tempdir().expect("a folder");
        filled(
            folder.path(),
            vec![entries(1..=3), snapshot_at(3, Vec::new())],
        );
        fs::remove_file(folder.path().join(missing)).expect("it was there");
        let refused = open(folder.path()).expect_err(missing);
        assert!(
            matches!(refused, StoreError::Inconsistent { .. }),
            "{refused}"
        );
    }
}

// The log file of another folder stands in this one.
#[test]
fn a_log_of_another_folder_is_refused() {
    let folder = tempdir().expect("a folder");
    let other = tempdir().expect("a folder");
    filled(folder.path(), vec![entries(1..=3)]);
    filled(other.path(), vec![entries(1..=2)]);
    fs::copy(other.path().join("log"), folder.path().join("log")).expect("a copy");
    let refused = open(folder.path()).expect_err("another's");
    assert!(matches!(refused, StoreError::Inconsistent { .. }));
}

// The process dies after the new snapshot got its name and before the new
// log did. The old log beside it still holds everything.
#[test]
fn a_crash_between_snapshot_and_log_loses_nothing() {
    let folder = tempdir().expect("a folder");
    filled(folder.path(), vec![entries(1..=6)]);
    let log = folder.path().join("log");
    let old = fs::read(&log).expect("a log");
    filled(
        folder.path(),
        vec![snapshot_at(4, vec![entry(1, 5), entry(1, 6)])],
    );
    let after = open(folder.path()).expect("it opens");
    assert_eq!(after.entries, vec![entry(1, 5), entry(1, 6)]);
    fs::write(&log, old).expect("the old log");
    let between = open(folder.path()).expect("it opens");
    assert_eq!(between.snapshot.version, ConfigVersion::new(1, 4));
    assert_eq!(between.entries.len(), 6);
}

// The other members found that this folder lost what it had acknowledged.
// A restart must not give it its vote back.
#[test]
fn a_barred_folder_stays_barred() {
    let folder = tempdir().expect("a folder");
    let barred = HardState {
        barred: true,
        ..hard(2)
    };
    let batch = WriteBatch {
        hard: Some(barred),
        ..WriteBatch::default()
    };
    filled(folder.path(), vec![batch]);
    let refused = open(folder.path()).expect_err("it is barred");
    assert!(matches!(refused, StoreError::RolledBack));
}
