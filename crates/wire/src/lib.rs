//! What the processes of cowslipwall say to each other, and the HTTP,
//! settings and logs that every one of them shares.
//!
//! Messages travel as MessagePack in HTTP/1.1 posts. Nothing here decides:
//! see `cowslip-core`.

pub mod access_key;
pub mod admin_handler;
pub mod agreement_messages;
pub mod boot_instant;
pub mod claim_messages;
pub mod codec;
pub mod command_args;
pub mod evidence_messages;
pub mod follow_messages;
pub mod http_client;
pub mod http_listener;
pub mod http_reply;
pub mod message_reply;
pub mod messages;
pub mod peer_client;
mod pipelined_connection;
pub mod process_log;
pub mod registered_metric;
pub mod settings_file;
pub mod settings_node;
pub mod settings_reader;
pub mod settings_watch;
pub mod socket_read;
pub mod stop_signal;
pub mod wall_clock;
