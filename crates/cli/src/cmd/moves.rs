//! `cowslip move start|take-back|list|show|wait`: moves of services between
//! backend server versions, and the progress of configuration changes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use bpaf::Parser;

use cowslip_core::change::ConfigChange;
use cowslip_core::move_tracker::MoveState;
use cowslip_core::rollout::rollout_change::MoveChange;
use cowslip_core::rollout::rollout_change::MoveCounts;
use cowslip_core::rollout::rollout_change::TakeBackCause;
use cowslip_core::rollout::share_plan::QuietChoice;
use cowslip_core::version::ConfigVersion;

use self::due_time::DueTime;
use self::move_entry::MoveEntry;
use super::change_request;
use super::change_request::change_args;
use super::change_request::ChangeArgs;
use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;

mod due_time;
mod move_entry;
mod move_plot;

const USAGE: &str =
    "Moves services to new backend server versions and reports the progress of changes";
const START_EXAMPLE: &str =
    "Example: cowslip move start --service ledger --to v2 --by 30m --reason 'new tax rate'";
const TAKE_BACK_EXAMPLE: &str =
    "Example: cowslip move take-back 1.5 --reason 'wrong build'";
const WAIT_EXAMPLE: &str = "Example: cowslip move wait 1.5 --patience 30";

/// Interval between queries while waiting for a move.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(move_action))]
pub enum MoveArgs {
    /// Starts moving a service to a new backend server version
    #[bpaf(command("start"), footer(START_EXAMPLE))]
    Start {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// Service to move
        #[bpaf(argument("SERVICE"))]
        service: String,
        /// New version, which its backend servers must have announced
        #[bpaf(argument("VERSION"))]
        to: String,
        /// When the move must be done: 90s, 30m, 2h or 2026-12-03T06:00:00Z
        #[bpaf(argument("TIME"))]
        by: DueTime,
        /// Reason for the move, stored with it
        #[bpaf(argument("TEXT"), fallback(String::new()))]
        reason: String,
        /// With too few calls for evidence: finish in time, or hold the move
        #[bpaf(argument::<String>("finish|hold"), parse(quiet_choice), fallback(QuietChoice::Finish))]
        if_quiet: QuietChoice,
    },
    /// Takes back a move of a backend server version
    #[bpaf(command("take-back"), footer(TAKE_BACK_EXAMPLE))]
    TakeBack {
        #[bpaf(external(change_args))]
        change: ChangeArgs,
        /// Reason for taking it back, stored with the move
        #[bpaf(argument("TEXT"))]
        reason: String,
        /// Configuration version that started the move
        #[bpaf(positional("VERSION"))]
        version: ConfigVersion,
    },
    /// Lists the moves still on record, newest last
    #[bpaf(command("list"), footer("Example: cowslip move list"))]
    List,
    /// Shows one move
    #[bpaf(command("show"), footer("Example: cowslip move show 1.5"))]
    Show {
        /// Plot the share and the evidence over time into this SVG file
        #[bpaf(argument("FILE"))]
        plot: Option<PathBuf>,
        /// Configuration version of the move
        #[bpaf(positional("VERSION"))]
        version: ConfigVersion,
    },
    /// Waits until a move is done or taken back
    #[bpaf(command("wait"), footer(WAIT_EXAMPLE))]
    Wait {
        /// Longest time to wait, in seconds
        #[bpaf(long("patience"), argument("SECONDS"), fallback(60))]
        timeout_seconds: u64,
        /// Configuration version of the move
        #[bpaf(positional("VERSION"))]
        version: ConfigVersion,
    },
}

fn quiet_choice(text: String) -> Result<QuietChoice, String> {
    match text.as_str() {
        "finish" => Ok(QuietChoice::Finish),
        "hold" => Ok(QuietChoice::Hold),
        _ => Err(format!("{text:?} is neither finish nor hold")),
    }
}

/// Returns the parser of this subcommand.
pub fn move_args() -> impl Parser<MoveArgs> {
    move_action()
        .to_options()
        .descr(USAGE)
        .footer(START_EXAMPLE)
        .command("move")
}

pub async fn run(config: &OperatorConfig, args: MoveArgs) -> OperatorResult<()> {
    match args {
        MoveArgs::Start {
            change,
            service,
            to,
            by,
            reason,
            if_quiet,
        } => {
            let start = MoveChange::Start {
                service: Arc::from(service),
                to: Arc::from(to),
                due: by.0,
                reason,
                if_quiet,
            };
            change_request::send(config, change, ConfigChange::Move(start)).await
        }
        MoveArgs::TakeBack {
            change,
            reason,
            version,
        } => {
            let take_back = MoveChange::TakeBack {
                rollout: version,
                cause: TakeBackCause::Operator { reason },
                counts: MoveCounts::default(),
            };
            change_request::send(config, change, ConfigChange::Move(take_back)).await
        }
        MoveArgs::List => {
            let entries = move_entry::fetch_all(config).await?;
            config.print(&entries, |entries| move_entry::table(entries))
        }
        MoveArgs::Show { plot, version } => show(config, plot, version).await,
        MoveArgs::Wait {
            timeout_seconds,
            version,
        } => wait(config, version, Duration::from_secs(timeout_seconds)).await,
    }
}

async fn show(
    config: &OperatorConfig,
    plot: Option<PathBuf>,
    version: ConfigVersion,
) -> OperatorResult<()> {
    let mut entry = move_entry::fetch(config, version, plot.is_some()).await?;
    if let Some(file) = plot {
        let Some(rollout) = &mut entry.rollout else {
            let problem = format!("{version} is not a move of a backend server version");
            return Err(OperatorError::Missing(problem));
        };
        move_plot::draw(rollout, &file)?;
        rollout.course.clear();
    }
    config.print(&entry, move_entry::text)
}

async fn wait(
    config: &OperatorConfig,
    version: ConfigVersion,
    timeout: Duration,
) -> OperatorResult<()> {
    let started = Instant::now();
    loop {
        let entry = move_entry::fetch(config, version, false).await?;
        match entry.state() {
            MoveState::Done => return config.print(&entry, move_entry::text),
            MoveState::TakenBack => return report_taken_back(config, &entry),
            MoveState::InProgress => {}
        }
        if started.elapsed() >= timeout {
            return Err(OperatorError::NoAnswer(format!(
                "{version} is still in progress after {} s",
                timeout.as_secs()
            )));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn report_taken_back(config: &OperatorConfig, entry: &MoveEntry) -> OperatorResult<()> {
    config.print(entry, move_entry::text)?;
    let cause = entry.cause().unwrap_or_default();
    let version = entry.line.version;
    Err(OperatorError::TakenBack(format!(
        "{version} was taken back: {cause}"
    )))
}
