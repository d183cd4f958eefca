//! Errors that prevent a soak run. A violated invariant is a result, not an
//! error.

use std::io;

use thiserror::Error;

/// Error that prevents a soak run.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file, socket or process operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A signal could not be sent.
    #[error("cannot send a signal: {0}")]
    Signal(#[from] nix::Error),
    /// A program of the fleet is not built.
    #[error("{0} is not built; run cargo build --release --workspace first")]
    NoProgram(String),
    /// The soak test was interrupted by a signal. Its processes have been killed.
    #[error("interrupted by a signal")]
    Interrupted,
    /// The fleet was not ready within this time, in seconds, before any fault.
    #[error("the fleet was not ready within {0} s, before any fault")]
    StartTimeout(u64),
}
