//! Settings of `cowslip-node`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_wire::access_key::AccessKey;
use cowslip_wire::settings_reader::FromSettings;
use cowslip_wire::settings_reader::SettingsDuration;
use cowslip_wire::settings_reader::SettingsReader;

/// What would be right for an address.
const ADDRESS: &str = "an address and port such as 127.0.0.1:7301";

/// Time for other nodes to learn that this one is leaving, before its
/// listeners close. Control passes directory news on within a second.
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Each question to a control instance renews the node's leases; 250 bytes
/// every four seconds, for fleets of thousands.
const FOLLOW_WAIT: Duration = Duration::from_secs(4);

/// A report of three routes takes about 1 KB of the 16 KB a second that a
/// node may spend on control.
const EVIDENCE_PAUSE: Duration = Duration::from_secs(1);

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the instance; unique in the fleet.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Where callers reach it.
    pub callers_listen: SocketAddr,
    /// Where the backend server beside it announces and sends calls.
    pub local_listen: SocketAddr,
    /// Where other nodes reach it.
    pub peer_listen: SocketAddr,
    /// Where metrics and health are served.
    pub admin_listen: SocketAddr,
    /// Control instances to follow.
    pub controls: Vec<SocketAddr>,
    /// Key between the system's own processes.
    pub system_key: AccessKey,
    /// Time between saying that it leaves and closing its listeners.
    pub drain_notice: Duration,
    /// Wait that is asked of a control instance where it has no news. One
    /// that has died is noticed this much later, and half a second or so.
    pub follow_wait: Duration,
    /// Pause between two reports of a move's counts.
    pub evidence_pause: Duration,
    /// Service of the backend server beside it, where the node is told; the
    /// server need not say it itself then.
    pub service: Option<Arc<str>>,
    /// Where that server listens, where the node is told.
    pub server: Option<SocketAddr>,
    /// Time that a planned stop may take in all; as long as calls need
    /// where absent. During the notice the node goes on serving then.
    pub stop_within: Option<Duration>,
}

impl NodeSettings {
    /// Settings on free loopback ports, for fleets in one process.
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
            admin_listen: free,
            controls,
            system_key,
            drain_notice: DRAIN_NOTICE,
            follow_wait: FOLLOW_WAIT,
            evidence_pause: EVIDENCE_PAUSE,
            service: None,
            server: None,
            stop_within: None,
        }
    }
}

impl FromSettings for NodeSettings {
    fn from_settings(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let instance =
            reader.required::<String>("instance", "a name unique in the fleet");
        let failure_domain = reader.required::<String>("failure_domain", "its name");
        let callers_listen = reader.required("callers_listen", ADDRESS);
        let local_listen = reader.required("local_listen", ADDRESS);
        let peer_listen = reader.required("peer_listen", ADDRESS);
        let admin_listen = reader.required("admin_listen", ADDRESS);
        let controls = reader.scalars("controls", ADDRESS);
        let system_key =
            reader.required("system_key", "the secret of the control instances");
        let drain_notice = reader.optional("drain_notice", "a time such as 2s");
        let follow_wait = reader.optional("follow_wait", "a time such as 4s");
        let evidence_pause = reader.optional("evidence_pause", "a time such as 1s");
        let service = reader.optional::<String>("service", "the service beside it");
        let server = reader.optional("server", ADDRESS);
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
            stop_within: stop_within.map(|SettingsDuration(within)| within),
        })
    }
}
