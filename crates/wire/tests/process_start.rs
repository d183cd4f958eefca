//! What reaches a process while it starts.

use std::time::Duration;

use nix::sys::signal::raise;
use nix::sys::signal::Signal;

use cowslip_wire::settings_reader::FromSettings;
use cowslip_wire::settings_reader::SettingsReader;
use cowslip_wire::settings_watch;
use cowslip_wire::settings_watch::SettingsBaseline;
use cowslip_wire::stop_signal::StopSignals;

/// Settings of one name.
#[derive(Debug, PartialEq, Eq)]
struct NamedSettings(String);

impl FromSettings for NamedSettings {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        reader.required::<String>("name", "a name").map(Self)
    }
}

/// Runs until the settings have been read once more, and a stop is asked for.
async fn reloaded(signals: StopSignals, held: SettingsBaseline) -> Vec<NamedSettings> {
    let mut seen = Vec::new();
    let run = settings_watch::until_stopped(signals, held, async |changed| {
        seen.push(changed);
        raise(Signal::SIGTERM).expect("a signal");
    });
    let ended = actix_rt::time::timeout(Duration::from_secs(5), run).await;
    ended.expect("settings were read again");
    seen
}

// Guards against a process that ends, or keeps old settings for good, because
// they changed while it was starting.
#[test]
fn settings_that_change_during_a_start_are_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, "name: before\n").expect("a file");
    actix_rt::System::new().block_on(async {
        let signals = StopSignals::listen().expect("signals");
        let held = SettingsBaseline::read(path.clone());
        std::fs::write(&path, "name: after\n").expect("a file");
        raise(Signal::SIGHUP).expect("a signal");
        let seen = reloaded(signals, held).await;
        assert_eq!(seen, [NamedSettings("after".to_owned())]);
    });
}
