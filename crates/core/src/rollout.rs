//! Moves (rollouts): a service moves to a new backend server version by a
//! deadline, or the move is taken back.
//!
//! Each node counts the outcomes of the calls it sends to a moving service,
//! separately for the old and the new version and for each route
//! ([`evidence`]). The counts are judged in two places. Each node judges its
//! own counts and stops the new version locally at once ([`node_guard`]). The
//! leader judges the sum over all nodes ([`rollout_driver`]); it raises the
//! traffic share of the new version along a plan ([`share_plan`]), takes the
//! move back or finishes it. Every such decision is an entry of the replicated
//! log ([`rollout_registry`]).

pub mod cold_start;
pub mod driver_state;
pub mod evidence;
pub mod evidence_totals;
pub mod fleet_snapshot;
pub mod last_server;
pub mod latency_sketch;
pub mod node_guard;
pub mod rollout_change;
pub mod rollout_driver;
pub mod rollout_judge;
pub mod rollout_record;
pub mod rollout_registry;
pub mod sequential_test;
pub mod share_plan;
pub mod start_check;
