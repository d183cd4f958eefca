//! Why a soak cannot be played; a broken promise is no error.

use std::io;

use thiserror::Error;

/// A soak that cannot be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file, socket or process.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A signal could not be sent.
    #[error("signal: {0}")]
    Signal(#[from] nix::Error),
    /// A program was not built.
    #[error("{0} is not built; run cargo build --release --workspace first")]
    NoProgram(String),
    /// The soak was asked to stop; its processes have ended with it.
    #[error("asked to stop")]
    Interrupted,
    /// The fleet did not come up before any fault.
    #[error("the fleet was not up within {0} s, before any fault")]
    NeverUp(u64),
}
