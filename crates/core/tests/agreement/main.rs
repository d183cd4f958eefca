//! Consensus tests: real members on a simulated network, disks and clocks.

mod failures;
mod fleet;
mod properties;
mod replacements;
mod restarts;
mod schedules;
