//! `cowslip default set|list`: the fleet-wide values of the tuning keys.

use bpaf::Bpaf;
use bpaf::Parser;
use serde::Serialize;

use cowslip_core::change::ConfigChange;
use cowslip_core::tuning::TuningKey;
use cowslip_wire::messages::ShowCall;

use super::change_request;
use super::change_request::change_args;
use super::change_request::ChangeArgs;
use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

const USAGE: &str = "Sets or lists the fleet's defaults";
const EXAMPLE: &str = "Example: cowslip default set deadline_ms 5000";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(default_action))]
pub enum DefaultArgs {
    /// Sets a tuning key for the whole fleet
    #[bpaf(command("set"), footer(EXAMPLE))]
    Set {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// Tuning key; see `default list`
        #[bpaf(positional("KEY"))]
        key: TuningKey,
        /// Value, in the unit given by the key's name
        #[bpaf(positional("VALUE"))]
        value: u64,
    },
    /// Lists every tuning key with its value, built-in value and range
    #[bpaf(command("list"), footer("Example: cowslip default list"))]
    List,
}

/// A tuning key with its value in force, built-in value and accepted range.
#[derive(Debug, Serialize)]
struct DefaultLine {
    key: TuningKey,
    value: u64,
    built_in: u64,
    least: u64,
    most: u64,
}

/// Returns the parser of this subcommand.
pub fn default_args() -> impl Parser<DefaultArgs> {
    default_action()
        .to_options()
        .descr(USAGE)
        .footer(EXAMPLE)
        .command("default")
}

pub async fn run(config: &OperatorConfig, args: DefaultArgs) -> OperatorResult<()> {
    match args {
        DefaultArgs::Set { change, key, value } => {
            change_request::send(config, change, ConfigChange::SetDefault { key, value })
                .await
        }
        DefaultArgs::List => list(config).await,
    }
}

async fn list(config: &OperatorConfig) -> OperatorResult<()> {
    let snapshot = config.client()?.ask(&ShowCall {}).await?;
    let mut lines = Vec::new();
    for key in TuningKey::ALL {
        let range = key.range();
        lines.push(DefaultLine {
            key: *key,
            value: snapshot.document.defaults.get(*key),
            built_in: key.built_in(),
            least: *range.start(),
            most: *range.end(),
        });
    }
    config.print(&lines, |lines| table(lines))
}

fn table(lines: &[DefaultLine]) -> String {
    let mut table = TextTable::new(&["KEY", "VALUE", "BUILT IN", "RANGE"]);
    for line in lines {
        table.row(vec![
            line.key.to_string(),
            line.value.to_string(),
            line.built_in.to_string(),
            format!("{}..={}", line.least, line.most),
        ]);
    }
    table.render()
}
