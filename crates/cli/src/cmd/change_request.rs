//! Sends a change and reports its acceptance, for all subcommands that change the
//! configuration.

use std::sync::Arc;

use bpaf::Bpaf;
use serde::Serialize;

use cowslip_core::change::ConfigChange;
use cowslip_core::version::ConfigVersion;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;
use crate::request_id::new_request_id;

/// Options of every subcommand that changes the configuration.
#[derive(Clone, Debug, Bpaf)]
pub struct ChangeArgs {
    /// Refuse the change unless this version is in force
    #[bpaf(argument("VERSION"))]
    expect: Option<ConfigVersion>,
    /// Request ID; to repeat a change whose answer was lost, give the request ID
    /// that was printed
    #[bpaf(argument("ID"))]
    request_id: Option<String>,
}

/// Output for an accepted change.
#[derive(Debug, Serialize)]
struct AcceptedReport {
    state: &'static str,
    version: String,
    request_id: Arc<str>,
}

/// Sends a change and prints the version that it made, which also identifies its
/// move. Uses a new request ID if none is given.
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
