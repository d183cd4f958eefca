//! A small fleet in one process: real control instances and nodes, with
//! stand-ins as backend servers.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

use cowslip_control::control_daemon::ControlDaemon;
use cowslip_control::control_daemon::ControlError;
use cowslip_control::control_daemon::ControlSockets;
use cowslip_control::control_settings::ControlSettings;
use cowslip_control::control_settings::MemberAddress;
use cowslip_node::node_daemon::NodeDaemon;
use cowslip_node::node_daemon::NodeSockets;
use cowslip_node::node_settings::NodeSettings;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::messages::StatusCall;

use crate::control_client::ControlClient;
use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;
use crate::stand_in::StandIn;
use crate::stand_in::StandInConfig;
use crate::stand_in::CONNECTIONS_MAX;

pub use self::deployment::DeploymentPlan;
pub use self::deployment::ServicePlan;

mod deployment;

/// Number of control instances of a local fleet.
const CONTROL_INSTANCES: usize = 3;

/// Version of the backend servers that a local fleet starts with.
const FIRST_VERSION: &str = "v1";

/// Time for the first election; only a broken fleet needs it.
const LEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// Access keys of a local fleet. They are no secret: it listens on loopback only.
const OPERATOR_KEY: &str = "local-operator";
const SYSTEM_KEY: &str = "local-system";

/// Why a local fleet could not start.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A control instance failed to start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// A socket or file operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The control instances elected no leader in time.
    #[error("the fleet has no leader: {0}")]
    NoLeader(#[from] OperatorError),
}

/// A node and the stand-in that it serves.
pub struct FleetNode {
    /// The node.
    pub node: NodeDaemon,
    /// The node's backend server.
    pub stand_in: StandIn,
    /// Instance name of both.
    pub instance: Arc<str>,
    /// Failure domain of both.
    pub failure_domain: Arc<str>,
}

/// A running local fleet.
pub struct LocalFleet {
    /// The control instances, all of them voters.
    pub controls: Vec<ControlDaemon>,
    /// The nodes with their stand-ins.
    pub nodes: Vec<FleetNode>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl LocalFleet {
    /// Starts the fleet of `plan`, keeps its state under `folder`, and waits until
    /// it has a leader.
    pub async fn spawn(plan: &DeploymentPlan, folder: &Path) -> Result<Self, FleetError> {
        let controls = spawn_controls(plan, folder)?;
        let addresses = control_addresses(&controls);
        let mut nodes = Vec::new();
        for service in plan.services {
            for number in 0..service.servers {
                let server = NewServer {
                    service,
                    number,
                    version: FIRST_VERSION,
                };
                let seed = nodes.len() as u64;
                nodes.push(spawn_node(plan, server, &addresses, seed).await?);
            }
        }
        let fleet = Self { controls, nodes };
        fleet.wait_for_leader().await?;
        Ok(fleet)
    }

    /// The first election takes several syncs, and a slow disk may need longer for
    /// them than an operator waits for an answer.
    async fn wait_for_leader(&self) -> OperatorResult<()> {
        let operator = self.operator();
        let started = Instant::now();
        loop {
            let answer = operator.ask(&StatusCall {}).await;
            let is_slow = matches!(answer, Err(OperatorError::NoAnswer(_)));
            if !is_slow || started.elapsed() > LEADER_TIMEOUT {
                return answer.map(drop);
            }
        }
    }

    /// Starts nodes and servers of another version of `service`, as many as the
    /// plan has, beside the existing ones.
    pub async fn add_version(
        &mut self,
        plan: &DeploymentPlan,
        service: &ServicePlan,
        version: &str,
    ) -> Result<(), FleetError> {
        let addresses = self.addresses();
        for number in 0..service.servers {
            let server = NewServer {
                service,
                number,
                version,
            };
            let seed = self.nodes.len() as u64;
            let node = spawn_node(plan, server, &addresses, seed).await?;
            self.nodes.push(node);
        }
        Ok(())
    }

    /// Stops the node at `at` and starts it again under the same name. Its backend
    /// server runs on and does not announce itself again.
    pub async fn restart_node(&mut self, at: usize) -> Result<(), FleetError> {
        let old = self.nodes.remove(at);
        old.node.stop().await;
        let settings = node_settings(
            Arc::clone(&old.instance),
            Arc::clone(&old.failure_domain),
            self.addresses(),
        );
        let sockets = NodeSockets::bind(&settings)?;
        let node = NodeDaemon::spawn(&settings, sockets, at as u64)?;
        self.nodes.insert(at, FleetNode { node, ..old });
        Ok(())
    }

    /// Returns the addresses of the control instances.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        control_addresses(&self.controls)
    }

    /// Creates an operator's client of this fleet.
    pub fn operator(&self) -> ControlClient {
        ControlClient::new(self.addresses(), AccessKey::new(OPERATOR_KEY))
    }
}

fn control_addresses(controls: &[ControlDaemon]) -> Vec<SocketAddr> {
    controls.iter().map(ControlDaemon::address).collect()
}

fn spawn_controls(
    plan: &DeploymentPlan,
    folder: &Path,
) -> Result<Vec<ControlDaemon>, FleetError> {
    let mut sockets = Vec::new();
    let mut members = Vec::new();
    for number in 1..=CONTROL_INSTANCES {
        let bound = ControlSockets::bind(loopback(), loopback())?;
        members.push(MemberAddress {
            instance: format!("control-{number}").into(),
            address: bound.address()?,
            vote: true,
        });
        sockets.push(bound);
    }
    let mut controls = Vec::new();
    for (at, bound) in sockets.into_iter().enumerate() {
        let instance = Arc::clone(&members[at].instance);
        let settings = ControlSettings {
            joining: None,
            node_live: None,
            stop_within: None,
            failure_domains: Vec::new(),
            data_folder: folder.join(&*instance),
            instance,
            failure_domain: plan.failure_domain(at),
            listen: loopback(),
            admin_listen: loopback(),
            members: members.clone(),
            operator_key: AccessKey::new(OPERATOR_KEY),
            system_key: AccessKey::new(SYSTEM_KEY),
        };
        controls.push(ControlDaemon::spawn(&settings, bound)?);
    }
    Ok(controls)
}

/// A backend server to start together with its node.
struct NewServer<'a> {
    service: &'a ServicePlan,
    number: usize,
    version: &'a str,
}

impl NewServer<'_> {
    fn instance(&self) -> Arc<str> {
        let name = self.service.name;
        let number = self.number + 1;
        if self.version == FIRST_VERSION {
            return format!("{name}-{number}").into();
        }
        format!("{name}-{}-{number}", self.version).into()
    }
}

fn node_settings(
    instance: Arc<str>,
    failure_domain: Arc<str>,
    controls: Vec<SocketAddr>,
) -> NodeSettings {
    let system_key = AccessKey::new(SYSTEM_KEY);
    NodeSettings::on_loopback(instance, failure_domain, controls, system_key)
}

async fn spawn_node(
    plan: &DeploymentPlan,
    server: NewServer<'_>,
    controls: &[SocketAddr],
    seed: u64,
) -> Result<FleetNode, FleetError> {
    let instance = server.instance();
    let failure_domain = plan.failure_domain(server.number);
    let settings = node_settings(
        Arc::clone(&instance),
        Arc::clone(&failure_domain),
        controls.to_vec(),
    );
    let sockets = NodeSockets::bind(&settings)?;
    let node = NodeDaemon::spawn(&settings, sockets, seed)?;
    let stand_in = StandIn::spawn(StandInConfig {
        instance: Arc::clone(&instance),
        service: server.service.name.into(),
        version: server.version.into(),
        slots: server.service.slots,
        connections_max: CONNECTIONS_MAX,
        work_time: Duration::from_millis(2),
        cold_start_time: Duration::from_millis(10),
    })?;
    stand_in.announce(node.local()).await?;
    Ok(FleetNode {
        node,
        stand_in,
        instance,
        failure_domain,
    })
}
