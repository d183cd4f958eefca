//! Moves of services to new backend server versions, through the control
//! instances, nodes and stand-ins of a local fleet.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use awc::Client;

use cowslip_cli::control_client::ControlClient;
use cowslip_cli::local_fleet::DeploymentPlan;
use cowslip_cli::local_fleet::LocalFleet;
use cowslip_cli::operator_error::OperatorError;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::document::FleetDocument;
use cowslip_core::move_tracker::MoveState;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_change::MoveDue;
use cowslip_core::rollout::rollout_change::TakeBackCause;
use cowslip_core::rollout::rollout_record::RolloutEnd;
use cowslip_core::rollout::share_plan::QuietChoice;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::evidence_messages::RolloutLine;
use cowslip_wire::evidence_messages::RolloutsCall;
use cowslip_wire::messages::ShowCall;
use cowslip_wire::messages::StatusCall;

/// Timeout of every wait; only a broken fleet reaches it.
const FLEET_TIMEOUT: Duration = Duration::from_secs(120);

/// Time within which the moves must be done.
const MOVE_TIME: Duration = Duration::from_secs(10);

/// Number of callers that call without pause.
const CALLERS: usize = 6;

/// Interval between queries while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

async fn change(
    operator: &ControlClient,
    id: &str,
    change: ConfigChange,
) -> ConfigVersion {
    let changed = operator.change(Arc::from(id), None, change).await;
    changed.expect("the change is accepted")
}

fn start(service: &str, to: &str) -> ConfigChange {
    ConfigChange::Move(MoveChange::Start {
        service: service.into(),
        to: to.into(),
        due: MoveDue::Within(MOVE_TIME.as_millis() as u64),
        reason: "a test".to_owned(),
        if_quiet: QuietChoice::Finish,
    })
}

async fn expect_refusal(
    operator: &ControlClient,
    id: &str,
    change: ConfigChange,
    expected: &str,
) {
    let outcome = operator.change(Arc::from(id), None, change).await;
    let Err(OperatorError::Refused(ChangeOutcome::Invalid { faults })) = outcome else {
        panic!("not refused: {outcome:?}");
    };
    assert!(faults[0].problem.contains(expected), "{faults:?}");
}

async fn wait_for_nodes(operator: &ControlClient, nodes: usize) {
    let started = Instant::now();
    loop {
        let status = operator.ask(&StatusCall {}).await.expect("a leader");
        if status.nodes.len() >= nodes {
            return;
        }
        assert!(started.elapsed() < FLEET_TIMEOUT, "{status:?}");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_end(operator: &ControlClient, rollout: ConfigVersion) -> RolloutLine {
    let started = Instant::now();
    loop {
        let call = RolloutsCall {
            rollout: Some(rollout),
            service: None,
            course: true,
        };
        let mut lines = operator.ask(&call).await.expect("a leader");
        let line = lines.pop().expect("the move is kept");
        if line.state != MoveState::InProgress {
            return line;
        }
        assert!(started.elapsed() < FLEET_TIMEOUT, "{line:?}");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn send_calls(fleet: Rc<LocalFleet>, caller: usize, stop: Rc<Cell<bool>>) {
    let client = Client::default();
    let paths = ["/contracts", "/records"];
    let mut number = caller;
    while !stop.get() {
        number += 1;
        let node = &fleet.nodes[number % fleet.nodes.len()];
        let path = paths[number % paths.len()];
        let url = format!("http://{}{path}/{number}", node.node.callers());
        if let Ok(mut response) = client.get(url).send().await {
            let _ = response.body().await;
        }
    }
}

fn begun_requests(fleet: &LocalFleet, prefix: &str) -> u32 {
    let mut begun = 0;
    for node in &fleet.nodes {
        if node.instance.starts_with(prefix) {
            begun += node.stand_in.counts().begun.get();
        }
    }
    begun
}

async fn wait_for_calls(fleet: &LocalFleet, prefix: &str, calls: u32) {
    let target = begun_requests(fleet, prefix) + calls;
    let started = Instant::now();
    while begun_requests(fleet, prefix) < target {
        assert!(started.elapsed() < FLEET_TIMEOUT, "no calls at {prefix}");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for all nodes, applies the document and shortens moves to at least five
/// seconds.
async fn set_up(operator: &ControlClient, fleet: &LocalFleet, document: FleetDocument) {
    wait_for_nodes(operator, fleet.nodes.len()).await;
    change(operator, "apply", ConfigChange::Apply(document)).await;
    let key = TuningKey::MoveLeastSeconds;
    let least = ConfigChange::SetDefault { key, value: 5 };
    change(operator, "least", least).await;
}

// Two services move to new versions at once, under load. The good version must
// take over; the one that fails every call must be taken back and get no more
// calls afterwards.
#[test]
fn a_good_version_takes_over_and_a_bad_one_is_taken_back() {
    actix_rt::System::new().block_on(two_moves_at_once());
}

async fn two_moves_at_once() {
    let plan = DeploymentPlan::named("sidertre").expect("a known deployment");
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = LocalFleet::spawn(&plan, folder.path()).await;
    let mut fleet = fleet.expect("a fleet");
    for service in plan.services {
        let added = fleet.add_version(&plan, service, "v2").await;
        added.expect("servers of the new version");
    }
    for node in &fleet.nodes {
        if node.instance.starts_with("records-v2") {
            node.stand_in.counts().failing_percent.set(100);
        }
    }
    let fleet = Rc::new(fleet);
    let operator = fleet.operator();
    set_up(&operator, &fleet, plan.document()).await;
    expect_refusal(&operator, "none", start("contract", "v3"), "announced").await;
    let stop = Rc::new(Cell::new(false));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let calls = send_calls(Rc::clone(&fleet), caller, Rc::clone(&stop));
        callers.push(actix_rt::spawn(calls));
    }
    let good = change(&operator, "good", start("contract", "v2")).await;
    let bad = change(&operator, "bad", start("records", "v2")).await;
    expect_refusal(&operator, "two", start("contract", "v2"), "in progress").await;

    let line = wait_for_end(&operator, bad).await;
    assert_eq!(line.state, MoveState::TakenBack, "{line:?}");
    let Some(RolloutEnd::TakenBack { cause }) = &line.record.end else {
        panic!("{line:?}");
    };
    assert!(!matches!(cause, TakeBackCause::Operator { .. }), "{cause}");
    assert!(line.counts.new_failures > 0, "{line:?}");
    assert!(!line.course.is_empty());

    let line = wait_for_end(&operator, good).await;
    assert_eq!(line.state, MoveState::Done, "{line:?}");
    let snapshot = operator.ask(&ShowCall {}).await.expect("a leader");
    let services = &snapshot.document.services;
    assert_eq!(&*services["contract"].version, "v2");
    assert_eq!(&*services["records"].version, "v1");
    // Calls already in flight when the moves ended may still reach a server.
    wait_for_calls(&fleet, "contract-v2", 100).await;
    let withdrawn = begun_requests(&fleet, "records-v2");
    let replaced = begun_requests(&fleet, "contract-1");
    wait_for_calls(&fleet, "contract-v2", 100).await;
    assert_eq!(begun_requests(&fleet, "records-v2"), withdrawn);
    assert_eq!(begun_requests(&fleet, "contract-1"), replaced);
    stop.set(true);
    for caller in callers {
        caller.await.expect("a caller ends");
    }
}

// The leader stops in the middle of a move. The next leader, which knows the
// move from the replicated log, must finish it and take each step once.
#[test]
fn a_move_continues_under_the_next_leader() {
    actix_rt::System::new().block_on(leader_stops_during_move());
}

async fn leader_stops_during_move() {
    let plan = DeploymentPlan::named("sidertre").expect("a known deployment");
    let folder = tempfile::tempdir().expect("a folder for the test");
    let fleet = LocalFleet::spawn(&plan, folder.path()).await;
    let mut fleet = fleet.expect("a fleet");
    let added = fleet.add_version(&plan, &plan.services[0], "v2").await;
    added.expect("servers of the new version");
    let operator = fleet.operator();
    set_up(&operator, &fleet, plan.document()).await;
    let rollout = change(&operator, "move", start("contract", "v2")).await;
    let leader = operator
        .ask(&StatusCall {})
        .await
        .expect("a leader")
        .instance;
    let started = Instant::now();
    while rollout_share(&operator, rollout).await < 20 {
        assert!(started.elapsed() < FLEET_TIMEOUT, "no step is taken");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let number: usize = leader
        .trim_start_matches("control-")
        .parse()
        .expect("a number");
    fleet.controls.remove(number - 1).stop().await;
    let line = wait_for_end(&operator, rollout).await;
    assert_eq!(line.state, MoveState::Done, "{line:?}");
    let steps = &line.record.steps;
    assert!(steps.iter().any(|step| step.version.term > rollout.term));
    for pair in steps.windows(2) {
        assert!(
            pair[0].share_per_mille < pair[1].share_per_mille,
            "{steps:?}"
        );
    }
}

async fn rollout_share(operator: &ControlClient, rollout: ConfigVersion) -> u16 {
    let call = RolloutsCall {
        rollout: Some(rollout),
        ..RolloutsCall::default()
    };
    let mut lines = operator.ask(&call).await.expect("a leader");
    lines.pop().map_or(0, |line| line.record.share())
}
