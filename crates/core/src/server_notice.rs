//! What entry nodes keep of backend servers' statements.
//!
//! Load pattern: the node beside a server is killed or restarted while the server
//! runs on. The new process has not heard what the server stated, and would send it
//! calls beyond its limit, or calls that it no longer takes, until the server's next
//! answers. The entry nodes that passed on an answer with a statement therefore
//! remember it and repeat it to the server's node with their calls.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::server_run::ServerRun;
use crate::server_statement::ServerStatement;
use crate::server_statement::StatedRate;

/// Largest number of servers whose statements are kept. Beyond it the oldest
/// statement is forgotten.
const NOTICES_MAX: usize = 8_192;

const RATE_KEY: &str = "rate=";
const LEAVING_KEY: &str = "leaving=";
const STARTED_KEY: &str = "started_ms=";
const RUN_KEY: &str = "run=";
const SEPARATOR: char = ';';

/// The statement of one run of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerNotice {
    /// Run that made the statement.
    pub run: ServerRun,
    /// The statement.
    pub statement: ServerStatement,
}

impl ServerNotice {
    /// The notice of a statement of `run`; `None` if it states nothing that can be
    /// read.
    pub fn of(run: ServerRun, statement: ServerStatement) -> Option<Self> {
        let limited = matches!(statement.rate, StatedRate::CallsPerSecond(_));
        (limited || statement.leaving).then_some(Self { run, statement })
    }

    /// Parses the text that [`fmt::Display`] writes; `None` if it is not such a
    /// text.
    pub fn parse(text: &str) -> Option<Self> {
        let mut rest = text;
        let mut rate = None;
        let mut leaving = None;
        let mut started_ms = None;
        loop {
            // The name of the run comes last and may contain any character.
            if let Some(name) = rest.strip_prefix(RUN_KEY) {
                let run = ServerRun {
                    name: name.into(),
                    started_ms,
                };
                let statement = ServerStatement::parse(rate, leaving);
                return Some(Self { run, statement });
            }
            let (field, next) = rest.split_once(SEPARATOR)?;
            rest = next;
            if let Some(value) = field.strip_prefix(RATE_KEY) {
                rate = Some(value);
            } else if let Some(value) = field.strip_prefix(LEAVING_KEY) {
                leaving = Some(value);
            } else if let Some(value) = field.strip_prefix(STARTED_KEY) {
                started_ms = Some(value.parse().ok()?);
            }
        }
    }
}

impl fmt::Display for ServerNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let StatedRate::CallsPerSecond(rate) = self.statement.rate {
            write!(f, "{RATE_KEY}{rate}{SEPARATOR}")?;
        }
        if self.statement.leaving {
            write!(f, "{LEAVING_KEY}1{SEPARATOR}")?;
        }
        if let Some(started_ms) = self.run.started_ms {
            write!(f, "{STARTED_KEY}{started_ms}{SEPARATOR}")?;
        }
        write!(f, "{RUN_KEY}{}", self.run.name)
    }
}

#[derive(Debug)]
struct KeptNotice {
    notice: ServerNotice,
    kept_at: Duration,
}

/// The latest statements of the servers whose answers an entry node passed on, by
/// instance.
#[derive(Debug, Default)]
pub struct ServerNotices {
    by_instance: HashMap<Arc<str>, KeptNotice>,
}

impl ServerNotices {
    /// Keeps the statement in an answer that arrived at `now`.
    pub fn keep(&mut self, now: Duration, instance: Arc<str>, notice: ServerNotice) {
        let known = self.by_instance.contains_key(&instance);
        if !known && self.by_instance.len() >= NOTICES_MAX {
            self.forget_oldest();
        }
        let kept = KeptNotice {
            notice,
            kept_at: now,
        };
        self.by_instance.insert(instance, kept);
    }

    /// Records that the server of `instance` answered a call that was planned at
    /// `planned_at`, and stated nothing. A statement that is older than the plan was
    /// repeated with that call, so it no longer holds.
    pub fn record_answer(&mut self, planned_at: Duration, instance: &str) {
        let outdated = self.by_instance.get(instance);
        if outdated.is_some_and(|kept| kept.kept_at <= planned_at) {
            self.by_instance.remove(instance);
        }
    }

    /// The statement to repeat with calls to the server of `instance`.
    pub fn get(&self, instance: &str) -> Option<&ServerNotice> {
        self.by_instance.get(instance).map(|kept| &kept.notice)
    }

    fn forget_oldest(&mut self) {
        let oldest = self.by_instance.iter().min_by_key(|(_, kept)| kept.kept_at);
        let Some(instance) = oldest.map(|(instance, _)| Arc::clone(instance)) else {
            return;
        };
        self.by_instance.remove(&instance);
    }
}
