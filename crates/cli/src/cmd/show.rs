//! `cowslip show`: the configuration in force, as YAML.

use bpaf::Bpaf;

use cowslip_wire::messages::ShowCall;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;

const USAGE: &str = "Shows the configuration in force";
const EXAMPLE: &str = "Example: cowslip show > fleet.yaml";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("show"), descr(USAGE), footer(EXAMPLE))]
pub struct ShowArgs {}

pub async fn run(config: &OperatorConfig, _args: ShowArgs) -> OperatorResult<()> {
    let snapshot = config.client()?.ask(&ShowCall {}).await?;
    let yaml = serde_saphyr::to_string(&*snapshot.document);
    let yaml = yaml.map_err(|error| OperatorError::Usage(error.to_string()))?;
    config.print(&snapshot, |snapshot| {
        format!("# version {}\n{yaml}", snapshot.version)
    })
}
