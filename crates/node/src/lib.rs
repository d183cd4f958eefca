//! I/O layer of `cowslip-node`: sockets, files and timers around the state
//! machines of `cowslip-core`.

pub mod call_dialect;
pub mod call_forward;
pub mod call_headers;
pub mod call_log;
pub mod call_metrics;
pub mod call_pools;
pub mod claim_client;
pub mod control_watch;
pub mod crash_recorder;
pub mod crash_task;
pub mod departure_keeper;
pub mod entry_handler;
pub mod entry_task;
pub mod evidence_task;
pub mod follow_metrics;
pub mod follow_task;
pub mod gate_messages;
pub mod gate_metrics;
pub mod gate_task;
pub mod holder_task;
pub mod hop;
pub mod install_hooks;
pub mod keyed_call;
pub mod link_pacer;
pub mod local_handler;
pub mod node_daemon;
pub mod node_settings;
pub mod node_stage;
mod packed_headers;
pub mod peer_handler;
pub mod quarantine_list;
pub mod refusal_reply;
pub mod server_check;
pub mod server_probe;
pub mod startup_queue;
pub mod statement_log;
