//! A fleet of separate processes: 3 control instances and 9 nodes.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use serde_json::Value;
use tempfile::TempDir;

use cowslip_cli::stand_in::StandIn;
use cowslip_cli::stand_in::StandInConfig;

use self::reserved_address::reserve;

#[path = "../../control/tests/support/reserved_address.rs"]
mod reserved_address;

const CONTROLS: u8 = 3;
const NODES: u8 = 9;
const CALLS: usize = 1_000;
const CALLERS: usize = 16;

/// Timeout of every wait; only a broken fleet reaches it.
const FLEET_TIMEOUT: Duration = Duration::from_secs(60);

const DOCUMENT: &str = "services: {contract: {version: v1}, records: {version: v1}}
routes:
  - {path: /contracts, service: contract}
  - {path: /prices, service: records, priority: high}
";

fn program_path(name: &str) -> PathBuf {
    let beside = Path::new(env!("CARGO_BIN_EXE_cowslip")).with_file_name(name);
    assert!(
        beside.exists(),
        "{name} is not built: run the tests of the whole workspace"
    );
    beside
}

/// The processes of a fleet. They are killed when the test ends, also if it
/// fails.
struct ProcessFleet {
    folder: TempDir,
    controls: Vec<SocketAddr>,
    callers: Vec<SocketAddr>,
    locals: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl ProcessFleet {
    fn spawn() -> Self {
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("a folder"),
            controls: (1..=CONTROLS).map(reserve).collect(),
            callers: Vec::new(),
            locals: Vec::new(),
            children: Vec::new(),
        };
        for number in 0..CONTROLS {
            let settings = fleet.control_settings(number);
            fleet.start("cowslip-control", &format!("control-{number}"), &settings);
        }
        for number in 0..NODES {
            let settings = fleet.node_settings(number);
            fleet.start("cowslip-node", &format!("node-{number}"), &settings);
        }
        fleet
    }

    fn control_settings(&self, number: u8) -> String {
        let mut members = String::new();
        for (at, address) in self.controls.iter().enumerate() {
            members +=
                &format!("  - {{instance: control-{at}, address: \"{address}\"}}\n");
        }
        let folder = self.folder.path().join(format!("data-{number}"));
        format!(
            "instance: control-{number}\nfailure_domain: domain-{number}\n\
             listen: {}\nadmin_listen: {}\ndata_folder: {}\nmembers:\n{members}\
             operator_key: test-operator\nsystem_key: test-system\n",
            self.controls[usize::from(number)],
            reserve(10 + number),
            folder.display()
        )
    }

    fn node_settings(&mut self, number: u8) -> String {
        let callers = reserve(20 + number);
        let local = reserve(40 + number);
        self.callers.push(callers);
        self.locals.push(local);
        let controls: Vec<String> =
            self.controls.iter().map(ToString::to_string).collect();
        format!(
            "instance: node-{number}\nfailure_domain: domain-{}\n\
             callers_listen: {callers}\nlocal_listen: {local}\npeer_listen: {}\n\
             admin_listen: {}\ncontrols: [{}]\nsystem_key: test-system\n",
            number % CONTROLS,
            reserve(60 + number),
            reserve(80 + number),
            controls.join(", ")
        )
    }

    fn start(&mut self, name: &str, instance: &str, settings: &str) {
        let file = self.folder.path().join(format!("{instance}.yaml"));
        fs::write(&file, settings).expect("the folder can be written");
        let child = Command::new(program_path(name))
            .arg("--settings")
            .arg(&file)
            .env("RUST_LOG", "error")
            .spawn()
            .expect("the program starts");
        self.children.push(child);
    }

    fn cowslip(&self, args: &[&str]) -> Option<Value> {
        let controls: Vec<String> =
            self.controls.iter().map(ToString::to_string).collect();
        let output = Command::new(program_path("cowslip"))
            .current_dir(self.folder.path())
            .env("COWSLIP_CONTROL", controls.join(","))
            .env("COWSLIP_KEY", "test-operator")
            .arg("--json")
            .args(args)
            .output()
            .expect("the command runs");
        if !output.status.success() {
            return None;
        }
        serde_json::from_slice(&output.stdout).ok()
    }

    fn change(&self, args: &[&str]) -> Value {
        let accepted = self.cowslip(args).expect("the change is accepted");
        let version = accepted["version"].as_str().expect("a version");
        let done = self.cowslip(&["move", "wait", version]);
        done.expect("the move is done")
    }

    fn wait_for_nodes(&self) {
        let started = Instant::now();
        while started.elapsed() < FLEET_TIMEOUT {
            let status = self.cowslip(&["status"]).unwrap_or_default();
            let live_nodes = status["nodes"].as_array().map_or(0, Vec::len);
            if live_nodes == usize::from(NODES) {
                return;
            }
        }
        panic!("not all nodes have reported to control");
    }
}

async fn announce_stand_ins(fleet: &ProcessFleet) -> Vec<StandIn> {
    let mut stand_ins = Vec::new();
    for (number, local) in fleet.locals.iter().enumerate() {
        let service = if number < 6 { "contract" } else { "records" };
        let stand_in = StandIn::spawn(StandInConfig {
            instance: format!("node-{number}").into(),
            service: service.into(),
            version: "v1".into(),
            slots: 10,
            connections_max: 100,
            work_time: Duration::from_millis(2),
            cold_start_time: Duration::ZERO,
        });
        let stand_in = stand_in.expect("a stand-in");
        let started = Instant::now();
        while stand_in.announce(*local).await.is_err() {
            assert!(
                started.elapsed() < FLEET_TIMEOUT,
                "node {number} takes no announcement"
            );
        }
        stand_ins.push(stand_in);
    }
    stand_ins
}

/// Sends the calls and describes those that failed or got a wrong answer.
async fn send_calls(callers: Rc<Vec<SocketAddr>>) -> Vec<String> {
    let mut senders = Vec::new();
    for sender in 0..CALLERS {
        let callers = Rc::clone(&callers);
        senders.push(actix_rt::spawn(async move {
            let client = Client::default();
            let mut wrong = Vec::new();
            for number in (sender..CALLS).step_by(CALLERS) {
                let address = callers[number % callers.len()];
                wrong.extend(send_call(&client, address, number).await.err());
            }
            wrong
        }));
    }
    let mut wrong = Vec::new();
    for sender in senders {
        wrong.extend(sender.await.expect("a sender ends"));
    }
    wrong
}

async fn send_call(
    client: &Client,
    address: SocketAddr,
    number: usize,
) -> Result<(), String> {
    let path = ["/contracts", "/prices"][number % 2];
    let body = format!("body of call {number}");
    let sent = client.post(format!("http://{address}{path}/{number}"));
    let mut response = sent
        .send_body(body.clone())
        .await
        .map_err(|e| e.to_string())?;
    let answer = response.body().await.map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&answer);
    if text.ends_with(&format!(" {path}/{number}\n{body}")) {
        return Ok(());
    }
    Err(format!("call {number}: {} {text}", response.status()))
}

// Guards against a configuration change that disturbs calls: every caller must
// get the complete answer to its own request, and the change must be reported
// as applied on every node. Every process must then exit with status 0 on
// SIGTERM.
#[test]
fn calls_succeed_while_a_default_changes() {
    let mut fleet = ProcessFleet::spawn();
    fleet.wait_for_nodes();
    fs::write(fleet.folder.path().join("fleet.yaml"), DOCUMENT).expect("a file");
    fleet.change(&["apply", "fleet.yaml"]);
    let callers = Rc::new(fleet.callers.clone());
    let (ready, calls_begin) = mpsc::channel();
    let running = &fleet;
    let (done, wrong) = thread::scope(|scope| {
        // Running the command blocks, so the change gets a thread of its own.
        let change = scope.spawn(move || {
            calls_begin.recv().expect("the calls begin");
            running.change(&["default", "set", "deadline_ms", "7000"])
        });
        let wrong = actix_rt::System::new().block_on(async {
            let stand_ins = announce_stand_ins(running).await;
            wait_for_endpoints(&callers).await;
            let calls = actix_rt::spawn(send_calls(Rc::clone(&callers)));
            ready.send(()).expect("the change waits");
            let wrong = calls.await.expect("the calls end");
            drop(stand_ins);
            wrong
        });
        (change.join().expect("the change ends"), wrong)
    });
    assert_eq!(wrong, Vec::<String>::new());
    assert_eq!(done["progress"]["state"], "Done");
    assert_eq!(done["progress"]["nodes_applied"], NODES);
    println!(
        "in force on {NODES} nodes after {} ms",
        done["done_after_ms"]
    );
    stop_all(&mut fleet);
}

/// Waits until every node knows servers of both services.
async fn wait_for_endpoints(callers: &[SocketAddr]) {
    let client = Client::default();
    let started = Instant::now();
    for (number, address) in callers.iter().enumerate() {
        for path in [number * 2, number * 2 + 1] {
            while send_call(&client, *address, path).await.is_err() {
                assert!(
                    started.elapsed() < FLEET_TIMEOUT,
                    "node {number} finds no server"
                );
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn stop_all(fleet: &mut ProcessFleet) {
    // Nodes first, so that they can still tell the control instances.
    for child in fleet.children.iter_mut().rev() {
        let pid = child.id().to_string();
        let signalled = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(signalled.expect("the signal is sent").success());
    }
    for child in &mut fleet.children {
        let ended = child.wait().expect("the process ends");
        assert_eq!(ended.code(), Some(0));
    }
}
