//! The error type of the operators' command, and its exit statuses.

use thiserror::Error;

use cowslip_core::change::ChangeOutcome;
use cowslip_wire::peer_client::PeerError;
use cowslip_wire::settings_file::SettingsError;

/// Result of a subcommand or one of its steps.
pub type OperatorResult<T> = Result<T, OperatorError>;

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The change was refused.
    #[error("{}", refusal_text(.0))]
    Refused(ChangeOutcome),
    /// The move that the command waited for was taken back.
    #[error("{0}")]
    TakenBack(String),
    /// The requested item does not exist, or a membership change was refused.
    #[error("{0}")]
    Missing(String),
    /// An argument, the access key or a file is unusable.
    #[error("{0}")]
    Usage(String),
    /// No control instance could be reached, so no call was received; or a move
    /// did not end within its wait.
    #[error("no control instance answered: {0}")]
    NoAnswer(String),
    /// A call may have been received, but its answer was lost.
    #[error("the answer was lost: {0}")]
    AnswerLost(String),
    /// A change may have been accepted, but its answer was lost.
    #[error("no answer: {problem}; the change may have been accepted, repeat it with --request-id {request_id}")]
    MaybeAccepted {
        /// The last failure.
        problem: String,
        /// Request ID to repeat the change with.
        request_id: String,
    },
}

impl OperatorError {
    /// Returns the exit status of the process: 1 refused, taken back or missing, 2 usage,
    /// 3 no answer.
    pub fn exit_status(&self) -> i32 {
        match self {
            Self::Refused(_) | Self::TakenBack(_) | Self::Missing(_) => 1,
            Self::Usage(_) => 2,
            Self::NoAnswer(_) | Self::AnswerLost(_) | Self::MaybeAccepted { .. } => 3,
        }
    }
}

fn refusal_text(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Accepted { version } => format!("accepted as {version}"),
        ChangeOutcome::Conflict { current, winner } => format!(
            "another change came first: version {current} is in force, made by request {winner}"
        ),
        ChangeOutcome::Invalid { faults } => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            format!("refused:\n  {}", lines.join("\n  "))
        }
    }
}

impl From<SettingsError> for OperatorError {
    fn from(error: SettingsError) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<PeerError> for OperatorError {
    fn from(error: PeerError) -> Self {
        Self::NoAnswer(error.to_string())
    }
}
