//! `cowslip-soak`: plays seeds of the fault soak and says what broke.

use std::future::Future;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use cowslip_soak::soak_error::SoakError;
use cowslip_soak::soak_run;
use cowslip_soak::soak_run::SoakReport;
use cowslip_wire::stop_signal;

const USAGE: &str = "Plays random faults on real processes and checks what callers see";

/// Broken promises of a seed that are printed; one cause breaks many.
const BROKEN_SHOWN: usize = 12;

/// Options of the soak.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, descr(USAGE))]
struct SoakArgs {
    /// First seed; drawn where absent
    #[bpaf(argument("SEED"))]
    seed: Option<u64>,
    /// Number of seeds, one after the other
    #[bpaf(argument("COUNT"), fallback(1))]
    seeds: u64,
    /// Time of faults of each seed, in seconds
    #[bpaf(argument("SECONDS"), fallback(20))]
    seconds: u64,
    /// Folder for the files of the runs, kept; one is made where absent
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

/// True where every promise held.
fn run(args: &SoakArgs) -> Result<bool, SoakError> {
    let programs = std::env::current_exe()?;
    let programs = programs.parent().unwrap_or(Path::new("."));
    let folder = match &args.folder {
        Some(folder) => folder.clone(),
        None => tempfile::tempdir()?.keep(),
    };
    let first = args.seed.unwrap_or_else(rand::random);
    let time = Duration::from_secs(args.seconds);
    let mut held = true;
    for number in 0..args.seeds {
        let seed = first.wrapping_add(number);
        let files = folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&files)?;
        let played = soak_run::play(seed, time, programs, &files);
        let report = actix_rt::System::new().block_on(until_asked(played))?;
        print(seed, args.seconds, &report);
        if report.broken.is_empty() {
            std::fs::remove_dir_all(&files)?;
        } else {
            held = false;
            println!("  logs: {}", files.display());
        }
    }
    Ok(held)
}

/// Plays until the end or a signal. Without this the processes of a soak that
/// is stopped would run on: they end where their handles are dropped.
async fn until_asked(
    played: impl Future<Output = Result<SoakReport, SoakError>>,
) -> Result<SoakReport, SoakError> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::select! {
        report = played => report,
        asked = stop_signal::wait() => Err(asked.map_or_else(
            SoakError::from,
            |()| SoakError::Interrupted,
        )),
        _ = hangup.recv() => Err(SoakError::Interrupted),
    }
}

fn print(seed: u64, seconds: u64, report: &SoakReport) {
    println!(
        "seed {seed}: {} faults, {} calls, {} answered, {} changes, {} broken",
        report.faults,
        report.calls,
        report.answered,
        report.accepted,
        report.broken.len()
    );
    for broken in report.broken.iter().take(BROKEN_SHOWN) {
        println!("  {broken}");
    }
    if !report.broken.is_empty() {
        println!("  again: cowslip-soak --seed {seed} --seconds {seconds}");
    }
}
