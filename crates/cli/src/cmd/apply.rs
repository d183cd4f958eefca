//! `cowslip apply`: replaces the whole configuration.

use std::path::PathBuf;

use bpaf::Bpaf;

use cowslip_core::change::ConfigChange;

use super::change_request;
use super::change_request::change_args;
use super::change_request::ChangeArgs;
use crate::document_file;
use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;

const USAGE: &str = "Replaces the whole configuration with a YAML document";
const EXAMPLE: &str = "Example: cowslip apply --expect 1.4 fleet.yaml";

#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("apply"), descr(USAGE), footer(EXAMPLE))]
pub struct ApplyArgs {
    #[bpaf(external(change_args))]
    change: ChangeArgs,
    /// YAML document with services, routes, defaults and exceptions
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub async fn run(config: &OperatorConfig, args: ApplyArgs) -> OperatorResult<()> {
    let document = document_file::read(&args.file)?;
    change_request::send(config, args.change, ConfigChange::Apply(document)).await
}
