//! Alternative tests and plans, for comparison with those in use.

use cowslip_core::rollout::rollout_judge::change_point_test;
use cowslip_core::rollout::sequential_test::log_likelihood_ratio;
use cowslip_core::rollout::sequential_test::SequentialTest;
use cowslip_core::rollout::sequential_test::TestSample;
use cowslip_core::rollout::share_plan::SharePlan;
use cowslip_core::rollout::share_plan::HELD_SHARE;
use cowslip_core::rollout::share_plan::LAST_SHARE;

use super::course::StudyParts;

/// Wald's sequential probability ratio test from the start, without restarts.
#[derive(Debug, Default)]
pub struct WaldTest {
    sum: f64,
}

impl SequentialTest for WaldTest {
    fn update(&mut self, sample: &TestSample) -> f64 {
        self.sum += log_likelihood_ratio(sample, 4.0);
        self.sum
    }
}

/// A test of two proportions over all counts so far, repeated with each sample.
#[derive(Debug, Default)]
pub struct RepeatedTest {
    calls: [f64; 2],
    events: [f64; 2],
}

impl SequentialTest for RepeatedTest {
    fn update(&mut self, sample: &TestSample) -> f64 {
        let TestSample { old, new } = sample;
        for (at, counts) in [old, new].into_iter().enumerate() {
            self.calls[at] += counts.calls as f64;
            self.events[at] += counts.events as f64;
        }
        let whole = self.calls[0] + self.calls[1];
        let rate = (self.events[0] + self.events[1]) / whole;
        let inverse = 1.0 / self.calls[0] + 1.0 / self.calls[1];
        let error = (rate * (1.0 - rate) * inverse).sqrt();
        let rates = [0, 1].map(|at| self.events[at] / self.calls[at]);
        let score = (rates[1] - rates[0]) / error;
        if !score.is_finite() || score < 1.0 {
            return f64::NEG_INFINITY;
        }
        // Approximate tail probability of the normal distribution beyond the
        // score, as a logarithm.
        score * score / 2.0 + (score * (2.0 * std::f64::consts::PI).sqrt()).ln()
    }
}

/// Grows linearly to [`HELD_SHARE`], then holds.
#[derive(Clone, Copy, Debug)]
pub struct EvenPlan {
    /// Share of the first step, in thousandths.
    pub first: u16,
}

impl SharePlan for EvenPlan {
    fn share_at(&self, fraction: f64) -> u16 {
        if fraction >= 0.85 {
            return LAST_SHARE;
        }
        let grown = f64::from(HELD_SHARE) * (fraction / 0.6).min(1.0);
        (grown as u16).max(self.first)
    }
}

/// Returns all alternatives with their titles.
pub fn all() -> Vec<(&'static str, StudyParts)> {
    let own = StudyParts::default();
    let leader_only = StudyParts {
        test: Some(change_point_test),
        ..own
    };
    let wald = StudyParts {
        test: Some(|_| Box::new(WaldTest::default())),
        ..own
    };
    let repeated = StudyParts {
        test: Some(|_| Box::new(RepeatedTest::default())),
        ..own
    };
    let even = StudyParts {
        plan: Some(|first| Box::new(EvenPlan { first })),
        ..own
    };
    vec![
        ("leader alone, change test", leader_only),
        ("leader alone, Wald's test", wald),
        ("leader alone, repeated test of two proportions", repeated),
        ("even growth, change test", even),
    ]
}
