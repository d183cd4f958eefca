//! A small fake of traffic: calls with drawn latencies and failures per
//! version and route, counted by the nodes' own guards.

use rand::rngs::SmallRng;
use rand::Rng;
use std::time::Duration;

use cowslip_core::rollout::evidence::TryOutcome;

/// Routes of the service and their parts of its calls.
pub const ROUTES: [(&str, f64); 3] =
    [("/sales", 0.70), ("/lots", 0.25), ("/certificates", 0.05)];

/// How the new version behaves.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// As the old version, slow only while it is cold.
    Good,
    /// As the old version, and one of its servers crashes once.
    GoodWithCrash,
    /// As the old version; both fail a fifth of their calls for a while.
    GoodInTrouble,
    /// The same, while the new version has most of the traffic.
    GoodInLateTrouble,
    /// As the old version, a tenth slower.
    GoodHeavier,
    /// Fails this part of its calls from the start.
    FailsAtOnce(f64),
    /// Fails a fifth of its calls from the middle of the move on.
    FailsLate,
    /// Fails a sixth of its calls once it has half of the traffic.
    FailsUnderLoad,
    /// Fails half of its calls on the route with the fewest.
    FailsOnRoute,
    /// Takes this many times as long.
    Slow(f64),
    /// Slow and failing, from a third of the move on.
    Mixed,
}

/// Where a call stands.
#[derive(Clone, Copy, Debug)]
pub struct CallPoint {
    /// Part of the move's time that has passed.
    pub part: f64,
    /// Calls that the server has had.
    pub served: u32,
    /// Number of the server.
    pub server: usize,
    /// Share of the new version, from 0 to 1.
    pub share: f64,
    /// Index of the route.
    pub route: usize,
    /// True for the new version.
    pub new: bool,
}

/// One call as drawn.
#[derive(Clone, Copy, Debug)]
pub struct DrawnCall {
    /// Time it took.
    pub took: Duration,
    /// How it ended.
    pub end: TryOutcome,
    /// True where the new version's badness touched it.
    pub harmed: bool,
}

/// Failures of a sound version.
const BASE_FAILURES: f64 = 0.002;

/// Median latency of a sound version, in milliseconds.
const MEDIAN_MS: f64 = 8.0;

/// Spread of the logarithm of latencies.
const SPREAD: f64 = 0.5;

/// Calls for which new servers are cold.
pub const COLD_CALLS: u32 = 10;

/// How much slower cold servers are.
const COLD_FACTOR: f64 = 4.0;

impl Behaviour {
    /// Failures and slowness that the new version adds at this point.
    fn added(self, point: &CallPoint) -> (f64, f64) {
        let late = point.part >= 0.5;
        let last_route = point.route + 1 == ROUTES.len();
        match self {
            Self::FailsAtOnce(part) => (part, 1.0),
            Self::FailsLate if late => (0.2, 1.0),
            Self::FailsUnderLoad if point.share >= 0.5 => (0.17, 1.0),
            Self::FailsOnRoute if last_route => (0.5, 1.0),
            Self::Slow(factor) => (0.0, factor),
            Self::Mixed if point.part >= 0.33 => (0.04, 1.8),
            Self::GoodHeavier => (0.0, 1.1),
            Self::GoodWithCrash if crashes(point) => (1.0, 1.0),
            _ => (0.0, 1.0),
        }
    }

    /// Draws one call.
    pub fn draw(self, point: &CallPoint, rng: &mut SmallRng) -> DrawnCall {
        let (failures, factor) = if point.new {
            self.added(point)
        } else {
            (0.0, 1.0)
        };
        let trouble = match self {
            Self::GoodInTrouble => (0.3..0.4).contains(&point.part),
            Self::GoodInLateTrouble => (0.65..0.75).contains(&point.part),
            _ => false,
        };
        let base = if trouble { 0.2 } else { BASE_FAILURES };
        let failed_by_version = rng.random_bool(failures);
        let failed = failed_by_version || rng.random_bool(base);
        let cold = point.new && point.served < COLD_CALLS;
        let cold = if cold { COLD_FACTOR } else { 1.0 };
        let millis = MEDIAN_MS * (SPREAD * normal(rng)).exp() * factor * cold;
        let slowed = factor >= 1.5;
        DrawnCall {
            took: Duration::from_micros((millis * 1_000.0) as u64),
            end: if failed {
                TryOutcome::Failed
            } else {
                TryOutcome::Answered
            },
            harmed: failed_by_version || slowed,
        }
    }
}

/// One server is gone and its calls are broken until others know it.
fn crashes(point: &CallPoint) -> bool {
    point.server == 0 && (0.400..0.402).contains(&point.part)
}

/// A draw from the standard normal distribution (Box and Muller).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
