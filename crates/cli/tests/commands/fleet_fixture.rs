//! A running local fleet, a temporary folder, and the `cowslip` command run
//! against them.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use tempfile::TempDir;
use tokio::sync::oneshot;

use cowslip_cli::local_fleet::DeploymentPlan;
use cowslip_cli::local_fleet::LocalFleet;
use cowslip_wire::messages::EndpointsCall;
use cowslip_wire::messages::StatusCall;

/// Number of nodes of the `sidertre` local fleet.
pub const NODES: usize = 9;

/// Timeout of starting a fleet; only a broken one reaches it.
const FLEET_TIMEOUT: Duration = Duration::from_secs(60);

/// A temporary folder and a fleet that runs on a thread of its own.
pub struct FleetFixture {
    folder: TempDir,
    controls: Vec<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    fleet: Option<JoinHandle<()>>,
}

impl FleetFixture {
    /// Starts the `sidertre` local fleet and waits until the leader knows every
    /// node and every backend server.
    pub fn with_fleet() -> Self {
        Self::start(None)
    }

    /// Like `with_fleet`, with additional servers of the contract service that
    /// run v2.
    pub fn with_two_versions() -> Self {
        Self::start(Some("v2"))
    }

    fn start(version: Option<&'static str>) -> Self {
        let folder = tempfile::tempdir().expect("a folder for the test");
        let state = folder.path().join("state");
        let (started, addresses) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let fleet = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let plan = DeploymentPlan::named("sidertre").expect("a known deployment");
                let fleet = LocalFleet::spawn(&plan, &state).await;
                let mut fleet = fleet.expect("a fleet");
                if let Some(version) = version {
                    let service = &plan.services[0];
                    let added = fleet.add_version(&plan, service, version).await;
                    added.expect("servers of another version");
                }
                wait_until_listed(&fleet).await;
                started.send(fleet.addresses()).expect("the test waits");
                let _ = stopped.await;
            });
        });
        let controls = addresses
            .recv_timeout(FLEET_TIMEOUT)
            .expect("the fleet started");
        Self {
            folder,
            controls,
            stop: Some(stop),
            fleet: Some(fleet),
        }
    }

    /// Returns the path of a file in the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes a file into the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        fs::write(&path, text).expect("the folder can be written");
        path
    }

    /// Runs `cowslip` with these arguments against the fleet, in the folder.
    pub fn run(&self, args: &[&str]) -> Output {
        let controls: Vec<String> =
            self.controls.iter().map(ToString::to_string).collect();
        Command::new(env!("CARGO_BIN_EXE_cowslip"))
            .current_dir(self.folder.path())
            .env("COWSLIP_CONTROL", controls.join(","))
            .env("COWSLIP_KEY", "local-operator")
            .args(args)
            .output()
            .expect("the command runs")
    }

    /// Runs `cowslip`, expects success and returns its standard output.
    pub fn stdout(&self, args: &[&str]) -> String {
        let output = self.run(args);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {stderr}");
        String::from_utf8(output.stdout).expect("it prints UTF-8")
    }

    /// Runs `cowslip --json`, expects success and returns the parsed document.
    pub fn json(&self, args: &[&str]) -> Value {
        let mut all = vec!["--json"];
        all.extend_from_slice(args);
        serde_json::from_str(&self.stdout(&all)).expect("it prints one JSON document")
    }

    /// Runs `cowslip`, expects this exit status and returns its standard error.
    pub fn fails(&self, status: i32, args: &[&str]) -> String {
        let output = self.run(args);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(status), "{args:?}: {stderr}");
        stderr
    }
}

/// Waits until the leader lists every node and every backend server. A node
/// reports itself before the announcement of its backend server arrives.
async fn wait_until_listed(fleet: &LocalFleet) {
    let operator = fleet.operator();
    loop {
        let status = operator.ask(&StatusCall {}).await.expect("a leader");
        let endpoints = operator.ask(&EndpointsCall {}).await.expect("a leader");
        let nodes = fleet.nodes.len();
        if status.nodes.len() == nodes && endpoints.len() == nodes {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

impl Drop for FleetFixture {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(fleet) = self.fleet.take() {
            let _ = fleet.join();
        }
    }
}

/// A small fleet document that the tests apply.
pub const DOCUMENT: &str = "services:
  contract:
    version: v1
  records:
    version: v1
routes:
  - path: /contracts
    service: contract
  - path: /prices
    service: records
    priority: high
";
