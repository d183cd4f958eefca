//! Signals and settings changes that arrive while a process starts.

use std::time::Duration;

use nix::sys::signal::raise;
use nix::sys::signal::Signal;

use cowslip_wire::settings_reader::FromSettings;
use cowslip_wire::settings_reader::SettingsReader;
use cowslip_wire::settings_watch;
use cowslip_wire::settings_watch::SettingsBaseline;
use cowslip_wire::stop_signal::StopSignals;

/// Settings with a single name.
#[derive(Debug, PartialEq, Eq)]
struct NamedSettings(String);

impl FromSettings for NamedSettings {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        reader.required::<String>("name", "a name").map(Self)
    }
}

/// Runs until the settings are reloaded, then requests a stop and returns the
/// reloaded settings.
async fn reloaded(
    signals: StopSignals,
    baseline: SettingsBaseline,
) -> Vec<NamedSettings> {
    let mut reloads = Vec::new();
    let run = settings_watch::until_stopped(signals, baseline, async |changed| {
        reloads.push(changed);
        raise(Signal::SIGTERM).expect("a signal");
    });
    let ended = actix_rt::time::timeout(Duration::from_secs(5), run).await;
    ended.expect("settings were read again");
    reloads
}

// The settings file changes and SIGHUP arrives while the process starts. Without
// early handlers and a baseline, the process ends or never reads the change.
#[test]
fn settings_that_change_during_a_start_are_reloaded() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, "name: before\n").expect("a file");
    actix_rt::System::new().block_on(async {
        let signals = StopSignals::listen().expect("signals");
        let baseline = SettingsBaseline::read(path.clone());
        std::fs::write(&path, "name: after\n").expect("a file");
        raise(Signal::SIGHUP).expect("a signal");
        let reloads = reloaded(signals, baseline).await;
        assert_eq!(reloads, [NamedSettings("after".to_owned())]);
    });
}
