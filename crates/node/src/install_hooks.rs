//! Hooks that apply a new configuration to the parts of a node outside routing.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use cowslip_core::document::FleetDocument;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::http_listener::ListenerTimeouts;

use crate::quarantine_list::QuarantineList;
use crate::server_check::ConfiguredServer;

/// Hooks that run when a configuration is installed.
pub struct InstallHooks {
    /// Version of the configuration in force; zero before the first one.
    pub version: Rc<Cell<ConfigVersion>>,
    /// Requests that are not sent to backend servers.
    pub quarantines: QuarantineList,
    /// The backend server that the settings name.
    pub server: ConfiguredServer,
    /// Timeouts of the callers' listener.
    pub listener_timeouts: watch::Sender<ListenerTimeouts>,
}

impl InstallHooks {
    /// Applies the configuration of `version`, which has come into force;
    /// `evacuated` if it evacuates the node's failure domain. The backend server is
    /// then not checked, since it gets no requests.
    pub(crate) fn installed(
        &self,
        version: ConfigVersion,
        document: &FleetDocument,
        evacuated: bool,
    ) {
        let is_first = self.version.replace(version) == ConfigVersion::ZERO;
        if is_first && !evacuated {
            self.server.request_check(document);
        }
        self.quarantines.install(&document.quarantines);
        let defaults = ListenerTimeouts::default();
        let millis = |set: Option<u64>| set.map(Duration::from_millis);
        let timeouts = ListenerTimeouts {
            head: millis(document.limits.head_ms).unwrap_or(defaults.head),
            idle: millis(document.limits.idle_ms).unwrap_or(defaults.idle),
        };
        self.listener_timeouts.send_if_modified(|current| {
            let changed = *current != timeouts;
            *current = timeouts;
            changed
        });
    }
}
