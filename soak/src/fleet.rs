//! The fleet of a run: processes, their settings, backend servers and proxies.

use std::cell::Cell;
use std::cell::RefCell;
use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::backend::RecordingServer;
use crate::fault_plan::CutDirection;
use crate::fault_plan::CutScope;
use crate::fault_plan::Link;
use crate::fault_plan::ProcessId;
use crate::fault_plan::CONTROLS;
use crate::fault_plan::NODES;
use crate::link_cuts::DirectedLink;
use crate::observations::Observations;
use crate::process::program_path;
use crate::process::FleetProcess;
use crate::process::LaunchConfig;
use crate::proxy::FleetLinks;
use crate::proxy::LinkProxy;
use crate::soak_error::SoakError;

/// Access key of the operator.
pub const OPERATOR_KEY: &str = "soak-operator";

const SYSTEM_KEY: &str = "soak-system";

/// Last octet of the loopback address of the first successor of a control
/// instance.
const FIRST_SUCCESSOR: usize = 140;

/// Number of successors after which their loopback addresses are reused.
const SUCCESSORS_MAX: usize = 100;

/// Beginning of a log record, as a crash during a write leaves it.
const TORN_RECORD: [u8; 11] = [40, 1, 0, 0, 7, 7, 7, 7, 1, 2, 3];

/// Ports of listeners of one process: registered ones, below the kernel's ephemeral
/// ports. Their number divides that of the values of a counter.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 8_192;

/// Position of the next port.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Listen addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the backend server.
    pub local: SocketAddr,
}

/// A running fleet of separate processes.
pub struct SoakFleet {
    /// Listen addresses of the current control instances.
    pub controls: Rc<RefCell<Vec<SocketAddr>>>,
    /// Links between the processes.
    pub links: FleetLinks,
    /// Addresses under which control instances know each other, which lead through
    /// proxies.
    members: RefCell<Vec<SocketAddr>>,
    member_proxies: RefCell<Vec<LinkProxy>>,
    peer_proxies: Vec<LinkProxy>,
    /// Listen addresses of the nodes.
    pub nodes: Vec<NodeAddresses>,
    /// Backend servers, by index of their node.
    pub servers: Vec<Rc<RecordingServer>>,
    control_processes: Vec<RefCell<FleetProcess>>,
    node_processes: Vec<RefCell<FleetProcess>>,
    control_proxies: Vec<LinkProxy>,
    control_targets: Vec<Rc<Cell<SocketAddr>>>,
    /// Number of times that each control instance got a new, empty data folder.
    emptied: Vec<Cell<usize>>,
    /// Number of control instances replaced so far.
    replaced: Cell<usize>,
    server_proxies: Vec<LinkProxy>,
    folder: PathBuf,
}

/// Returns an unused address on a loopback IP derived from the process ID, which
/// other processes do not use. `number` is the last octet. The port lies below those
/// that the kernel gives to other sockets, and is not returned again soon, since
/// several runs of one process share the IPs.
///
/// The address is not bound to find out whether it is free: a process that another run
/// starts at this moment would hold that socket until it executes its program.
pub fn unused_address(number: usize) -> SocketAddr {
    let pid = std::process::id().to_be_bytes();
    let host = IpAddr::V4(Ipv4Addr::new(127, pid[2] | 1, pid[3], number as u8));
    let position = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
    // Two process IDs share an IP; each has half of the ports.
    let half = u16::from(pid[2] & 1) * PORTS;
    SocketAddr::new(host, FIRST_PORT + half + position)
}

fn unused_addresses(first: usize, count: usize) -> Vec<SocketAddr> {
    (first..first + count).map(unused_address).collect()
}

impl SoakFleet {
    /// Starts all processes, with the programs in the folder `programs` and all
    /// files in `folder`.
    pub fn spawn(
        programs: &Path,
        folder: &Path,
        started: Instant,
        observations: &Rc<RefCell<Observations>>,
    ) -> Result<Self, SoakError> {
        let controls = unused_addresses(1, CONTROLS);
        let links = FleetLinks::default();
        let mut control_proxies = Vec::new();
        let mut control_targets = Vec::new();
        let mut member_proxies = Vec::new();
        for (at, address) in controls.iter().enumerate() {
            let target = Rc::new(Cell::new(*address));
            let id = ProcessId::Control(at);
            let from_nodes = unused_address(10 + at);
            control_proxies.push(LinkProxy::bind(
                from_nodes,
                Rc::clone(&target),
                Some(links.to(id)),
            )?);
            control_targets.push(target);
            let target = Rc::new(Cell::new(*address));
            member_proxies.push(LinkProxy::bind(
                unused_address(4 + at),
                target,
                Some(links.to(id)),
            )?);
        }
        let members = member_proxies.iter().map(LinkProxy::address).collect();
        let mut fleet = Self {
            controls: Rc::new(RefCell::new(controls)),
            links,
            members: RefCell::new(members),
            member_proxies: RefCell::new(member_proxies),
            peer_proxies: Vec::new(),
            nodes: Vec::new(),
            servers: Vec::new(),
            control_processes: Vec::new(),
            node_processes: Vec::new(),
            control_proxies,
            control_targets,
            emptied: vec![Cell::new(0); CONTROLS],
            replaced: Cell::new(0),
            server_proxies: Vec::new(),
            folder: folder.to_owned(),
        };
        for at in 0..CONTROLS {
            let settings = fleet.control_settings(at, true)?;
            let process = fleet.start(
                programs,
                "cowslip-control",
                ProcessId::Control(at),
                &settings,
            )?;
            fleet.control_processes.push(RefCell::new(process));
        }
        for at in 0..NODES {
            fleet.add_server(at, started, observations)?;
            let settings = fleet.node_settings(at)?;
            let process =
                fleet.start(programs, "cowslip-node", ProcessId::Node(at), &settings)?;
            fleet.node_processes.push(RefCell::new(process));
        }
        Ok(fleet)
    }

    fn add_server(
        &mut self,
        at: usize,
        started: Instant,
        observations: &Rc<RefCell<Observations>>,
    ) -> Result<(), SoakError> {
        let listen = unused_address(100 + at);
        let server = RecordingServer::bind(at, listen, started, Rc::clone(observations))?;
        let target = Rc::new(Cell::new(server.address()));
        self.server_proxies.push(LinkProxy::bind(
            unused_address(120 + at),
            target,
            None,
        )?);
        self.servers.push(Rc::new(server));
        Ok(())
    }

    fn control_settings(
        &self,
        at: usize,
        first_start: bool,
    ) -> Result<String, SoakError> {
        let members = self.members.borrow();
        let seeds: Vec<String> =
            members.iter().map(|seed| format!("\"{seed}\"")).collect();
        let instance = members[at];
        let listen = self.controls.borrow()[at];
        Ok(format!(
            "instance: \"{instance}\"\nfailure_domain: {}\nlisten: {listen}\n\
             admin_listen: {}\ndata_folder: {}\nseeds: [{}]\nfirst_start: {first_start}\n\
             losses: 1\noperator_key: {OPERATOR_KEY}\nsystem_key: {SYSTEM_KEY}\n",
            failure_domain(at),
            unused_address(20 + at),
            self.data_folder(at).display(),
            seeds.join(", ")
        ))
    }

    /// Writes the current settings of all control instances. Running ones read
    /// them at the next reload.
    pub fn write_control_settings(&self) -> Result<(), SoakError> {
        for at in 0..CONTROLS {
            let file = self.settings_file(ProcessId::Control(at));
            fs::write(file, self.control_settings(at, false)?)?;
        }
        Ok(())
    }

    /// Gives a control instance that is not running an empty data folder.
    pub fn empty_folder(&self, at: usize) -> Result<(), SoakError> {
        self.emptied[at].set(self.emptied[at].get() + 1);
        self.write_control_settings()
    }

    /// Replaces a control instance that is not running with a successor at
    /// another address, which is not started yet.
    pub fn replace_control(&self, at: usize) -> Result<(), SoakError> {
        let number = self.replaced.get();
        self.replaced.set(number + 1);
        let listen = unused_address(FIRST_SUCCESSOR + number % SUCCESSORS_MAX);
        self.controls.borrow_mut()[at] = listen;
        self.control_targets[at].set(listen);
        let address = unused_address(FIRST_SUCCESSOR + number % SUCCESSORS_MAX);
        let links = self.links.to(ProcessId::Control(at));
        let proxy = LinkProxy::bind(address, Rc::new(Cell::new(listen)), Some(links))?;
        self.members.borrow_mut()[at] = proxy.address();
        self.member_proxies.borrow_mut().push(proxy);
        self.empty_folder(at)
    }

    /// Returns the links that a cut loses packets on. `leader` is the index of the
    /// leading control instance.
    pub fn cut_links(
        &self,
        scope: CutScope,
        direction: CutDirection,
        leader: usize,
    ) -> Vec<DirectedLink> {
        let leading = ProcessId::Control(leader);
        let mut links = Vec::new();
        for inner in self.process_ids() {
            for outer in self.process_ids() {
                let cut = match scope {
                    CutScope::Leader => inner == leading && outer.is_control(),
                    CutScope::LeaderFromAll => inner == leading,
                    CutScope::Control(at) => {
                        inner == ProcessId::Control(at) && outer.is_control()
                    }
                    CutScope::Domain(domain) => {
                        inner.domain() == domain && outer.domain() != domain
                    }
                    CutScope::Node(at) => inner == ProcessId::Node(at),
                    CutScope::Nodes(one, other) => {
                        inner == ProcessId::Node(one) && outer == ProcessId::Node(other)
                    }
                };
                if !cut || inner == outer {
                    continue;
                }
                if direction != CutDirection::Inbound {
                    links.push((inner, outer));
                }
                if direction != CutDirection::Outbound {
                    links.push((outer, inner));
                }
            }
        }
        links
    }

    /// Returns the index of the control instance with this name.
    pub fn control_index(&self, instance: &str) -> Option<usize> {
        let members = self.members.borrow();
        members
            .iter()
            .position(|member| member.to_string() == instance)
    }

    fn node_settings(&mut self, at: usize) -> Result<String, SoakError> {
        let addresses = NodeAddresses {
            callers: unused_address(30 + at),
            local: unused_address(50 + at),
        };
        self.nodes.push(addresses);
        let peer_listen = unused_address(70 + at);
        let links = self.links.to(ProcessId::Node(at));
        let target = Rc::new(Cell::new(peer_listen));
        let peer_proxy = LinkProxy::bind(unused_address(60 + at), target, Some(links))?;
        let peer_address = peer_proxy.address();
        self.peer_proxies.push(peer_proxy);
        let proxies = self.control_proxies.iter();
        let controls: Vec<String> =
            proxies.map(|proxy| proxy.address().to_string()).collect();
        Ok(format!(
            "instance: node-{at}\nfailure_domain: {}\ncallers_listen: {}\n\
             local_listen: {}\npeer_listen: {peer_listen}\npeer_address: {peer_address}\n\
             admin_listen: {}\ncontrols: [{}]\n\
             system_key: {SYSTEM_KEY}\nfollow_wait: 400ms\n",
            failure_domain(at % CONTROLS),
            addresses.callers,
            addresses.local,
            unused_address(90 + at),
            controls.join(", ")
        ))
    }

    fn start(
        &self,
        programs: &Path,
        name: &str,
        id: ProcessId,
        settings: &str,
    ) -> Result<FleetProcess, SoakError> {
        let instance = instance_name(id);
        let file = self.settings_file(id);
        fs::write(&file, settings)?;
        let process = FleetProcess::spawn(LaunchConfig {
            program: program_path(programs, name)?,
            settings: file,
            log: self.folder.join(format!("{instance}.log")),
        })?;
        self.links.processes.add(id, process.pid());
        Ok(process)
    }

    /// Returns the process with this ID.
    pub fn process(&self, id: ProcessId) -> &RefCell<FleetProcess> {
        match id {
            ProcessId::Control(at) => &self.control_processes[at],
            ProcessId::Node(at) => &self.node_processes[at],
        }
    }

    /// Returns the IDs of all processes, control instances first.
    pub fn process_ids(&self) -> impl Iterator<Item = ProcessId> {
        let controls = (0..CONTROLS).map(ProcessId::Control);
        controls.chain((0..NODES).map(ProcessId::Node))
    }

    /// Returns the proxy of a link.
    pub fn proxy(&self, link: Link) -> &LinkProxy {
        match link {
            Link::ToControl(at) => &self.control_proxies[at],
            Link::ToServer(at) => &self.server_proxies[at],
        }
    }

    /// Announces the backend server of node `at`; returns once the node accepts
    /// it.
    pub async fn announce(&self, at: usize) {
        let address = self.server_proxies[at].address();
        self.servers[at]
            .announce(self.nodes[at].local, address)
            .await;
    }

    /// Appends a torn record to the log of a control instance that is not
    /// running.
    pub fn append_torn_record(&self, at: usize) -> Result<(), SoakError> {
        let file = self.data_folder(at).join("log");
        let mut log = OpenOptions::new().append(true).open(file)?;
        log.write_all(&TORN_RECORD)?;
        Ok(())
    }

    fn settings_file(&self, id: ProcessId) -> PathBuf {
        self.folder.join(format!("{}.yaml", instance_name(id)))
    }

    fn data_folder(&self, at: usize) -> PathBuf {
        let emptied = self.emptied[at].get();
        self.folder.join(format!("data-{at}-{emptied}"))
    }
}

/// Returns the name of a failure domain.
pub fn failure_domain(number: usize) -> String {
    format!("domain-{number}")
}

/// Returns the name of a process in file names and reports.
pub fn instance_name(id: ProcessId) -> String {
    match id {
        ProcessId::Control(at) => format!("control-{at}"),
        ProcessId::Node(at) => format!("node-{at}"),
    }
}
