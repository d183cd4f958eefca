//! Log lines about what the backend server states in its answers.

use std::sync::Arc;
use std::time::Duration;

use log::info;

use cowslip_core::server_run::ServerRun;
use cowslip_core::server_statement::ServerStatement;
use cowslip_core::server_statement::StatedRate;

/// Minimum time between two log lines that differ only in the stated rate.
const RATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State of the gate when a statement arrived.
#[derive(Clone, Copy, Debug)]
pub struct GateFigures {
    /// Calls at the server.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Calls granted since the node started.
    pub granted: u64,
}

/// Logs statements when they change.
#[derive(Debug)]
pub struct StatementLog {
    instance: Arc<str>,
    logged: ServerStatement,
    logged_at: Duration,
}

impl StatementLog {
    /// Creates the log of the server at `instance`, which has stated nothing.
    pub fn new(instance: Arc<str>) -> Self {
        Self {
            instance,
            logged: ServerStatement::default(),
            logged_at: Duration::ZERO,
        }
    }

    /// Logs `statement` if it differs from the last one logged.
    pub fn record(
        &mut self,
        now: Duration,
        run: Option<&ServerRun>,
        statement: ServerStatement,
        figures: GateFigures,
    ) {
        if statement == self.logged {
            return;
        }
        let only_rate_differs = is_limited(&statement) == is_limited(&self.logged)
            && statement.leaving == self.logged.leaving;
        if only_rate_differs && now < self.logged_at + RATE_LOG_INTERVAL {
            return;
        }
        self.logged = statement;
        self.logged_at = now;
        info!(
            "event=server-statement process=node instance={} run={} rate={} leaving={} in_flight={} waiting={} granted={}",
            self.instance,
            run.map_or("-", |run| &run.name),
            rate_text(statement.rate),
            statement.leaving,
            figures.in_flight,
            figures.waiting,
            figures.granted
        );
    }
}

fn is_limited(statement: &ServerStatement) -> bool {
    statement.rate != StatedRate::Unlimited
}

fn rate_text(rate: StatedRate) -> String {
    match rate {
        StatedRate::Unlimited => "unlimited".to_owned(),
        StatedRate::Unreadable => "unreadable".to_owned(),
        StatedRate::CallsPerSecond(rate) => rate.to_string(),
    }
}
