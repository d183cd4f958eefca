//! A randomized soak: the real programs as separate processes on loopback,
//! and faults that come from outside them.
//!
//! A seed gives the schedule of faults ([`fault_plan`]); callers, backend
//! servers and an operator write down what they see ([`sightings`]), and
//! [`promises`] says what of it must not be.

pub mod backend;
pub mod callers;
pub mod fault_plan;
pub mod fleet;
pub mod operator;
pub mod process;
pub mod promises;
pub mod proxy;
pub mod sightings;
pub mod soak_error;
pub mod soak_run;
