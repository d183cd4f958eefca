//! The decision logic of cowslipwall, without I/O.
//!
//! Nothing in this crate opens a socket or a file, starts a thread or reads a
//! clock. Time and randomness are passed in as arguments, so the same events
//! always produce the same actions, and a caller can drive any number of
//! these state machines in one thread.

pub mod agreement;
pub mod announced_server;
pub mod applied_versions;
pub mod bounded_decode;
pub mod call_fingerprint;
pub mod call_try;
pub mod catch_up_window;
pub mod change;
pub mod claim;
pub mod config_delta;
pub mod config_digest;
pub mod config_history;
pub mod connection_renewal;
pub mod control_presence;
pub mod control_roster;
pub mod control_state;
pub mod crash_evidence;
pub mod crash_suspects;
pub mod crash_tally;
pub mod departure;
pub mod directory;
pub mod directory_follower;
pub mod document;
pub mod encoded_size;
pub mod endpoint_announcer;
pub mod endpoint_lease;
pub mod entry_router;
mod fault_texts;
pub mod follow_exchange;
pub mod follower_queue;
pub mod load;
pub mod move_tracker;
pub mod node_presence;
pub mod outbound_calls;
pub mod quarantine;
pub mod reconnect_admission;
pub mod reconnect_backoff;
pub mod refusal;
pub(crate) mod rendezvous;
pub mod report_aggregator;
pub mod rollout;
pub mod route_table;
pub mod run_statements;
pub mod server_gate;
pub mod server_notice;
pub mod server_presence;
pub mod server_run;
pub mod server_runs;
pub mod server_statement;
pub mod snapshot_chunks;
pub mod source_proof;
pub mod source_ring;
pub mod stop_schedule;
pub mod tuning;
pub mod update_source;
pub mod verdict;
pub mod version;
pub mod version_follower;
