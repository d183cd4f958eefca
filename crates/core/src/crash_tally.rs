//! Finds the request under which one backend server after another crashed.
//!
//! Load pattern: a request crashes each server that begins it, and its caller sends it
//! again to any node. No node sees more than the crashes of its own server, so the
//! leader counts those of all nodes. A crash cuts every call at the server; what tells
//! the guilty one apart is that servers crash under it again and again and that none
//! completes it in between, whatever they did before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call_fingerprint::CallFingerprint;
use crate::crash_evidence::CrashEvidence;
use crate::crash_evidence::RequestCrash;
use crate::crash_evidence::CRASHES_MIN;
use crate::crash_suspects::CallState;
use crate::crash_suspects::CutCall;
use crate::quarantine::QuarantineChange;
use crate::quarantine::QuarantineTable;
use crate::quarantine::PROBATION;

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
    /// Calls that the crash of a warm server cut and that it had not completed lately.
    pub calls: Vec<ReportedCall>,
    /// Calls that say less: the server had completed the same request lately, the call
    /// had been given up before the crash, or the server was cold. Earlier builds take
    /// every call of the other list for a suspect.
    #[serde(default)]
    pub doubtful_calls: Vec<ReportedCall>,
    /// Whether the server was cold, and its calls limited for it.
    #[serde(default)]
    pub cold: bool,
}

/// A call that a crash cut, or that was given up shortly before it. Times are before the
/// crash, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCall {
    /// What the call's repeats have in common with it.
    pub fingerprint: CallFingerprint,
    /// Service that was called.
    pub service: Arc<str>,
    /// Path of the matching route.
    pub route: Arc<str>,
    /// Time since it got its slot.
    #[serde(default)]
    pub began_ms: u64,
    /// Time since its connection broke; zero if it did not.
    #[serde(default)]
    pub broke_ms: u64,
    /// Time since the server last completed the same request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub completed_ms: Option<u64>,
    /// Whether its caller had left or its time had run out.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub abandoned: bool,
}

impl ReportedCall {
    /// Whether the crash of a warm server speaks against the call as it is.
    pub fn is_plain_suspect(&self) -> bool {
        self.completed_ms.is_none() && !self.abandoned
    }
}

impl From<CutCall> for ReportedCall {
    fn from(cut: CutCall) -> Self {
        let millis = |time: Duration| time.as_millis() as u64;
        Self {
            fingerprint: cut.call.fingerprint,
            service: cut.call.service,
            route: cut.call.route,
            began_ms: millis(cut.began_ago),
            broke_ms: millis(cut.broke_ago),
            completed_ms: cut.completed_ago.map(millis),
            abandoned: cut.state == CallState::Abandoned,
        }
    }
}

/// A node's recent crashes. Repeated, delayed or reordered delivery is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Name of the node's instance.
    pub node: Arc<str>,
    /// Crashes of its backend server, oldest first.
    pub crashes: Vec<CrashRecord>,
}

/// A moment by both clocks of a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TallyTime {
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Time since the instance's process started, which no step of a clock changes.
    pub elapsed: Duration,
}

/// Node and number of a crash.
type CrashKey = (Arc<str>, u64);

/// Crashes of all nodes' backend servers, as far as they were reported lately.
#[derive(Debug, Default)]
pub struct CrashTally {
    crashes: BTreeMap<CrashKey, TalliedCrash>,
    /// The crashes that each request was in flight at.
    requests: BTreeMap<CallFingerprint, BTreeSet<CrashKey>>,
    /// Crashes that the other control instances have not been told by this one.
    unshared: BTreeSet<CrashKey>,
}

/// A request under which more than one server has crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepeatedCrash {
    /// The request.
    pub call: ReportedCall,
    /// Crashes that it was in flight at.
    pub crashes: usize,
    /// What they say.
    pub evidence: CrashEvidence,
}

#[derive(Debug)]
struct TalliedCrash {
    /// Wall clock, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Time since the start of the instance's process.
    at: Duration,
    calls: BTreeMap<CallFingerprint, ReportedCall>,
    cold: bool,
}

impl TalliedCrash {
    fn request_crash(&self, call: &ReportedCall) -> RequestCrash {
        let before = |ms| self.at.saturating_sub(Duration::from_millis(ms));
        RequestCrash {
            began: before(call.began_ms),
            at: before(call.broke_ms),
            completed: call.completed_ms.map(before),
            doubtful: self.cold || call.abandoned,
        }
    }
}

impl CrashTally {
    /// Adds the crashes of a report received at `now`. Returns the requests of new
    /// crashes under which servers have crashed before.
    pub fn record_report(
        &mut self,
        now: TallyTime,
        report: CrashReport,
    ) -> Vec<RepeatedCrash> {
        let mut repeated = Vec::new();
        for crash in report.crashes.into_iter().take(NODE_CRASHES_MAX) {
            let key = (Arc::clone(&report.node), crash.number);
            if self.crashes.contains_key(&key) {
                continue;
            }
            let mut calls = BTreeMap::new();
            let reported = crash.calls.into_iter().chain(crash.doubtful_calls);
            for call in reported.take(CRASH_CALLS_MAX) {
                let keys = self.requests.entry(call.fingerprint).or_default();
                keys.insert(key.clone());
                calls.insert(call.fingerprint, call);
            }
            let tallied = TalliedCrash {
                at_ms: now.wall_ms.saturating_sub(crash.age_ms),
                at: now
                    .elapsed
                    .saturating_sub(Duration::from_millis(crash.age_ms)),
                calls: calls.clone(),
                cold: crash.cold,
            };
            self.unshared.insert(key.clone());
            self.crashes.insert(key, tallied);
            for call in calls.into_values() {
                repeated.extend(self.repeated_crash(call));
            }
        }
        repeated
    }

    fn repeated_crash(&self, call: ReportedCall) -> Option<RepeatedCrash> {
        let crashes = self.crash_count(&call.fingerprint);
        if crashes < 2 {
            return None;
        }
        let evidence = self.evidence(&call.fingerprint, 0, |_| true);
        Some(RepeatedCrash {
            call,
            crashes,
            evidence,
        })
    }

    /// Returns the changes that are due at `now_ms`: quarantines to start, to end and
    /// to forget.
    pub fn changes_due(
        &mut self,
        now_ms: u64,
        table: &QuarantineTable,
    ) -> Vec<QuarantineChange> {
        self.forget_old(now_ms);
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

    /// Forgets crashes that no longer count at `now_ms`.
    pub fn forget_old(&mut self, now_ms: u64) {
        let window_ms = CRASH_WINDOW.as_millis() as u64;
        let requests = &mut self.requests;
        let unshared = &mut self.unshared;
        self.crashes.retain(|key, crash| {
            let recent = now_ms.saturating_sub(crash.at_ms) < window_ms;
            if !recent {
                unshared.remove(key);
                forget_crash(requests, key, crash);
            }
            recent
        });
    }

    /// Returns the crashes that were recorded since the last time, or since the start,
    /// for the other control instances.
    pub fn take_unshared(&mut self, now: TallyTime) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (node, number) in std::mem::take(&mut self.unshared) {
            let key = (node, number);
            let Some(crash) = self.crashes.get(&key) else {
                continue;
            };
            let age = now.elapsed.saturating_sub(crash.at);
            let (calls, doubtful_calls) = crash
                .calls
                .values()
                .cloned()
                .partition(|call| !crash.cold && call.is_plain_suspect());
            reports.push(CrashReport {
                node: key.0,
                crashes: vec![CrashRecord {
                    number,
                    age_ms: age.as_millis() as u64,
                    calls,
                    doubtful_calls,
                    cold: crash.cold,
                }],
            });
        }
        reports
    }

    /// Returns the quarantines to start: those of requests with enough crashes that no
    /// other request explains.
    fn quarantines_due(&self, table: &QuarantineTable) -> Vec<QuarantineChange> {
        let mut due = Vec::new();
        for (fingerprint, keys) in &self.requests {
            let known = table.get(fingerprint);
            let blocked = known.is_some_and(|entry| entry.is_blocking());
            if blocked || known.is_none() && keys.len() < CRASHES_MIN {
                continue;
            }
            let ended_ms = known.map_or(0, |entry| entry.until_ms);
            let earlier = known.map_or(0, |entry| entry.crashes);
            let evidence = self.evidence(fingerprint, ended_ms, |_| true);
            let crashes = evidence.crashes + earlier as usize;
            let own = self.evidence(fingerprint, ended_ms, |crash| {
                !self.is_explained(crash, fingerprint, crashes, table)
            });
            let relapsed = known.is_some() && own.is_relapse();
            let guilty = relapsed || evidence.is_conclusive() && own.is_own();
            if !guilty {
                continue;
            }
            let call = keys.iter().find_map(|key| self.call(key, fingerprint));
            let Some(call) = call else {
                continue;
            };
            due.push(QuarantineChange::Start {
                fingerprint: *fingerprint,
                service: Arc::clone(&call.service),
                route: Arc::clone(&call.route),
                crashes: earlier.saturating_add(evidence.crashes as u32),
            });
        }
        due
    }

    fn crash_count(&self, fingerprint: &CallFingerprint) -> usize {
        self.requests.get(fingerprint).map_or(0, BTreeSet::len)
    }

    fn call(
        &self,
        key: &CrashKey,
        fingerprint: &CallFingerprint,
    ) -> Option<&ReportedCall> {
        self.crashes.get(key)?.calls.get(fingerprint)
    }

    /// Weighs those crashes under a request that are later than `after_ms` and that
    /// `counts` accepts. What servers completed before that time is left out.
    fn evidence(
        &self,
        fingerprint: &CallFingerprint,
        after_ms: u64,
        counts: impl Fn(&TalliedCrash) -> bool,
    ) -> CrashEvidence {
        let mut under = Vec::new();
        for key in self.requests.get(fingerprint).into_iter().flatten() {
            let Some(crash) = self.crashes.get(key) else {
                continue;
            };
            let Some(call) = crash.calls.get(fingerprint) else {
                continue;
            };
            if crash.at_ms <= after_ms || !counts(crash) {
                continue;
            }
            let mut request_crash = crash.request_crash(call);
            let since_after_ms = crash.at_ms - after_ms;
            if call
                .completed_ms
                .is_some_and(|ago_ms| ago_ms >= since_after_ms)
            {
                request_crash.completed = None;
            }
            under.push(request_crash);
        }
        CrashEvidence::of(&under)
    }

    /// Whether a request that was in flight at the crash was so at more than `crashes`
    /// without being completed, or has been quarantined for as many.
    fn is_explained(
        &self,
        crash: &TalliedCrash,
        fingerprint: &CallFingerprint,
        crashes: usize,
        table: &QuarantineTable,
    ) -> bool {
        crash.calls.keys().any(|other| {
            if other == fingerprint {
                return false;
            }
            let known = table.get(other);
            let known = known.filter(|entry| crash.at_ms <= entry.until_ms);
            known.is_some_and(|entry| entry.crashes as usize > crashes)
                || self.crash_count(other) > crashes
                    && self.evidence(other, 0, |_| true).crashes > crashes
        })
    }
}

fn forget_crash(
    requests: &mut BTreeMap<CallFingerprint, BTreeSet<CrashKey>>,
    key: &CrashKey,
    crash: &TalliedCrash,
) {
    for fingerprint in crash.calls.keys() {
        let Some(keys) = requests.get_mut(fingerprint) else {
            continue;
        };
        keys.remove(key);
        if keys.is_empty() {
            requests.remove(fingerprint);
        }
    }
}
