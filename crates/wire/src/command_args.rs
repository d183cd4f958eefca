//! Reads a process's arguments with the exit statuses that all share.

use std::process::exit;

use bpaf::Args;
use bpaf::OptionParser;

use crate::settings_file::EXIT_USAGE;

/// Columns of help and error texts.
const TEXT_WIDTH: usize = 80;

/// Parses the command line, or prints why not and ends the process: status
/// 0 after `--help` and `--version`, 2 for a usage error. The library's own
/// status of 1 would read as "refused" to a script.
pub fn parse_or_exit<T>(parser: &OptionParser<T>) -> T {
    match parser.run_inner(Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(TEXT_WIDTH);
            let asked_for = failure.exit_code() == 0;
            exit(if asked_for { 0 } else { EXIT_USAGE });
        }
    }
}
