//! The processes of a run, their settings, servers and proxies.

use std::cell::Cell;
use std::cell::RefCell;
use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

use crate::backend::WatchedServer;
use crate::fault_plan::Link;
use crate::fault_plan::Place;
use crate::fault_plan::CONTROLS;
use crate::fault_plan::NODES;
use crate::process::program;
use crate::process::FleetProcess;
use crate::process::ProcessPlan;
use crate::proxy::LinkProxy;
use crate::sightings::Sightings;
use crate::soak_error::SoakError;

/// Key of operators.
pub const OPERATOR_KEY: &str = "soak-operator";

const SYSTEM_KEY: &str = "soak-system";

/// Loopback number of the first successor of a control instance.
const FIRST_SUCCESSOR: usize = 140;

/// Successors before their loopback numbers are used again.
const SUCCESSORS_MAX: usize = 100;

/// First part of a record, as a crash in the middle of a write leaves it.
const TORN_RECORD: [u8; 11] = [40, 1, 0, 0, 7, 7, 7, 7, 1, 2, 3];

/// Where a node is reached.
#[derive(Clone, Copy, Debug)]
pub struct NodePlace {
    /// By callers.
    pub callers: SocketAddr,
    /// By its backend server.
    pub local: SocketAddr,
}

/// A fleet of separate processes.
pub struct SoakFleet {
    /// Where control instances listen.
    pub controls: Rc<RefCell<Vec<SocketAddr>>>,
    /// Where nodes are reached.
    pub nodes: Vec<NodePlace>,
    /// Backend servers, by node.
    pub servers: Vec<Rc<WatchedServer>>,
    control_processes: Vec<RefCell<FleetProcess>>,
    node_processes: Vec<RefCell<FleetProcess>>,
    to_controls: Vec<LinkProxy>,
    control_targets: Vec<Rc<Cell<SocketAddr>>>,
    /// Empty folders that each control instance was given since the start.
    emptied: Vec<Cell<usize>>,
    /// Control instances replaced since the start.
    replaced: Cell<usize>,
    to_servers: Vec<LinkProxy>,
    folder: PathBuf,
}

/// An address on a loopback number that only this process uses, so that no
/// outgoing connection can take the port before its owner binds it.
fn own_address(number: usize) -> Result<SocketAddr, SoakError> {
    let pid = std::process::id().to_be_bytes();
    let own = IpAddr::V4(Ipv4Addr::new(127, pid[2] | 1, pid[3], number as u8));
    let bound = TcpListener::bind(SocketAddr::new(own, 0))?;
    Ok(bound.local_addr()?)
}

fn addresses(first: usize, count: usize) -> Result<Vec<SocketAddr>, SoakError> {
    (first..first + count).map(own_address).collect()
}

impl SoakFleet {
    /// Starts all processes, from programs in `programs`, with their files in
    /// `folder`.
    pub fn spawn(
        programs: &Path,
        folder: &Path,
        started: Instant,
        sightings: &Rc<RefCell<Sightings>>,
    ) -> Result<Self, SoakError> {
        let controls = addresses(1, CONTROLS)?;
        let mut to_controls = Vec::new();
        let mut control_targets = Vec::new();
        for (at, address) in controls.iter().enumerate() {
            let listen = own_address(10 + at)?;
            let target = Rc::new(Cell::new(*address));
            to_controls.push(LinkProxy::bind(listen, Rc::clone(&target))?);
            control_targets.push(target);
        }
        let mut fleet = Self {
            controls: Rc::new(RefCell::new(controls)),
            nodes: Vec::new(),
            servers: Vec::new(),
            control_processes: Vec::new(),
            node_processes: Vec::new(),
            to_controls,
            control_targets,
            emptied: vec![Cell::new(0); CONTROLS],
            replaced: Cell::new(0),
            to_servers: Vec::new(),
            folder: folder.to_owned(),
        };
        for at in 0..CONTROLS {
            let settings = fleet.control_settings(at, true)?;
            let process = fleet.start(
                programs,
                "cowslip-control",
                Place::Control(at),
                &settings,
            )?;
            fleet.control_processes.push(RefCell::new(process));
        }
        for at in 0..NODES {
            fleet.add_server(at, started, sightings)?;
            let settings = fleet.node_settings(at)?;
            let process =
                fleet.start(programs, "cowslip-node", Place::Node(at), &settings)?;
            fleet.node_processes.push(RefCell::new(process));
        }
        Ok(fleet)
    }

    fn add_server(
        &mut self,
        at: usize,
        started: Instant,
        sightings: &Rc<RefCell<Sightings>>,
    ) -> Result<(), SoakError> {
        let listen = own_address(100 + at)?;
        let server = WatchedServer::bind(at, listen, started, Rc::clone(sightings))?;
        let target = Rc::new(Cell::new(server.address()));
        self.to_servers
            .push(LinkProxy::bind(own_address(120 + at)?, target)?);
        self.servers.push(Rc::new(server));
        Ok(())
    }

    fn control_settings(
        &self,
        at: usize,
        first_start: bool,
    ) -> Result<String, SoakError> {
        let controls = self.controls.borrow();
        let seeds: Vec<String> =
            controls.iter().map(|seed| format!("\"{seed}\"")).collect();
        let listen = controls[at];
        Ok(format!(
            "instance: \"{listen}\"\nfailure_domain: domain-{at}\nlisten: {listen}\n\
             admin_listen: {}\ndata_folder: {}\nseeds: [{}]\nfirst_start: {first_start}\n\
             losses: 1\noperator_key: {OPERATOR_KEY}\nsystem_key: {SYSTEM_KEY}\n",
            own_address(20 + at)?,
            self.data_folder(at).display(),
            seeds.join(", ")
        ))
    }

    /// Writes the settings of all control instances as they are now; those that
    /// run read them when they are told to.
    pub fn write_control_settings(&self) -> Result<(), SoakError> {
        for at in 0..CONTROLS {
            let file = self.settings_file(Place::Control(at));
            fs::write(file, self.control_settings(at, false)?)?;
        }
        Ok(())
    }

    /// Gives a control instance that has ended an empty folder.
    pub fn empty_folder(&self, at: usize) -> Result<(), SoakError> {
        self.emptied[at].set(self.emptied[at].get() + 1);
        self.write_control_settings()
    }

    /// Puts another instance, not started yet, in the place of a control
    /// instance that has ended.
    pub fn replace_control(&self, at: usize) -> Result<(), SoakError> {
        let number = self.replaced.get();
        self.replaced.set(number + 1);
        let listen = own_address(FIRST_SUCCESSOR + number % SUCCESSORS_MAX)?;
        self.controls.borrow_mut()[at] = listen;
        self.control_targets[at].set(listen);
        self.empty_folder(at)
    }

    fn node_settings(&mut self, at: usize) -> Result<String, SoakError> {
        let place = NodePlace {
            callers: own_address(30 + at)?,
            local: own_address(50 + at)?,
        };
        self.nodes.push(place);
        let proxies = self.to_controls.iter();
        let controls: Vec<String> =
            proxies.map(|proxy| proxy.address().to_string()).collect();
        Ok(format!(
            "instance: node-{at}\nfailure_domain: domain-{}\ncallers_listen: {}\n\
             local_listen: {}\npeer_listen: {}\nadmin_listen: {}\ncontrols: [{}]\n\
             system_key: {SYSTEM_KEY}\nfollow_wait: 400ms\n",
            at % CONTROLS,
            place.callers,
            place.local,
            own_address(70 + at)?,
            own_address(90 + at)?,
            controls.join(", ")
        ))
    }

    fn start(
        &self,
        programs: &Path,
        name: &str,
        place: Place,
        settings: &str,
    ) -> Result<FleetProcess, SoakError> {
        let instance = instance(place);
        let file = self.settings_file(place);
        fs::write(&file, settings)?;
        FleetProcess::spawn(ProcessPlan {
            program: program(programs, name)?,
            settings: file,
            log: self.folder.join(format!("{instance}.log")),
        })
    }

    /// The process at `place`.
    pub fn process(&self, place: Place) -> &RefCell<FleetProcess> {
        match place {
            Place::Control(at) => &self.control_processes[at],
            Place::Node(at) => &self.node_processes[at],
        }
    }

    /// Every place, control instances first.
    pub fn places(&self) -> impl Iterator<Item = Place> {
        let controls = (0..CONTROLS).map(Place::Control);
        controls.chain((0..NODES).map(Place::Node))
    }

    /// The proxy of a link.
    pub fn proxy(&self, link: Link) -> &LinkProxy {
        match link {
            Link::ToControl(at) => &self.to_controls[at],
            Link::ToServer(at) => &self.to_servers[at],
        }
    }

    /// Announces the server beside node `at`, until the node takes it.
    pub async fn announce(&self, at: usize) {
        let address = self.to_servers[at].address();
        self.servers[at]
            .announce(self.nodes[at].local, address)
            .await;
    }

    /// Leaves a torn record at the end of a control instance's log, whose
    /// process has ended.
    pub fn tear_log(&self, at: usize) -> Result<(), SoakError> {
        let file = self.data_folder(at).join("log");
        let mut log = OpenOptions::new().append(true).open(file)?;
        log.write_all(&TORN_RECORD)?;
        Ok(())
    }

    fn settings_file(&self, place: Place) -> PathBuf {
        self.folder.join(format!("{}.yaml", instance(place)))
    }

    fn data_folder(&self, at: usize) -> PathBuf {
        let emptied = self.emptied[at].get();
        self.folder.join(format!("data-{at}-{emptied}"))
    }
}

/// Name of the instance at `place`.
pub fn instance(place: Place) -> String {
    match place {
        Place::Control(at) => format!("control-{at}"),
        Place::Node(at) => format!("node-{at}"),
    }
}
