//! A short seeded soak, and every seed that ever failed.

use std::path::Path;
use std::time::Duration;

use cowslip_soak::fault_plan;
use cowslip_soak::fault_plan::Fault;
use cowslip_soak::soak_run;

fn play(seed: u64, seconds: u64) {
    let soak = Path::new(env!("CARGO_BIN_EXE_cowslip-soak"));
    let programs = soak.parent().expect("a folder of programs");
    let folder = tempfile::tempdir().expect("a folder");
    let time = Duration::from_secs(seconds);
    let run = soak_run::run_seed(seed, time, programs, folder.path());
    let run = actix_rt::System::new().block_on(run);
    let report = run.expect("the soak can be played");
    if !report.violations.is_empty() {
        let kept = folder.keep();
        panic!("seed {seed}, logs in {kept:?}: {:#?}", report.violations);
    }
    assert!(report.calls > 500, "{report:?}");
    assert!(report.accepted > 5, "{report:?}");
}

#[test]
fn a_short_run_keeps_every_promise() {
    play(1, 8);
}

// The same seed brings the same faults, or it could not be repeated; and one
// control instance is away at a time, or nothing acknowledged could be kept.
#[test]
fn a_seed_gives_its_faults() {
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
