//! Consensus tests: real members on a simulated network, disks and clocks.

mod departures;
mod disk_archive;
mod failures;
mod fleet;
mod heavy_changes;
mod leader_hints;
mod properties;
mod replacements;
mod restarts;
mod schedules;
mod slow_disks;
