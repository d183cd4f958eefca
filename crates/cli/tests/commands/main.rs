//! Tests of the `cowslip` command against a running local fleet, one module per
//! subcommand.

mod cmd_apply;
mod cmd_default;
mod cmd_evacuate;
mod cmd_exception;
mod cmd_explain;
mod cmd_member;
mod cmd_move;
mod cmd_quarantine;
mod cmd_status;
mod fleet_fixture;
