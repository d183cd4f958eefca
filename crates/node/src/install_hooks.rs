//! What of a node, beside routing, goes by the configuration in force.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use cowslip_core::document::FleetDocument;
use cowslip_wire::http_listener::ListenerTimeouts;

use crate::server_check::ServerExpectation;

/// Told of each configuration that comes into force.
pub struct InstallHooks {
    /// Set once a configuration is in force.
    pub configured: Rc<Cell<bool>>,
    /// The backend server that the node is told of.
    pub expectation: ServerExpectation,
    /// Times that the callers' listener keeps.
    pub times: watch::Sender<ListenerTimeouts>,
}

impl InstallHooks {
    /// A configuration has come into force.
    pub(crate) fn installed(&self, document: &FleetDocument) {
        if !self.configured.replace(true) {
            self.expectation.ask(document);
        }
        let own = ListenerTimeouts::default();
        let millis = |set: Option<u64>| set.map(Duration::from_millis);
        let times = ListenerTimeouts {
            head: millis(document.limits.head_ms).unwrap_or(own.head),
            idle: millis(document.limits.idle_ms).unwrap_or(own.idle),
        };
        self.times.send_if_modified(|held| {
            let changed = *held != times;
            *held = times;
            changed
        });
    }
}
