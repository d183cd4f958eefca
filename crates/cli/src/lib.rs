//! The operators' command `cowslip`, the tools `cowslip-local`, `cowslip-load`
//! and `cowslip-stand-in`, and the code that they share.

pub mod call_chain;
pub mod cmd;
pub mod control_client;
pub mod document_file;
pub mod load;
pub mod local_fleet;
pub mod operator_config;
pub mod operator_error;
pub mod request_id;
pub mod stand_in;
pub mod text_table;
