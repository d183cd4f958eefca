//! Tuning parameters that operators set as fleet defaults and exceptions.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A tuning parameter that operators may set.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum TuningKey {
    /// Deadline of calls whose caller states none, in milliseconds.
    DeadlineMs,
    /// Maximum number of tries of a call, including the first.
    TriesMax,
    /// Retries allowed per 100 first tries.
    RetryPercent,
    /// Retries to a service that all nodes together may send within ten seconds in
    /// addition to `RetryPercent`; 0 allows ten to each node.
    RetryBurst,
    /// Servers that are probed for a free slot before a call waits at one of
    /// them.
    SlotProbes,
    /// Cost of a kilobyte sent between failure domains, in thousandths of an
    /// answer's value.
    #[serde(alias = "far_ms_per_kb")]
    FarCostPerKb,
    /// Lower bound of a backend server's concurrency limit, in percent of the
    /// slots that it announces, however slow it is. 100 is for servers known to
    /// announce only slots that they can use.
    SlotsFloor,
    /// Calls that may wait at a node for a slot of its backend server.
    QueueCalls,
    /// Longest wait of a call in that queue, in milliseconds.
    QueueWaitMs,
    /// Calls that a cold backend server gets in a second, in percent of those
    /// that its service's document says it tolerates.
    ColdPercent,
    /// Calls that a cold backend server gets in a second in addition to
    /// `ColdPercent`.
    ColdBurst,
    /// First traffic share of a new version, in per mille of the calls.
    MoveFirstShare,
    /// Calls that a new version must receive before each step of its share.
    MoveStepCalls,
    /// Bound on the calls that a bad version may receive during a move, in
    /// percent of the service's calls; 0 sets no bound. A bound keeps the share
    /// small until much of the move's time has passed.
    MoveExposure,
    /// Calls that a bad version may receive in addition to `MoveExposure`.
    MoveExposureCalls,
    /// Shortest time that may be set for a move, in seconds.
    MoveLeastSeconds,
}

impl TuningKey {
    /// Every key, in the order of declaration.
    pub const ALL: &'static [Self] = &[
        Self::DeadlineMs,
        Self::TriesMax,
        Self::RetryPercent,
        Self::RetryBurst,
        Self::SlotProbes,
        Self::FarCostPerKb,
        Self::SlotsFloor,
        Self::QueueCalls,
        Self::QueueWaitMs,
        Self::ColdPercent,
        Self::ColdBurst,
        Self::MoveFirstShare,
        Self::MoveStepCalls,
        Self::MoveExposure,
        Self::MoveExposureCalls,
        Self::MoveLeastSeconds,
    ];

    /// The key's name in documents and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineMs => "deadline_ms",
            Self::TriesMax => "tries_max",
            Self::RetryPercent => "retry_percent",
            Self::RetryBurst => "retry_burst",
            Self::SlotProbes => "slot_probes",
            Self::FarCostPerKb => "far_cost_per_kb",
            Self::SlotsFloor => "slots_floor",
            Self::QueueCalls => "queue_calls",
            Self::QueueWaitMs => "queue_wait_ms",
            Self::ColdPercent => "cold_percent",
            Self::ColdBurst => "cold_burst",
            Self::MoveFirstShare => "move_first_share",
            Self::MoveStepCalls => "move_step_calls",
            Self::MoveExposure => "move_exposure",
            Self::MoveExposureCalls => "move_exposure_calls",
            Self::MoveLeastSeconds => "move_least_seconds",
        }
    }

    /// Value used if neither the fleet document nor an exception sets one.
    pub fn built_in(self) -> u64 {
        match self {
            Self::DeadlineMs => 10_000,
            Self::TriesMax => 3,
            Self::RetryPercent => 20,
            Self::RetryBurst => 0,
            Self::SlotProbes => 0,
            Self::FarCostPerKb => 0,
            Self::SlotsFloor => 25,
            Self::QueueCalls => 64,
            Self::QueueWaitMs => 1_000,
            Self::ColdPercent => 100,
            Self::ColdBurst => 0,
            Self::MoveFirstShare => 5,
            Self::MoveStepCalls => 30,
            Self::MoveExposure => 0,
            Self::MoveExposureCalls => 50,
            Self::MoveLeastSeconds => 20,
        }
    }

    /// Valid values in a document.
    pub fn range(self) -> RangeInclusive<u64> {
        match self {
            Self::DeadlineMs => 1..=600_000,
            Self::TriesMax => 1..=10,
            Self::RetryPercent => 0..=100,
            Self::RetryBurst => 0..=100_000,
            Self::SlotProbes => 0..=16,
            Self::FarCostPerKb => 0..=1_000,
            Self::SlotsFloor => 1..=100,
            Self::QueueCalls => 0..=100_000,
            Self::QueueWaitMs => 0..=600_000,
            Self::ColdPercent => 1..=1_000,
            Self::ColdBurst => 0..=100_000,
            Self::MoveFirstShare => 1..=500,
            Self::MoveStepCalls => 1..=1_000_000,
            Self::MoveExposure => 0..=100,
            Self::MoveExposureCalls => 0..=1_000_000,
            Self::MoveLeastSeconds => 5..=86_400,
        }
    }
}

impl fmt::Display for TuningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a name that is no tuning key.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("unknown key {0:?}; known are {known}", known = known_keys())]
pub struct UnknownKey(String);

fn known_keys() -> String {
    let names: Vec<&str> = TuningKey::ALL.iter().map(|key| key.as_str()).collect();
    names.join(", ")
}

impl FromStr for TuningKey {
    type Err = UnknownKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        for key in Self::ALL {
            if key.as_str() == text {
                return Ok(*key);
            }
        }
        Err(UnknownKey(text.to_owned()))
    }
}

/// Values set for the whole fleet; other keys have their built-in values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TuningTable {
    values: BTreeMap<TuningKey, u64>,
}

impl TuningTable {
    /// The fleet's value of `key`: the set one, or else the built-in one.
    pub fn get(&self, key: TuningKey) -> u64 {
        self.values
            .get(&key)
            .copied()
            .unwrap_or_else(|| key.built_in())
    }

    /// Sets a value. Its range is checked when the whole document is validated.
    pub fn set(&mut self, key: TuningKey, value: u64) {
        self.values.insert(key, value);
    }

    /// Resets a key to its built-in value.
    pub fn unset(&mut self, key: TuningKey) {
        self.values.remove(&key);
    }

    /// The values that are set, in the order of the keys.
    pub fn entries(&self) -> impl Iterator<Item = (TuningKey, u64)> + '_ {
        self.values.iter().map(|(key, value)| (*key, *value))
    }
}
