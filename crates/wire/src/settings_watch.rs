//! Notices that a process's settings file has changed.
//!
//! The file may change with a signal or without one, so it is looked at again
//! and again. What cannot be used is logged and changes nothing: the process
//! goes on with what it has.

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

/// Pause between two looks. A process whose seeds have all gone is without
/// news until it has read the new ones.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// A settings file as it was before a process read it.
///
/// Guards against a change between that and the start of the watch, which would
/// pass for what the process has, so that it never learned of it.
#[derive(Clone, Debug)]
pub struct SettingsBaseline {
    path: PathBuf,
    text: String,
}

impl SettingsBaseline {
    /// Reads the file at `path`. One that cannot be read holds nothing yet.
    pub fn read(path: PathBuf) -> Self {
        let text = fs::read_to_string(&path).unwrap_or_default();
        Self { path, text }
    }

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// A watch that is running.
pub struct SettingsWatch<T> {
    /// Settings that took the place of those before.
    pub changes: mpsc::UnboundedReceiver<T>,
    at_once: Rc<Notify>,
}

/// Asks a watch to look now.
#[derive(Clone)]
pub struct LookNow(Rc<Notify>);

impl LookNow {
    /// Looks at the file at once.
    pub fn look(&self) {
        self.0.notify_one();
    }
}

impl<T: FromSettings + 'static> SettingsWatch<T> {
    /// Watches a file for what differs from `held`.
    pub fn spawn(held: SettingsBaseline) -> Self {
        let (sender, changes) = mpsc::unbounded_channel();
        let at_once = Rc::new(Notify::new());
        actix_rt::spawn(watch(held, sender, Rc::clone(&at_once)));
        Self { changes, at_once }
    }

    /// What makes it look at once.
    pub fn look_now(&self) -> LookNow {
        LookNow(Rc::clone(&self.at_once))
    }
}

/// Runs a process until a planned stop is asked for; `reload` gets settings
/// that took the place of those before.
pub async fn until_stopped<T: FromSettings + 'static>(
    signals: StopSignals,
    held: SettingsBaseline,
    mut reload: impl AsyncFnMut(T),
) {
    let mut watch = SettingsWatch::<T>::spawn(held);
    let now = watch.look_now();
    let stop = signals.wait_and(|| now.look());
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return,
            Some(changed) = watch.changes.recv() => reload(changed).await,
        }
    }
}

async fn watch<T: FromSettings>(
    held: SettingsBaseline,
    changes: mpsc::UnboundedSender<T>,
    at_once: Rc<Notify>,
) {
    let SettingsBaseline {
        path,
        text: mut held,
    } = held;
    while !changes.is_closed() {
        let pause = actix_rt::time::sleep(LOOK_PAUSE);
        tokio::select! {
            () = pause => {}
            () = at_once.notified() => {}
        }
        // A file that is just being replaced is there at the next look.
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        if text == held {
            continue;
        }
        held = text;
        match settings_file::read(&path) {
            Ok(settings) => {
                info!("event=settings-reloaded path={}", path.display());
                // An error means that the process is stopping.
                let _ = changes.send(settings);
            }
            Err(problem) => {
                warn!("event=settings-unusable error={}", LogValue(problem));
            }
        }
    }
}
