//! Behavior on disk failures, with stores that simulate failing and slow disks.

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

/// A disk that is full after `capacity` writes.
struct FullDisk {
    capacity: usize,
    writes: Arc<AtomicUsize>,
}

impl MemberStore for FullDisk {
    fn write(&mut self, _batches: Vec<WriteBatch>) -> Result<(), StoreError> {
        let before = self.writes.fetch_add(1, Ordering::SeqCst);
        if before < self.capacity {
            return Ok(());
        }
        Err(std::io::Error::from(std::io::ErrorKind::StorageFull).into())
    }
}

/// A folder on a full disk that has free space again after `full_for` attempts.
struct FullFolder {
    attempts: AtomicUsize,
    full_for: usize,
}

impl FolderSource for FullFolder {
    fn open(&self) -> Result<FolderOpening, StoreError> {
        let before = self.attempts.fetch_add(1, Ordering::SeqCst);
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
                capacity: usize::MAX,
                writes: Arc::default(),
            }),
        })
    }

    fn replaces_unusable(&self) -> bool {
        false
    }
}

/// A disk that reports the number of batches in each write, then waits until the
/// test lets the write finish.
struct SlowDisk {
    started: mpsc::Sender<usize>,
    finish: mpsc::Receiver<()>,
}

impl MemberStore for SlowDisk {
    fn write(&mut self, batches: Vec<WriteBatch>) -> Result<(), StoreError> {
        self.started.send(batches.len()).expect("the test receives");
        self.finish.recv().expect("the test lets the write finish");
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

// Guards against writes after a failed sync. The kernel may have dropped pages
// that it could not write, so a second sync could succeed although data is
// lost.
#[test]
fn nothing_is_written_after_a_failed_sync() {
    let writes = Arc::new(AtomicUsize::new(0));
    let disk = FullDisk {
        capacity: 1,
        writes: Arc::clone(&writes),
    };
    let (reports, mut received) = unbounded_channel();
    let store = store_thread::spawn(Box::new(disk), reports).expect("a thread");
    store.write(batch(1));
    assert!(matches!(
        received.blocking_recv(),
        Some(ReplicaEvent::Persisted(1))
    ));
    store.write(batch(2));
    assert!(matches!(
        received.blocking_recv(),
        Some(ReplicaEvent::DiskFailed)
    ));
    store.write(batch(3));
    assert!(received.blocking_recv().is_none());
    assert_eq!(writes.load(Ordering::SeqCst), 2);
}

// Guards against a sync for each change: all batches that operators' changes
// queue during a sync must share the next sync.
#[test]
fn batches_queued_during_a_sync_share_the_next_sync() {
    let (started, starts) = mpsc::channel();
    let (let_finish, finish) = mpsc::channel();
    let disk = SlowDisk { started, finish };
    let (reports, mut received) = unbounded_channel();
    let store = store_thread::spawn(Box::new(disk), reports).expect("a thread");
    store.write(batch(1));
    assert_eq!(starts.recv(), Ok(1));
    for sequence in 2..=100 {
        store.write(batch(sequence));
    }
    let_finish.send(()).expect("the disk waits");
    assert_eq!(starts.recv(), Ok(99));
    let_finish.send(()).expect("the disk waits");
    assert!(matches!(
        received.blocking_recv(),
        Some(ReplicaEvent::Persisted(1))
    ));
    assert!(matches!(
        received.blocking_recv(),
        Some(ReplicaEvent::Persisted(100))
    ));
}

// Guards against a change that is answered as accepted although the disk of the
// only voter was full. Its outcome is unknown; the answer to the next change
// must be that no instance leads.
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
        assert_eq!(second, LeaderAnswer::NotLeader(None));
    });
}

// Guards against an instance that keeps running without taking part in the
// agreement after its disk was full, although the disk has free space again.
#[test]
fn an_instance_rejoins_after_its_disk_was_full() {
    actix_rt::System::new().block_on(async {
        let handle = spawn_on_full_disk(2);
        let mut leader = handle.leader.clone();
        while !leader.borrow().is_leading() {
            leader.changed().await.expect("the task runs");
        }
        assert_eq!(ask(&handle.task, "first").await, LeaderAnswer::Unknown);
        let leads_again = async {
            while !leader.borrow().is_leading() {
                leader.changed().await.expect("the task runs");
            }
        };
        let leads_again =
            actix_rt::time::timeout(Duration::from_secs(10), leads_again).await;
        leads_again.expect("it leads again");
        let second = ask(&handle.task, "second").await;
        assert!(matches!(second, LeaderAnswer::Answered(_)), "{second:?}");
    });
}

/// Starts the only voter, on a disk that is full after the first write, which
/// creates the log. The folder can be reopened after `full_for` failed attempts.
fn spawn_on_full_disk(full_for: usize) -> AgreementHandle {
    let member = MemberAddress {
        instance: "control-1".into(),
        address: ([127, 0, 0, 1], 9).into(),
        vote: true,
    };
    let settings = ControlSettings {
        joining: None,
        node_live: None,
        stop_within: None,
        failure_domains: Vec::new(),
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
        capacity: 1,
        writes: Arc::default(),
    });
    let folder = Arc::new(FullFolder {
        attempts: AtomicUsize::new(0),
        full_for,
    });
    let (fanout, mut published) = tokio::sync::mpsc::channel(16);
    actix_rt::spawn(async move { while published.recv().await.is_some() {} });
    let member = single_member(&settings);
    let metrics = AgreementMetrics::default();
    let handle =
        agreement_task::spawn_member(&settings, member, disk, folder, fanout, metrics);
    handle.expect("it starts")
}

fn single_member(settings: &ControlSettings) -> StateReplica {
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
