//! An exponentially decayed count of events.

use std::time::Duration;

/// Sum of events, each halved with every half-life that has passed.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedCount {
    value: f64,
    at: Duration,
}

impl DecayedCount {
    /// Adds `amount` at `now`.
    pub fn add(&mut self, now: Duration, half_life: Duration, amount: f64) {
        self.value = self.get(now, half_life) + amount;
        self.at = now;
    }

    /// The decayed sum at `now`.
    pub fn get(&self, now: Duration, half_life: Duration) -> f64 {
        self.value * decay(now.saturating_sub(self.at), half_life)
    }
}

/// Weight of an event after `age`; 1 at age zero.
pub fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
