//! `cowslip quarantine list|lift`: requests that are refused because backend servers
//! crash under them.

use std::sync::Arc;

use bpaf::Bpaf;
use bpaf::Parser;
use serde::Serialize;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::change::ConfigChange;
use cowslip_core::quarantine::QuarantineChange;
use cowslip_core::quarantine::QuarantineTable;
use cowslip_wire::messages::ShowCall;

use crate::cmd::change_request;
use crate::cmd::change_request::change_args;
use crate::cmd::change_request::ChangeArgs;
use crate::cmd::timestamp::format_timestamp;
use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

const USAGE: &str = "Lists or lifts quarantines of requests that crash backend servers";
const EXAMPLE: &str = "Example: cowslip quarantine lift 6e14d552daae53c497ecb3c2a10e7ecf";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(quarantine_action))]
pub enum QuarantineArgs {
    /// Lists the quarantines, ended ones that are still remembered included
    #[bpaf(command("list"), footer("Example: cowslip quarantine list"))]
    List,
    /// Sends a quarantined request to backend servers again
    #[bpaf(command("lift"), footer(EXAMPLE))]
    Lift {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// The request's fingerprint, as listed
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: CallFingerprint,
    },
}

/// Returns the parser of this subcommand.
pub fn quarantine_args() -> impl Parser<QuarantineArgs> {
    quarantine_action()
        .to_options()
        .descr(USAGE)
        .footer(EXAMPLE)
        .command("quarantine")
}

pub async fn run(config: &OperatorConfig, args: QuarantineArgs) -> OperatorResult<()> {
    match args {
        QuarantineArgs::List => list(config).await,
        QuarantineArgs::Lift {
            change,
            fingerprint,
        } => {
            let lift = ConfigChange::Quarantine(QuarantineChange::End { fingerprint });
            change_request::send(config, change, lift).await
        }
    }
}

/// One quarantine, as listed for operators.
#[derive(Debug, Serialize)]
struct QuarantineLine {
    fingerprint: CallFingerprint,
    service: Arc<str>,
    route: Arc<str>,
    crashes: u32,
    times: u32,
    since_ms: u64,
    until_ms: u64,
    blocking: bool,
}

async fn list(config: &OperatorConfig) -> OperatorResult<()> {
    let client = config.client()?;
    let snapshot = client.ask(&ShowCall {}).await?;
    let lines = quarantine_lines(&snapshot.document.quarantines);
    config.print(&lines, |lines| table(lines))
}

fn quarantine_lines(quarantines: &QuarantineTable) -> Vec<QuarantineLine> {
    let lines = quarantines
        .iter()
        .map(|(fingerprint, entry)| QuarantineLine {
            fingerprint: *fingerprint,
            service: Arc::clone(&entry.service),
            route: Arc::clone(&entry.route),
            crashes: entry.crashes,
            times: entry.times,
            since_ms: entry.since_ms,
            until_ms: entry.until_ms,
            blocking: entry.is_blocking(),
        });
    lines.collect()
}

fn table(lines: &[QuarantineLine]) -> String {
    let headings = [
        "FINGERPRINT",
        "SERVICE",
        "ROUTE",
        "CRASHES",
        "TIMES",
        "SINCE",
        "UNTIL",
        "STATE",
    ];
    let mut table = TextTable::new(&headings);
    for line in lines {
        let state = if line.blocking { "refused" } else { "ended" };
        table.row(vec![
            line.fingerprint.to_string(),
            line.service.to_string(),
            line.route.to_string(),
            line.crashes.to_string(),
            line.times.to_string(),
            format_timestamp(line.since_ms),
            format_timestamp(line.until_ms),
            state.to_owned(),
        ]);
    }
    table.render()
}
