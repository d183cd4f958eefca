//! I/O layer of `cowslip-control`: sockets, files and timers around the
//! state machines of `cowslip-core`.

pub mod agreement_metrics;
pub mod agreement_task;
pub mod control_daemon;
pub mod control_handler;
pub mod control_roster_task;
pub mod control_settings;
pub mod departure_task;
pub mod evacuation_api;
pub mod fanout_task;
pub mod folder_opener;
pub mod leader_forward;
pub mod leader_view;
pub mod member_store;
pub mod membership_log;
pub mod operator_api;
pub mod peer_sender;
pub mod pin_task;
pub mod quarantine_task;
pub mod rollout_api;
pub mod rollout_task;
pub mod roster_task;
pub mod source_metrics;
pub mod store_thread;
pub mod system_change;
pub mod uplink_task;
