//! Waits for the signal of a planned stop, and logs the stop.

use std::future::Future;
use std::io;

use log::info;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// Handlers of SIGTERM, SIGINT and SIGHUP, which replace the default action of
/// ending the process.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Installs the handlers. A process does this before it opens anything,
    /// because a signal that arrives during the start would end it.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Returns at the first SIGTERM or SIGINT, and calls `on_reload` at each
    /// SIGHUP before that. Signals since [`Self::listen`] are included.
    pub async fn wait_for_stop(mut self, mut on_reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => on_reload(),
            }
        }
    }
}

/// Returns at the first SIGTERM or SIGINT.
pub async fn wait() -> io::Result<()> {
    StopSignals::listen()?.wait_for_stop(|| {}).await;
    Ok(())
}

/// Waits for `shutdown` to complete and logs the start and end of the stop. The
/// output of `shutdown` is logged as `whole`.
pub async fn stop(process: &str, instance: &str, shutdown: impl Future<Output = bool>) {
    info!("event=stopping process={process} instance={instance}");
    let whole = shutdown.await;
    info!("event=stopped process={process} instance={instance} whole={whole}");
}
