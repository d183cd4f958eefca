//! Settings of `cowslip-control`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cowslip_wire::access_key::AccessKey;
use cowslip_wire::settings_reader::FromSettings;
use cowslip_wire::settings_reader::SettingsDuration;
use cowslip_wire::settings_reader::SettingsReader;

/// Description of a valid address, for error messages.
const ADDRESS: &str = "an address and port such as 127.0.0.1:7101";

/// Description of a valid access key, for error messages.
const KEY: &str = "a secret of at least 8 characters";

/// Settings of a control instance.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of this instance; one of `members` unless `joining` is set.
    pub instance: Arc<str>,
    /// Failure domain of this instance.
    pub failure_domain: Arc<str>,
    /// Listen address for operators and other processes.
    pub listen: SocketAddr,
    /// Listen address of the metrics and health pages.
    pub admin_listen: SocketAddr,
    /// Folder for the change log; created if it does not exist.
    pub data_folder: PathBuf,
    /// All control instances, the same list on each, or only those of `seeds`.
    /// The voters among them create the log; later changes of the voters are
    /// entries of the log itself.
    pub members: Vec<MemberAddress>,
    /// Set if the fleet manages its voters by itself.
    pub joining: Option<JoinSettings>,
    /// All failure domains of the fleet, so that an order about another one is
    /// refused. If empty, those of the live nodes and backend servers count.
    pub failure_domains: Vec<Arc<str>>,
    /// How long a node counts as live after it was last heard from. Set if
    /// nodes ask more often than every four seconds, to six times their wait.
    pub node_live: Option<Duration>,
    /// Time after the start of a planned stop at which the process is killed, if that
    /// is bounded. The stop ends before.
    pub stop_within: Option<Duration>,
    /// Key that authenticates operators.
    pub operator_key: AccessKey,
    /// Key that authenticates the system's processes to each other.
    pub system_key: AccessKey,
}

/// How instances that know only a few seeds form a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinSettings {
    /// True if the whole fleet starts for the first time.
    pub first_start: bool,
    /// Target number of voters: a majority remains when `losses` of them fail.
    pub voters: usize,
}

/// Largest `losses` setting; tolerating 3 losses takes seven voters.
const LOSSES_MAX: usize = 3;

/// Name and address of a control instance.
#[derive(Clone, Debug)]
pub struct MemberAddress {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Address of the main listener, the `listen` setting of that instance.
    pub address: SocketAddr,
    /// Whether the instance votes; the others only relay updates.
    pub vote: bool,
}

impl FromSettings for ControlSettings {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let instance =
            reader.required::<String>("instance", "a name unique in the fleet");
        let failure_domain = reader.required::<String>("failure_domain", "its name");
        let listen = reader.required("listen", ADDRESS);
        let admin_listen = reader.required("admin_listen", ADDRESS);
        let data_folder = reader.required("data_folder", "a folder for the change log");
        let mut members: Vec<MemberAddress> =
            reader.groups("members", "an instance and its address");
        let failure_domains: Vec<String> =
            reader.scalars("failure_domains", "the name of a failure domain");
        let node_live = reader.optional("node_live", "a time such as 10s");
        let stop_within = reader.optional("stop_within", "a time such as 30s");
        let joining = joining(reader, &mut members);
        let operator_key = reader.required("operator_key", KEY);
        let system_key = reader.required("system_key", KEY);
        let instance: Arc<str> = instance?.into();
        let listed = members.iter().any(|member| member.instance == instance);
        if !listed && joining.is_none() {
            let problem = format!("does not name this instance, {instance:?}; add it");
            reader.fault("members", problem);
        }
        if !members.iter().any(|member| member.vote) {
            reader.fault("members", "none of them votes; three or five should");
        }
        Some(Self {
            instance,
            failure_domain: failure_domain?.into(),
            listen: listen?,
            admin_listen: admin_listen?,
            data_folder: data_folder?,
            members,
            joining,
            failure_domains: failure_domains.into_iter().map(Arc::from).collect(),
            node_live: node_live.map(|SettingsDuration(live)| live),
            stop_within: stop_within.map(|SettingsDuration(within)| within),
            operator_key: operator_key?,
            system_key: system_key?,
        })
    }
}

/// Reads `seeds`, `first_start` and `losses`. Seeds are named by their
/// addresses, since nothing else is known about them; an instance that is a
/// seed must use its address as its name too.
fn joining(
    reader: &mut SettingsReader<'_>,
    members: &mut Vec<MemberAddress>,
) -> Option<JoinSettings> {
    let mut seeds: Vec<SocketAddr> = reader.scalars("seeds", ADDRESS);
    let first_start = reader.optional("first_start", "true or false");
    let losses: Option<usize> = reader.optional("losses", "0 to 3");
    if seeds.is_empty() {
        return None;
    }
    if !members.is_empty() {
        reader.fault(
            "seeds",
            "cannot be combined with members; keep only one of them",
        );
    }
    let losses = losses.unwrap_or(1);
    if losses > LOSSES_MAX {
        reader.fault("losses", "are too many; write 0 to 3");
    }
    // All instances must agree on the founders, whatever the order in their
    // settings.
    seeds.sort_unstable();
    for address in seeds {
        members.push(MemberAddress {
            instance: address.to_string().into(),
            address,
            vote: true,
        });
    }
    Some(JoinSettings {
        first_start: first_start.unwrap_or(false),
        voters: 2 * losses + 1,
    })
}

impl FromSettings for MemberAddress {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let instance = reader.required::<String>("instance", "the member's name");
        let address = reader.required("address", ADDRESS);
        let vote = reader.optional("vote", "true or false");
        Some(Self {
            instance: instance?.into(),
            address: address?,
            vote: vote.unwrap_or(true),
        })
    }
}

impl ControlSettings {
    /// Address where the other instances reach this one.
    pub fn address(&self) -> SocketAddr {
        let mut members = self.members.iter();
        let own = members.find(|member| member.instance == self.instance);
        own.map_or(self.listen, |member| member.address)
    }

    /// Name and address of each instance that creates the log, the voters among
    /// `members`.
    pub fn founders(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let mut founders = Vec::new();
        for member in &self.members {
            if member.vote {
                founders.push((Arc::clone(&member.instance), member.address));
            }
        }
        founders
    }
}
