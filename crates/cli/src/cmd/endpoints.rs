//! `cowslip endpoints`: the backend servers in the directory.

use bpaf::Bpaf;

use cowslip_core::directory::EndpointRecord;
use cowslip_core::directory::EndpointStanding;
use cowslip_wire::messages::EndpointsCall;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

const USAGE: &str = "Lists the backend servers that have announced themselves";
const EXAMPLE: &str = "Example: cowslip endpoints";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("endpoints"), descr(USAGE), footer(EXAMPLE))]
pub struct EndpointsArgs {}

pub async fn run(config: &OperatorConfig, _args: EndpointsArgs) -> OperatorResult<()> {
    let records = config.client()?.ask(&EndpointsCall {}).await?;
    config.print(&records, |records| table(records))
}

fn table(records: &[EndpointRecord]) -> String {
    let headings = [
        "INSTANCE",
        "SERVICE",
        "VERSION",
        "FAILURE DOMAIN",
        "ADDRESS",
        "SLOTS",
        "STANDING",
    ];
    let mut table = TextTable::new(&headings);
    for record in records {
        let standing = match record.standing {
            EndpointStanding::Serving => "serving",
            EndpointStanding::Draining => "draining",
            EndpointStanding::Gone => "gone",
        };
        table.row(vec![
            record.instance.to_string(),
            record.service.to_string(),
            record.version.to_string(),
            record.failure_domain.to_string(),
            record.address.to_string(),
            record.slots.to_string(),
            standing.to_owned(),
        ]);
    }
    table.render()
}
