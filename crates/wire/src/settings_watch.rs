//! Watches a process's settings file for changes.
//!
//! The file may change with or without a signal, so it is polled. Unusable
//! settings are logged, and the process keeps its current ones.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::sync::mpsc;
use tokio::sync::Notify;

use crate::process_log::LogValue;
use crate::settings_file;
use crate::settings_reader::FromSettings;
use crate::stop_signal::StopSignals;

/// Interval between two checks of the file. A process whose configured
/// seed addresses are all gone gets no updates until it has read the new ones.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Contents of a settings file from before the process parsed it.
///
/// The watch compares the file with this text. If it read its own baseline when
/// it started, a change made after the process had parsed the file would be
/// part of the baseline and never be noticed.
#[derive(Clone, Debug)]
pub struct SettingsBaseline {
    path: PathBuf,
    text: String,
}

impl SettingsBaseline {
    /// Reads the file at `path`; an unreadable file counts as empty.
    pub fn read(path: PathBuf) -> Self {
        let text = fs::read_to_string(&path).unwrap_or_default();
        Self { path, text }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// A running watch of a settings file.
pub struct SettingsWatch<T> {
    /// Receives the new settings after each change.
    pub changes: mpsc::UnboundedReceiver<T>,
    recheck: Rc<Notify>,
}

/// Makes a watch check its file without waiting for the next poll.
#[derive(Clone)]
pub struct RecheckTrigger(Rc<Notify>);

impl RecheckTrigger {
    /// Checks the file now.
    pub fn recheck(&self) {
        self.0.notify_one();
    }
}

impl<T: FromSettings + 'static> SettingsWatch<T> {
    /// Watches a file for changes relative to `baseline`.
    pub fn spawn(baseline: SettingsBaseline) -> Self {
        let (sender, changes) = mpsc::unbounded_channel();
        let recheck = Rc::new(Notify::new());
        actix_rt::spawn(watch(baseline, sender, Rc::clone(&recheck)));
        Self { changes, recheck }
    }

    /// Returns a handle that triggers an immediate check.
    pub fn recheck_trigger(&self) -> RecheckTrigger {
        RecheckTrigger(Rc::clone(&self.recheck))
    }
}

/// Waits until a planned stop is requested; calls `on_reload` with the new
/// settings after each change of the file.
pub async fn until_stopped<T: FromSettings + 'static>(
    signals: StopSignals,
    baseline: SettingsBaseline,
    mut on_reload: impl AsyncFnMut(T),
) {
    let mut watch = SettingsWatch::<T>::spawn(baseline);
    let trigger = watch.recheck_trigger();
    let stop = signals.wait_for_stop(|| trigger.recheck());
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return,
            Some(changed) = watch.changes.recv() => on_reload(changed).await,
        }
    }
}

async fn watch<T: FromSettings>(
    baseline: SettingsBaseline,
    changes: mpsc::UnboundedSender<T>,
    recheck: Rc<Notify>,
) {
    let SettingsBaseline {
        path,
        text: mut current,
    } = baseline;
    while !changes.is_closed() {
        let pause = actix_rt::time::sleep(POLL_INTERVAL);
        tokio::select! {
            () = pause => {}
            () = recheck.notified() => {}
        }
        // A file that is being replaced is read at the next check.
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        if text == current {
            continue;
        }
        current = text;
        match settings_file::read(&path) {
            Ok(settings) => {
                info!("event=settings-reloaded path={}", path.display());
                // Sending fails only if the process is stopping.
                let _ = changes.send(settings);
            }
            Err(error) => {
                warn!("event=settings-unusable error={}", LogValue(error));
            }
        }
    }
}
