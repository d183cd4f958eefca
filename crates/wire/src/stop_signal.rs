//! Waits for the signal of a planned stop, and tells of the stop.

use std::future::Future;
use std::io;

use log::info;
use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// The signals of operators, which end nothing by themselves any more.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Takes the signals over. A process does so before it opens anything: by
    /// default each of them ends it, and may come while it starts.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Returns at the first SIGTERM or SIGINT; each SIGHUP before it calls
    /// `reload`. Signals that came since [`Self::listen`] count.
    pub async fn wait_and(mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => reload(),
            }
        }
    }
}

/// Returns at the first SIGTERM or SIGINT.
pub async fn wait() -> io::Result<()> {
    StopSignals::listen()?.wait_and(|| {}).await;
    Ok(())
}

/// Carries out the planned stop of a process of this kind, and says so.
pub async fn stop(process: &str, instance: &str, stopping: impl Future<Output = bool>) {
    info!("event=stopping process={process} instance={instance}");
    let whole = stopping.await;
    info!("event=stopped process={process} instance={instance} whole={whole}");
}
