//! `cowslip member add|remove|list`: membership of the control group.

use std::net::SocketAddr;

use bpaf::Bpaf;
use bpaf::Parser;
use serde::Serialize;

use cowslip_core::agreement::MemberAnswer;
use cowslip_core::agreement::MemberChange;
use cowslip_core::agreement::MemberLine;
use cowslip_core::agreement::MemberRole;
use cowslip_wire::agreement_messages::MemberCall;
use cowslip_wire::agreement_messages::MembersCall;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

const USAGE: &str = "Adds, removes or lists the members of the control group";
const EXAMPLE: &str = "Example: cowslip member add control-2 10.0.2.1:7101";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(member_action))]
pub enum MemberArgs {
    /// Adds a running instance with an empty data folder; also readmits a member
    /// that lost its data folder
    #[bpaf(command("add"), footer(EXAMPLE))]
    Add {
        /// Name of the instance, as in its settings
        #[bpaf(positional("INSTANCE"))]
        instance: String,
        /// Address that it listens on
        #[bpaf(positional("ADDR"))]
        address: SocketAddr,
    },
    /// Removes an instance that will not come back
    #[bpaf(command("remove"), footer("Example: cowslip member remove control-2"))]
    Remove {
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        instance: String,
    },
    /// Lists the members with their role, state and log position
    #[bpaf(command("list"), footer("Example: cowslip member list"))]
    List,
}

/// Output for an accepted membership change.
#[derive(Debug, Serialize)]
struct MemberReport {
    state: &'static str,
    version: String,
    instance: String,
}

/// Returns the parser of this subcommand.
pub fn member_args() -> impl Parser<MemberArgs> {
    member_action()
        .to_options()
        .descr(USAGE)
        .footer(EXAMPLE)
        .command("member")
}

pub async fn run(config: &OperatorConfig, args: MemberArgs) -> OperatorResult<()> {
    match args {
        MemberArgs::Add { instance, address } => {
            let change = MemberChange::Add {
                instance: instance.as_str().into(),
                address,
            };
            let hint = "it votes once it holds the log; see: cowslip member list";
            send(config, instance, change, hint).await
        }
        MemberArgs::Remove { instance } => {
            let change = MemberChange::Remove {
                instance: instance.as_str().into(),
            };
            send(config, instance, change, "stop it now if it still runs").await
        }
        MemberArgs::List => {
            let lines = config.client()?.ask(&MembersCall {}).await?;
            config.print(&lines, |lines| table(lines))
        }
    }
}

async fn send(
    config: &OperatorConfig,
    instance: String,
    change: MemberChange,
    hint: &str,
) -> OperatorResult<()> {
    let answer = config.client()?.ask(&MemberCall { change }).await?;
    let version = match answer {
        MemberAnswer::Accepted(version) => version,
        MemberAnswer::Refused(refusal) => {
            return Err(OperatorError::Missing(format!("{instance}: {refusal}")));
        }
    };
    let report = MemberReport {
        state: "accepted",
        version: version.to_string(),
        instance,
    };
    config.print(&report, |report| {
        format!(
            "{}: accepted as {}; {hint}\n",
            report.instance, report.version
        )
    })
}

fn table(lines: &[MemberLine]) -> String {
    let headings = ["INSTANCE", "ADDRESS", "ROLE", "LEADS", "HEARD", "SYNCED"];
    let mut table = TextTable::new(&headings);
    for line in lines {
        let role = match line.role {
            MemberRole::Voter => "voter",
            MemberRole::Learner => "learner",
        };
        table.row(vec![
            line.instance.to_string(),
            line.address.to_string(),
            role.to_owned(),
            if line.leads { "leads" } else { "-" }.to_owned(),
            if line.live { "live" } else { "silent" }.to_owned(),
            line.synced.to_string(),
        ]);
    }
    table.render()
}
