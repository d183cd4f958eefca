//! Waits for the signal of a planned stop, and tells of the stop.

use std::future::Future;
use std::io;

use log::info;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Returns at the first SIGTERM or SIGINT; each SIGHUP before it calls
/// `reload`, and ends nothing.
pub async fn wait_and(mut reload: impl FnMut()) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => reload(),
        }
    }
}

/// Returns at the first SIGTERM or SIGINT.
pub async fn wait() -> io::Result<()> {
    wait_and(|| {}).await
}

/// Carries out the planned stop of a process of this kind, and says so.
pub async fn stop(process: &str, instance: &str, stopping: impl Future<Output = bool>) {
    info!("event=stopping process={process} instance={instance}");
    let whole = stopping.await;
    info!("event=stopped process={process} instance={instance} whole={whole}");
}
