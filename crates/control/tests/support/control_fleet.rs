//! Control instances as processes of their own.

use std::fs;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use tempfile::TempDir;

use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;

use self::reserved_address::reserve;

#[path = "reserved_address.rs"]
mod reserved_address;

/// Access key of operators.
pub const OPERATOR_KEY: &str = "test-operator";

/// Access key between processes of the fleet.
pub const SYSTEM_KEY: &str = "test-system";

const CONTROLS: u8 = 3;

/// Timeout for an answer of the leader; only a broken fleet reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Control processes that are killed when the test ends, even if it fails.
pub struct ControlFleet {
    /// Holds the data folder of each instance, `data-0` and so on.
    pub folder: TempDir,
    /// Address of each instance.
    pub addresses: Vec<SocketAddr>,
    /// Process of each instance that runs.
    pub children: Vec<Option<Child>>,
}

impl Drop for ControlFleet {
    fn drop(&mut self) {
        for at in 0..self.children.len() {
            self.kill(at);
        }
    }
}

impl ControlFleet {
    /// Starts three instances.
    pub fn spawn() -> Self {
        let mut fleet = Self {
            folder: tempfile::tempdir().expect("a folder"),
            addresses: (1..=CONTROLS).map(reserve).collect(),
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
             operator_key: {OPERATOR_KEY}\nsystem_key: {SYSTEM_KEY}\n",
            self.addresses[usize::from(number)],
            reserve(10 + number),
            folder.display()
        );
        let file = self.folder.path().join(format!("control-{number}.yaml"));
        fs::write(file, settings).expect("settings are written");
    }

    /// Starts the instance `at`, unless it runs.
    pub fn start(&mut self, at: usize) {
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

    /// Kills the instance `at`, if it runs.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends the call to each instance in turn until the leader answers.
pub async fn ask<C, T>(client: &PeerClient, addresses: &[SocketAddr], call: &C) -> T
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
