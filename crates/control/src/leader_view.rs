//! The leader as this instance knows it, published by the agreement task.

use std::net::SocketAddr;

use tokio::sync::watch;

use cowslip_wire::boot_instant::BootInstant;

/// What this instance knows about the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderView {
    /// Address of the leader, if one is known.
    pub address: Option<SocketAddr>,
    /// Expiry of this instance's leader lease, if it leads.
    pub lease_until: Option<BootInstant>,
}

impl LeaderView {
    /// Returns true if this instance leads and its answers are current.
    ///
    /// The expiry of the lease is checked on every call. If the process was
    /// suspended or its agreement task is late, the view still says that this
    /// instance leads, although another leader may have been elected.
    pub fn is_leading(&self) -> bool {
        self.lease_until
            .is_some_and(|until| BootInstant::now() < until)
    }
}

/// Receiver of the current [`LeaderView`].
pub type LeaderWatch = watch::Receiver<LeaderView>;
