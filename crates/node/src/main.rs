//! `cowslip-node`: runs the node beside a backend server.

use std::path::PathBuf;
use std::process::exit;

use bpaf::Bpaf;

use cowslip_node::node_daemon::NodeDaemon;
use cowslip_node::node_daemon::NodeSockets;
use cowslip_node::node_settings::NodeSettings;
use cowslip_wire::command_args;
use cowslip_wire::process_log;
use cowslip_wire::settings_file;
use cowslip_wire::settings_watch;
use cowslip_wire::settings_watch::SettingsBaseline;
use cowslip_wire::stop_signal;
use cowslip_wire::stop_signal::StopSignals;

/// Runs the node beside a backend server.
///
/// Example: cowslip-node --settings settings/sidertre/node-1.yaml
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct NodeArgs {
    /// Settings file, YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Validate the settings and exit
    check: bool,
}

fn main() {
    let args = command_args::parse_or_exit(&node_args());
    process_log::start();
    let baseline = SettingsBaseline::read(args.settings);
    let settings: NodeSettings =
        settings_file::read_or_exit("cowslip-node", baseline.path());
    if args.check {
        println!("{}: usable", baseline.path().display());
        return;
    }
    let result = actix_rt::System::new().block_on(run(&settings, baseline));
    process_log::flush();
    if let Err(error) = result {
        eprintln!("cowslip-node: {error}");
        exit(1);
    }
}

async fn run(settings: &NodeSettings, baseline: SettingsBaseline) -> std::io::Result<()> {
    let signals = StopSignals::listen()?;
    let sockets = NodeSockets::bind(settings)?;
    let seed = rand::random();
    let daemon = NodeDaemon::spawn(settings, sockets, seed)?;
    let reload = async |changed: NodeSettings| daemon.reload(&changed);
    settings_watch::until_stopped(signals, baseline, reload).await;
    stop_signal::stop("node", &settings.instance, daemon.stop()).await;
    Ok(())
}
