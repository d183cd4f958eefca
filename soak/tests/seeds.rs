//! A short soak run with a fixed seed, and tests of the fault schedule. Seeds
//! that made a run fail are added here.

use std::path::Path;
use std::time::Duration;

use cowslip_soak::fault_plan;
use cowslip_soak::fault_plan::CutDirection;
use cowslip_soak::fault_plan::CutScope;
use cowslip_soak::fault_plan::Fault;
use cowslip_soak::fault_plan::ProcessId;
use cowslip_soak::fault_plan::TimedFault;
use cowslip_soak::fault_plan::NODES;
use cowslip_soak::soak_run;

fn run_seed(seed: u64, seconds: u64) {
    let faults = fault_plan::faults(seed, Duration::from_secs(seconds));
    run_faults(seed, &faults);
}

fn run_faults(seed: u64, faults: &[TimedFault]) {
    let soak = Path::new(env!("CARGO_BIN_EXE_cowslip-soak"));
    let programs = soak.parent().expect("a folder of programs");
    let folder = tempfile::tempdir().expect("a folder");
    let report = soak_run::run_faults(seed, faults, programs, folder.path());
    let report = actix_rt::System::new().block_on(report);
    let report = report.expect("the soak can run");
    if !report.violations.is_empty() {
        let kept = folder.keep();
        panic!("seed {seed}, logs in {kept:?}: {:#?}", report.violations);
    }
    assert!(report.calls > 500, "{report:?}");
    assert!(report.accepted > 5, "{report:?}");
}

#[test]
fn a_short_run_violates_no_invariant() {
    run_seed(1, 8);
}

// Guards against limits, departures and evacuations that are forgotten while nodes
// are killed, paused and restarted.
#[test]
fn a_run_with_statements_and_evacuations_violates_no_invariant() {
    run_seed(5299, 20);
}

// Guards against a request that crashes servers and is passed on while nodes are killed
// and their links cut.
#[test]
fn a_run_with_a_request_that_crashes_servers_violates_no_invariant() {
    run_seed(7113, 20);
}

// Guards against a request that is never suspected because servers completed it before
// its data went bad.
#[test]
fn a_request_that_goes_bad_is_refused() {
    let served = Duration::from_secs(2);
    let crashing = Fault::CrashingRequest(served, Duration::from_secs(10));
    run_faults(48, &[at_millis(1_000, crashing)]);
}

fn at_millis(millis: u64, fault: Fault) -> TimedFault {
    let at = Duration::from_millis(millis);
    TimedFault { at, fault }
}

// Guards against changes that are not in force after a leader was cut off for a while
// and has returned as a follower.
#[test]
fn changes_come_into_force_after_a_leader_was_cut_off() {
    let cut = |scope, millis| {
        Fault::Cut(scope, CutDirection::Both, Duration::from_millis(millis))
    };
    let faults = [
        at_millis(1_000, cut(CutScope::Leader, 1_500)),
        at_millis(8_000, cut(CutScope::LeaderFromAll, 2_500)),
        at_millis(16_000, cut(CutScope::Domain(0), 1_500)),
    ];
    run_faults(46, &faults);
}

// Guards against retries that each start of a node adds to what the fleet allows, while
// the servers fail calls.
#[test]
fn restarting_nodes_do_not_multiply_retries() {
    let mut faults = vec![at_millis(500, Fault::FailCalls(Duration::from_secs(11)))];
    for second in 1..11 {
        for node in 0..NODES {
            let kill = Fault::Kill(ProcessId::Node(node), Duration::from_millis(50));
            faults.push(at_millis(second * 1_000 + node as u64 * 20, kill));
        }
    }
    run_faults(47, &faults);
}

// A seed must always give the same faults, or a failed run could not be repeated.
// Only one control instance may be down at a time, or acknowledged changes could
// be lost.
#[test]
fn a_seed_always_gives_the_same_faults() {
    let time = Duration::from_secs(60);
    for seed in 0..200 {
        let faults = fault_plan::faults(seed, time);
        assert_eq!(faults, fault_plan::faults(seed, time));
        let losses = faults.iter().filter(|timed| {
            matches!(timed.fault, Fault::KillAll(_) | Fault::TornWrite(..))
        });
        let mut free = Duration::ZERO;
        for loss in losses {
            assert!(loss.at >= free, "seed {seed}: {faults:?}");
            free = loss.at + loss.fault.duration();
        }
    }
}
