//! Folders that cannot be used any more.

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

/// A folder that holds this term and vote; returns its number.
fn folder_with(path: &Path, hard: HardState) -> u64 {
    let mut opening = opener(path, false).open().expect("an empty folder");
    let batch = WriteBatch {
        sequence: 1,
        hard: Some(hard),
        ..WriteBatch::default()
    };
    opening.store.write(vec![batch]).expect("it is written");
    opening.folder.folder
}

fn barred() -> HardState {
    HardState {
        term: 3,
        voted_for: None,
        barred: true,
    }
}

// Guards against an instance that keeps its vote for good with a folder that
// was rolled back, and so takes no part while nobody can take its place.
#[test]
fn a_rolled_back_folder_gives_way_to_an_empty_one() {
    let folder = tempfile::tempdir().expect("a folder");
    let before = folder_with(folder.path(), barred());
    let opening = opener(folder.path(), true).open().expect("an empty one");
    assert!(opening.replaced);
    assert_ne!(opening.folder.folder, before);
    assert_eq!(opening.folder.saved.hard, HardState::default());
    drop(opening);
    for name in ["identity.spoilt", "log.spoilt"] {
        assert!(folder.path().join(name).exists(), "{name}");
    }
    let again = opener(folder.path(), true).open().expect("the same one");
    assert!(!again.replaced);
    assert_eq!(again.folder.start.count, 2);
}

// Guards against a folder that stays unusable because a crash came between the
// steps of setting it aside.
#[test]
fn a_folder_half_set_aside_is_set_aside_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    folder_with(folder.path(), barred());
    fs::remove_file(folder.path().join("identity")).expect("a file");
    let opening = opener(folder.path(), true).open().expect("an empty one");
    assert_eq!(opening.folder.saved.hard, HardState::default());
}

// Guards against two stores that write to one folder: the disk hangs in a write
// while the folder is left.
#[test]
fn a_folder_is_opened_again_only_once_the_store_before_has_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let source = Arc::new(opener(folder.path(), true));
    let (hanging, before) = unbounded_channel::<ReplicaEvent>();
    let (opened, mut openings) = unbounded_channel();
    folder_opener::spawn(source, before, opened).expect("a thread");
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(openings.try_recv().is_err());
    drop(hanging);
    assert!(openings.blocking_recv().is_some());
}

// Guards against the loss of a folder that operators see to themselves.
#[test]
fn a_rolled_back_folder_is_left_to_operators_who_list_the_members() {
    let folder = tempfile::tempdir().expect("a folder");
    folder_with(folder.path(), barred());
    let opened = opener(folder.path(), false).open();
    assert!(matches!(opened.err(), Some(StoreError::RolledBack)));
    assert!(folder.path().join("identity").exists());
}
