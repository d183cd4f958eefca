//! `cowslip-load`: an open-loop load generator.

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use actix_http::Method;
use bpaf::Bpaf;
use serde::Serialize;

use cowslip_cli::load::load_plot;
use cowslip_cli::load::load_report::LoadReport;
use cowslip_cli::load::open_loop;
use cowslip_cli::load::open_loop::LoadPlan;
use cowslip_wire::command_args;

/// Maximum duration of a run, in seconds; every run ends by itself.
const SECONDS_MAX: u64 = 600;

/// Maximum number of calls of a run.
const CALLS_MAX: u64 = 10_000_000;

/// Sends calls at a given rate and reports their outcomes and latencies.
///
/// Example: cowslip-load --rate 1000 --seconds 10 --plot run.svg http://127.0.0.1:7301/prices
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct LoadArgs {
    /// Calls per second
    #[bpaf(argument("CALLS"), fallback(100.0))]
    rate: f64,
    /// Duration of the run, at most 600
    #[bpaf(argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Largest number of calls
    #[bpaf(argument("CALLS"), fallback(CALLS_MAX))]
    calls_max: u64,
    /// Sending threads
    #[bpaf(argument("THREADS"), fallback(1))]
    threads: u32,
    /// Calls in flight at once, per thread
    #[bpaf(argument("CALLS"), fallback(2_000))]
    under_way_max: usize,
    /// HTTP method of the calls
    #[bpaf(argument("METHOD"), fallback(Method::GET))]
    method: Method,
    /// Size of each request body
    #[bpaf(argument("BYTES"), fallback(0))]
    body_bytes: usize,
    /// Number of customers to use in turn
    #[bpaf(argument("CUSTOMERS"), fallback(0))]
    customers: u32,
    /// Deadline sent with each call
    #[bpaf(argument("MS"))]
    deadline_ms: Option<u64>,
    /// Seed of the intervals between calls
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Another URL to compare with; it gets the calls of every other second
    #[bpaf(argument("URL"))]
    against: Option<String>,
    /// Plot the run into this SVG file
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Print the report as one JSON document
    json: bool,
    /// URLs to call in turn
    #[bpaf(positional("URL"), some("name at least one URL"))]
    targets: Vec<String>,
}

/// Report of a run, as printed in JSON.
#[derive(Serialize)]
struct RunReport {
    calls: LoadReport,
    against: Option<LoadReport>,
}

fn main() {
    let args = command_args::parse_or_exit(&load_args());
    if args.rate <= 0.0 || args.seconds == 0 || args.seconds > SECONDS_MAX {
        eprintln!(
            "cowslip-load: --rate must be above 0 and --seconds from 1 to {SECONDS_MAX}"
        );
        exit(2);
    }
    let tallies = open_loop::run(&plan(&args));
    if let Some(file) = &args.plot {
        if let Err(error) = load_plot::draw(&tallies.calls, file) {
            eprintln!("cowslip-load: {}: {error}", file.display());
            exit(2);
        }
    }
    let report = RunReport {
        calls: LoadReport::from_tally(&tallies.calls),
        against: args
            .against
            .as_ref()
            .map(|_| LoadReport::from_tally(&tallies.baseline)),
    };
    print(&report, args.json);
}

fn plan(args: &LoadArgs) -> LoadPlan {
    LoadPlan {
        targets: args.targets.clone(),
        baseline: args.against.clone(),
        method: args.method.clone(),
        body_bytes: args.body_bytes,
        customers: args.customers,
        deadline: args.deadline_ms.map(Duration::from_millis),
        rate: args.rate,
        duration: Duration::from_secs(args.seconds),
        calls_max: args.calls_max.min(CALLS_MAX),
        in_flight_max: args.under_way_max,
        threads: args.threads,
        seed: args.seed,
    }
}

fn print(report: &RunReport, json: bool) {
    if json {
        match serde_json::to_string_pretty(report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("cowslip-load: {error}"),
        }
        return;
    }
    print!("{}", report.calls.text());
    if let Some(against) = &report.against {
        print!("\nagainst:\n{}", against.text());
        let added = |baseline: f64, targets: f64| targets - baseline;
        let targets = &report.calls.answered_latency;
        let baseline = &against.answered_latency;
        println!(
            "added: p50 {:.3} ms, p99 {:.3} ms",
            added(baseline.p50_ms, targets.p50_ms),
            added(baseline.p99_ms, targets.p99_ms)
        );
    }
}
