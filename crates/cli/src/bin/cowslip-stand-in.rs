//! `cowslip-stand-in`: a stand-in backend server, for tests and measurements.

use std::net::SocketAddr;
use std::process::exit;
use std::time::Duration;

use bpaf::Bpaf;

use cowslip_cli::stand_in::StandIn;
use cowslip_cli::stand_in::StandInConfig;
use cowslip_cli::stand_in::CONNECTIONS_MAX;
use cowslip_core::server_statement::ServerStatement;
use cowslip_core::server_statement::StatedRate;
use cowslip_wire::command_args;
use cowslip_wire::process_log;
use cowslip_wire::stop_signal;

/// Runs a stand-in backend server and announces it to a node.
///
/// Example: cowslip-stand-in --node 127.0.0.1:7302 --service contract
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct StandInArgs {
    /// Local listener of its node
    #[bpaf(argument("ADDR"))]
    node: SocketAddr,
    /// Service it belongs to
    #[bpaf(argument("SERVICE"))]
    service: String,
    /// Backend server version it announces
    #[bpaf(argument("VERSION"), fallback("v1".to_owned()))]
    version_run: String,
    /// Requests it processes at once
    #[bpaf(argument("SLOTS"), fallback(10))]
    slots: u32,
    /// Connections it accepts at once
    #[bpaf(argument("CONNECTIONS"), fallback(CONNECTIONS_MAX))]
    connections: usize,
    /// Processing time of a request
    #[bpaf(argument("MS"), fallback(2))]
    work_ms: u64,
    /// Extra processing time of each of the first requests
    #[bpaf(argument("MS"), fallback(0))]
    cold_ms: u64,
    /// Requests a second that it states in its answers to take; none if absent
    #[bpaf(argument("RATE"))]
    rate_limit: Option<f64>,
    /// Seconds after which it states in its answers that it is leaving
    #[bpaf(argument("SECONDS"))]
    leaving_after: Option<u64>,
}

fn main() {
    let args = command_args::parse_or_exit(&stand_in_args());
    process_log::start();
    if let Err(error) = actix_rt::System::new().block_on(run(args)) {
        eprintln!("cowslip-stand-in: {error}");
        exit(1);
    }
}

async fn run(args: StandInArgs) -> std::io::Result<()> {
    let server = StandIn::spawn(StandInConfig {
        instance: format!("{}-stand-in", args.service).into(),
        service: args.service.into(),
        version: args.version_run.into(),
        slots: args.slots,
        connections_max: args.connections,
        work_time: Duration::from_millis(args.work_ms),
        cold_start_time: Duration::from_millis(args.cold_ms),
    })?;
    let statement = &server.counts().statement;
    let rate = args.rate_limit.map_or(StatedRate::Unlimited, |rate| {
        StatedRate::CallsPerSecond(rate.max(0.0))
    });
    statement.set(ServerStatement {
        rate,
        leaving: false,
    });
    server.announce(args.node).await?;
    println!("{}", server.address());
    if let Some(seconds) = args.leaving_after {
        let leaving_after = Duration::from_secs(seconds);
        tokio::select! {
            stopped = stop_signal::wait() => return stopped,
            () = actix_rt::time::sleep(leaving_after) => {}
        }
        statement.set(ServerStatement {
            rate,
            leaving: true,
        });
    }
    stop_signal::wait().await
}
