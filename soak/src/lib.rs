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
pub mod link_cuts;
pub mod observations;
pub mod operator;
pub mod process;
pub mod propagation_checks;
pub mod proxy;
pub mod retry_checks;
pub mod soak_error;
pub mod soak_run;
pub mod socket_owner;
pub mod statement_checks;
