//! State that the leader keeps for one move between two evaluations, and the
//! position of the move within its time window.

use std::time::Duration;

use crate::load::decayed_count::DecayedCount;
use crate::rollout::rollout_record::RolloutRecord;
use crate::rollout::sequential_test::EventCounts;

/// Smallest increase of suspicion that counts as growth.
const SUSPICION_GROWTH_MIN: f64 = 0.02;

/// Averaging time of the service's slot usage.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(10);

/// Current suspicion, and when it last grew.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspicionTracker {
    /// Strength of the evidence against the new version; 1 is enough to take
    /// the move back.
    pub level: f64,
    /// Time at which the level last grew.
    pub grown_at: Duration,
}

impl SuspicionTracker {
    /// Records the suspicion found by an evaluation.
    pub fn update(&mut self, now: Duration, level: f64) {
        if level >= self.level + SUSPICION_GROWTH_MIN {
            self.level = level;
            self.grown_at = now;
        }
        self.level = self.level.min(level);
    }
}

/// Half-life of the old version's recent failure rate: long enough for the
/// calls of a few steps, short enough to recover soon after a fleet-wide
/// problem ends.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Minimum number of recent calls of the old version for a meaningful rate.
const FAILURE_RATE_CALLS_MIN: f64 = 10.0;

/// Recent failure rate of the old version, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct OldFailureRate {
    seen: EventCounts,
    calls: DecayedCount,
    failures: DecayedCount,
}

impl OldFailureRate {
    /// Records the old version's cumulative counts.
    pub fn update(&mut self, now: Duration, old: EventCounts) {
        let calls = old.calls.saturating_sub(self.seen.calls);
        let failures = old.events.saturating_sub(self.seen.events);
        self.seen = old;
        self.calls.add(now, FAILURE_RATE_HALF_LIFE, calls as f64);
        self.failures
            .add(now, FAILURE_RATE_HALF_LIFE, failures as f64);
    }

    /// Recent failure rate, from 0 to 1; 0 if there are too few recent calls.
    pub fn rate(&self, now: Duration) -> f64 {
        let calls = self.calls.get(now, FAILURE_RATE_HALF_LIFE);
        if calls < FAILURE_RATE_CALLS_MIN {
            return 0.0;
        }
        self.failures.get(now, FAILURE_RATE_HALF_LIFE) / calls
    }
}

/// Slots in use by the service, averaged over both versions' calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotDemand {
    busy_us: u64,
    /// Average number of slots in use.
    pub slots: f64,
}

impl SlotDemand {
    /// Records the cumulative duration of all calls, `elapsed` after the
    /// previous update.
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

/// Position of a move within its time window.
#[derive(Clone, Copy, Debug)]
pub struct MoveTime {
    /// Wall clock, as time since the Unix epoch.
    pub now: Duration,
    /// Time since the start of the move.
    pub elapsed: Duration,
    /// Time from the start to the deadline of the move.
    pub total: Duration,
    /// Time since the last step.
    pub since_step: Duration,
}

impl MoveTime {
    /// Position of the move of `record` at wall clock `now`.
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

    /// Elapsed fraction of the time window; 1 is the deadline.
    pub fn fraction(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.total.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}
