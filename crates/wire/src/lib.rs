//! Messages between the processes of cowslipwall, and the HTTP, settings and
//! logging code that all of them share.
//!
//! Messages are sent as MessagePack in HTTP/1.1 POST requests. The decision
//! logic is in `cowslip-core`.

pub mod access_key;
pub mod admin_handler;
pub mod agreement_messages;
pub mod boot_instant;
mod checked_stream;
pub mod claim_messages;
pub mod codec;
pub mod command_args;
pub mod crash_messages;
pub mod departure_messages;
pub mod evidence_messages;
pub mod follow_messages;
pub mod framing_budget;
pub mod http_client;
pub mod http_listener;
pub mod http_reply;
pub mod message_reply;
pub mod messages;
pub mod peer_client;
mod pipelined_connection;
pub mod process_log;
pub mod registered_metric;
pub mod response_body;
pub mod response_head;
pub mod settings_file;
pub mod settings_node;
pub mod settings_reader;
pub mod settings_watch;
pub mod socket_read;
pub mod stop_signal;
pub mod wall_clock;
pub mod watched_value;
