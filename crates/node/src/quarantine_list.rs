//! Requests that this node must not send to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::quarantine::QuarantineTable;
use cowslip_wire::wall_clock;

/// The quarantines in force, shared by the handlers of a node.
#[derive(Clone, Default)]
pub struct QuarantineList {
    /// End of each quarantine by the wall clock, in milliseconds since the Unix epoch.
    ends_ms: Rc<RefCell<HashMap<CallFingerprint, u64>>>,
}

impl QuarantineList {
    /// Replaces the quarantines by those of a configuration.
    pub fn install(&self, table: &QuarantineTable) {
        let blocking = table.iter().filter(|(_, entry)| entry.is_blocking());
        let ends_ms = blocking.map(|(fingerprint, entry)| (*fingerprint, entry.until_ms));
        *self.ends_ms.borrow_mut() = ends_ms.collect();
    }

    /// Returns how much longer a request is refused; `None` if it is not. The
    /// fingerprint is computed only while there are quarantines, because it reads the
    /// whole body.
    pub fn time_left(
        &self,
        fingerprint: impl FnOnce() -> CallFingerprint,
    ) -> Option<Duration> {
        let ends_ms = self.ends_ms.borrow();
        if ends_ms.is_empty() {
            return None;
        }
        let end_ms = ends_ms.get(&fingerprint())?;
        Some(Duration::from_millis(
            end_ms.saturating_sub(wall_clock::millis()),
        ))
    }
}
