//! Data folders that have become unusable.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::unbounded_channel;

use cowslip_control::folder_opener;
use cowslip_control::folder_opener::FolderOpener;
use cowslip_control::folder_opener::FolderSource;
use cowslip_control::member_store::StoreError;
use cowslip_core::agreement::HardState;
use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::agreement::WriteBatch;

fn opener(path: &Path, replaces_unusable: bool) -> FolderOpener {
    FolderOpener {
        path: path.to_owned(),
        instance: "control-1".into(),
        replaces_unusable,
    }
}

/// Creates a folder that holds `hard`; returns the ID of the folder.
fn create_folder(path: &Path, hard: HardState) -> u64 {
    let mut opening = opener(path, false).open().expect("an empty folder");
    let batch = WriteBatch {
        sequence: 1,
        hard: Some(hard),
        ..WriteBatch::default()
    };
    opening
        .store
        .write(vec![batch])
        .expect("the write succeeds");
    opening.folder.folder
}

fn barred() -> HardState {
    HardState {
        term: 3,
        voted_for: None,
        barred: true,
    }
}

// Guards against an instance whose folder was rolled back and that remains a
// voter for good: it takes no part in the agreement, and no other instance can
// replace it.
#[test]
fn a_rolled_back_folder_is_replaced_by_an_empty_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let old_folder = create_folder(folder.path(), barred());
    let opening = opener(folder.path(), true).open().expect("an empty one");
    assert!(opening.replaced);
    assert_ne!(opening.folder.folder, old_folder);
    assert_eq!(opening.folder.saved.hard, HardState::default());
    drop(opening);
    for name in ["identity.spoilt", "log.spoilt"] {
        assert!(folder.path().join(name).exists(), "{name}");
    }
    let reopened = opener(folder.path(), true).open().expect("the same one");
    assert!(!reopened.replaced);
    assert_eq!(reopened.folder.start.count, 2);
}

// Guards against a folder that stays unusable because the process crashed while
// the folder was being set aside.
#[test]
fn setting_a_folder_aside_completes_after_a_crash() {
    let folder = tempfile::tempdir().expect("a folder");
    create_folder(folder.path(), barred());
    fs::remove_file(folder.path().join("identity")).expect("a file");
    let opening = opener(folder.path(), true).open().expect("an empty one");
    assert_eq!(opening.folder.saved.hard, HardState::default());
}

// Guards against two stores that write to one folder, because the previous store
// still hangs in a write when the folder is reopened.
#[test]
fn a_folder_is_reopened_only_after_the_previous_store_has_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let source = Arc::new(opener(folder.path(), true));
    let (previous_store, previous_reports) = unbounded_channel::<ReplicaEvent>();
    let (opened, mut openings) = unbounded_channel();
    folder_opener::spawn(source, previous_reports, opened).expect("a thread");
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(openings.try_recv().is_err());
    drop(previous_store);
    assert!(openings.blocking_recv().is_some());
}

// Guards against setting aside a folder in a fleet whose members are listed by
// operators, who replace members themselves.
#[test]
fn a_rolled_back_folder_is_kept_if_operators_list_the_members() {
    let folder = tempfile::tempdir().expect("a folder");
    create_folder(folder.path(), barred());
    let opened = opener(folder.path(), false).open();
    assert!(matches!(opened.err(), Some(StoreError::RolledBack)));
    assert!(folder.path().join("identity").exists());
}
