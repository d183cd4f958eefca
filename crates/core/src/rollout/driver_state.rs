//! What the leader remembers of one move between two looks, and where the
//! move stands in its time.

use std::time::Duration;

use crate::load::decayed_count::DecayedCount;
use crate::rollout::rollout_record::RolloutRecord;
use crate::rollout::sequential_test::EventCounts;

/// Least growth of suspicion that counts.
const SUSPICION_GROWTH_MIN: f64 = 0.02;

/// Time over which the service's use of slots is averaged.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(10);

/// Suspicion now, and when it last grew.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspicionTracker {
    /// Evidence against the version, 1 where it is bad.
    pub level: f64,
    /// When it last grew.
    pub grown_at: Duration,
}

impl SuspicionTracker {
    /// Takes the evidence found by a update.
    pub fn update(&mut self, now: Duration, level: f64) {
        if level >= self.level + SUSPICION_GROWTH_MIN {
            self.level = level;
            self.grown_at = now;
        }
        self.level = self.level.min(level);
    }
}

/// Half-life of what is remembered of the version in service: a few steps'
/// worth of calls, and soon forgotten once the trouble is over.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Calls of the version in service within it that tell anything.
const FAILURE_RATE_CALLS_MIN: f64 = 10.0;

/// Which fraction of its calls the version in service fails lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct OldFailureRate {
    seen: EventCounts,
    calls: DecayedCount,
    failures: DecayedCount,
}

impl OldFailureRate {
    /// Takes what the version in service has had so far.
    pub fn update(&mut self, now: Duration, old: EventCounts) {
        let calls = old.calls.saturating_sub(self.seen.calls);
        let failures = old.events.saturating_sub(self.seen.events);
        self.seen = old;
        self.calls.add(now, FAILURE_RATE_HALF_LIFE, calls as f64);
        self.failures
            .add(now, FAILURE_RATE_HALF_LIFE, failures as f64);
    }

    /// The fraction that failed; zero where hardly any calls came.
    pub fn rate(&self, now: Duration) -> f64 {
        let calls = self.calls.get(now, FAILURE_RATE_HALF_LIFE);
        if calls < FAILURE_RATE_CALLS_MIN {
            return 0.0;
        }
        self.failures.get(now, FAILURE_RATE_HALF_LIFE) / calls
    }
}

/// Slots in use by the total service, averaged.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotDemand {
    busy_us: u64,
    /// Slots in use, averaged.
    pub slots: f64,
}

impl SlotDemand {
    /// Takes the time that all calls have taken so far.
    pub fn update(&mut self, elapsed: Duration, busy_us: u64) {
        let grown = busy_us.saturating_sub(self.busy_us) as f64;
        self.busy_us = busy_us;
        if elapsed.is_zero() {
            return;
        }
        let now = grown / elapsed.as_micros() as f64;
        let fraction =
            (elapsed.as_secs_f64() / DEMAND_AVERAGING_TIME.as_secs_f64()).min(1.0);
        self.slots += (now - self.slots) * fraction;
    }
}

/// Where a move stands in its time.
#[derive(Clone, Copy, Debug)]
pub struct MoveTime {
    /// Wall clock.
    pub now: Duration,
    /// Time since the start.
    pub elapsed: Duration,
    /// Time given.
    pub total: Duration,
    /// Time since the last step.
    pub since_step: Duration,
}

impl MoveTime {
    /// Where the move of `record` stands at wall clock `now`.
    pub fn of(now: Duration, record: &RolloutRecord) -> Self {
        let started = Duration::from_millis(record.started_ms);
        let due = Duration::from_millis(record.due_ms);
        let step_ms = record.steps.last().map_or(0, |step| step.at_ms);
        Self {
            now,
            elapsed: now.saturating_sub(started),
            total: due.saturating_sub(started),
            since_step: now.saturating_sub(Duration::from_millis(step_ms)),
        }
    }

    /// Part of the time given that has passed.
    pub fn fraction(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.total.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}
