//! Agreement: real members over a small queue.

mod failures;
mod fleet;
mod properties;
mod replacements;
mod restarts;
mod schedules;
