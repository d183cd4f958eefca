//! What the current run of a backend server has stated, as its own node knows it.

use std::time::Duration;

use crate::load::stated_limit::StatedLimit;
use crate::refusal::RefusalReason;
use crate::server_notice::ServerNotice;
use crate::server_run::ServerRun;
use crate::server_statement::ServerStatement;
use crate::server_statement::StatedRate;

/// Statements of the run of a server that is sent calls.
#[derive(Clone, Debug, Default)]
pub struct RunStatements {
    /// The run, if the server names its runs.
    run: Option<ServerRun>,
    leaving: bool,
    limit: StatedLimit,
    /// True once the run has answered a call of this process.
    answered: bool,
}

impl RunStatements {
    /// Records which run is sent calls from now on. What another run has stated no
    /// longer counts.
    pub fn begin_run(&mut self, run: Option<ServerRun>) {
        let continues = match (&self.run, &run) {
            (Some(current), Some(next)) => current.may_be(next),
            _ => false,
        };
        if !continues {
            *self = Self::default();
        }
        self.run = run;
    }

    /// The run that is sent calls, if the server names its runs.
    pub fn run(&self) -> Option<&ServerRun> {
        self.run.as_ref()
    }

    /// True if the run has stated that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Limit that the run states.
    pub fn limit(&self) -> &StatedLimit {
        &self.limit
    }

    /// Limit that the run states, to record calls.
    pub fn limit_mut(&mut self) -> &mut StatedLimit {
        &mut self.limit
    }

    /// Applies the statement in an answer that arrived at `now` to a request that
    /// was sent at `sent_at`.
    pub fn record(
        &mut self,
        now: Duration,
        sent_at: Duration,
        statement: ServerStatement,
    ) {
        self.answered = true;
        self.leaving |= statement.leaving;
        self.limit.record(now, sent_at, statement.rate);
    }

    /// Records that the run has answered a call.
    pub fn record_answer(&mut self) {
        self.answered = true;
    }

    /// Applies what an entry node heard the server state, before a call of that
    /// entry node. A limit counts only until the server has answered a call of this
    /// process; of several limits the lowest counts, since which is the latest is
    /// not known.
    ///
    /// # Errors
    ///
    /// Refuses the call if the entry node heard that the current run is leaving.
    pub fn apply_notice(
        &mut self,
        now: Duration,
        notice: &ServerNotice,
    ) -> Result<(), RefusalReason> {
        let current = self.run.as_ref();
        if !current.is_some_and(|run| run.may_be(&notice.run)) {
            return Ok(());
        }
        if notice.statement.leaving {
            return Err(RefusalReason::Draining);
        }
        if let (StatedRate::CallsPerSecond(rate), false) =
            (notice.statement.rate, self.answered)
        {
            let lowest = self.limit.rate().map_or(rate, |known| known.min(rate));
            let lowest = StatedRate::CallsPerSecond(lowest);
            self.limit.record(now, now, lowest);
        }
        Ok(())
    }
}
