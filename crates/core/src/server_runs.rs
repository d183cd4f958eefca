//! Orders the reports of the runs of a node's backend server.
//!
//! Load pattern: servers report every one or two seconds. A report may be
//! delayed by seconds and arrive after later reports, after the server
//! reported that it is leaving, or after the server crashed and a new run
//! began at the same address, sometimes under the same name. Without an order
//! among reports a late one would bring back a leaving server, and calls sent
//! to it would be cut off when it ends.

use std::sync::Arc;

use crate::server_run::ServerRun;

/// Start time of a run that has not reported one, because it was only
/// discovered or deregistered.
const START_UNKNOWN: u64 = 0;

/// How far a run's start may lie ahead of the wall clock here, in milliseconds: far more
/// than such clocks differ or are stepped.
const START_AHEAD_MAX_MS: u64 = 60 * 60 * 1_000;

/// Returns whether a run may have started at `started_ms` if it is now `now_ms`, both
/// in milliseconds since the Unix epoch. A run with a later start than is possible
/// would make the reports of all true ones out of date.
pub fn is_possible_start(started_ms: u64, now_ms: u64) -> bool {
    started_ms <= now_ms.saturating_add(START_AHEAD_MAX_MS)
}

/// A server's report about its present run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Name of the run. A restarted server may use the same name again.
    pub run: Arc<str>,
    /// Start time of the run by the server's clock, in milliseconds since the
    /// Unix epoch.
    pub started_ms: u64,
    /// Sequence number, which increases with every report of the run.
    pub sequence: u64,
    /// True if the run is leaving and takes no more work.
    pub leaving: bool,
}

/// Effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// Ignored, because a later report has arrived or a newer run has begun.
    Stale,
    /// First report of a run that takes work.
    Begins,
    /// Further report of a run that takes work.
    Continues,
    /// The run takes no more work.
    Leaves,
}

/// The latest known run of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerRuns {
    latest: Option<RunReport>,
}

impl ServerRuns {
    /// Applies a report and returns its effect.
    pub fn apply(&mut self, report: RunReport) -> ReportEffect {
        let Some(latest) = &mut self.latest else {
            return self.begin(report);
        };
        // A delayed report may arrive after the deregistration of a run that
        // was only discovered. If it counted as the first report of another
        // run, calls would be sent to a server that is ending.
        if latest.started_ms == START_UNKNOWN
            && latest.leaving
            && latest.run == report.run
        {
            latest.started_ms = report.started_ms;
        }
        let same_run = latest.run == report.run && latest.started_ms == report.started_ms;
        if !same_run {
            // A run that has crashed in the meantime: the slots and the version
            // in its report are out of date.
            if report.started_ms < latest.started_ms {
                return ReportEffect::Stale;
            }
            return self.begin(report);
        }
        if report.sequence <= latest.sequence && !report.leaving {
            return ReportEffect::Stale;
        }
        latest.sequence = latest.sequence.max(report.sequence);
        // Once a run has reported that it is leaving, it never takes work again.
        if latest.leaving || report.leaving {
            latest.leaving = true;
            return ReportEffect::Leaves;
        }
        ReportEffect::Continues
    }

    /// Marks the run of this name as leaving. `started_ms` is its start time, if
    /// known. Returns true if it was the latest known run before.
    pub fn deregister(&mut self, run: &str, started_ms: Option<u64>) -> bool {
        let Some(latest) = &mut self.latest else {
            // Keeps a server whose deregistration was acknowledged from being
            // discovered by its health page, or brought back by a delayed
            // report.
            self.latest = Some(RunReport {
                run: run.into(),
                started_ms: started_ms.unwrap_or(START_UNKNOWN),
                sequence: 0,
                leaving: true,
            });
            return false;
        };
        if *latest.run != *run {
            return false;
        }
        if latest.started_ms == START_UNKNOWN {
            latest.started_ms = started_ms.unwrap_or(START_UNKNOWN);
        }
        let same_run = started_ms.is_none_or(|started| started == latest.started_ms);
        latest.leaving |= same_run;
        same_run
    }

    /// Records a run that was discovered before it reported. Returns true if no
    /// run was known. The first report of the run still has the effect
    /// [`ReportEffect::Begins`], because it contains more than the discovery.
    pub fn discover(&mut self, run: &Arc<str>) -> bool {
        let first = self.latest.is_none();
        if first {
            self.latest = Some(RunReport {
                run: Arc::clone(run),
                started_ms: START_UNKNOWN,
                sequence: 0,
                leaving: false,
            });
        }
        first
    }

    /// The latest known run, with its start time if that is known.
    pub fn server_run(&self) -> Option<ServerRun> {
        let latest = self.latest.as_ref()?;
        let started_ms = latest.started_ms;
        Some(ServerRun {
            name: Arc::clone(&latest.run),
            started_ms: (started_ms != START_UNKNOWN).then_some(started_ms),
        })
    }

    fn begin(&mut self, report: RunReport) -> ReportEffect {
        let leaving = report.leaving;
        self.latest = Some(report);
        if leaving {
            ReportEffect::Leaves
        } else {
            ReportEffect::Begins
        }
    }
}
