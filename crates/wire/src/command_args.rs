//! Command-line parsing with the exit statuses that all programs share.

use std::process::exit;

use bpaf::Args;
use bpaf::OptionParser;

use crate::settings_file::EXIT_USAGE;

/// Width of help and error texts, in columns.
const TEXT_WIDTH: usize = 80;

/// Parses the command line, or prints a message and exits the process: with
/// status 0 after `--help` and `--version`, with 2 after a usage error. The
/// library's own status for usage errors, 1, means "refused" in these programs.
pub fn parse_or_exit<T>(parser: &OptionParser<T>) -> T {
    match parser.run_inner(Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(TEXT_WIDTH);
            let is_help_or_version = failure.exit_code() == 0;
            exit(if is_help_or_version { 0 } else { EXIT_USAGE });
        }
    }
}
