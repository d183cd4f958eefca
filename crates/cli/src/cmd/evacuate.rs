//! `cowslip evacuate start|end|list`: failure domains whose backend servers get no
//! calls.

use std::sync::Arc;

use bpaf::Bpaf;
use bpaf::Parser;
use serde::Serialize;

use cowslip_core::change::ConfigChange;
use cowslip_core::change::EvacuationChange;
use cowslip_core::document::EvacuationTable;
use cowslip_wire::messages::MovesCall;
use cowslip_wire::messages::ShowCall;

use crate::cmd::change_request;
use crate::cmd::change_request::change_args;
use crate::cmd::change_request::ChangeArgs;
use crate::cmd::timestamp::format_timestamp;
use crate::control_client::ControlClient;
use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

const USAGE: &str = "Starts, ends or lists evacuations of failure domains";
const EXAMPLE: &str =
    "Example: cowslip evacuate start --reason 'power works' --operator kari voss";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(evacuate_action))]
pub enum EvacuateArgs {
    /// Sends no more calls to the backend servers of a failure domain
    #[bpaf(command("start"), footer(EXAMPLE))]
    Start {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// Reason for the evacuation, stored with it
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// Who orders it; the user of this session if not given
        #[bpaf(argument("NAME"), env("USER"))]
        operator: String,
        /// The failure domain
        #[bpaf(positional("DOMAIN"))]
        failure_domain: String,
    },
    /// Sends calls to the backend servers of a failure domain again
    #[bpaf(command("end"), footer("Example: cowslip evacuate end voss"))]
    End {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// The failure domain
        #[bpaf(positional("DOMAIN"))]
        failure_domain: String,
    },
    /// Lists the evacuations with their reasons
    #[bpaf(command("list"), footer("Example: cowslip evacuate list"))]
    List,
}

/// Returns the parser of this subcommand.
pub fn evacuate_args() -> impl Parser<EvacuateArgs> {
    evacuate_action()
        .to_options()
        .descr(USAGE)
        .footer(EXAMPLE)
        .command("evacuate")
}

pub async fn run(config: &OperatorConfig, args: EvacuateArgs) -> OperatorResult<()> {
    match args {
        EvacuateArgs::Start {
            change,
            reason,
            operator,
            failure_domain,
        } => {
            let order = EvacuationChange::Start {
                failure_domain: failure_domain.into(),
                operator: operator.into(),
                reason: reason.into(),
            };
            change_request::send(config, change, ConfigChange::Evacuate(order)).await
        }
        EvacuateArgs::End {
            change,
            failure_domain,
        } => {
            let order = EvacuationChange::End {
                failure_domain: failure_domain.into(),
            };
            change_request::send(config, change, ConfigChange::Evacuate(order)).await
        }
        EvacuateArgs::List => list(config).await,
    }
}

/// One evacuation, as listed for operators.
#[derive(Debug, Serialize)]
struct EvacuationLine {
    failure_domain: Arc<str>,
    since_ms: u64,
    operator: Arc<str>,
    version: String,
    /// Whether every live node has applied it; `unknown` if its change is no longer
    /// kept.
    state: &'static str,
    reason: Arc<str>,
}

async fn list(config: &OperatorConfig) -> OperatorResult<()> {
    let client = config.client()?;
    let snapshot = client.ask(&ShowCall {}).await?;
    let lines = evacuation_lines(&client, &snapshot.document.evacuations).await?;
    config.print(&lines, |lines| table(lines))
}

async fn evacuation_lines(
    client: &ControlClient,
    evacuations: &EvacuationTable,
) -> OperatorResult<Vec<EvacuationLine>> {
    let mut lines = Vec::new();
    for (failure_domain, entry) in evacuations {
        let version = Some(entry.version);
        let moves = client.ask(&MovesCall { version }).await?;
        lines.push(EvacuationLine {
            failure_domain: Arc::clone(failure_domain),
            since_ms: entry.since_ms,
            operator: Arc::clone(&entry.operator),
            version: entry.version.to_string(),
            state: moves
                .first()
                .map_or("unknown", |line| line.progress.state.as_str()),
            reason: Arc::clone(&entry.reason),
        });
    }
    Ok(lines)
}

fn table(lines: &[EvacuationLine]) -> String {
    let headings = [
        "FAILURE DOMAIN",
        "SINCE",
        "OPERATOR",
        "VERSION",
        "STATE",
        "REASON",
    ];
    let mut table = TextTable::new(&headings);
    for line in lines {
        table.row(vec![
            line.failure_domain.to_string(),
            format_timestamp(line.since_ms),
            line.operator.to_string(),
            line.version.clone(),
            line.state.to_owned(),
            line.reason.to_string(),
        ]);
    }
    table.render()
}
