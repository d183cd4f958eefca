//! Changes of tens or hundreds of kilobytes: sizes of messages, of the log and of
//! what members hold in memory.

use std::sync::Arc;
use std::time::Duration;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::change::NumberedRevision;
use cowslip_core::config_delta::ConfigDelta;
use cowslip_core::config_digest::ConfigDigest;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::document::FleetDocument;

use crate::failures::others;
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
