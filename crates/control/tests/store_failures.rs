//! Disks that fail, by a store that stands in for one.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

use cowslip_control::agreement_metrics::AgreementMetrics;
use cowslip_control::agreement_task;
use cowslip_control::agreement_task::AgreementHandle;
use cowslip_control::agreement_task::AgreementMessage;
use cowslip_control::control_settings::ControlSettings;
use cowslip_control::control_settings::MemberAddress;
use cowslip_control::folder_opener::FolderOpening;
use cowslip_control::folder_opener::FolderSource;
use cowslip_control::member_store::MemberStore;
use cowslip_control::member_store::StoreError;
use cowslip_control::store_thread;
use cowslip_core::agreement::AgreementMember;
use cowslip_core::agreement::HardState;
use cowslip_core::agreement::MemberIdentity;
use cowslip_core::agreement::ProcessStart;
use cowslip_core::agreement::ReopenedFolder;
use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::StateReplica;
use cowslip_core::agreement::WriteBatch;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ConfigChange;
use cowslip_core::tuning::TuningKey;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::messages::LeaderAnswer;

/// A disk that takes so many writes and is full then.
struct FullDisk {
    room: usize,
    writes: Arc<AtomicUsize>,
}

impl MemberStore for FullDisk {
    fn write(&mut self, _batches: Vec<WriteBatch>) -> Result<(), StoreError> {
        let before = self.writes.fetch_add(1, Ordering::SeqCst);
        if before < self.room {
            return Ok(());
        }
        Err(std::io::Error::from(std::io::ErrorKind::StorageFull).into())
    }
}

/// A folder on a full disk, which has room again after so many tries.
struct FullFolder {
    tries: AtomicUsize,
    full_for: usize,
}

impl FolderSource for FullFolder {
    fn open(&self) -> Result<FolderOpening, StoreError> {
        let before = self.tries.fetch_add(1, Ordering::SeqCst);
        if before < self.full_for {
            return Err(std::io::Error::from(std::io::ErrorKind::StorageFull).into());
        }
        Ok(FolderOpening {
            folder: ReopenedFolder {
                folder: 1,
                start: ProcessStart { count: 2, nonce: 2 },
                saved: SavedState::default(),
                seed: 2,
            },
            replaced: false,
            store: Box::new(FullDisk {
                room: usize::MAX,
                writes: Arc::default(),
            }),
        })
    }

    fn replaces_unusable(&self) -> bool {
        false
    }
}

/// A disk that says how many batches each write has, and waits to be let go.
struct SlowDisk {
    began: mpsc::Sender<usize>,
    go: mpsc::Receiver<()>,
}

impl MemberStore for SlowDisk {
    fn write(&mut self, batches: Vec<WriteBatch>) -> Result<(), StoreError> {
        self.began.send(batches.len()).expect("the test looks");
        self.go.recv().expect("the test lets go");
        Ok(())
    }
}

fn batch(sequence: u64) -> WriteBatch {
    WriteBatch {
        sequence,
        hard: Some(HardState::default()),
        ..WriteBatch::default()
    }
}

// A sync fails. The kernel may have dropped what it could not write, so a
// second sync would seem to work. Nothing may be written or reported as
// synced after the failure.
#[test]
fn nothing_is_written_after_a_failure() {
    let writes = Arc::new(AtomicUsize::new(0));
    let disk = FullDisk {
        room: 1,
        writes: Arc::clone(&writes),
    };
    let (reports, mut told) = unbounded_channel();
    let store = store_thread::spawn(Box::new(disk), reports).expect("a thread");
    store.write(batch(1));
    assert!(matches!(
        told.blocking_recv(),
        Some(ReplicaEvent::Persisted(1))
    ));
    store.write(batch(2));
    assert!(matches!(
        told.blocking_recv(),
        Some(ReplicaEvent::DiskFailed)
    ));
    store.write(batch(3));
    assert!(told.blocking_recv().is_none());
    assert_eq!(writes.load(Ordering::SeqCst), 2);
}

// Operators send a burst while a sync runs. What gathers meanwhile must
// share the next sync.
#[test]
fn a_burst_shares_a_sync() {
    let (began, begun) = mpsc::channel();
    let (let_go, go) = mpsc::channel();
    let disk = SlowDisk { began, go };
    let (reports, mut told) = unbounded_channel();
    let store = store_thread::spawn(Box::new(disk), reports).expect("a thread");
    store.write(batch(1));
    assert_eq!(begun.recv(), Ok(1));
    for sequence in 2..=100 {
        store.write(batch(sequence));
    }
    let_go.send(()).expect("the disk waits");
    assert_eq!(begun.recv(), Ok(99));
    let_go.send(()).expect("the disk waits");
    assert!(matches!(
        told.blocking_recv(),
        Some(ReplicaEvent::Persisted(1))
    ));
    assert!(matches!(
        told.blocking_recv(),
        Some(ReplicaEvent::Persisted(100))
    ));
}

// The disk of the only voter is full. The operator must hear that the
// change may have been accepted, never that it was; the next one must hear
// that nobody leads.
#[test]
fn a_change_on_a_full_disk_is_not_accepted() {
    actix_rt::System::new().block_on(async {
        let handle = spawn_on_full_disk(usize::MAX);
        let mut leader = handle.leader.clone();
        while !leader.borrow().is_leading() {
            leader.changed().await.expect("the task runs");
        }
        let first = ask(&handle.task, "first").await;
        assert_eq!(first, LeaderAnswer::Unknown);
        let second = ask(&handle.task, "second").await;
        assert_eq!(second, LeaderAnswer::Elsewhere(None));
    });
}

// Guards against an instance that runs on without a part in the agreement once
// its disk has been full, though there is room again.
#[test]
fn an_instance_whose_disk_was_full_takes_part_again() {
    actix_rt::System::new().block_on(async {
        let handle = spawn_on_full_disk(2);
        let mut leader = handle.leader.clone();
        while !leader.borrow().is_leading() {
            leader.changed().await.expect("the task runs");
        }
        assert_eq!(ask(&handle.task, "first").await, LeaderAnswer::Unknown);
        let again = async {
            while !leader.borrow().is_leading() {
                leader.changed().await.expect("the task runs");
            }
        };
        let again = actix_rt::time::timeout(Duration::from_secs(10), again).await;
        again.expect("it leads again");
        let second = ask(&handle.task, "second").await;
        assert!(matches!(second, LeaderAnswer::Here(_)), "{second:?}");
    });
}

/// The only voter, on a disk with room for the founding alone; the folder can
/// be opened again after so many tries.
fn spawn_on_full_disk(full_for: usize) -> AgreementHandle {
    let member = MemberAddress {
        instance: "control-1".into(),
        address: ([127, 0, 0, 1], 9).into(),
        vote: true,
    };
    let settings = ControlSettings {
        joining: None,
        node_live: None,
        instance: "control-1".into(),
        failure_domain: "one".into(),
        listen: member.address,
        admin_listen: member.address,
        data_folder: "unused".into(),
        members: vec![member],
        operator_key: AccessKey::new("test-operator"),
        system_key: AccessKey::new("test-system"),
    };
    let disk = Box::new(FullDisk {
        room: 1,
        writes: Arc::default(),
    });
    let folder = Arc::new(FullFolder {
        tries: AtomicUsize::new(0),
        full_for,
    });
    let (fanout, mut published) = tokio::sync::mpsc::channel(16);
    actix_rt::spawn(async move { while published.recv().await.is_some() {} });
    let member = lone_member(&settings);
    let metrics = AgreementMetrics::default();
    let handle =
        agreement_task::spawn_member(&settings, member, disk, folder, fanout, metrics);
    handle.expect("it starts")
}

fn lone_member(settings: &ControlSettings) -> StateReplica {
    let identity = MemberIdentity {
        instance: Arc::clone(&settings.instance),
        address: settings.address(),
        folder: 1,
        start: ProcessStart { count: 1, nonce: 1 },
    };
    let saved = SavedState::default();
    let founders = settings.founders();
    let member = AgreementMember::open(identity, founders, saved, Duration::ZERO, 1);
    StateReplica::new(member)
}

async fn ask(
    task: &tokio::sync::mpsc::Sender<AgreementMessage>,
    id: &str,
) -> LeaderAnswer<cowslip_core::change::ChangeOutcome> {
    let entry = ChangeEntry {
        request_id: id.into(),
        expected: None,
        at_ms: 0,
        change: ConfigChange::SetDefault {
            key: TuningKey::DeadlineMs,
            value: 500,
        },
    };
    let (reply, answer) = oneshot::channel();
    let sent = task
        .send(AgreementMessage::Change(Box::new(entry), reply))
        .await;
    sent.expect("the task runs");
    answer.await.expect("it answers")
}
