//! Orders the reports of the runs of a node's backend server.
//!
//! Load pattern: servers report every one or two seconds. A report may be
//! delayed by seconds and arrive after later reports, after the server
//! reported that it is leaving, or after the server crashed and a new run
//! began at the same address, sometimes under the same name. Without an order
//! among reports a late one would bring back a leaving server, and calls sent
//! to it would be cut off when it ends.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::server_run::ServerRun;

/// Largest number of departed runs that are kept, the latest ones. Late reports are
/// those of the last few runs.
const DEPARTED_MAX: usize = 16;

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
    /// First report of a run that takes work. Nothing shows that another run has
    /// ended without notice.
    Begins,
    /// First report of a run that takes work and began after the latest known one,
    /// which has ended without notice.
    Replaces,
    /// First report of the run that was found; it takes work.
    Confirms,
    /// Further report of a run that takes work.
    Continues,
    /// The run takes no more work.
    Leaves,
}

/// Start of a run. Server and node have the same wall clock, so the times of both
/// can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunStart {
    /// Stated by the run, in milliseconds since the Unix epoch.
    Stated(u64),
    /// Not known, but not later than this time, when the run was heard of.
    Before(u64),
}

/// How the run of a report relates to the latest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunRelation {
    Same,
    Earlier,
    Later,
    /// Another run, of which it is not known whether it started earlier or later.
    Unclear,
}

/// A run, as far as it is known.
#[derive(Clone, Debug)]
struct RunIdentity {
    name: Arc<str>,
    start: RunStart,
}

impl RunIdentity {
    fn relation(&self, report: &RunReport) -> RunRelation {
        match self.start {
            RunStart::Stated(started_ms) if report.started_ms < started_ms => {
                RunRelation::Earlier
            }
            RunStart::Stated(started_ms) if report.started_ms > started_ms => {
                RunRelation::Later
            }
            RunStart::Before(heard_ms) if report.started_ms > heard_ms => {
                RunRelation::Later
            }
            _ if self.name == report.run => RunRelation::Same,
            RunStart::Stated(_) => RunRelation::Later,
            RunStart::Before(_) => RunRelation::Unclear,
        }
    }

    /// Whether this may be the run of this name that started at `started_ms`; `None`
    /// is any time.
    fn may_be(&self, name: &str, started_ms: Option<u64>) -> bool {
        let may_have_started = |started_ms| match self.start {
            RunStart::Stated(stated_ms) => stated_ms == started_ms,
            RunStart::Before(heard_ms) => started_ms <= heard_ms,
        };
        *self.name == *name && started_ms.is_none_or(may_have_started)
    }
}

#[derive(Clone, Debug)]
struct DepartedRun {
    identity: RunIdentity,
    /// When that was heard, by the wall clock, in milliseconds.
    at_ms: u64,
}

#[derive(Clone, Debug)]
struct LatestRun {
    identity: RunIdentity,
    sequence: u64,
    leaving: bool,
}

/// The latest known run of a server, and runs that have departed.
#[derive(Clone, Debug, Default)]
pub struct ServerRuns {
    latest: Option<LatestRun>,
    departed: VecDeque<DepartedRun>,
    /// Run whose first report could not be ordered, and was ignored.
    ignored: Option<ServerRun>,
}

impl ServerRuns {
    /// Applies a report and returns its effect.
    pub fn apply(&mut self, mut report: RunReport) -> ReportEffect {
        let departed = self.may_have_departed(&report.run, Some(report.started_ms));
        report.leaving |= departed;
        let Some(latest) = &mut self.latest else {
            return self.begin(report, ReportEffect::Begins);
        };
        match latest.identity.relation(&report) {
            RunRelation::Same => {}
            // A run that has crashed in the meantime: the slots and the version
            // in its report are out of date.
            RunRelation::Earlier => return ReportEffect::Stale,
            RunRelation::Later if latest.leaving => {
                return self.begin(report, ReportEffect::Begins);
            }
            RunRelation::Later => return self.begin(report, ReportEffect::Replaces),
            RunRelation::Unclear if departed => return ReportEffect::Stale,
            RunRelation::Unclear => return self.apply_unclear(report),
        }
        let stated = RunStart::Stated(report.started_ms);
        let confirms = latest.identity.start != stated;
        if !confirms && report.sequence <= latest.sequence && !report.leaving {
            return ReportEffect::Stale;
        }
        latest.identity.start = stated;
        latest.sequence = latest.sequence.max(report.sequence);
        // Once a run has reported that it is leaving, it never takes work again.
        if latest.leaving || report.leaving {
            latest.leaving = true;
            return ReportEffect::Leaves;
        }
        if confirms {
            ReportEffect::Confirms
        } else {
            ReportEffect::Continues
        }
    }

    /// Applies a report of another run than the one that was found. A late report of
    /// a run that has ended comes once; a run that goes on reports again.
    fn apply_unclear(&mut self, report: RunReport) -> ReportEffect {
        let leaving = self.latest.as_ref().is_some_and(|latest| latest.leaving);
        let run = ServerRun {
            name: Arc::clone(&report.run),
            started_ms: Some(report.started_ms),
        };
        if leaving || report.leaving || self.ignored.as_ref() == Some(&run) {
            return self.begin(report, ReportEffect::Begins);
        }
        self.ignored = Some(run);
        ReportEffect::Stale
    }

    /// Records that a run has departed: it never takes work again, whatever arrives
    /// later. `at_ms` is the time by the wall clock at which that was heard. Returns
    /// true if it is the latest known run.
    pub fn deregister(&mut self, run: &ServerRun, at_ms: u64) -> bool {
        let ServerRun { name, started_ms } = run;
        if !self.may_have_departed(name, *started_ms) {
            let start = started_ms.map_or(RunStart::Before(at_ms), RunStart::Stated);
            let name = Arc::clone(name);
            let identity = RunIdentity { name, start };
            self.departed.push_back(DepartedRun { identity, at_ms });
        }
        if self.departed.len() > DEPARTED_MAX {
            self.departed.pop_front();
        }
        let Some(latest) = &mut self.latest else {
            return false;
        };
        let is_latest = latest.identity.may_be(name, *started_ms);
        latest.leaving |= is_latest;
        is_latest
    }

    /// Records a run that was found at `now_ms` by the wall clock and has not reported
    /// yet. Returns true if it takes work: no run was known, and none of this name has
    /// departed.
    pub fn discover(&mut self, run: &Arc<str>, now_ms: u64) -> bool {
        if self.latest.is_some() || self.departed_at(run).is_some() {
            return false;
        }
        self.latest = Some(LatestRun {
            identity: RunIdentity {
                name: Arc::clone(run),
                start: RunStart::Before(now_ms),
            },
            sequence: 0,
            leaving: false,
        });
        true
    }

    /// Forgets which run is the latest, but not which have departed. Returns true if
    /// there was one.
    pub fn forget_latest(&mut self) -> bool {
        self.latest.take().is_some()
    }

    /// The latest known run, with its start time if that is known.
    pub fn server_run(&self) -> Option<ServerRun> {
        let latest = self.latest.as_ref()?;
        Some(ServerRun {
            name: Arc::clone(&latest.identity.name),
            started_ms: match latest.identity.start {
                RunStart::Stated(started_ms) => Some(started_ms),
                RunStart::Before(_) => None,
            },
        })
    }

    /// When it was heard by the wall clock, in milliseconds, that the latest run of this
    /// name has departed; `None` if none has.
    pub fn departed_at(&self, run: &str) -> Option<u64> {
        let mut departed = self.departed.iter().rev();
        let found = departed.find(|departed| departed.identity.may_be(run, None));
        found.map(|departed| departed.at_ms)
    }

    fn may_have_departed(&self, run: &str, started_ms: Option<u64>) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|departed| departed.identity.may_be(run, started_ms))
    }

    fn begin(&mut self, report: RunReport, effect: ReportEffect) -> ReportEffect {
        self.ignored = None;
        self.latest = Some(LatestRun {
            identity: RunIdentity {
                name: report.run,
                start: RunStart::Stated(report.started_ms),
            },
            sequence: report.sequence,
            leaving: report.leaving,
        });
        if report.leaving {
            ReportEffect::Leaves
        } else {
            effect
        }
    }
}
