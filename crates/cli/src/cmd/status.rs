//! `cowslip status`: the version in force and the live nodes.

use bpaf::Bpaf;

use cowslip_wire::messages::FleetStatus;
use cowslip_wire::messages::StatusCall;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

const USAGE: &str = "Shows the version in force and every live node";
const EXAMPLE: &str = "Example: cowslip status";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("status"), descr(USAGE), footer(EXAMPLE))]
pub struct StatusArgs {}

pub async fn run(config: &OperatorConfig, _args: StatusArgs) -> OperatorResult<()> {
    let status = config.client()?.ask(&StatusCall {}).await?;
    config.print(&status, text)
}

fn text(status: &FleetStatus) -> String {
    let mut table = TextTable::new(&["NODE", "FAILURE DOMAIN", "VERSION", "HEARD"]);
    for node in &status.nodes {
        table.row(vec![
            node.report.node.to_string(),
            node.report.failure_domain.to_string(),
            node.report.applied.to_string(),
            format!("{} ms ago", node.age_ms),
        ]);
    }
    let head = format!(
        "version {} in force, {} live nodes, as {} sees it\n",
        status.version,
        status.nodes.len(),
        status.instance
    );
    head + &table.render()
}
