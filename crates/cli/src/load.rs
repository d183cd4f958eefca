//! Open-loop load generator: calls are sent at a given rate, however slowly they
//! are answered.
//!
//! Latencies are measured from the time at which a call was due, so that stalls
//! of the generator or its target are included (no coordinated omission).

pub mod call_tally;
pub mod load_plot;
pub mod load_report;
pub mod open_loop;
