//! Settings of `cowslip-node`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_wire::access_key::AccessKey;
use cowslip_wire::settings_reader::FromSettings;
use cowslip_wire::settings_reader::SettingsDuration;
use cowslip_wire::settings_reader::SettingsReader;

/// Description of a valid address, for error messages.
const ADDRESS: &str = "an address and port such as 127.0.0.1:7301";

/// Default time for other nodes to learn that this one is leaving before its
/// listeners close. Control instances forward directory updates within a second.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Default wait of a poll. Each poll renews the node's leases and takes about 250
/// bytes; one every four seconds suits fleets of thousands of nodes.
const FOLLOW_WAIT: Duration = Duration::from_secs(4);

/// Default pause between reports of a move's counts. A report of three routes
/// takes about 1 KB, and a node may send 16 KB a second to control instances.
const EVIDENCE_PAUSE: Duration = Duration::from_secs(1);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance; unique in the fleet.
    pub instance: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Listen address for callers.
    pub callers_listen: SocketAddr,
    /// Listen address for the backend server's announcements and outbound calls.
    pub local_listen: SocketAddr,
    /// Listen address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address at which other nodes reach the peer listener, if it is not its listen
    /// address, as behind a port mapping.
    pub peer_address: Option<SocketAddr>,
    /// Listen address of the metrics and health pages.
    pub admin_listen: SocketAddr,
    /// Addresses of the control instances to follow.
    pub controls: Vec<SocketAddr>,
    /// Key that authenticates the system's processes to each other.
    pub system_key: AccessKey,
    /// Time between announcing a stop and closing the listeners.
    pub drain_notice: Duration,
    /// How long a control instance holds a poll while it has no updates. A
    /// control instance that died is noticed after this and about half a second.
    pub follow_wait: Duration,
    /// Pause between two reports of a move's counts.
    pub evidence_pause: Duration,
    /// Service of the backend server, if set; the server then need not state it.
    pub service: Option<Arc<str>>,
    /// Address of the backend server, if set.
    pub server: Option<SocketAddr>,
    /// Bandwidth of the machine's link, in megabits a second. Answers are sent no
    /// faster, so that they do not delay other messages; if absent, they are not paced.
    pub link_mbps: Option<f64>,
    /// Time after the start of a planned stop at which the process is killed. The
    /// stop ends before that, and the node keeps serving during its notice. If absent,
    /// a stop takes as long as the calls in flight need.
    pub stop_within: Option<Duration>,
}

impl NodeSettings {
    /// Returns settings that listen on free loopback ports, for fleets in one
    /// process.
    pub fn on_loopback(
        instance: Arc<str>,
        failure_domain: Arc<str>,
        controls: Vec<SocketAddr>,
        system_key: AccessKey,
    ) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            instance,
            failure_domain,
            callers_listen: free,
            local_listen: free,
            peer_listen: free,
            peer_address: None,
            admin_listen: free,
            controls,
            system_key,
            drain_notice: DRAIN_NOTICE,
            follow_wait: FOLLOW_WAIT,
            evidence_pause: EVIDENCE_PAUSE,
            service: None,
            server: None,
            link_mbps: None,
            stop_within: None,
        }
    }
}

impl FromSettings for NodeSettings {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let instance =
            reader.required::<String>("instance", "a name unique in the fleet");
        let failure_domain =
            reader.required::<String>("failure_domain", "the name of a failure domain");
        let callers_listen = reader.required("callers_listen", ADDRESS);
        let local_listen = reader.required("local_listen", ADDRESS);
        let peer_listen = reader.required("peer_listen", ADDRESS);
        let peer_address = reader.optional("peer_address", ADDRESS);
        let admin_listen = reader.required("admin_listen", ADDRESS);
        let controls = reader.scalars("controls", ADDRESS);
        let system_key =
            reader.required("system_key", "the secret of the control instances");
        let drain_notice = reader.optional("drain_notice", "a time such as 2s");
        let follow_wait = reader.optional("follow_wait", "a time such as 4s");
        let evidence_pause = reader.optional("evidence_pause", "a time such as 1s");
        let service =
            reader.optional::<String>("service", "the backend server's service");
        let server = reader.optional("server", ADDRESS);
        let link_mbps = read_link_mbps(reader);
        let stop_within = reader.optional("stop_within", "a time such as 30s");
        if controls.is_empty() {
            reader.fault("controls", "names no control instance; write at least one");
        }
        Some(Self {
            instance: instance?.into(),
            failure_domain: failure_domain?.into(),
            callers_listen: callers_listen?,
            local_listen: local_listen?,
            peer_listen: peer_listen?,
            peer_address,
            admin_listen: admin_listen?,
            controls,
            system_key: system_key?,
            drain_notice: drain_notice
                .map_or(DRAIN_NOTICE, |SettingsDuration(notice)| notice),
            follow_wait: follow_wait.map_or(FOLLOW_WAIT, |SettingsDuration(wait)| wait),
            evidence_pause: evidence_pause
                .map_or(EVIDENCE_PAUSE, |SettingsDuration(pause)| pause),
            service: service.map(Arc::from),
            server,
            link_mbps,
            stop_within: stop_within.map(|SettingsDuration(within)| within),
        })
    }
}

fn read_link_mbps(reader: &mut SettingsReader<'_>) -> Option<f64> {
    let mbps = reader.optional::<f64>("link_mbps", "megabits a second such as 100")?;
    if mbps.is_finite() && mbps > 0.0 {
        return Some(mbps);
    }
    reader.fault(
        "link_mbps",
        format!("{mbps} is no bandwidth; write more than 0"),
    );
    None
}
