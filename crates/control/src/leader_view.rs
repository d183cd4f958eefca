//! Who leads, as this instance knows it; published by the agreed task.

use std::net::SocketAddr;

use tokio::sync::watch;

use cowslip_wire::boot_instant::BootInstant;

/// What this instance knows of the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderView {
    /// Where the leader listens, if one is known.
    pub address: Option<SocketAddr>,
    /// End of the lease, where this instance leads.
    pub lease_until: Option<BootInstant>,
}

impl LeaderView {
    /// True where this instance leads and may answer as fresh now.
    ///
    /// Guards against a process that was stopped for a while, or whose
    /// agreed task is late: the view it published says that it leads, but
    /// another leader may have been elected. The end of the lease is
    /// looked at with every use.
    pub fn is_leading(&self) -> bool {
        self.lease_until
            .is_some_and(|until| BootInstant::now() < until)
    }
}

/// Watches the view.
pub type LeaderWatch = watch::Receiver<LeaderView>;
