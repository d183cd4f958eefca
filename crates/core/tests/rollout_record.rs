//! Moves in the replicated state: requests that operators may make, and the
//! effect of late or repeated steps.

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::control_state::ControlState;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::ServiceSpec;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_change::MoveCounts;
use cowslip_core::rollout::rollout_change::MoveDue;
use cowslip_core::rollout::rollout_change::TakeBackCause;
use cowslip_core::rollout::share_plan::QuietChoice;
use cowslip_core::version::ConfigVersion;

/// A replicated state with the index of its last log entry.
struct LoggedState {
    state: ControlState,
    index: u64,
}

impl LoggedState {
    fn open() -> Self {
        let mut logged = Self {
            state: ControlState::default(),
            index: 0,
        };
        let outcome = logged.take("apply", ConfigChange::Apply(document("v1")));
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
        logged
    }

    fn take(&mut self, id: &str, change: ConfigChange) -> ChangeOutcome {
        self.index += 1;
        let entry = ChangeEntry {
            request_id: id.into(),
            expected: None,
            at_ms: 1_000_000,
            change,
        };
        self.state.apply(ConfigVersion::new(1, self.index), &entry)
    }

    fn take_move(&mut self, id: &str, change: MoveChange) -> ChangeOutcome {
        self.take(id, ConfigChange::Move(change))
    }

    fn candidate_share(&self, service: &str) -> Option<u16> {
        let document = &self.state.snapshot().document;
        let candidate = document.services[service].candidate.as_ref();
        candidate.map(|candidate| candidate.share_per_mille)
    }
}

fn document(version: &str) -> FleetDocument {
    let mut document = FleetDocument::default();
    for service in ["ledger", "documents"] {
        let spec = ServiceSpec {
            version: version.into(),
            candidate: None,
            ..ServiceSpec::default()
        };
        document.services.insert(service.into(), spec);
    }
    document
}

fn start(service: &str, to: &str, within_s: u64) -> MoveChange {
    MoveChange::Start {
        service: service.into(),
        to: to.into(),
        due: MoveDue::Within(within_s * 1_000),
        reason: "new presses".to_owned(),
        if_quiet: QuietChoice::Finish,
    }
}

fn step(rollout: ConfigVersion, share_per_mille: u16) -> MoveChange {
    MoveChange::Step {
        rollout,
        share_per_mille,
    }
}

fn take_back(rollout: ConfigVersion) -> MoveChange {
    MoveChange::TakeBack {
        rollout,
        cause: TakeBackCause::Operator {
            reason: "wrong build".to_owned(),
        },
        counts: MoveCounts::default(),
    }
}

fn finish(rollout: ConfigVersion) -> MoveChange {
    MoveChange::Finish {
        rollout,
        waited: None,
        counts: MoveCounts::default(),
    }
}

#[track_caller]
fn accepted(outcome: ChangeOutcome) -> ConfigVersion {
    match outcome {
        ChangeOutcome::Accepted { version } => version,
        other => panic!("refused: {other:?}"),
    }
}

#[track_caller]
fn refused(outcome: ChangeOutcome, word: &str) {
    let ChangeOutcome::Invalid { faults } = outcome else {
        panic!("not refused: {outcome:?}");
    };
    assert!(faults[0].problem.contains(word), "{faults:?}");
}

// Starts that cannot succeed are refused with a reason and change nothing: a
// second move of a service under a move, the version already in service, a time
// window that is too short or too long, an unknown service, an empty version.
#[test]
fn invalid_starts_are_refused() {
    let mut logged = LoggedState::open();
    refused(logged.take_move("a", start("ledger", "v1", 60)), "already");
    refused(
        logged.take_move("b", start("ledger", "v2", 3)),
        "cannot be met",
    );
    refused(
        logged.take_move("c", start("ledger", "v2", 99 * 86_400)),
        "cannot be met",
    );
    refused(
        logged.take_move("d", start("cellar", "v2", 60)),
        "no service",
    );
    refused(logged.take_move("e", start("ledger", "", 60)), "is no name");
    assert_eq!(logged.state.snapshot().version, ConfigVersion::new(1, 1));
    accepted(logged.take_move("f", start("ledger", "v2", 60)));
    refused(
        logged.take_move("g", start("ledger", "v3", 60)),
        "in progress",
    );
    accepted(logged.take_move("h", start("documents", "v2", 60)));
    assert_eq!(logged.state.rollouts().running().count(), 2);
}

// Guards against late steps of a replaced leader, which arrive after a larger
// share or after the move was taken back. None may put the version back into
// service.
#[test]
fn late_steps_never_bring_a_version_back() {
    let mut logged = LoggedState::open();
    let rollout = accepted(logged.take_move("start", start("ledger", "v2", 60)));
    accepted(logged.take_move("s1", step(rollout, 100)));
    refused(logged.take_move("s2", step(rollout, 50)), "above");
    refused(logged.take_move("s3", step(rollout, 1_001)), "above");
    refused(logged.take_move("s4", finish(rollout)), "finishes at 950");
    assert_eq!(logged.candidate_share("ledger"), Some(100));
    accepted(logged.take_move("s5", take_back(rollout)));
    assert_eq!(logged.candidate_share("ledger"), None);
    let version = logged.state.snapshot().version;
    refused(logged.take_move("s6", step(rollout, 200)), "in progress");
    refused(logged.take_move("s7", take_back(rollout)), "in progress");
    assert_eq!(logged.state.snapshot().version, version);
    let document = &logged.state.snapshot().document;
    assert_eq!(&*document.services["ledger"].version, "v1");
}

// Guards against an operator's file that does not contain the running move. The
// move must continue, and an edit that conflicts with it is refused.
#[test]
fn a_direct_edit_does_not_change_running_moves() {
    let mut logged = LoggedState::open();
    let rollout = accepted(logged.take_move("start", start("ledger", "v2", 60)));
    accepted(logged.take_move("s1", step(rollout, 100)));
    accepted(logged.take("again", ConfigChange::Apply(document("v1"))));
    assert_eq!(logged.candidate_share("ledger"), Some(100));
    refused(
        logged.take("jump", ConfigChange::Apply(document("v2"))),
        "in progress",
    );
    let mut without = document("v1");
    without.services.remove("ledger");
    refused(
        logged.take("drop", ConfigChange::Apply(without)),
        "needs this service",
    );
    accepted(logged.take_move("s2", step(rollout, 1_000)));
    accepted(logged.take_move("end", finish(rollout)));
    let document = &logged.state.snapshot().document;
    assert_eq!(&*document.services["ledger"].version, "v2");
    assert_eq!(document.services["ledger"].candidate, None);
}

// Guards against a file that `cowslip show` printed during a move and that is
// applied after the version was taken back. The version must not return to
// service.
#[test]
fn a_stale_file_does_not_bring_a_version_back() {
    let mut logged = LoggedState::open();
    let rollout = accepted(logged.take_move("start", start("ledger", "v2", 60)));
    let printed = FleetDocument::clone(&logged.state.snapshot().document);
    accepted(logged.take_move("end", take_back(rollout)));
    let outcome = logged.take("stale", ConfigChange::Apply(printed));
    refused(outcome, "is over");
    assert_eq!(logged.candidate_share("ledger"), None);
}
