//! Silent cuts between processes of the fleet, as its proxies apply them.
//!
//! On a cut link packets are lost and nobody is told. The kernel of the sender
//! transmits lost data again at intervals that double, so that after a cut a
//! connection stays silent until the next transmission, while a new connection is
//! answered at once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::fault_plan::ProcessId;

/// First interval of the kernel's retransmissions on a fast link.
const RETRANSMISSION_MIN: Duration = Duration::from_millis(200);

/// A direction between two processes: the sender and the receiver.
pub type DirectedLink = (ProcessId, ProcessId);

/// Links that are cut now.
pub struct LinkCuts {
    /// Number of faults that cut each link, above zero.
    cuts: RefCell<BTreeMap<DirectedLink, u32>>,
    changes: watch::Sender<()>,
}

impl Default for LinkCuts {
    fn default() -> Self {
        Self {
            cuts: RefCell::default(),
            changes: watch::channel(()).0,
        }
    }
}

impl LinkCuts {
    /// Cuts links, until [`LinkCuts::heal`] is called for the same ones.
    pub fn cut(&self, links: &[DirectedLink]) {
        for link in links {
            *self.cuts.borrow_mut().entry(*link).or_default() += 1;
        }
        self.changes.send_replace(());
    }

    /// Ends a cut of these links.
    pub fn heal(&self, links: &[DirectedLink]) {
        for link in links {
            let mut cuts = self.cuts.borrow_mut();
            let Some(count) = cuts.get_mut(link) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                cuts.remove(link);
            }
        }
        self.changes.send_replace(());
    }

    /// Returns whether any link is cut now.
    pub fn is_active(&self) -> bool {
        !self.cuts.borrow().is_empty()
    }

    /// Returns whether data on the link is lost now.
    pub fn is_cut(&self, link: DirectedLink) -> bool {
        self.cuts.borrow().contains_key(&link)
    }

    /// Waits until data sent now on the link arrives: at once, or with the first
    /// retransmission after the cut.
    pub async fn transmit(&self, link: DirectedLink) {
        let sent = Instant::now();
        let mut interval = RETRANSMISSION_MIN;
        let mut next = RETRANSMISSION_MIN;
        while self.is_cut(link) {
            // The sender lives as long as this value.
            let _ = self.changes.subscribe().changed().await;
            while next < sent.elapsed() {
                interval *= 2;
                next += interval;
            }
            actix_rt::time::sleep(next.saturating_sub(sent.elapsed())).await;
        }
    }
}
