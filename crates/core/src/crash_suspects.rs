//! Which requests may have crashed the backend server of this node.
//!
//! Load pattern: one request crashes each server that begins it, and its caller
//! sends it again. A crash cuts every call that was in flight, and most of them are
//! innocent. What tells the guilty one apart is that it is in flight at one crash
//! after another and that no server ever completes it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::call_fingerprint::CallFingerprint;
use crate::load::call_queue::CallTicket;

/// Time between a broken exchange and the detection of the crash that broke it:
/// nothing listens at the server's address, or another run of it reports.
const CUT_WINDOW: Duration = Duration::from_secs(2);

/// Number of completed calls that are remembered, so that a request which many
/// callers send is not suspected for being in flight at every crash.
const COMPLETED_MAX: usize = 1_024;

/// A call at a backend server, as far as crashes are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCall {
    /// What the call's repeats have in common with it.
    pub fingerprint: CallFingerprint,
    /// Service that was called.
    pub service: Arc<str>,
    /// Path of the matching route.
    pub route: Arc<str>,
}

/// Calls at one backend server that its crash would cast suspicion on.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    running: HashMap<CallTicket, SuspectCall>,
    cut: VecDeque<(Duration, SuspectCall)>,
    completed: CompletedCalls,
}

impl CrashSuspects {
    /// Records that a call gets a slot.
    pub fn begin(&mut self, ticket: CallTicket, call: SuspectCall) {
        self.running.insert(ticket, call);
    }

    /// Records that the server answered a call.
    pub fn complete(&mut self, ticket: CallTicket) {
        if let Some(call) = self.running.remove(&ticket) {
            self.completed.record(call.fingerprint);
        }
    }

    /// Records that the connection of a call broke before an answer.
    pub fn cut(&mut self, now: Duration, ticket: CallTicket) {
        if let Some(call) = self.running.remove(&ticket) {
            self.cut.push_back((now, call));
        }
        self.forget_old(now);
    }

    /// Records that a call ended otherwise: it did not run, ran out of time, or its
    /// caller disconnected.
    pub fn forget(&mut self, ticket: CallTicket) {
        self.running.remove(&ticket);
    }

    /// Records that servers of another version are called from now on. A request
    /// that the last version completed may crash this one.
    pub fn begin_version(&mut self) {
        self.completed = CompletedCalls::default();
    }

    /// Returns the calls that may have caused a crash detected at `now`, each
    /// fingerprint once.
    pub fn crash(&mut self, now: Duration) -> Vec<SuspectCall> {
        self.forget_old(now);
        let cut = self.cut.drain(..).map(|(_, call)| call);
        let running = self.running.drain().map(|(_, call)| call);
        let mut suspects: Vec<SuspectCall> = Vec::new();
        for call in cut.chain(running) {
            let known = |known: &SuspectCall| known.fingerprint == call.fingerprint;
            if self.completed.contains(&call.fingerprint) || suspects.iter().any(known) {
                continue;
            }
            suspects.push(call);
        }
        suspects.sort_by_key(|call| call.fingerprint);
        suspects
    }

    fn forget_old(&mut self, now: Duration) {
        let is_old = |at: &Duration| now.saturating_sub(*at) > CUT_WINDOW;
        while self.cut.front().is_some_and(|(at, _)| is_old(at)) {
            self.cut.pop_front();
        }
    }
}

/// Fingerprints of the last [`COMPLETED_MAX`] calls that the server completed.
#[derive(Debug, Default)]
struct CompletedCalls {
    order: VecDeque<CallFingerprint>,
    counts: HashMap<CallFingerprint, u32>,
}

impl CompletedCalls {
    fn record(&mut self, fingerprint: CallFingerprint) {
        self.order.push_back(fingerprint);
        *self.counts.entry(fingerprint).or_default() += 1;
        if self.order.len() <= COMPLETED_MAX {
            return;
        }
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Some(count) = self.counts.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest);
            }
        }
    }

    fn contains(&self, fingerprint: &CallFingerprint) -> bool {
        self.counts.contains_key(fingerprint)
    }
}
