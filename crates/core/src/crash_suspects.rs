//! Which requests may have crashed the backend server of this node.
//!
//! Load pattern: one request crashes each server that begins it, and its caller
//! sends it again. A crash cuts every call that was in flight, and most of them are
//! innocent. What tells the guilty one apart is that it is in flight at one crash
//! after another and that no server completes it in between.

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

/// Largest number of calls that were given up and count as suspects, the latest ones. An
/// overloaded server has many of them.
const ABANDONED_MAX: usize = 16;

/// Number of completed calls that are remembered, so that a request which many callers
/// send is acquitted of the crashes that it is in flight at.
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

/// How a call was doing when its server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// It had no answer yet.
    InFlight,
    /// Its connection had broken before an answer.
    Broken,
    /// Its caller had left, or it had run out of time.
    Abandoned,
}

impl CallState {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InFlight => "in-flight",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// A call that a crash cut, or that had ended without an answer shortly before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutCall {
    /// The call.
    pub call: SuspectCall,
    /// How it was doing.
    pub state: CallState,
    /// Time since it got its slot.
    pub began_ago: Duration,
    /// Time since its connection broke; zero in the other states.
    pub broke_ago: Duration,
    /// Time since the server last completed the same request; `None` if it is not
    /// among the last [`COMPLETED_MAX`] calls.
    pub completed_ago: Option<Duration>,
}

/// Calls at one backend server that its crash would cast suspicion on.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    running: HashMap<CallTicket, RunningCall>,
    ended: VecDeque<EndedCall>,
    completed: CompletedCalls,
}

#[derive(Debug)]
struct RunningCall {
    call: SuspectCall,
    began: Duration,
}

#[derive(Debug)]
struct EndedCall {
    running: RunningCall,
    state: CallState,
    at: Duration,
}

impl CrashSuspects {
    /// Records that a call gets a slot.
    pub fn begin(&mut self, now: Duration, ticket: CallTicket, call: SuspectCall) {
        let running = RunningCall { call, began: now };
        self.running.insert(ticket, running);
    }

    /// Records that the server answered a call.
    pub fn complete(&mut self, now: Duration, ticket: CallTicket) {
        if let Some(running) = self.running.remove(&ticket) {
            self.completed.record(now, running.call.fingerprint);
        }
    }

    /// Records that the connection of a call broke before an answer.
    pub fn cut(&mut self, now: Duration, ticket: CallTicket) {
        self.end(now, ticket, CallState::Broken);
    }

    /// Records that a call ran out of time, or that its caller left.
    pub fn abandon(&mut self, now: Duration, ticket: CallTicket) {
        self.end(now, ticket, CallState::Abandoned);
    }

    /// Records that a call did not run.
    pub fn forget(&mut self, ticket: CallTicket) {
        self.running.remove(&ticket);
    }

    /// Records that servers of another version are called from now on. A request
    /// that the last version completed may crash this one.
    pub fn begin_version(&mut self) {
        self.completed = CompletedCalls::default();
    }

    /// Returns the calls that a crash detected at `now` cut or that ended without an
    /// answer shortly before it; of the same request only the last to begin that was not
    /// given up, if there is one.
    pub fn crash(&mut self, now: Duration) -> Vec<CutCall> {
        self.forget_old(now);
        let in_flight = self.running.drain().map(|(_, running)| EndedCall {
            running,
            state: CallState::InFlight,
            at: now,
        });
        let mut calls: Vec<CutCall> = Vec::new();
        for ended in self.ended.drain(..).chain(in_flight) {
            let EndedCall { running, state, at } = ended;
            let completed_at = self.completed.last(&running.call.fingerprint);
            let broke_ago = match state {
                CallState::Broken => now.saturating_sub(at),
                CallState::InFlight | CallState::Abandoned => Duration::ZERO,
            };
            calls.push(CutCall {
                began_ago: now.saturating_sub(running.began),
                broke_ago,
                completed_ago: completed_at.map(|at| now.saturating_sub(at)),
                call: running.call,
                state,
            });
        }
        calls.sort_by_key(|cut| {
            let abandoned = cut.state == CallState::Abandoned;
            (cut.call.fingerprint, abandoned, cut.began_ago)
        });
        calls.dedup_by_key(|cut| cut.call.fingerprint);
        calls
    }

    fn end(&mut self, now: Duration, ticket: CallTicket, state: CallState) {
        if let Some(running) = self.running.remove(&ticket) {
            let at = now;
            self.ended.push_back(EndedCall { running, state, at });
        }
        self.forget_old(now);
        self.limit_abandoned();
    }

    fn limit_abandoned(&mut self) {
        let is_abandoned = |ended: &EndedCall| ended.state == CallState::Abandoned;
        let abandoned = self.ended.iter().filter(|ended| is_abandoned(ended));
        if abandoned.count() <= ABANDONED_MAX {
            return;
        }
        if let Some(oldest) = self.ended.iter().position(is_abandoned) {
            self.ended.remove(oldest);
        }
    }

    fn forget_old(&mut self, now: Duration) {
        let is_old = |at: &Duration| now.saturating_sub(*at) > CUT_WINDOW;
        while self.ended.front().is_some_and(|ended| is_old(&ended.at)) {
            self.ended.pop_front();
        }
    }
}

/// The last [`COMPLETED_MAX`] calls that the server completed.
#[derive(Debug, Default)]
struct CompletedCalls {
    order: VecDeque<CallFingerprint>,
    requests: HashMap<CallFingerprint, CompletedRequest>,
}

#[derive(Debug, Default)]
struct CompletedRequest {
    calls: u32,
    last_at: Duration,
}

impl CompletedCalls {
    fn record(&mut self, now: Duration, fingerprint: CallFingerprint) {
        self.order.push_back(fingerprint);
        let request = self.requests.entry(fingerprint).or_default();
        request.calls += 1;
        request.last_at = now;
        if self.order.len() <= COMPLETED_MAX {
            return;
        }
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        if let Some(request) = self.requests.get_mut(&oldest) {
            request.calls -= 1;
            if request.calls == 0 {
                self.requests.remove(&oldest);
            }
        }
    }

    /// When the request was last completed.
    fn last(&self, fingerprint: &CallFingerprint) -> Option<Duration> {
        let request = self.requests.get(fingerprint)?;
        Some(request.last_at)
    }
}
