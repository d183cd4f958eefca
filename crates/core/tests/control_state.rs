//! The replicated state under concurrent and resent changes of operators.

use std::sync::Arc;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ControlState;
use cowslip_core::document::ExceptionEntry;
use cowslip_core::document::ExceptionScope;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::encoded_size;
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

/// Most bytes of the reasons that the state keeps for refused changes, as stored.
const REASON_BYTES_MAX: usize = 2 * 1024 * 1024;

/// A change that is refused with a fault for each of a thousand routes.
fn refused_entry(number: u64) -> ChangeEntry {
    let mut document = FleetDocument::default();
    for route in 0..1_000 {
        document.routes.push(Arc::new(RouteSpec {
            path: format!("/route-{route}").into(),
            service: "unknown".into(),
            ..RouteSpec::default()
        }));
    }
    ChangeEntry {
        change: ConfigChange::Apply(document),
        ..entry(&format!("refused-{number}"), None, 0)
    }
}

// Guards against a state that grows with each refused change, whose answer lists all
// faults of a large document: a control instance could no longer hold or send it.
#[test]
fn answers_to_refused_changes_are_bounded_in_bytes() {
    let mut state = ControlState::default();
    let mut outcomes = Vec::new();
    for number in 0..100 {
        outcomes.push(state.apply(at(number), &refused_entry(number)));
    }
    let bytes = encoded_size::of(&state);
    assert!(bytes < REASON_BYTES_MAX, "the state has {bytes} bytes");
    // A resend is refused again: the newest with all reasons, the oldest without.
    let first = state.apply(at(200), &refused_entry(0));
    assert!(matches!(first, ChangeOutcome::Invalid { .. }));
    let last = state.apply(at(201), &refused_entry(99));
    assert_eq!(last, outcomes[99]);
    // A member that restores the state goes on like one that applied all entries.
    let stored = rmp_serde::to_vec_named(&state).expect("it is encoded");
    let mut restored: ControlState = rmp_serde::from_slice(&stored).expect("a state");
    assert_eq!(restored, state);
    for number in 100..120 {
        let entry = refused_entry(number);
        assert_eq!(
            restored.apply(at(number + 200), &entry),
            state.apply(at(number + 200), &entry)
        );
    }
    assert_eq!(restored, state);
}

// Guards against request IDs of any length, of which the state keeps thousands.
#[test]
fn a_request_id_of_any_length_is_not_taken() {
    assert_eq!(entry(&"x".repeat(256), None, 0).check_request_id(), Ok(()));
    let refused = entry(&"x".repeat(257), None, 0).check_request_id();
    let fault = refused.expect_err("it is too long");
    assert_eq!(fault.path, "request_id");
}
