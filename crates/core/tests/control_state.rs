//! The replicated state under concurrent and resent changes of operators.

use std::sync::Arc;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ControlState;
use cowslip_core::document::ExceptionEntry;
use cowslip_core::document::ExceptionScope;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;

fn entry(id: &str, expected: Option<ConfigVersion>, value: u64) -> ChangeEntry {
    ChangeEntry {
        request_id: id.into(),
        expected,
        at_ms: 0,
        change: ConfigChange::SetDefault {
            key: TuningKey::DeadlineMs,
            value,
        },
    }
}

fn at(index: u64) -> ConfigVersion {
    ConfigVersion::new(1, index)
}

// Two operators change the same version at once. One change must win and the
// other must be answered with the winner's id, or both operators believe that
// their own value is in force.
#[test]
fn one_of_two_concurrent_changes_wins() {
    let mut state = ControlState::default();
    let zero = Some(ConfigVersion::ZERO);
    let first = state.apply(at(1), &entry("anna", zero, 100));
    let second = state.apply(at(2), &entry("beatriz", zero, 200));
    assert_eq!(first, ChangeOutcome::Accepted { version: at(1) });
    let winner: Arc<str> = "anna".into();
    let current = at(1);
    assert_eq!(second, ChangeOutcome::Conflict { current, winner });
    let document = &state.snapshot().document;
    assert_eq!(document.defaults.get(TuningKey::DeadlineMs), 100);
}

// The answer to a change is lost and the operator resends the change. If it
// were accepted again, it would undo another change made in between.
#[test]
fn a_resend_gets_the_first_answer() {
    let mut state = ControlState::default();
    let first = state.apply(at(1), &entry("anna", None, 100));
    state.apply(at(2), &entry("beatriz", None, 200));
    let again = state.apply(at(3), &entry("anna", None, 100));
    assert_eq!(first, again);
    assert_eq!(state.snapshot().version, at(2));
    let document = &state.snapshot().document;
    assert_eq!(document.defaults.get(TuningKey::DeadlineMs), 200);
}

// An exception without a written reason is refused and changes nothing, not even
// the version.
#[test]
fn an_exception_needs_a_reason() {
    let mut state = ControlState::default();
    let change = ConfigChange::AddException(ExceptionEntry {
        id: "quiet".into(),
        scope: ExceptionScope::default(),
        key: TuningKey::DeadlineMs,
        value: 100,
        reason: "  ".to_owned(),
    });
    let entry = ChangeEntry {
        request_id: "anna".into(),
        expected: None,
        at_ms: 0,
        change,
    };
    let ChangeOutcome::Invalid { faults } = state.apply(at(1), &entry) else {
        panic!("a blank reason was accepted");
    };
    assert_eq!(faults[0].path, "exceptions[0].reason");
    assert_eq!(state.snapshot().version, ConfigVersion::ZERO);
}
