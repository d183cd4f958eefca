//! Cost of the agreement: latency of a change, changes per second, and the
//! leader's bytes and CPU time per change.
//!
//! The first table measures complete control instances in one process and one
//! thread, over loopback. Each instance syncs its own data folder on the disk of
//! the build folder. The second table measures only the state machines.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslip_control::control_daemon::ControlDaemon;
use cowslip_control::control_daemon::ControlSockets;
use cowslip_control::control_settings::ControlSettings;
use cowslip_control::control_settings::MemberAddress;
use cowslip_core::agreement::AgreementMember;
use cowslip_core::agreement::MemberIdentity;
use cowslip_core::agreement::ProcessStart;
use cowslip_core::agreement::ReplicaAction;
use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::StateReplica;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::document::CallPriority;
use cowslip_core::document::FleetDocument;
use cowslip_core::document::RouteSpec;
use cowslip_core::document::ServiceSpec;
use cowslip_core::tuning::TuningKey;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::codec;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::peer_client::PeerClient;

/// Number of changes sent sequentially.
const SEQUENTIAL_CHANGES: u64 = 300;

/// Number of changes in the concurrent burst, and of operators that send them.
const BURST_CHANGES: u64 = 2_000;
const OPERATORS: u64 = 64;

/// Number of changes measured at each document size.
const MODEL_CHANGES: u64 = 300;

fn main() {
    println!("members  accept p50 ms  p99 ms  max ms  burst changes/s");
    for members in [1, 3, 5] {
        actix_rt::System::new().block_on(measure_fleet(members));
    }
    println!();
    println!("members  services  leader bytes/change  leader us/change");
    for members in [3, 5] {
        for services in [10, 100, 440] {
            measure_state_machines(members, services);
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn change(id: String, value: u64) -> ChangeEntry {
    ChangeEntry {
        request_id: id.into(),
        expected: None,
        at_ms: 0,
        change: ConfigChange::SetDefault {
            key: TuningKey::DeadlineMs,
            value: 1_000 + value,
        },
    }
}

fn spawn_fleet(members: usize, folder: &Path) -> Vec<ControlDaemon> {
    let mut all_sockets = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..members {
        let sockets = ControlSockets::bind(loopback(), loopback()).expect("ports");
        addresses.push(MemberAddress {
            instance: format!("control-{number}").into(),
            address: sockets.address().expect("an address"),
            vote: true,
        });
        all_sockets.push(sockets);
    }
    let mut daemons = Vec::new();
    for (sockets, member) in all_sockets.into_iter().zip(&addresses) {
        let settings = ControlSettings {
            joining: None,
            node_live: None,
            stop_within: None,
            failure_domains: Vec::new(),
            instance: Arc::clone(&member.instance),
            failure_domain: "bench".into(),
            listen: loopback(),
            admin_listen: loopback(),
            data_folder: folder.join(&*member.instance),
            members: addresses.clone(),
            operator_key: AccessKey::new("bench-operator"),
            system_key: AccessKey::new("bench-system"),
        };
        daemons.push(ControlDaemon::spawn(&settings, sockets).expect("it starts"));
    }
    daemons
}

/// Sends the change to each instance in turn until one accepts it; returns the
/// index of that instance.
async fn send(
    client: &PeerClient,
    addresses: &[SocketAddr],
    entry: ChangeEntry,
) -> usize {
    let call = ChangeCall { entry };
    loop {
        for (at, address) in addresses.iter().enumerate() {
            let answer = client.send(*address, &call, Duration::from_secs(5)).await;
            if let Ok(LeaderAnswer::Answered(ChangeOutcome::Accepted { .. })) = answer {
                return at;
            }
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn measure_fleet(members: usize) {
    let base = env!("CARGO_TARGET_TMPDIR");
    let folder = tempfile::tempdir_in(base).expect("a folder");
    let daemons = spawn_fleet(members, folder.path());
    let addresses: Vec<SocketAddr> = daemons.iter().map(ControlDaemon::address).collect();
    let client = PeerClient::new(AccessKey::new("bench-operator"));
    let leader = send(&client, &addresses, change("first".to_owned(), 0)).await;
    let leader = Rc::new(vec![addresses[leader]]);
    let mut times = Vec::new();
    for number in 0..SEQUENTIAL_CHANGES {
        let started = Instant::now();
        send(&client, &leader, change(format!("single-{number}"), number)).await;
        times.push(started.elapsed().as_secs_f64() * 1_000.0);
    }
    times.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    let burst = burst(&client, &leader).await;
    println!(
        "{members:7}  {:13.2}  {:6.2}  {:6.2}  {burst:15.0}",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    for daemon in daemons {
        daemon.stop().await;
    }
}

async fn burst(client: &PeerClient, leader: &Rc<Vec<SocketAddr>>) -> f64 {
    let started = Instant::now();
    let mut operators = Vec::new();
    for operator in 0..OPERATORS {
        let client = client.clone();
        let leader = Rc::clone(leader);
        operators.push(actix_rt::spawn(async move {
            for number in (operator..BURST_CHANGES).step_by(OPERATORS as usize) {
                send(&client, &leader, change(format!("burst-{number}"), number)).await;
            }
        }));
    }
    for operator in operators {
        operator.await.expect("an operator ends");
    }
    BURST_CHANGES as f64 / started.elapsed().as_secs_f64()
}

fn document(services: usize) -> FleetDocument {
    let mut document = FleetDocument::default();
    let mut specs = BTreeMap::new();
    for number in 0..services {
        let name: Arc<str> = format!("service-{number}").into();
        let spec = ServiceSpec {
            version: "v1".into(),
            candidate: None,
            ..ServiceSpec::default()
        };
        specs.insert(Arc::clone(&name), spec);
        for route in 0..3 {
            document.routes.push(Arc::new(RouteSpec {
                path: format!("/{name}/{route}").into(),
                service: Arc::clone(&name),
                priority: CallPriority::Normal,
                internal: false,
                ..RouteSpec::default()
            }));
        }
    }
    document.services = specs;
    document
}

/// Members in one thread, with instant messages and syncs.
struct ModelFleet {
    members: Vec<StateReplica>,
    queue: VecDeque<(usize, ReplicaEvent)>,
    now: Duration,
    leader_bytes: usize,
    leader_time: Duration,
}

impl ModelFleet {
    fn new(count: usize) -> Self {
        let mut founders = Vec::new();
        for number in 0..count {
            let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16));
            let name: Arc<str> = format!("control-{number}").into();
            founders.push((name, address));
        }
        let mut members = Vec::new();
        for (number, (instance, address)) in founders.iter().enumerate() {
            let identity = MemberIdentity {
                instance: Arc::clone(instance),
                address: *address,
                folder: number as u64 + 1,
                start: ProcessStart { count: 1, nonce: 1 },
            };
            let saved = SavedState::default();
            let zero = Duration::ZERO;
            let member =
                AgreementMember::open(identity, founders.clone(), saved, zero, 1);
            members.push(StateReplica::new(member));
        }
        Self {
            members,
            queue: VecDeque::new(),
            now: Duration::ZERO,
            leader_bytes: 0,
            leader_time: Duration::ZERO,
        }
    }

    /// Processes queued events until none is left. Member 0 leads: it created the
    /// log, and no fault occurs.
    fn drain(&mut self) {
        while let Some((at, event)) = self.queue.pop_front() {
            let started = Instant::now();
            let actions = self.members[at].handle(self.now, [event]);
            if at == 0 {
                self.leader_time += started.elapsed();
            }
            for action in actions {
                self.execute(at, action);
            }
        }
    }

    fn execute(&mut self, at: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Write(batch) => {
                let event = ReplicaEvent::Persisted(batch.sequence);
                self.queue.push_back((at, event));
            }
            ReplicaAction::Send(address, message) => {
                if at == 0 {
                    self.leader_bytes += codec::encode(&message).map_or(0, |m| m.len());
                }
                let to = usize::from(address.port()) - 1_000;
                self.queue.push_back((to, ReplicaEvent::Message(message)));
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(25);
        for at in 0..self.members.len() {
            self.queue.push_back((at, ReplicaEvent::Tick));
        }
        self.drain();
    }

    fn change(&mut self, entry: ChangeEntry) {
        self.queue.push_back((0, ReplicaEvent::Change(1, entry)));
        self.drain();
    }
}

fn measure_state_machines(members: usize, services: usize) {
    let mut fleet = ModelFleet::new(members);
    for _ in 0..100 {
        fleet.tick();
    }
    let mut apply = change("document".to_owned(), 0);
    apply.change = ConfigChange::Apply(document(services));
    fleet.change(apply);
    assert_eq!(fleet.members[0].state().history().count(), 1);
    fleet.leader_bytes = 0;
    fleet.leader_time = Duration::ZERO;
    for number in 0..MODEL_CHANGES {
        fleet.change(change(format!("core-{number}"), number));
    }
    println!(
        "{members:7}  {services:8}  {:19}  {:16.1}",
        fleet.leader_bytes / MODEL_CHANGES as usize,
        fleet.leader_time.as_secs_f64() * 1e6 / MODEL_CHANGES as f64
    );
}
