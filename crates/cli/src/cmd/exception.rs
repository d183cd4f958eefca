//! `cowslip exception add|remove|list`: exceptions to the defaults.

use std::sync::Arc;

use bpaf::Bpaf;
use bpaf::Parser;

use cowslip_core::change::ConfigChange;
use cowslip_core::document::ExceptionEntry;
use cowslip_core::document::ExceptionScope;
use cowslip_core::tuning::TuningKey;
use cowslip_wire::messages::ShowCall;

use super::change_request;
use super::change_request::change_args;
use super::change_request::ChangeArgs;
use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

const USAGE: &str = "Adds, removes or lists exceptions to the fleet's defaults";
const EXAMPLE: &str =
    "Example: cowslip exception add --id slow-season --service contract \
--reason 'acceptances take longer while the presses run' deadline_ms 8000";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(exception_action))]
pub enum ExceptionArgs {
    /// Adds an exception
    #[bpaf(command("add"), footer(EXAMPLE))]
    Add {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// Name of the exception, by which it can be removed
        #[bpaf(argument("ID"))]
        id: String,
        /// Reason for the exception, stored with it
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// Restrict the exception to calls to this service
        #[bpaf(argument("SERVICE"))]
        service: Option<String>,
        /// Restrict the exception to calls on the route with this path
        #[bpaf(argument("PATH"))]
        route: Option<String>,
        /// Restrict the exception to nodes in this failure domain
        #[bpaf(argument("DOMAIN"))]
        failure_domain: Option<String>,
        /// Tuning key; see `default list`
        #[bpaf(positional("KEY"))]
        key: TuningKey,
        /// Value, in the unit given by the key's name
        #[bpaf(positional("VALUE"))]
        value: u64,
    },
    /// Removes an exception
    #[bpaf(
        command("remove"),
        footer("Example: cowslip exception remove slow-season")
    )]
    Remove {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// Name of the exception
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Lists the exceptions with their reasons
    #[bpaf(command("list"), footer("Example: cowslip exception list"))]
    List,
}

/// Returns the parser of this subcommand.
pub fn exception_args() -> impl Parser<ExceptionArgs> {
    exception_action()
        .to_options()
        .descr(USAGE)
        .footer(EXAMPLE)
        .command("exception")
}

pub async fn run(config: &OperatorConfig, args: ExceptionArgs) -> OperatorResult<()> {
    match args {
        ExceptionArgs::Add {
            change,
            id,
            reason,
            service,
            route,
            failure_domain,
            key,
            value,
        } => {
            let scope = ExceptionScope {
                service: service.map(Arc::from),
                route: route.map(Arc::from),
                failure_domain: failure_domain.map(Arc::from),
            };
            let entry = ExceptionEntry {
                id: id.into(),
                scope,
                key,
                value,
                reason,
            };
            change_request::send(config, change, ConfigChange::AddException(entry)).await
        }
        ExceptionArgs::Remove { change, id } => {
            let id = id.into();
            change_request::send(config, change, ConfigChange::RemoveException { id })
                .await
        }
        ExceptionArgs::List => list(config).await,
    }
}

async fn list(config: &OperatorConfig) -> OperatorResult<()> {
    let snapshot = config.client()?.ask(&ShowCall {}).await?;
    config.print(&snapshot.document.exceptions, |entries| table(entries))
}

fn table(entries: &[ExceptionEntry]) -> String {
    let headings = [
        "ID",
        "SERVICE",
        "ROUTE",
        "FAILURE DOMAIN",
        "KEY",
        "VALUE",
        "REASON",
    ];
    let mut table = TextTable::new(&headings);
    for entry in entries {
        table.row(vec![
            entry.id.to_string(),
            name_or_any(&entry.scope.service),
            name_or_any(&entry.scope.route),
            name_or_any(&entry.scope.failure_domain),
            entry.key.to_string(),
            entry.value.to_string(),
            entry.reason.clone(),
        ]);
    }
    table.render()
}

fn name_or_any(name: &Option<Arc<str>>) -> String {
    name.as_deref().unwrap_or("any").to_owned()
}
