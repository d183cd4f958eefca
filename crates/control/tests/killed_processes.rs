//! Control processes that are killed while changes are in progress.

use std::collections::BTreeMap;
use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::messages::MoveLine;
use cowslip_wire::messages::MovesCall;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;

const CONTROLS: u8 = 3;
const CHANGES: u64 = 500;

/// Number of changes between kills; a killed process is restarted at the next
/// kill.
const KILL_EVERY: u64 = 60;

/// Timeout for an answer of the leader; only a broken fleet reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a free address on a loopback IP address that only this test process
/// uses, so that no outgoing connection can take the port before the control
/// process binds it.
fn free_address(number: u8) -> SocketAddr {
    let pid = std::process::id().to_be_bytes();
    let address = IpAddr::V4(Ipv4Addr::new(127, pid[2] | 1, pid[3], number));
    let listener = TcpListener::bind(SocketAddr::new(address, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Control processes that are killed when the test ends, even if it fails.
struct ControlFleet {
    folder: TempDir,
    addresses: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
}

impl Drop for ControlFleet {
    fn drop(&mut self) {
        for at in 0..self.children.len() {
            self.kill(at);
        }
    }
}

impl ControlFleet {
    fn spawn() -> Self {
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("a folder"),
            addresses: (1..=CONTROLS).map(free_address).collect(),
            children: Vec::new(),
        };
        for number in 0..CONTROLS {
            fleet.children.push(None);
            fleet.write_settings(number);
            fleet.start(usize::from(number));
        }
        fleet
    }

    fn write_settings(&self, number: u8) {
        let mut members = String::new();
        for (at, address) in self.addresses.iter().enumerate() {
            members +=
                &format!("  - {{instance: control-{at}, address: \"{address}\"}}\n");
        }
        let folder = self.folder.path().join(format!("data-{number}"));
        let settings = format!(
            "instance: control-{number}\nfailure_domain: domain-{number}\n\
             listen: {}\nadmin_listen: {}\ndata_folder: {}\nmembers:\n{members}\
             operator_key: test-operator\nsystem_key: test-system\n",
            self.addresses[usize::from(number)],
            free_address(10 + number),
            folder.display()
        );
        let file = self.folder.path().join(format!("control-{number}.yaml"));
        fs::write(file, settings).expect("settings are written");
    }

    fn start(&mut self, at: usize) {
        if self.children[at].is_some() {
            return;
        }
        let file = self.folder.path().join(format!("control-{at}.yaml"));
        let child = Command::new(env!("CARGO_BIN_EXE_cowslip-control"))
            .arg("--settings")
            .arg(file)
            .env("RUST_LOG", "error")
            .spawn()
            .expect("cowslip-control starts");
        self.children[at] = Some(child);
    }

    fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends the call to each instance in turn until the leader answers.
async fn ask<C, T>(client: &PeerClient, addresses: &[SocketAddr], call: &C) -> T
where
    C: WireCall<Answer = LeaderAnswer<T>>,
{
    let started = Instant::now();
    loop {
        for address in addresses {
            let answer = client.send(*address, call, Duration::from_secs(3)).await;
            if let Ok(LeaderAnswer::Answered(answer)) = answer {
                return answer;
            }
        }
        assert!(started.elapsed() < TIMEOUT, "no leader answered");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

fn change(number: u64) -> ChangeCall {
    let entry = ChangeEntry {
        request_id: format!("change-{number}").into(),
        expected: None,
        at_ms: number,
        change: ConfigChange::SetDefault {
            key: TuningKey::DeadlineMs,
            value: 1_000 + number,
        },
    };
    ChangeCall { entry }
}

// Guards against accepted changes that are lost or applied twice, and against
// version numbers that are used twice, when processes are killed: one at a
// time, and once all three, while the operator sends and resends changes.
#[test]
fn killed_processes_lose_no_change_and_reuse_no_version() {
    let mut fleet = ControlFleet::spawn();
    let addresses = fleet.addresses.clone();
    let (accepted, lines) = actix_rt::System::new().block_on(async {
        let client = PeerClient::new(AccessKey::new("test-operator"));
        let mut accepted = BTreeMap::new();
        for number in 0..CHANGES {
            let call = change(number);
            // The change is in progress when the process is killed.
            let answer = {
                let addresses = addresses.clone();
                let client = client.clone();
                actix_rt::spawn(async move { ask(&client, &addresses, &call).await })
            };
            if number % KILL_EVERY == KILL_EVERY - 1 {
                actix_rt::time::sleep(Duration::from_millis(2)).await;
                kill_and_restart(&mut fleet, number / KILL_EVERY);
            }
            match answer.await.expect("the request task ends") {
                ChangeOutcome::Accepted { version } => {
                    accepted.insert(number, version);
                }
                refused => panic!("change {number}: {refused:?}"),
            }
        }
        let moves = MovesCall { version: None };
        let lines: Vec<MoveLine> = ask(&client, &addresses, &moves).await;
        (accepted, lines)
    });
    assert_eq!(accepted.len() as u64, CHANGES);
    let mut previous = ConfigVersion::ZERO;
    let mut listed = BTreeMap::new();
    for line in &lines {
        assert!(line.version > previous, "{} was used twice", line.version);
        previous = line.version;
        assert!(listed.insert(line.at_ms, line.version).is_none());
    }
    assert_eq!(listed, accepted);
}

/// Restarts the processes killed before, then kills one process, or kills and
/// restarts all of them.
fn kill_and_restart(fleet: &mut ControlFleet, round: u64) {
    let controls = fleet.children.len();
    for at in 0..controls {
        fleet.start(at);
    }
    if round == 4 {
        for at in 0..controls {
            fleet.kill(at);
        }
        for at in 0..controls {
            fleet.start(at);
        }
        return;
    }
    fleet.kill(round as usize % controls);
}
