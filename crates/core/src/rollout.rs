//! Moves of backend server versions: a new version takes over by a set time
//! or is taken back.
//!
//! Nodes count what every try of a moving service came to, for the old and
//! the new version and each route ([`evidence`]). The same comparison runs
//! at two places: on each node over its own counts ([`node_guard`]), which
//! stops the new version there at once, and at the leader over the sum of
//! all nodes ([`rollout_driver`]), which steps the share along a plan
//! ([`share_plan`]), takes the move back or finishes it. Every such step is
//! an entry of the agreed log ([`rollout_registry`]).

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
