//! `cowslip-soak`: runs seeds of the soak test and prints violated invariants.

use std::future::Future;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use cowslip_soak::fault_plan;
use cowslip_soak::soak_error::SoakError;
use cowslip_soak::soak_run;
use cowslip_soak::soak_run::SoakReport;
use cowslip_wire::stop_signal;

const USAGE: &str =
    "Injects random faults into real processes and checks what callers observe";

/// Delay of the soak itself from which its findings may be its own.
const OWN_DELAY_MAX: Duration = Duration::from_millis(250);

/// Maximum number of violations printed for a seed; one cause leads to many.
const VIOLATIONS_PRINTED_MAX: usize = 12;

/// Command line options of the soak.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, descr(USAGE))]
struct SoakArgs {
    /// First seed; random if absent
    #[bpaf(argument("SEED"))]
    seed: Option<u64>,
    /// Number of consecutive seeds to run
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// Time in which each seed injects faults, in seconds
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Inject only cuts between processes, one after the other
    cuts: bool,
    /// Folder for the files of the runs, which is kept; a new one if absent
    #[bpaf(argument("FOLDER"))]
    folder: Option<PathBuf>,
}

fn main() -> ExitCode {
    let logger = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(logger).init();
    match run(&soak_args().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("cowslip-soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds; returns whether every invariant held.
fn run(args: &SoakArgs) -> Result<bool, SoakError> {
    let programs = std::env::current_exe()?;
    let programs = programs.parent().unwrap_or(Path::new("."));
    let folder = match &args.folder {
        Some(folder) => folder.clone(),
        None => tempfile::tempdir()?.keep(),
    };
    let first = args.seed.unwrap_or_else(rand::random);
    let time = Duration::from_secs(args.seconds);
    let mut all_held = true;
    for number in 0..args.seeds {
        let seed = first.wrapping_add(number);
        let files = folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&files)?;
        let faults = if args.cuts {
            fault_plan::cuts(seed, time)
        } else {
            fault_plan::faults(seed, time)
        };
        let seed_run = soak_run::run_faults(seed, &faults, programs, &files);
        let report = actix_rt::System::new().block_on(run_until_signal(seed_run))?;
        print(seed, args, &report);
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&files)?;
        } else {
            all_held = false;
            println!("  logs: {}", files.display());
        }
    }
    Ok(all_held)
}

/// Runs a seed until its end or a signal. A signal that ended the soak test at once
/// would leave its processes running, as they are killed when their handles are
/// dropped.
async fn run_until_signal(
    seed_run: impl Future<Output = Result<SoakReport, SoakError>>,
) -> Result<SoakReport, SoakError> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::select! {
        report = seed_run => report,
        stopped = stop_signal::wait() => Err(stopped.map_or_else(
            SoakError::from,
            |()| SoakError::Interrupted,
        )),
        _ = hangup.recv() => Err(SoakError::Interrupted),
    }
}

fn print(seed: u64, args: &SoakArgs, report: &SoakReport) {
    println!(
        "seed {seed}: {} faults, {} calls, {} answered, {} changes, {} broken, \
         {} of {} probes judged, changes in force after {:?} at most",
        report.faults,
        report.calls,
        report.answered,
        report.accepted,
        report.violations.len(),
        report.judged.judged,
        report.judged.sent,
        report.longest_delay
    );
    if let Some(peak) = &report.repeats {
        println!(
            "  at most {} repeats in 10 s, {:.0} allowed",
            peak.repeats, peak.allowed
        );
    }
    if report.own_delay > OWN_DELAY_MAX {
        let late = report.own_delay;
        println!("  the soak itself was late by {late:?}: run fewer at once");
    }
    for violation in report.violations.iter().take(VIOLATIONS_PRINTED_MAX) {
        println!("  {violation}");
    }
    if !report.violations.is_empty() {
        let cuts = if args.cuts { " --cuts" } else { "" };
        let seconds = args.seconds;
        println!("  again: cowslip-soak --seed {seed} --seconds {seconds}{cuts}");
    }
}
