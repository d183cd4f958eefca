//! Finds the request under which one backend server after another crashed.
//!
//! Load pattern: a request crashes each server that begins it, and its caller sends it
//! again to any node. No node sees more than the crashes of its own server, so the
//! leader counts those of all nodes. A crash cuts every call at the server; what tells
//! the guilty one apart is that no server completes it and that servers crash under it
//! again and again.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call_fingerprint::CallFingerprint;
use crate::crash_suspects::SuspectCall;
use crate::quarantine::QuarantineChange;
use crate::quarantine::QuarantineTable;
use crate::quarantine::PROBATION;

/// Crashes under a request after which it is quarantined.
const CRASHES_MIN: usize = 3;

/// Time for which a crash counts. A request that crashes a server once an hour harms
/// less than a request that is wrongly refused.
pub const CRASH_WINDOW: Duration = Duration::from_secs(600);

/// Largest number of crashes that a node reports.
pub const NODE_CRASHES_MAX: usize = 16;

/// Largest number of suspect calls of one crash that count, the slots of a large
/// server.
pub const CRASH_CALLS_MAX: usize = 128;

/// One crash of a node's backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Increases with every crash at the node, also over restarts of its process.
    pub number: u64,
    /// Time since the crash when the report was sent, in milliseconds.
    pub age_ms: u64,
    /// Calls that the crash cut and that the server had not completed before.
    pub calls: Vec<SuspectCall>,
}

/// A node's recent crashes. Repeated, delayed or reordered delivery is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Name of the node's instance.
    pub node: Arc<str>,
    /// Crashes of its backend server, oldest first.
    pub crashes: Vec<CrashRecord>,
}

/// Crashes of all nodes' backend servers, as far as they were reported lately.
#[derive(Debug, Default)]
pub struct CrashTally {
    crashes: BTreeMap<(Arc<str>, u64), TalliedCrash>,
}

/// A request under which more than one server has crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepeatedCrash {
    /// The request.
    pub call: SuspectCall,
    /// Crashes under it so far.
    pub crashes: usize,
}

#[derive(Debug)]
struct TalliedCrash {
    /// Leader's wall clock, in milliseconds since the Unix epoch.
    at_ms: u64,
    calls: Vec<SuspectCall>,
}

impl CrashTally {
    /// Adds the crashes of a report received at `now_ms` by the leader's wall clock.
    /// Returns the requests of new crashes under which servers have crashed before.
    pub fn record_report(
        &mut self,
        now_ms: u64,
        report: CrashReport,
    ) -> Vec<RepeatedCrash> {
        let mut repeated = Vec::new();
        for mut crash in report.crashes.into_iter().take(NODE_CRASHES_MAX) {
            crash.calls.truncate(CRASH_CALLS_MAX);
            let at_ms = now_ms.saturating_sub(crash.age_ms);
            let key = (Arc::clone(&report.node), crash.number);
            let Entry::Vacant(vacant) = self.crashes.entry(key) else {
                continue;
            };
            let calls = crash.calls.clone();
            vacant.insert(TalliedCrash {
                at_ms,
                calls: crash.calls,
            });
            for call in calls {
                let crashes = self.crashes_under(&call.fingerprint, None);
                if crashes > 1 {
                    repeated.push(RepeatedCrash { call, crashes });
                }
            }
        }
        repeated
    }

    /// Returns the changes that are due at `now_ms`: quarantines to start, to end and
    /// to forget.
    pub fn changes_due(
        &mut self,
        now_ms: u64,
        table: &QuarantineTable,
    ) -> Vec<QuarantineChange> {
        let window_ms = CRASH_WINDOW.as_millis() as u64;
        self.crashes
            .retain(|_, crash| now_ms.saturating_sub(crash.at_ms) < window_ms);
        let mut due = self.quarantines_due(table);
        for (fingerprint, entry) in table {
            let fingerprint = *fingerprint;
            if entry.is_blocking() && now_ms >= entry.until_ms {
                due.push(QuarantineChange::End { fingerprint });
            }
            let over_ms = entry.until_ms + PROBATION.as_millis() as u64;
            if entry.ended && now_ms >= over_ms {
                due.push(QuarantineChange::Forget { fingerprint });
            }
        }
        due
    }

    fn quarantines_due(&self, table: &QuarantineTable) -> Vec<QuarantineChange> {
        let mut due = Vec::new();
        let mut seen = BTreeSet::new();
        for call in self.crashes.values().flat_map(|crash| &crash.calls) {
            if !seen.insert(call.fingerprint) {
                continue;
            }
            let known = table.get(&call.fingerprint);
            if known.is_some_and(|entry| entry.is_blocking()) {
                continue;
            }
            let ended_ms = known.map(|entry| entry.until_ms);
            let crashes = self.crashes_under(&call.fingerprint, ended_ms);
            let needed = known.map_or(CRASHES_MIN, |_| 1);
            if crashes < needed {
                continue;
            }
            let earlier = known.map_or(0, |entry| entry.crashes);
            due.push(QuarantineChange::Start {
                fingerprint: call.fingerprint,
                service: Arc::clone(&call.service),
                route: Arc::clone(&call.route),
                crashes: earlier.saturating_add(crashes as u32),
            });
        }
        due
    }

    /// Number of crashes under a request, later than `after_ms` if given.
    fn crashes_under(
        &self,
        fingerprint: &CallFingerprint,
        after_ms: Option<u64>,
    ) -> usize {
        let counted = self.crashes.values().filter(|crash| {
            after_ms.is_none_or(|after_ms| crash.at_ms > after_ms)
                && crash
                    .calls
                    .iter()
                    .any(|call| call.fingerprint == *fingerprint)
        });
        counted.count()
    }
}
