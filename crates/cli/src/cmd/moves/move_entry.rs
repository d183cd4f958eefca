//! Moves as listed and shown: a configuration change, together with the move to
//! a new backend server version if it started one.

use serde::Serialize;

use cowslip_core::move_tracker::MoveState;
use cowslip_core::rollout::rollout_record::RolloutEnd;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::evidence_messages::RolloutLine;
use cowslip_wire::evidence_messages::RolloutsCall;
use cowslip_wire::messages::MoveLine;
use cowslip_wire::messages::MovesCall;

use super::due_time::format_duration;
use crate::cmd::timestamp::format_timestamp;
use crate::operator_config::OperatorConfig;
use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;
use crate::text_table::TextTable;

/// A configuration change and its progress.
#[derive(Debug, Serialize)]
pub struct MoveEntry {
    /// The change. If it started a move to another backend server version, its
    /// progress is that of the whole move.
    #[serde(flatten)]
    pub line: MoveLine,
    /// The move to another backend server version that the change started.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutLine>,
}

/// Fetches all moves still on record, newest last.
pub async fn fetch_all(config: &OperatorConfig) -> OperatorResult<Vec<MoveEntry>> {
    let client = config.client()?;
    let lines = client.ask(&MovesCall { version: None }).await?;
    let mut rollouts = client.ask(&RolloutsCall::default()).await?;
    let mut entries = Vec::with_capacity(lines.len());
    for line in lines {
        let found = rollouts
            .iter()
            .position(|rollout| rollout.record.rollout == line.version);
        let rollout = found.map(|at| rollouts.swap_remove(at));
        entries.push(MoveEntry::new(line, rollout));
    }
    Ok(entries)
}

/// Fetches the move of configuration version `version`, with its course over
/// time if `course` is set. Fails with [`OperatorError::Missing`] if there is
/// none.
pub async fn fetch(
    config: &OperatorConfig,
    version: ConfigVersion,
    course: bool,
) -> OperatorResult<MoveEntry> {
    let client = config.client()?;
    let call = MovesCall {
        version: Some(version),
    };
    let mut lines = client.ask(&call).await?;
    let missing = OperatorError::Missing(format!("no move has version {version}"));
    let line = lines.pop().ok_or(missing)?;
    let call = RolloutsCall {
        rollout: Some(version),
        service: None,
        course,
    };
    let rollout = client.ask(&call).await?.pop();
    Ok(MoveEntry::new(line, rollout))
}

impl MoveEntry {
    fn new(mut line: MoveLine, rollout: Option<RolloutLine>) -> Self {
        if let Some(rollout) = &rollout {
            line.progress = rollout.nodes;
            line.progress.state = rollout.state;
            line.done_after_ms = rollout.ended_after_ms;
        }
        Self { line, rollout }
    }

    /// Returns the state of the whole move.
    pub fn state(&self) -> MoveState {
        self.line.progress.state
    }

    /// Returns the cause if the move was taken back.
    pub fn cause(&self) -> Option<String> {
        match &self.rollout.as_ref()?.record.end {
            Some(RolloutEnd::TakenBack { cause }) => Some(cause.to_string()),
            Some(RolloutEnd::Finished { .. }) | None => None,
        }
    }
}

/// Formats moves as a table, one row per move.
pub fn table(entries: &[MoveEntry]) -> String {
    let headings = ["VERSION", "STATE", "NODES", "REFUSED", "AFTER", "WHAT"];
    let mut table = TextTable::new(&headings);
    for entry in entries {
        let progress = entry.line.progress;
        let after = entry.line.done_after_ms.map(|after| format!("{after} ms"));
        table.row(vec![
            entry.line.version.to_string(),
            progress.state.as_str().to_owned(),
            format!("{}/{}", progress.nodes_applied, progress.nodes_live),
            progress.nodes_refused.to_string(),
            after.unwrap_or_else(|| "-".to_owned()),
            summary(entry),
        ]);
    }
    table.render()
}

fn summary(entry: &MoveEntry) -> String {
    let Some(rollout) = &entry.rollout else {
        return entry.line.summary.clone();
    };
    let record = &rollout.record;
    format!(
        "{} {} -> {}: {} of 1000 calls",
        record.service,
        record.from,
        record.to,
        record.share()
    )
}

/// Formats one move in full.
pub fn text(entry: &MoveEntry) -> String {
    let mut text = table(std::slice::from_ref(entry));
    let Some(rollout) = &entry.rollout else {
        return text;
    };
    let record = &rollout.record;
    let counts = rollout.counts;
    let mut add = |name: &str, value: String| {
        if !value.is_empty() {
            text.push_str(&format!("{name:<10} {value}\n"));
        }
    };
    add("reason", record.reason.clone());
    add("started", format_timestamp(record.started_ms));
    add("set time", due_text(rollout));
    add(
        "waits for",
        rollout.wait.map_or("", |wait| wait.as_str()).to_owned(),
    );
    add("cause", entry.cause().unwrap_or_default());
    add(
        "calls",
        format!(
            "{} in all, {} of the new version, {} of them failed ({:.3} % of all)",
            counts.calls,
            counts.new_calls,
            counts.new_failures,
            counts.new_failures as f64 * 100.0 / counts.calls.max(1) as f64
        ),
    );
    for step in &record.steps {
        let after = step.at_ms.saturating_sub(record.started_ms);
        let share = step.share_per_mille;
        add(
            "share",
            format!("{share} of 1000 after {}", format_duration(after)),
        );
    }
    text
}

/// Formats the due time, and whether it was met and if not, why.
fn due_text(rollout: &RolloutLine) -> String {
    let record = &rollout.record;
    let due = format_timestamp(record.due_ms);
    let given = record.due_ms.saturating_sub(record.started_ms);
    let met = match (rollout.state, rollout.ended_after_ms) {
        (MoveState::Done, Some(after)) if after <= given => {
            let early = format_duration(given - after);
            format!("met, {early} before")
        }
        (MoveState::Done, _) => format!("missed: {}", missed_reason(record)),
        (MoveState::TakenBack, _) => "not met: taken back".to_owned(),
        (MoveState::InProgress, _) => "in progress".to_owned(),
    };
    format!("{due} ({met})")
}

fn missed_reason(record: &RolloutRecord) -> &'static str {
    match &record.end {
        Some(RolloutEnd::Finished { waited: Some(wait) }) => wait.as_str(),
        _ => "the last change reached some nodes late",
    }
}
