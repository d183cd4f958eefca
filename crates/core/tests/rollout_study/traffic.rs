//! Simulated traffic: calls with random latencies and failures per version and
//! route, counted by the nodes' own guards.

use rand::rngs::SmallRng;
use rand::Rng;
use std::time::Duration;

use cowslip_core::rollout::evidence::TryOutcome;

/// Routes of the service and their fractions of its calls.
pub const ROUTES: [(&str, f64); 3] =
    [("/sales", 0.70), ("/lots", 0.25), ("/certificates", 0.05)];

/// Behaviour of the new version.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Same as the old version, but slow while it is cold.
    Good,
    /// Same as the old version, but one of its servers crashes once.
    GoodWithCrash,
    /// Same as the old version; both fail a fifth of their calls for a while.
    GoodInTrouble,
    /// As [`Self::GoodInTrouble`], while the new version has most of the
    /// traffic.
    GoodInLateTrouble,
    /// A tenth slower than the old version.
    GoodHeavier,
    /// Fails this fraction of its calls from the start.
    FailsAtOnce(f64),
    /// Fails a fifth of its calls from the middle of the move on.
    FailsLate,
    /// Fails a sixth of its calls once it has half of the traffic.
    FailsUnderLoad,
    /// Fails half of its calls on the route with the fewest calls.
    FailsOnRoute,
    /// Takes this many times as long.
    Slow(f64),
    /// Slow and failing, from a third of the move on.
    Mixed,
}

/// Conditions of one simulated call.
#[derive(Clone, Copy, Debug)]
pub struct CallPoint {
    /// Elapsed fraction of the move's time.
    pub part: f64,
    /// Calls that the server has received so far.
    pub served: u32,
    /// Index of the server.
    pub server: usize,
    /// Share of the new version, from 0 to 1.
    pub share: f64,
    /// Index of the route.
    pub route: usize,
    /// Whether the call goes to the new version.
    pub new: bool,
}

/// Result of one simulated call.
#[derive(Clone, Copy, Debug)]
pub struct DrawnCall {
    /// Duration of the call.
    pub took: Duration,
    /// Outcome of the call.
    pub outcome: TryOutcome,
    /// Whether a fault of the new version affected the call.
    pub harmed: bool,
}

/// Failure rate of a sound version.
const BASE_FAILURES: f64 = 0.002;

/// Median latency of a sound version, in milliseconds.
const MEDIAN_MS: f64 = 8.0;

/// Standard deviation of the logarithm of latencies.
const SPREAD: f64 = 0.5;

/// Calls after which a new server is no longer cold.
pub const COLD_CALLS: u32 = 10;

/// Slow-down factor of cold servers.
const COLD_FACTOR: f64 = 4.0;

impl Behaviour {
    /// Additional failure rate and slow-down factor of the new version at this
    /// point.
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

    /// Draws the result of one call.
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
            outcome: if failed {
                TryOutcome::Failed
            } else {
                TryOutcome::Answered
            },
            harmed: failed_by_version || slowed,
        }
    }
}

/// Returns whether the call hits a crashed server: its calls fail until the
/// other processes have noticed the crash.
fn crashes(point: &CallPoint) -> bool {
    point.server == 0 && (0.400..0.402).contains(&point.part)
}

/// Draws from the standard normal distribution (Box–Muller transform).
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
