//! Randomized soak test: runs the real programs as separate processes on
//! loopback and injects faults from outside them.
//!
//! A seed determines the schedule of faults ([`fault_plan`]). Callers, backend
//! servers and an operator record what they observe ([`observations`]), and
//! [`invariants`] checks it.

pub mod backend;
pub mod callers;
pub mod fault_plan;
pub mod fleet;
pub mod invariants;
pub mod observations;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod soak_error;
pub mod soak_run;
pub mod statement_checks;
