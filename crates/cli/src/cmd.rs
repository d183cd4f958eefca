//! Command line of `cowslip`. Each subcommand has a module of its own.

use bpaf::construct;
use bpaf::OptionParser;
use bpaf::Parser;

use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorResult;

mod apply;
mod change_request;
mod default;
mod endpoints;
mod evacuate;
mod exception;
mod explain;
mod member;
mod moves;
mod quarantine;
mod show;
mod status;
mod timestamp;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
enum OperatorCommand {
    Apply(apply::ApplyArgs),
    Show(show::ShowArgs),
    Default(default::DefaultArgs),
    Exception(exception::ExceptionArgs),
    Member(member::MemberArgs),
    Move(moves::MoveArgs),
    Endpoints(endpoints::EndpointsArgs),
    Evacuate(evacuate::EvacuateArgs),
    Quarantine(quarantine::QuarantineArgs),
    Status(status::StatusArgs),
    Explain(explain::ExplainArgs),
}

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct CommandLine {
    config: OperatorConfig,
    command: OperatorCommand,
}

/// Returns the parser of the command line.
pub fn command_line() -> OptionParser<CommandLine> {
    let config = OperatorConfig::parser();
    let command = command();
    construct!(CommandLine { config, command })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a cowslipwall fleet")
        .footer("Exit status: 0 done, 1 refused or taken back, 2 usage, 3 no answer")
}

fn command() -> impl Parser<OperatorCommand> {
    let apply = apply::apply_args().map(OperatorCommand::Apply);
    let show = show::show_args().map(OperatorCommand::Show);
    let default = default::default_args().map(OperatorCommand::Default);
    let exception = exception::exception_args().map(OperatorCommand::Exception);
    let member = member::member_args().map(OperatorCommand::Member);
    let moves = moves::move_args().map(OperatorCommand::Move);
    let endpoints = endpoints::endpoints_args().map(OperatorCommand::Endpoints);
    let evacuate = evacuate::evacuate_args().map(OperatorCommand::Evacuate);
    let quarantine = quarantine::quarantine_args().map(OperatorCommand::Quarantine);
    let status = status::status_args().map(OperatorCommand::Status);
    let explain = explain::explain_args().map(OperatorCommand::Explain);
    construct!([
        apply, show, default, exception, member, moves, endpoints, evacuate, quarantine,
        status, explain
    ])
}

impl CommandLine {
    /// Runs the subcommand.
    pub async fn run(self) -> OperatorResult<()> {
        let config = &self.config;
        match self.command {
            OperatorCommand::Apply(args) => apply::run(config, args).await,
            OperatorCommand::Show(args) => show::run(config, args).await,
            OperatorCommand::Default(args) => default::run(config, args).await,
            OperatorCommand::Exception(args) => exception::run(config, args).await,
            OperatorCommand::Member(args) => member::run(config, args).await,
            OperatorCommand::Move(args) => moves::run(config, args).await,
            OperatorCommand::Endpoints(args) => endpoints::run(config, args).await,
            OperatorCommand::Evacuate(args) => evacuate::run(config, args).await,
            OperatorCommand::Quarantine(args) => quarantine::run(config, args).await,
            OperatorCommand::Status(args) => status::run(config, args).await,
            OperatorCommand::Explain(args) => explain::run(config, args).await,
        }
    }
}
