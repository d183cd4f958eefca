//! Which run of the backend server a node hears from.
//!
//! Load pattern: servers report themselves every second or two; reports are
//! held up for seconds and arrive after later ones, after the server has said
//! that it leaves, or after it has crashed and another run has begun at the
//! same address, sometimes under the same name. Without an order among them a
//! late report revives a server that leaves, and calls are cut with it.

use std::sync::Arc;

/// Start of a run that has not told it: it was found, or said goodbye only.
const BORN_UNKNOWN: u64 = 0;

/// What a server reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Names the run; a restarted server may use the same name.
    pub run: Arc<str>,
    /// Start of the run by its own clock, milliseconds since 1970.
    pub started_ms: u64,
    /// Grows with every report of the run.
    pub sequence: u64,
    /// True where it leaves.
    pub leaving: bool,
}

/// What a report changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// Nothing: a later one has been heard, or another run has begun.
    Stale,
    /// The run takes work; the first report of it that says so.
    Begins,
    /// The run takes work, as before.
    Continues,
    /// The run takes no more work.
    Leaves,
}

/// The run heard last.
#[derive(Clone, Debug, Default)]
pub struct ServerRuns {
    held: Option<RunReport>,
}

impl ServerRuns {
    /// Takes a report.
    pub fn apply(&mut self, report: RunReport) -> ReportEffect {
        let Some(held) = &mut self.held else {
            return self.begin(report);
        };
        // Guards against a report that was held up until after the goodbye of
        // a run that was only found: taken for the first of another run, it
        // would bring calls back to a server that ends.
        if held.started_ms == BORN_UNKNOWN && held.leaving && held.run == report.run {
            held.started_ms = report.started_ms;
        }
        let same = held.run == report.run && held.started_ms == report.started_ms;
        if !same {
            // Guards against a report of a run that has crashed meanwhile:
            // what it says of its slots and version is no longer true.
            if report.started_ms < held.started_ms {
                return ReportEffect::Stale;
            }
            return self.begin(report);
        }
        if report.sequence <= held.sequence && !report.leaving {
            return ReportEffect::Stale;
        }
        held.sequence = held.sequence.max(report.sequence);
        // A run that has said that it leaves never takes work again.
        if held.leaving || report.leaving {
            held.leaving = true;
            return ReportEffect::Leaves;
        }
        ReportEffect::Continues
    }

    /// The run of this name has left, or is about to; `started_ms` where known.
    /// True where it is the one heard last.
    pub fn deregister(&mut self, run: &str, started_ms: Option<u64>) -> bool {
        let Some(held) = &mut self.held else {
            // Guards against a server found by its health page, or revived by
            // a report that was held up, after its goodbye was acknowledged.
            self.held = Some(RunReport {
                run: run.into(),
                started_ms: started_ms.unwrap_or(BORN_UNKNOWN),
                sequence: 0,
                leaving: true,
            });
            return false;
        };
        if *held.run != *run {
            return false;
        }
        if held.started_ms == BORN_UNKNOWN {
            held.started_ms = started_ms.unwrap_or(BORN_UNKNOWN);
        }
        let same = started_ms.is_none_or(|born| born == held.started_ms);
        held.leaving |= same;
        same
    }

    /// A run was found before it reported. True where none has reported yet;
    /// its first report begins it anew, since it says more.
    pub fn discover(&mut self, run: &Arc<str>) -> bool {
        let first = self.held.is_none();
        if first {
            self.held = Some(RunReport {
                run: Arc::clone(run),
                started_ms: BORN_UNKNOWN,
                sequence: 0,
                leaving: false,
            });
        }
        first
    }

    /// Name of the run heard last.
    pub fn run(&self) -> Option<&Arc<str>> {
        self.held.as_ref().map(|held| &held.run)
    }

    fn begin(&mut self, report: RunReport) -> ReportEffect {
        let leaving = report.leaving;
        self.held = Some(report);
        if leaving {
            ReportEffect::Leaves
        } else {
            ReportEffect::Begins
        }
    }
}
