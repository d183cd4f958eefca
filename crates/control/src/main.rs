//! `cowslip-control`: runs a control instance.

use std::path::PathBuf;
use std::process::exit;

use bpaf::Bpaf;

use cowslip_control::control_daemon::ControlDaemon;
use cowslip_control::control_daemon::ControlSockets;
use cowslip_control::control_settings::ControlSettings;
use cowslip_wire::command_args;
use cowslip_wire::process_log;
use cowslip_wire::settings_file;
use cowslip_wire::settings_watch;
use cowslip_wire::settings_watch::SettingsBaseline;
use cowslip_wire::stop_signal;
use cowslip_wire::stop_signal::StopSignals;

/// Runs a control instance of cowslipwall.
///
/// Example: cowslip-control --settings settings/sidertre/control-1.yaml
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct ControlArgs {
    /// Settings file, YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Validate the settings and exit
    check: bool,
}

fn main() {
    let args = command_args::parse_or_exit(&control_args());
    process_log::start();
    let baseline = SettingsBaseline::read(args.settings);
    let settings: ControlSettings =
        settings_file::read_or_exit("cowslip-control", baseline.path());
    if args.check {
        println!("{}: usable", baseline.path().display());
        return;
    }
    let result = actix_rt::System::new().block_on(run(&settings, baseline));
    process_log::flush();
    if let Err(error) = result {
        eprintln!("cowslip-control: {error}");
        exit(1);
    }
}

async fn run(
    settings: &ControlSettings,
    baseline: SettingsBaseline,
) -> Result<(), Box<dyn std::error::Error>> {
    let signals = StopSignals::listen()?;
    let sockets = ControlSockets::bind(settings.listen, settings.admin_listen)?;
    let daemon = ControlDaemon::spawn(settings, sockets)?;
    let reload = async |changed: ControlSettings| daemon.reload(&changed).await;
    settings_watch::until_stopped(signals, baseline, reload).await;
    stop_signal::stop("control", &settings.instance, daemon.stop()).await;
    Ok(())
}
