//! Changes of tens or hundreds of kilobytes: sizes of messages, of the log and of
//! what members hold in memory.

use std::sync::Arc;
use std::time::Duration;

use cowslip_core::agreement::EntryBody;
use cowslip_core::agreement::LogEntry;
use cowslip_core::agreement::LogSize;
use cowslip_core::agreement::HELD_BYTES_MAX;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::NumberedRevision;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;
use cowslip_core::version::ConfigVersion;

use crate::failures::others;
use crate::fleet::address;
use crate::fleet::Fleet;

/// Largest message that an instance accepts, in bytes.
const MESSAGE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The document of revision `number`, with a label of `bytes` bytes.
fn labeled_document(number: u64, bytes: usize) -> FleetDocument {
    let mut document = FleetDocument::default();
    if number > 0 {
        let label = format!("{number}-{}", "x".repeat(bytes));
        document.labels.insert("note".into(), label.into());
    }
    document
}

/// A change of somewhat more than `bytes` bytes: revision `number`, on top of the one
/// before.
pub fn heavy_entry(number: u64, bytes: usize) -> ChangeEntry {
    let snapshot = |number| ConfigSnapshot {
        document: Arc::new(labeled_document(number, bytes)),
        ..ConfigSnapshot::default()
    };
    let (before, after) = (snapshot(number - 1), snapshot(number));
    let delta = ConfigDelta::between(&before, &after, ConfigDigest::default());
    let revision = NumberedRevision {
        number,
        builds_on: number - 1,
        delta: delta.expect("labels are part of a delta"),
    };
    ChangeEntry {
        request_id: format!("revision-{number}").into(),
        expected: None,
        at_ms: 0,
        change: ConfigChange::Revise(Box::new(revision)),
    }
}

/// Commits the revisions after `from` up to `to`, each of `bytes` bytes.
pub fn commit_revisions(fleet: &mut Fleet, from: u64, to: u64, bytes: usize) {
    for number in from + 1..=to {
        let outcome = fleet.commit_change(&heavy_entry(number, bytes));
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    }
}

// Guards against a member that never catches up: it missed so many heavy changes that
// a message with all of them is larger than any instance accepts.
#[test]
fn a_member_that_missed_heavy_changes_gets_them_in_bounded_messages() {
    let mut fleet = Fleet::new(3, 0, 21);
    commit_revisions(&mut fleet, 0, 1, 100_000);
    let leader = fleet.wait_for_leader();
    let away = others(&fleet, leader)[0];
    fleet.crash(away);
    commit_revisions(&mut fleet, 1, 200, 100_000);
    fleet.start(away);
    fleet.run(Duration::from_secs(3));
    let leader = fleet.wait_for_leader();
    assert!(fleet.state(away) == fleet.state(leader));
    assert!(
        fleet.largest_message < MESSAGE_BYTES_MAX,
        "a message of {} bytes was sent",
        fleet.largest_message
    );
}

// Guards against a leader whose memory fills with messages to a member that is away: each
// snapshot gave up entries that were under way to it, and more were sent.
#[test]
fn a_member_that_is_away_is_sent_few_heavy_changes() {
    // A snapshot is taken after each of them.
    const BYTES: usize = 4_500_000;
    let mut fleet = Fleet::new(3, 0, 26);
    commit_revisions(&mut fleet, 0, 1, BYTES);
    let leader = fleet.wait_for_leader();
    let away = others(&fleet, leader)[0];
    fleet.crash(away);
    fleet.sent_bytes.clear();
    commit_revisions(&mut fleet, 1, 20, BYTES);
    let sent = fleet.sent_bytes.get(&address(away)).copied();
    let sent = sent.unwrap_or_default();
    assert!(sent < 5 * BYTES, "{sent} bytes were sent to it");
    fleet.start(away);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.state(away).revision(), 20);
    fleet.check_convergence(3);
}

/// Largest log of an instance whose state is small, in bytes: what is kept of it when a
/// snapshot is taken, what is added before the next one, and what may wait to be
/// committed.
const LOG_BYTES_MAX: usize = 13 * 1024 * 1024;

fn log_size(fleet: &Fleet, at: usize) -> LogSize {
    let member = fleet.instances[at].member.as_ref();
    member.expect("it runs").agreement().log_size()
}

// Guards against control instances that need more memory with each change, and more
// than their machines have for a restart: the log was compacted by the number of its
// entries alone.
#[test]
fn the_log_is_bounded_in_bytes_whatever_changes_weigh() {
    for (changes, bytes) in [(641, 130_000), (60, 1_400_000), (12, 7_000_000)] {
        let mut fleet = Fleet::new(3, 0, 22);
        commit_revisions(&mut fleet, 0, changes, bytes);
        for at in 0..3 {
            let log = log_size(&fleet, at).bytes;
            let limit = LOG_BYTES_MAX + 2 * bytes;
            assert!(log < limit, "{changes} changes make a log of {log} bytes");
            let mut disk = 0;
            for entry in &fleet.instances[at].disk.entries {
                disk += entry.encoded_bytes();
            }
            assert!(disk < limit, "{changes} changes take {disk} bytes on disk");
        }
    }
}

/// Crashes all instances, and gives them as many revisions in their logs as an earlier
/// build without snapshots would have.
fn restart_with_long_logs(fleet: &mut Fleet, lengths: [u64; 3], bytes: usize) {
    let leader = fleet.wait_for_leader();
    let first = fleet.instances[leader].disk.clone();
    let end = first.entries.last().expect("it has entries").version;
    for (at, length) in lengths.into_iter().enumerate() {
        fleet.crash(at);
        let disk = &mut fleet.instances[at].disk;
        disk.hard = first.hard.clone();
        disk.entries = first.entries.clone();
        for number in 1..=length {
            disk.entries.push(LogEntry::new(
                ConfigVersion::new(end.term, end.index + number),
                EntryBody::Change(Arc::new(heavy_entry(number, bytes))),
            ));
        }
    }
    fleet.reads_entries = true;
    for at in 0..3 {
        fleet.start(at);
    }
}

// Guards against a control instance that cannot start because its log, written before
// logs were bounded, is larger than its memory.
#[test]
fn a_log_larger_than_memory_is_applied_and_compacted() {
    let mut fleet = Fleet::new(3, 0, 23);
    restart_with_long_logs(&mut fleet, [300, 300, 300], 130_000);
    for _ in 0..300 {
        fleet.run(Duration::from_millis(10));
        for at in 0..3 {
            let held = log_size(&fleet, at).held_bytes;
            assert!(held <= HELD_BYTES_MAX, "{held} bytes are held");
        }
        for holder in fleet.lease_holders() {
            let applied = fleet.state(holder).revision();
            assert_eq!(applied, 300, "it leads by an old state");
        }
    }
    let leader = fleet.wait_for_leader();
    for at in 0..3 {
        assert_eq!(fleet.state(at).revision(), 300);
        assert!(fleet.state(at) == fleet.state(leader));
        assert!(log_size(&fleet, at).bytes < LOG_BYTES_MAX);
    }
    commit_revisions(&mut fleet, 300, 301, 130_000);
    fleet.check_convergence(3);
}

// Guards against a member that must take a long log before anything is committed, and
// holds all of it: the other copy of the log is lost with its disk.
#[test]
fn a_member_far_behind_takes_a_long_log_within_its_memory() {
    let mut fleet = Fleet::new(3, 0, 24);
    restart_with_long_logs(&mut fleet, [300, 20, 0], 130_000);
    fleet.wipe(2);
    let largest_message = fleet.largest_message;
    for _ in 0..1_000 {
        fleet.run(Duration::from_millis(10));
        for at in 0..2 {
            let held = log_size(&fleet, at).held_bytes;
            // Entries are released once they are synced.
            assert!(held <= 3 * HELD_BYTES_MAX, "{held} bytes are held");
        }
    }
    assert!(fleet.largest_message.max(largest_message) < MESSAGE_BYTES_MAX / 8);
    let leader = fleet.wait_for_leader();
    assert_eq!(fleet.state(leader).revision(), 300);
    assert!(fleet.state(0) == fleet.state(1));
}

// Guards against a member that stays in its place although it cannot read what it has
// acknowledged: the folder is reopened, and others lead meanwhile.
#[test]
fn a_member_whose_folder_is_unreadable_steps_down_until_it_is_reopened() {
    let mut fleet = Fleet::new(3, 0, 25);
    fleet.instances[0].archive.set_broken(true);
    restart_with_long_logs(&mut fleet, [300, 300, 300], 130_000);
    fleet.run(Duration::from_secs(5));
    assert_ne!(fleet.wait_for_leader(), 0);
    assert_eq!(fleet.state(0).revision(), 0);
    fleet.instances[0].archive.set_broken(false);
    fleet.reopen(0);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.state(0).revision(), 300);
    fleet.check_convergence(3);
}
