//! Sending a change and printing that it was accepted; shared by the
//! subcommands that change something.

use std::sync::Arc;

use bpaf::Bpaf;
use serde::Serialize;

use cowslip_core::change::ConfigChange;
use cowslip_core::version::ConfigVersion;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::request_id::new_request_id;

/// Options of every change.
#[derive(Clone, Debug, Bpaf)]
pub struct ChangeArgs {
    /// Refuse unless this version is in force
    #[bpaf(argument("VERSION"))]
    expect: Option<ConfigVersion>,
    /// Identifier of the request; repeat a change whose answer was lost with
    /// the identifier that was printed
    #[bpaf(argument("ID"))]
    request_id: Option<String>,
}

/// What an accepted change prints.
#[derive(Debug, Serialize)]
struct AcceptedReport {
    state: &'static str,
    version: String,
    request_id: Arc<str>,
}

/// Sends a change and prints the version, which also names the move.
pub async fn send(
    config: &OperatorConfig,
    args: ChangeArgs,
    change: ConfigChange,
) -> OperatorResult<()> {
    let request_id = args.request_id.map_or_else(new_request_id, Arc::from);
    let client = config.client()?;
    let version = client
        .change(Arc::clone(&request_id), args.expect, change)
        .await?;
    let report = AcceptedReport {
        state: "accepted",
        version: version.to_string(),
        request_id,
    };
    config.print(&report, |report| {
        let version = &report.version;
        format!("accepted as {version}; follow it with: cowslip move wait {version}\n")
    })
}
