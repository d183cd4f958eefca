//! The data folder: compared with an in-memory model, truncated at every byte,
//! and damaged.

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
    LogEntry::new(ConfigVersion::new(term, index), EntryBody::Blank)
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

fn write_batches(folder: &Path, batches: Vec<WriteBatch>) {
    let mut store = FolderStore::open(folder, INSTANCE).expect("it opens").store;
    for batch in batches {
        store.write(vec![batch]).expect("the write succeeds");
    }
}

/// A generated write: entries to truncate, entries to append, and whether the
/// vote changes.
#[derive(Clone, Debug)]
struct ModelWrite {
    cut: u64,
    appended: u64,
    vote: bool,
}

fn model_write() -> impl Strategy<Value = ModelWrite> {
    (0_u64..3, 0_u64..4, any::<bool>()).prop_map(|(cut, appended, vote)| ModelWrite {
        cut,
        appended,
        vote,
    })
}

/// Creates the batch for a write and applies the same write to the model.
fn apply_write(model: &mut SavedState, number: u64, write: &ModelWrite) -> WriteBatch {
    let mut batch = WriteBatch::default();
    if write.vote {
        model.hard = hard(number + 1);
        batch.hard = Some(hard(number + 1));
    }
    if write.cut > 0 {
        let kept = model.entries.len().saturating_sub(write.cut as usize);
        model.entries.truncate(kept);
        batch.cut_from = Some(kept as u64 + 1);
    }
    for _ in 0..write.appended {
        let index = model.entries.len() as u64 + 1;
        batch.entries.push(entry(number + 1, index));
        model.entries.push(entry(number + 1, index));
    }
    batch
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against lost or partial writes after a crash in the middle of a
    // write. Whatever byte the file ends at, the folder must open with exactly
    // the writes that were synced, as in the model.
    #[test]
    fn a_log_torn_at_any_byte_is_truncated(writes in vec(model_write(), 1..5)) {
        let folder = tempdir().expect("a folder");
        let log = folder.path().join("log");
        let mut opened = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
        let mut model = SavedState::default();
        let mut states = vec![(fs::read(&log).expect("a log").len(), model.clone())];
        for (number, write) in writes.iter().enumerate() {
            let batch = apply_write(&mut model, number as u64, write);
            if batch.is_empty() {
                continue;
            }
            opened.store.write(vec![batch]).expect("the write succeeds");
            states.push((fs::read(&log).expect("a log").len(), model.clone()));
        }
        drop(opened);
        let whole = fs::read(&log).expect("a log");
        for end in states[0].0..=whole.len() {
            fs::write(&log, &whole[..end]).expect("a torn log");
            let synced = states.iter().rev().find(|(length, _)| *length <= end);
            let saved = open(folder.path()).expect("a torn log opens");
            prop_assert_eq!(&saved, &synced.expect("the head").1);
            let cut = fs::read(&log).expect("a log").len();
            prop_assert_eq!(cut, synced.expect("the head").0);
        }
    }
}

// Guards against dropping accepted changes when the disk returns a wrong byte in
// an acknowledged entry that others follow. The folder must be refused with an
// error that says what to do.
#[test]
fn a_log_damaged_in_the_middle_is_refused() {
    let folder = tempdir().expect("a folder");
    write_batches(folder.path(), vec![entries(1..=3)]);
    let log = folder.path().join("log");
    let damaged_at = fs::read(&log).expect("a log").len() - 1;
    write_batches(folder.path(), vec![entries(4..=5)]);
    let mut bytes = fs::read(&log).expect("a log");
    bytes[damaged_at] ^= 1;
    fs::write(&log, bytes).expect("a damaged log");
    let refused = open(folder.path()).expect_err("it is damaged");
    assert!(matches!(refused, StoreError::Damaged { file: "log", .. }));
    assert!(refused
        .to_string()
        .contains("add this instance as a new member"));
}

// Guards against refusing a folder whose log ends in zeros, because the power
// failed after the kernel had extended the file. The record was never
// acknowledged, so the log ends before it.
#[test]
fn a_tail_of_zeros_is_truncated() {
    let folder = tempdir().expect("a folder");
    write_batches(folder.path(), vec![entries(1..=3)]);
    let log = folder.path().join("log");
    let mut bytes = fs::read(&log).expect("a log");
    bytes.extend([0; 500]);
    fs::write(&log, bytes).expect("a longer log");
    assert_eq!(open(folder.path()).expect("it opens").entries.len(), 3);
}

// Guards against two instances with one identity, which would count twice in a
// majority: an operator copies settings without changing the data folder, or
// mounts the wrong disk.
#[test]
fn a_folder_of_another_instance_is_refused() {
    let folder = tempdir().expect("a folder");
    write_batches(folder.path(), vec![entries(1..=3)]);
    let refused = FolderStore::open(folder.path(), "control-2").expect_err("not its own");
    let StoreError::OtherInstance { found, expected } = refused else {
        panic!("{refused}");
    };
    assert_eq!((&*found, &*expected), (INSTANCE, "control-2"));
}

// Guards against two processes that write to the log of one folder.
#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempdir().expect("a folder");
    let first = FolderStore::open(folder.path(), INSTANCE).expect("it opens");
    let refused = FolderStore::open(folder.path(), INSTANCE).expect_err("in use");
    assert!(matches!(refused, StoreError::InUse(_)));
    drop(first);
    open(folder.path()).expect("it is free again");
}

// Guards against using a folder with missing files, as complete or as empty,
// after somebody removed or restored single files.
#[test]
fn a_folder_with_missing_files_is_refused() {
    for missing in ["log", "identity", "snapshot"] {
        let folder = tempdir().expect("a folder");
        write_batches(
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

// Guards against using a log file that was copied from another folder.
#[test]
fn a_log_of_another_folder_is_refused() {
    let folder = tempdir().expect("a folder");
    let other = tempdir().expect("a folder");
    write_batches(folder.path(), vec![entries(1..=3)]);
    write_batches(other.path(), vec![entries(1..=2)]);
    fs::copy(other.path().join("log"), folder.path().join("log")).expect("a copy");
    let refused = open(folder.path()).expect_err("another's");
    assert!(matches!(refused, StoreError::Inconsistent { .. }));
}

// Guards against losing entries when the process crashes after the new snapshot
// is renamed into place and before the new log is. The old log still holds all
// entries.
#[test]
fn a_crash_between_snapshot_and_log_loses_nothing() {
    let folder = tempdir().expect("a folder");
    write_batches(folder.path(), vec![entries(1..=6)]);
    let log = folder.path().join("log");
    let old = fs::read(&log).expect("a log");
    write_batches(
        folder.path(),
        vec![snapshot_at(4, vec![entry(1, 5), entry(1, 6)])],
    );
    let after = open(folder.path()).expect("it opens");
    assert_eq!(after.entries, vec![entry(1, 5), entry(1, 6)]);
    fs::write(&log, old).expect("the old log");
    let reopened = open(folder.path()).expect("it opens");
    assert_eq!(reopened.snapshot.version, ConfigVersion::new(1, 4));
    assert_eq!(reopened.entries.len(), 6);
}

// Guards against an instance that votes again after a restart although the other
// members found that its folder had lost acknowledged entries.
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
    write_batches(folder.path(), vec![batch]);
    let refused = open(folder.path()).expect_err("it is barred");
    assert!(matches!(refused, StoreError::RolledBack));
}

// Guards against a disk that stays full: a snapshot that did not fit is left behind, and
// takes the space that the log needs.
#[test]
fn what_is_left_of_an_unfinished_snapshot_is_removed() {
    let folder = tempdir().expect("a folder");
    write_batches(folder.path(), vec![entries(1..=3)]);
    let names = ["snapshot.new", "log.new", "identity.new"];
    for name in names {
        fs::write(folder.path().join(name), [7; 500]).expect("a file");
    }
    assert_eq!(open(folder.path()).expect("it opens").entries.len(), 3);
    for name in names {
        assert!(!folder.path().join(name).exists(), "{name} is left");
    }
}
