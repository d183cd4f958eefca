//! `cowslip`: the operators' command-line client.

use std::process::exit;

use cowslip_cli::cmd;
use cowslip_wire::command_args;

fn main() {
    let line = command_args::parse_or_exit(&cmd::command_line());
    if let Err(error) = actix_rt::System::new().block_on(line.run()) {
        eprintln!("cowslip: {error}");
        exit(error.exit_status());
    }
}
